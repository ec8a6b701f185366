Feature: Frames between processes

  Scenario: A frame of another version is told apart
    A host runs another release after a half-finished upgrade. Its frames must
    be refused with a remedy, not read as something they do not say.
    Given the bytes of something that is no envelope
    When they are decoded
    Then the error code is "malformed_message" and there is a remedy

  Scenario: A batch of messages survives the wire
    Given an envelope with a cancel and a ping
    When it is encoded and decoded
    Then the same envelope comes back
