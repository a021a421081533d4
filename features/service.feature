@processes
Feature: A running fleet serves approved callers and refuses others with the correct reason

  Scenario: The OpenAI client library works unchanged
    Given the small fleet
    When the openai client requests a streamed and an unstreamed chat
    Then both answers are complete
    And the client lists the team's models
    And an unknown model gives the client its not-found error

  Scenario Outline: Bad input is refused with its reason and reaches no endpoint
    Given the small fleet
    When the input is <what>
    Then the answer is <status> <reason>, not run
    And no endpoint received a request

    Examples:
      | what                               | status | reason                   |
      | text that is not JSON              | 400    | bad-request              |
      | a JSON list                        | 400    | bad-request              |
      | an empty list of messages          | 400    | bad-request              |
      | a negative max_tokens              | 400    | bad-request              |
      | an unknown model                   | 404    | unknown-model            |
      | a body that is too large           | 413    | too-large                |
      | a large body without its length    | 413    | too-large                |
      | no key                             | 401    | bad-key                  |
      | a wrong key                        | 401    | bad-key                  |
      | a key of an unapproved team        | 403    | not-approved             |
      | a claim without an idempotency key | 400    | idempotency-key-required |
      | an unknown service pool            | 404    | unknown-pool             |
      | a bad deadline                     | 400    | bad-request              |

  Scenario: Slow callers are disconnected
    Given the small fleet
    When a caller sends its headers byte by byte
    Then its connection is closed within 7 s
    When a caller stops in the middle of its body
    Then it is refused within 5 s

  Scenario: A caller that does not read its answer cannot exhaust memory
    Given the small fleet
    When a caller asks for 80 MB and does not read them
    Then the instance's memory grows by less than 20 MB
    And another caller is answered meanwhile

  Scenario: A request is cancelled at the engine when its caller disconnects
    Given the small fleet
    When a caller without a request id disconnects from its stream
    Then the engine's record shows it cancelled within 2 s
    When a caller with a request id disconnects from its stream
    Then the engine's record shows it cancelled only after the grace period

  Scenario: A stream that the engine truncates is resumed
    Given the small fleet
    When the engine truncates each stream after 4 events
    Then a caller still gets the complete answer
    And the engine received the request once

  Scenario: A truncated answer never looks complete to the caller
    Given the small fleet
    When an engine that does not resume truncates a stream
    Then the caller's connection is aborted without a regular end

  Scenario Outline: A stream does not go on with anything but its next events
    Given the small fleet
    When the engine truncates each stream and goes on with <rest>
    Then the caller has a part of the answer that does not look complete

    Examples:
      | rest  |
      | page  |
      | error |
      | begin |
      | later |

  Scenario Outline: A first answer that is no stream reaches no caller
    Given the small fleet
    When the engine answers streams with <first>
    Then a caller still gets the complete answer
    When an engine that does not resume answers streams with <first>
    Then the caller learns that the request may have run

    Examples:
      | first |
      | page  |
      | bare  |

  Scenario Outline: A stream that is taken up with its id is a stream
    Given the small fleet
    When the engine sends <first> to a caller that takes a stream up
    Then no caller that takes it up gets an answer

    Examples:
      | first |
      | page  |
      | bare  |

  Scenario: A first answer without ids is not taken for a stream that can go on
    Given the small fleet
    When the engine answers streams with error
    Then a caller still gets the complete answer

  Scenario: A complete answer is stored for its idempotency key
    Given the small fleet
    When a claim is sent through both instances at once
    Then both callers get the same answer and it ran once
    And the same key with another body is refused as reused

  Scenario: Claims are refused in an outage and can be retried after it
    Given the small fleet
    When the platform is out
    Then a claim is refused within 3 s and not executed
    And a model request is answered
    When the platform is back
    Then the same claim runs once

  Scenario: A claim is confirmed by reading it back when the write's answer is lost
    Given the small fleet
    When the platform loses the answer of every write
    Then a claim runs once and its answer is complete

  Scenario: Metrics and logs describe requests without revealing secrets
    Given the small fleet
    Then the metrics show histograms by tier and team, and refusals by reason
    And the logs are JSON with fixed prefixes, without keys or prompts

  Scenario: Unauthenticated peer links are refused and counted
    Given the small fleet
    When an unknown peer opens a link with a wrong shared key
    And another one sends an undecodable frame
    Then the instance counts two refused links and still answers

  Scenario: Of concurrent changes by two operators exactly one is accepted
    Given the small fleet
    When two operators apply manifests based on one revision
    Then one is accepted and the other is told who applied first

  Scenario: The tool checks and diffs manifests, drains engines and withdraws approvals
    Given the small fleet
    Then the tool's check and diff exit with 0, and with 2 for a bad manifest
    And draining an engine keeps new work away from it
    And withdrawing an approval refuses the team within 4 s
    And the tool's status shows both instances as JSON
    And the tool reports that no instance answers

  Scenario: An instance that starts in an outage gets the configuration from its peers
    Given the small fleet
    When the platform is out and a third instance starts
    Then it becomes ready with a configuration and answers

  Scenario: All instances stop at once without truncating a stream
    Given the small fleet
    When all instances get a stop signal while streams run
    Then every stream is complete and every instance exits with 0

  Scenario: A second signal stops an instance at once and logs the aborted requests
    Given the small fleet
    When an instance gets two stop signals while a stream runs
    Then it exits with 1 and its log names the aborted stream

  Scenario: Callers whose requests a second signal aborts are told whether they ran
    Given the small fleet
    When an instance gets two stop signals while its engines hang
    Then each caller is told that it is stopping and whether the request may have run

  Scenario: Operators, callers and peer links use TLS
    Given two instances with certificates of one CA
    Then they connect, and the tool applies a manifest over TLS
    And a caller is answered over TLS
    And a link without a certificate is refused

  Scenario: A stopping instance cannot rule out an earlier run of a request with an id
    Given the small fleet
    When requests arrive at a stopping instance that still finishes a stream
    Then they are refused as stopping, not run without an id, may have run with one
    And resuming a request there is refused as may have run

  Scenario: A claim whose answer is lost is reported at once as possibly run
    Given the small fleet
    When the desk aborts its connection after it has run a claim
    Then the caller's connection is aborted too
    And a retry learns within 2 s that the claim may have run, and it ran once
