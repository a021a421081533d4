Feature: Decisions of routed deployments, apart from input and output
  Each case replays the load or the fault that a rule answers.

  Scenario Outline: What is decided
    Then the decision case "<case>" holds

    Examples:
      | case                                                          |
      | a team within its quota is never refused                      |
      | a request larger than the burst is let through and paid off   |
      | waves may use what the window tolerates         |
      | a new home hands out no second burst                          |
      | the first home of all starts with full buckets                |
      | a home goes on with the levels of the one before              |
      | a team that used little is not refused after a change of homes |
      | levels that can not be read count as spent                    |
      | a start of all instances hands out no burst                   |
      | many small shares let through no more than their sum          |
      | repeats stay within their budget                              |
      | history that is gone is read anew without a pause             |
      | freshness counts suspension                                   |
      | a peer's confirmation counts from the heartbeat it answers    |
      | a slowed engine is known within two seconds                   |
      | an engine that is fast again is forgiven within two seconds   |
      | a failing endpoint gets one request at a time                 |
      | where all endpoints fail none is left out                     |
      | a request goes elsewhere than to the endpoint that failed it  |
      | with no endpoint a routed request is refused as not run       |
      | in a burst the most urgent are served and others told when    |
      | what waits is refused before its caller's patience has passed |
      | a burst of one second is served late rather than not at all  |
      | late requests keep nobody from being on time                  |
      | late requests that wait in vain are refused at once           |
      | returns after a burst are spread                              |
      | in a long burst those refused are told to come back after it  |
      | instances on their own stay within an endpoint's places       |
      | instances of a large fleet meet their neighbours on the ring only |
      | homes do not move when entries lapse in an outage             |
      | entries that see a new home first are not refused for quotas  |
      | only strong instances become homes                            |
      | the longest prefix wins                                       |
      | a split route follows its weights                             |
      | a stalled reader of logs stops nobody                         |
      | a flood of one line is sampled and errors are kept            |
      | a record of another writer is refused with its fault          |
      | request keys differ after a restart                           |
      | the story of a request is told from its lines                 |
      | the page of log lines names what the code logs                |
