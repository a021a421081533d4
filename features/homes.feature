Feature: Frontends and coordinators agree after takeovers, pauses and lost messages

  Scenario: A coordinator that was paused starts its warm-up again
    Given a pool scheduler whose coordinator took over two minutes ago
    When its process was paused for 3 s
    Then the scheduler is in its warm-up

  Scenario: An instance that was not the coordinator for a while starts its warm-up again
    Given a pool scheduler whose coordinator took over two minutes ago
    When another instance is the coordinator for a while
    Then the scheduler is in its warm-up

  Scenario: A refusal of an earlier coordinator is ignored
    Given a frontend whose request with a caller's id waits at its coordinator
    When another instance takes over and the earlier coordinator refuses the request
    Then the frontend still waits and uses the grant of the new coordinator

  Scenario: A request with a caller's id that no coordinator answered may have run
    Given a frontend whose request with a caller's id waits at its coordinator
    When no coordinator answers until the deadline
    Then it is refused for its deadline and may have run

  Scenario: A second grant is returned
    Given a frontend whose request with a caller's id waits at its coordinator
    When two coordinators grant it at different endpoints
    Then the first grant is used and the other one released as not sent

  Scenario: A release goes to the coordinator that granted and to the current one
    Given a frontend whose request with a caller's id waits at its coordinator
    When it is granted and another instance takes over before it ends
    Then both coordinators are notified of its end

  Scenario: A grant that arrives as the caller disconnects is returned
    Given a frontend whose request with a caller's id waits at its coordinator
    When its caller disconnects just before the grant arrives
    Then the grant is released as not sent

  Scenario: A coordinator learns of a lost grant
    Given a frontend whose request with a caller's id waits at its coordinator
    When its caller disconnects and the frontend has nothing in flight any more
    Then the frontend still sends an empty registration every few seconds
