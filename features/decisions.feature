Feature: Decisions of routed deployments, apart from input and output
  Each case replays the load or the fault that a rule answers.

  Scenario Outline: What is decided
    Then the decision case "<case>" holds

    Examples:
      | case                                                          |
      | a team within its quota is never refused                      |
      | a request larger than the burst is let through and paid off   |
      | idle places may be used within the window's tolerance         |
      | a new home hands out no second burst                          |
      | a start of all instances hands out no burst                   |
      | repeats stay within their budget                              |
      | freshness counts suspension                                   |
      | a peer's confirmation counts from the heartbeat it answers    |
      | a slowed engine is known within two seconds                   |
      | an engine that is fast again is forgiven within two seconds   |
      | a failing endpoint gets one request at a time                 |
      | where all endpoints fail none is left out                     |
      | a request goes elsewhere than to the endpoint that failed it  |
      | with no endpoint a routed request is refused as not run       |
      | in a burst the most urgent are served and others told when    |
      | what waits is refused before its objective has passed         |
      | returns after a burst are spread                              |
      | instances on their own stay within an endpoint's places       |
      | only strong instances become homes                            |
      | the longest prefix wins                                       |
      | a split route follows its weights                             |
      | a stalled reader of logs stops nobody                         |
      | a flood of one line is sampled and errors are kept            |
      | a record of another writer is refused with its fault          |
      | request keys differ after a restart                           |
      | the story of a request is told from its lines                 |
      | the page of log lines names what the code logs                |
