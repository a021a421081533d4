Feature: Readers handle any bytes from the platform, endpoints and callers

  Scenario: Responses of the platform
    Then hypothesis finds no response that raises anything but PlatformUnavailableError
    And hypothesis finds no stored claim that raises anything but ProtocolError
    And hypothesis finds no stored record that raises anything but ProtocolError
    And every claim is the same after being stored and read

  Scenario: Reports of endpoints
    Then hypothesis finds no load report or cache events on which the monitor fails

  Scenario: Heads of callers' requests
    Then hypothesis finds no head or body that is neither read as a call nor refused

  Scenario: Streams split or truncated anywhere
    Then hypothesis finds no split of a stream that changes the count of its events
    And hypothesis finds no truncation after which a resumed stream is not complete
    And an event without end is relayed with bounded memory

  @first
  Scenario: Records, messages and answers of others
    Then hypothesis finds no record in the store that ends or stops an instance
    And hypothesis finds no answer of the store that raises anything but its error
    And hypothesis finds no value that is read as JSON with numbers out of range
    And hypothesis finds no message of a peer that ends an instance
    And hypothesis finds no header of an endpoint that raises an error
    And hypothesis finds no entry of the platform's list that hides the others

  @first
  Scenario: Values that libraries cannot represent
    Then hypothesis finds no bytes on which a parser raises anything but its own error
