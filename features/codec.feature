Feature: Encoding of messages between processes

  Scenario: A frame of another version is rejected
    After an incomplete upgrade, a host runs another release. Its frames must be
    rejected with a remedy and not decoded as other messages.
    Given bytes that are not an envelope
    When they are decoded
    Then the error code is "malformed_message" and there is a remedy

  Scenario: A batch of messages is unchanged by encoding and decoding
    Given an envelope with a cancel and a ping
    When it is encoded and decoded
    Then the decoded envelope equals the original
