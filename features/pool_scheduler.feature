Feature: The cell decides by tier, fairly, within credits

  Scenario: A higher tier is granted first, whoever came first
    Given a cell with one endpoint of 1 credit
    When low-1 of low and high-1 of high arrive while one request runs
    And the running request is released
    Then high-1 is granted next

  Scenario: Teams of one tier share by weight, not by number of requests
    Given a cell with one endpoint of 1 credit
    When a busy team sends 30 requests and a quiet one of the same tier 3
    Then the quiet team's 3 requests are among the first 7 grants

  Scenario: The lowest tier is shed first
    Given a cell with one endpoint of 1 credit and room for 4 waiting
    When 4 requests of low wait and 2 of high arrive
    Then 2 requests of low are refused as overloaded and none of high

  Scenario: A request that can not be in time is refused at once
    Given a cell with one endpoint of 1 credit
    When a request needs 10 s and its deadline is 5 s
    Then it is refused for its deadline, not run, before any grant

  Scenario: A deadline that passes while waiting ends the wait at once
    Given a cell with one endpoint of 1 credit
    When a request waits behind another until its deadline can not be met
    Then it is refused for its deadline with a time to come back

  Scenario: A leaving endpoint gets no grant
    Given a cell with two endpoints
    When one of them is leaving and 6 requests arrive
    Then only the other one is granted

  Scenario: A withdrawn approval refuses what waits
    Given a cell with one endpoint of 1 credit
    When a request waits and its team's approval is withdrawn
    Then it is refused as not approved, not run

  Scenario: A request id is granted once, whoever asks again
    Given a cell with one endpoint of 4 credits
    When one request id is acquired by two entries
    Then one of them is granted and the other may only take it up

  Scenario: A dead entry's credits are kept for a while, then freed
    Given a cell with one endpoint of 1 credit
    When the entry of a running request dies
    Then the credit is freed only after the grace and the orphan is named

  Scenario: A young home does not vouch for a request id that a caller chose
    Given a cell with one endpoint of 1 credit and room for 1 waiting
    When its home took over 10 s ago and sheds a named request
    Then the refusal says that the request may have run
    And 100 s after taking over it says that it was not run

  Scenario: A prompt goes back to the endpoint that holds its prefix
    Given a cell with two endpoints
    When a long prompt ran at one endpoint and comes again with a new end
    Then it is granted at the same endpoint

  Scenario: A slow endpoint is not chosen while a fast one is sooner
    Given a cell with a fast endpoint that is full and a free one, slow by far
    When a request arrives that only the fast one answers in time
    Then it waits for the fast one

  Scenario: Decisions equal those of a naive scheduler
    Then hypothesis finds no load on which admission, order or credits differ

  Scenario: A fair queue keeps its sums
    Then hypothesis finds no operations after which the queue's sums are wrong

  Scenario: A release that was lost is made good
    Given a cell with one endpoint of 1 credit
    When a request runs and its entry no longer has it 3 s later
    Then the entry's next registration frees the credit
    And the request id is still remembered as dispatched

  Scenario: A grant on its way is not taken for lost
    Given a cell with one endpoint of 1 credit
    When a registration without it arrives 0.1 s after a grant
    Then the credit stays in use

  Scenario: An endpoint that was removed and comes back gets work again
    Given a cell with one endpoint of 1 credit
    When a manifest without the endpoint is applied, and then one with it
    Then a request is refused in between and granted afterwards
