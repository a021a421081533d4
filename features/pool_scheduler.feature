Feature: The pool scheduler grants by tier, fairly and within credits

  Scenario: A higher tier is granted first, in whatever order requests arrive
    Given a pool scheduler with one endpoint of 1 credit
    When low-1 of low and high-1 of high arrive while one request runs
    And the running request is released
    Then high-1 is granted next

  Scenario: Teams of one tier share by weight, not by number of requests
    Given a pool scheduler with one endpoint of 1 credit
    When a busy team sends 30 requests and a quiet one of the same tier 3
    Then the quiet team's 3 requests are among the first 7 grants

  Scenario: The lowest tier is shed first
    Given a pool scheduler with one endpoint of 1 credit and at most 4 waiting
    When 4 requests of low wait and 2 of high arrive
    Then 2 requests of low are refused as overloaded and none of high

  Scenario: A request that can not meet its deadline is refused at once
    Given a pool scheduler with one endpoint of 1 credit
    When a request needs 10 s and its deadline is 5 s
    Then it is refused for its deadline, not run, before any grant

  Scenario: A waiting request is refused as soon as it can not meet its deadline
    Given a pool scheduler with one endpoint of 1 credit
    When a request waits behind another until its deadline can not be met
    Then it is refused for its deadline with a retry time

  Scenario: A leaving endpoint gets no grant
    Given a pool scheduler with two endpoints
    When one of them is leaving and 6 requests arrive
    Then only the other one is granted

  Scenario: Waiting requests are refused when the approval is withdrawn
    Given a pool scheduler with one endpoint of 1 credit
    When a request waits and its team's approval is withdrawn
    Then it is refused as not approved, not run

  Scenario: A request id is granted only once, whichever frontend asks for it
    Given a pool scheduler with one endpoint of 4 credits
    When two frontends acquire the same request id
    Then one of them is granted and the other may only resume it

  Scenario: The credits of a dead frontend are freed after a grace period
    Given a pool scheduler with one endpoint of 1 credit
    When the frontend of a running request dies
    Then the credit is freed only after the grace period, with the orphan returned

  Scenario: During warm-up a coordinator can not rule out an earlier run of a request
    Given a pool scheduler with one endpoint of 1 credit and at most 1 waiting
    When the coordinator took over 10 s ago and sheds a request with a caller's id
    Then the refusal says that the request may have run
    And 100 s after the takeover a refusal says that it was not run

  Scenario: A prompt is granted at the endpoint that holds its prefix
    Given a pool scheduler with two endpoints
    When a long prompt ran at one endpoint and a longer one with the same prefix follows
    Then it is granted at the same endpoint

  Scenario: A request waits for a busy fast endpoint if a free slow one would be too late
    Given a pool scheduler with a full fast endpoint and a free one that is much slower
    When a request arrives that only the fast endpoint can answer in time
    Then it waits for the fast endpoint

  Scenario: Decisions equal those of a naive scheduler
    Then hypothesis finds no load on which admission, order or credits differ

  Scenario: The sums of a fair queue stay consistent
    Then hypothesis finds no operations after which the queue's sums are wrong

  Scenario: A lost release is corrected by the next registration
    Given a pool scheduler with one endpoint of 1 credit
    When a request runs and its frontend no longer has it 3 s later
    Then the frontend's next registration frees the credit
    And the request id is still remembered as dispatched

  Scenario: A registration that crosses a recent grant does not free its credit
    Given a pool scheduler with one endpoint of 1 credit
    When a registration without the request arrives 0.1 s after its grant
    Then the credit stays in use

  Scenario: An endpoint that was removed and added again gets grants
    Given a pool scheduler with one endpoint of 1 credit
    When a manifest without the endpoint is applied, and then one with it
    Then a request is refused in between and granted afterwards
