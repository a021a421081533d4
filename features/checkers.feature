Feature: Each checker of histories finds its fault and passes without it

  Scenario: A clean history passes every checker
    Given a clean history
    Then no checker finds a violation

  Scenario Outline: A planted fault is found
    Given a clean history
    When the fault is planted: <fault>
    Then the checker of <point> finds it

    Examples:
      | fault                                                | point                   |
      | a request ran at two endpoints                       | 1 dispatched at most once |
      | a high tier was shed while a low one waited          | 2 tier order            |
      | an answer lacks its last word                        | 3 complete own answer   |
      | an answer is another caller's                        | 3 complete own answer   |
      | a refusal says not run after the run                 | 4 not run is true       |
      | an idempotency key ran twice                         | 5 at most once per key  |
      | a key is refused for ever without any kill           | 5 at most once per key  |
      | a leaving endpoint gets a request after 6 s          | 6 leaving endpoint      |
      | a graceful stop cuts a stream                        | 7 graceful stop         |
      | a stopped instance exits with 1                      | 7 graceful stop         |
      | an instance takes work at an old revision after 5 s  | 8 configuration         |
      | one revision is accepted twice                       | 8 configuration         |
      | a team runs 5 s after its approval was withdrawn     | 8 configuration         |
      | a request never gets an answer                       | 0 final answer          |

  Scenario: A few seeds of faults hold every point
    When the histories of seeds 2 and 3 are recorded
    Then no checker finds a violation in them
