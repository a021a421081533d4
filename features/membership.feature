Feature: Membership and configuration spread through the fleet and never revert

  Scenario Outline: A large fleet keeps a common view with heartbeats of bounded size
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
    Examples: the target size, run by `make test-large`
      | count | seconds |
      | 400   | 60      |

  Scenario: Members are added on any report and removed only on own observation
    Given heartbeats that arrive out of order while instances are replaced
    Then a view that adopts each message takes back a lost member in most runs
    And the membership ends with exactly the live instances in all runs

  Scenario: A restarted instance replaces its earlier incarnation
    Given a member that restarts with a later incarnation
    Then rows of its earlier incarnation change nothing
    And its loss was reported once

  Scenario: All instances agree on the coordinator of a pool, and few pools move
    Given 9 instances and 36 pools
    When one instance leaves
    Then only the pools that it coordinated move

  Scenario: A lower revision never replaces a higher one
    Given a configuration at revision 5
    When a peer pushes revision 4 and the platform returns revision 3
    Then revision 5 stays in force
    And a push of revision 6 is applied and forwarded

  Scenario: Without a recent confirmation the configuration is not current
    Given a configuration at revision 5
    When nobody has confirmed it for 5 s and most peers are silent
    Then it is not current
    And it is current once a peer's confirmation arrives
    And it is current in an outage of the platform if most peers respond

  Scenario: Old heartbeats do not confirm the configuration of a paused instance
    Given a configuration at revision 5
    When the instance was paused for 10 s and reads heartbeats sent before that
    Then it is not current

  Scenario: The decoder of messages handles any bytes from peers
    Then hypothesis finds no frame on which decoding raises anything but ProtocolError
    And every message is the same after encoding and decoding
