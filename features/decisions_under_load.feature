Feature: A coordinator that is behind with its messages decides what can be in time

  Scenario: Twice the load of a coordinator's processor for five seconds
    Given a coordinator of 56 endpoints whose processor is slow
    When it gets twice the messages that it can process for five seconds
    Then answers in time are back within two seconds of the end
    And no second has few answers in time
    And refusals come within a quarter of the objective
    And no request is held until its deadline

  Scenario: Reports that free slots are processed before requests
    Given an inbox with a request, a release and another request that is stale first
    Then the release is taken first and the request that is stale first next

  Scenario: Requests of two frontends with one key are both answered
    Given an inbox with requests of two frontends with one key, of which one withdraws
    Then only the request of the other is taken, after the withdrawal

  Scenario: Earlier builds get no fields that they refuse
    Given a request for a grant with the time that it has waited
    Then a frame for an earlier build has only the fields that it knows
    And a frame without the time or with a later field is read
