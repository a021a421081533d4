Feature: Checkers of recorded histories

  Scenario: A clean history passes every checker
    Given a clean history
    Then no checker finds a violation

  Scenario Outline: A violation in the history is detected
    Given a clean history
    When the history is changed so that <fault>
    Then the checker "<point>" finds a violation

    Examples:
      | fault                                                      | point                     |
      | a request was executed at two endpoints                    | 1 dispatched at most once |
      | a high tier was refused while a low one was queued         | 2 tier order              |
      | an answer lacks its last word                              | 3 complete own answer     |
      | an answer is another caller's                              | 3 complete own answer     |
      | a refusal says not run after the execution                 | 4 not run is true         |
      | an idempotency key was executed twice                      | 5 at most once per key    |
      | a key never completes without any kill                     | 5 at most once per key    |
      | a leaving endpoint gets a request after 6 s                | 6 leaving endpoint        |
      | a graceful stop interrupts a stream                        | 7 graceful stop           |
      | a stopped instance exits with 1                            | 7 graceful stop           |
      | an instance is ready at an old revision after 5 s          | 8 configuration           |
      | one revision is accepted twice                             | 8 configuration           |
      | a team's request runs 5 s after its approval was withdrawn | 8 configuration           |
      | a request never gets an answer                             | 0 final answer            |

  @first @processes
  Scenario: Runs under random faults satisfy every invariant
    When the histories of seeds 2 and 3 are recorded
    Then no checker finds a violation in these histories
