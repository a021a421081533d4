Feature: Routed callers on the users' platform
  A real instance, the store and the endpoints over the same wire as in
  production, with stand-ins for all but the instance.

  Scenario Outline: What an endpoint answers
    Then the routed case "<case>" holds

    Examples:
      | case                                                        |
      | a whole answer comes back with its stamp                    |
      | an endpoint gets what it needs and no key                   |
      | what only the system may set is taken off                   |
      | a stream passes event by event                              |
      | an answer without length is whole at its close              |
      | an answer without length that is reset is no answer         |
      | a torn answer is no answer                                  |
      | an answer of another request is no answer                   |
      | a success without a stamp is no answer                      |
      | bytes behind an answer reach nobody                         |
      | an error of the endpoint comes back as it is                |
      | a refusal that the endpoint does not vouch for is 502       |
      | an early answer to a long body comes back                   |
      | a claim whose answer is lost runs once                      |
      | a lookup whose answer is lost runs elsewhere                |
      | a lookup that fails runs elsewhere                          |
      | a claim that did not run goes elsewhere                     |
      | a wrong address runs nothing                                |
      | a dead address costs nothing                                |
      | a broken stream goes on behind its last event               |
      | a broken stream that may not go on is cut                   |
      | a silent endpoint ends at the route's time                  |
      | a stream that pauses is not cut when there is nowhere to go |
      | a stream that pauses is not cut when the pool is full       |
      | a stream that pauses goes on where there is room            |
      | under load a refusal says when to come back                 |

  Scenario Outline: What a caller does
    Then the routed case "<case>" holds

    Examples:
      | case                                              |
      | a caller that leaves ends the work                |
      | a caller that leaves while it waits sends nothing |
      | a half sent body reaches nobody                   |
      | a chunked body arrives as it is                   |
      | two requests on one connection are both answered  |
      | two requests sent at once are answered in order   |
      | a request inside another is not let through       |
      | malformed requests get their status               |
      | a slow head is given up                           |
      | an unknown key gets 401 and an unknown path 404   |

  Scenario Outline: What the store says and does
    Then the routed case "<case>" holds

    Examples:
      | case                                              |
      | a new version is in force soon                    |
      | an older version never comes back                 |
      | a key that was taken away stops working           |
      | keyed requests stop when nothing is confirmed     |
      | a start waits for a store that is busy            |
      | a start waits for a store that limits             |
      | a start waits for a store that resets             |
      | a start waits for a store that is silent          |
      | a start waits for a store that loses answers      |
      | history that is gone is read anew                 |
      | unreadable entries name no endpoint               |
      | a leaving endpoint gets nothing                   |
      | an endpoint whose entry went is gone              |
      | entries that lapsed in an outage get their time   |
      | an instance cut from the store learns from a peer |
      | an instance enters what it can bear               |
      | an entry whose lease was lost is written anew     |
      | endpoints beyond the first page are found         |
      | an endpoint that starts again is another one      |

  Scenario Outline: How an instance stops and starts
    Then the routed case "<case>" holds

    Examples:
      | case                                                           |
      | a stop lets a stream end                                       |
      | a stop refuses what comes later                                |
      | settings are checked together                                  |
      | an instance that starts again is a new one                     |
      | a quota that was used up stays so after a kill                 |
      | a quota that was used up stays so when home and store are lost |
      | a request whose home is silent is placed anyway                |

  Scenario: The soak's checks can fail
    Then each check of the soak finds a planted fault

  Scenario Outline: A short soak
    Then a short soak of seed <seed> finds nothing

    Examples:
      | seed |
      | 1    |
      | 2    |
