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
