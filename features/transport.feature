Feature: Frames are received in batches while many come, and at once otherwise

  Scenario: None of many frames is lost or comes out of order
    Given two transports, of which one receives many frames in batches
    When 300 messages are sent, one each millisecond
    Then all messages have arrived in order
    And most of them came in batches

  Scenario: A frame after a burst is received without a delay
    Given two transports, of which one receives many frames in batches
    When 300 messages are sent, one each millisecond
    And nothing is sent for 0.2 seconds
    Then a message arrives though the receiver isn't polled

  Scenario: While frames may not wait each is received at once
    Given two transports, of which one receives many frames in batches
    When frames may not wait
    And 300 messages are sent, one each millisecond
    Then all messages have arrived in order
    And none of them came in a batch

  Scenario: A transport without batches receives each frame at once
    Given two transports without batches
    When 300 messages are sent, one each millisecond
    Then all messages have arrived in order
    And a message arrives though the receiver isn't polled
