Feature: Bytes from the platform and from endpoints never break their readers

  Scenario: Answers of the platform
    Then hypothesis finds no answer that fails other than as unavailable
    And hypothesis finds no stored claim that fails other than as a protocol error
    And hypothesis finds no stored record that fails other than as a protocol error
    And every claim survives being stored

  Scenario: Reports of endpoints
    Then hypothesis finds no load report or cache events that break the monitor

  Scenario: Heads of callers' requests
    Then hypothesis finds no head or body that ends other than as a call or refusal

  Scenario: Streams in any pieces
    Then hypothesis finds no pieces in which a stream is counted differently
    And hypothesis finds no cut at which a resumed stream is not the whole
