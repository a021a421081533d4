Feature: Roll-outs of endpoint versions
  An operator orders that a pool moves to another version. A good version gets all
  requests in time; a bad one gets a bounded share and is reverted.

  Scenario Outline: A bad version is reverted within its bounds
    Then a version that <fault> is reverted, with every seed

    Examples:
      | fault                             |
      | fails half of its requests        |
      | fails a tenth of its requests     |
      | fails after 20 answers            |
      | fails after 200 answers           |
      | fails after 2000 answers          |
      | fails above half load             |
      | fails on one route                |
      | fails for long prompts            |
      | is four times slower              |
      | is slower after 20 answers        |
      | is slower on one route            |
      | is slower between events          |
      | hangs                             |

  Scenario Outline: A good version that looks bad is completed
    Then a good version <appearance> is completed, with every seed

    Examples:
      | appearance                        |
      | as the old one                    |
      | that starts cold                  |
      | with an endpoint that crashes     |
      | beside a team that fails at both  |
      | in a burst that slows both        |
      | of three endpoints                |
      | with few requests                 |

  Scenario Outline: Instances and endpoints as processes
    Then the roll-out case "<case>" holds

    Examples:
      | case |
      | a good version gets everything in time, the old one nothing |
      | a version that fails is reverted |
      | a version that is slow is reverted |
      | a version that no endpoint runs is reverted at the deadline |
      | a roll-out goes on when its coordinator is killed in the trial |
      | a bad version is reverted when its coordinator is killed in the trial |
      | a roll-out goes on when its coordinator is killed in the drain |
      | a roll-out goes on when the store is restored from a copy |
      | a version whose order is withdrawn is reverted |
      | a roll-out goes on when the store is out for a while |
      | a roll-out goes on when its coordinator stands still |
      | streams go on at the version that began them |

  Scenario Outline: Orders, records and counts
    Then the roll-out decision "<decision>" holds

    Examples:
      | decision |
      | a record is read as it was written |
      | a record or an order that is garbage is rejected |
      | several coordinators together stay within the bound |
      | an end in the store wins over one in memory |
      | a stage never goes back to one in a copy of the store |
      | a changed order leaves a version on trial without requests |
      | a repeated order has no new allowance |
      | the route of a request stands in its key |
