Feature: Membership and configuration spread and do not revert

  Scenario Outline: A large fleet keeps one view at a bounded cost
    Given a fleet of <count> instances that gossip in memory
    When it runs for <seconds> s
    Then every instance sees all others as live
    And no heartbeat carries more than 134 rows
    When 3 instances die
    Then their linked peers see them as dead within 2 s
    And every instance sees them as dead within 35 s

    Examples:
      | count | seconds |
      | 60    | 30      |

    @large
    Examples: the size aimed at, run by `make test-large`
      | count | seconds |
      | 400   | 60      |

  Scenario: Adding on hearsay and removing only on evidence beats the naive rule
    Given heartbeats of a rotating fleet that arrive out of order
    Then the naive rule ends with a dead member or without a live one in most runs
    And our rule does so in none

  Scenario: A restarted instance replaces its earlier self
    Given a member that restarts with a later incarnation
    Then rows of its earlier incarnation change nothing
    And its loss was reported once

  Scenario: The home of a pool is the same everywhere and moves little
    Given 9 instances and 36 pools
    When one instance leaves
    Then only the pools of which it was the home move

  Scenario: A lower revision is never taken over
    Given a configuration at revision 5
    When a peer pushes revision 4 and the platform returns revision 3
    Then revision 5 stays in force
    And a push of revision 6 is taken over and passed on

  Scenario: An instance that can not tell stops taking work
    Given a configuration at revision 5
    When nobody has confirmed it for 5 s and most peers are silent
    Then it may not be acted on
    And it may once a peer's confirmation arrives
    And it may when the platform is out but most peers answer

  Scenario: An old heartbeat does not make a paused instance believe itself fresh
    Given a configuration at revision 5
    When the instance was paused for 10 s and reads heartbeats from before
    Then it may not be acted on

  Scenario: Bytes from peers never break the decoder
    Then hypothesis finds no frame that fails other than as a protocol error
    And every message survives encoding and decoding
