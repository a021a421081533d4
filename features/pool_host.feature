Feature: Entries and homes agree over moves, pauses and lost messages

  Scenario: A home that was paused does not vouch for request ids
    Given the home of a pool that is two minutes old
    When its process was paused for 3 s
    Then its cell counts as new

  Scenario: An instance that was not the home for a while does not vouch either
    Given the home of a pool that is two minutes old
    When another instance is the home for a while
    Then its cell counts as new

  Scenario: A refusal of an earlier home is not the answer
    Given an entry with a named request that waits at its home
    When the home moves and the earlier home refuses the request
    Then the entry still waits and takes the next home's grant

  Scenario: A named request that no home answered may have run
    Given an entry with a named request that waits at its home
    When no home answers until the deadline
    Then it is refused for its deadline and may have run

  Scenario: A second grant is given back
    Given an entry with a named request that waits at its home
    When two homes grant it at different endpoints
    Then the first grant is used and the other one released as not sent

  Scenario: A release goes to the home that granted and to the one of the moment
    Given an entry with a named request that waits at its home
    When it is granted and the home moves before it ends
    Then both homes are told of its end

  Scenario: A caller that leaves in the moment of the grant gives it back
    Given an entry with a named request that waits at its home
    When its caller leaves just before the grant arrives
    Then the grant is released as not sent

  Scenario: A home learns of a grant that was lost on the way
    Given an entry with a named request that waits at its home
    When its caller leaves and nothing of the entry is in flight any more
    Then the entry still accounts for the pool every few seconds, with nothing
