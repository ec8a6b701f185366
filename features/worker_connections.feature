Feature: A call to the worker is sent once, and gets its own answer or none

  Scenario Outline: A response that is no use fails its call, and its connection is closed
    When the worker answers a call with <response>
    Then the call fails, and is not refused
    And the worker has seen 1 call and its connection is closed

    Examples:
      | response                        |
      | nothing, and closes             |
      | half a head, and closes         |
      | half a body, and closes         |
      | half a chunked body, and closes |
      | half a body, and resets         |
      | garbage                         |
      | a garbled chunk                 |
      | a body that is too large        |
      | a chunked body without an end   |
      | a head that is too large        |
      | a switch of protocols           |
      | two responses at once           |

  Scenario Outline: The body of a response may come in any form
    When the worker answers a call with <response>
    Then the call returns its body
    And the worker has seen 1 call and its connection is <state>

    Examples:
      | response                           | state  |
      | a body                             | open   |
      | a body in pieces                   | open   |
      | a chunked body                     | open   |
      | an interim response and a body     | open   |
      | a body of another type of encoding | open   |
      | a body that the connection ends    | closed |
      | a body and Connection: close       | closed |
      | a body of HTTP/1.0                 | closed |

  Scenario: A refused connection is told apart
    When a call is made to an address where nobody listens
    Then the call fails, and is refused

  Scenario: A late answer is not taken for that of another call
    Given a worker whose first answer comes 0.3 seconds late
    When a call times out and another one is made at once
    Then the first call has failed, and the second has its own answer
    And the worker has seen 2 calls on 2 connections

  Scenario: A cancelled call closes its connection
    Given a worker whose first answer comes 0.3 seconds late
    When a call is cancelled and another one is made at once
    Then the first call has failed, and the second has its own answer
    And the worker has seen 2 calls on 2 connections

  Scenario: An answer that nobody asked for closes the connection
    Given a worker that sends an answer twice, the second time after 0.05 seconds
    When 2 calls are made 0.2 seconds apart
    Then each call has its own answer
    And the worker has seen 2 calls on 2 connections

  Scenario: A connection that the worker closes while it is idle is replaced
    Given a worker that closes its connections after 0.05 seconds
    When 2 calls are made 0.2 seconds apart
    Then each call has its own answer
    And the worker has seen 2 calls on 2 connections

  Scenario: Connections that have been idle for too long are closed
    Given a worker
    When 2 calls are made 0.2 seconds apart and idle connections are kept for 0.05 seconds
    Then each call has its own answer
    And the worker has seen 2 calls on 2 connections

  Scenario: One call after another uses the same connection
    Given a worker
    When 6 calls are made at once, and then 20 one after the other
    Then each call has its own answer
    And the worker has seen 26 calls on 6 connections
    And the last 20 calls came on 1 connection

  Scenario: Starts use six connections at most, and those that wait can time out
    Given a worker that answers no starts
    When 10 starts, 10 stops and a poll are made at once
    Then the starts have no answer, the stops and the poll have one
    And the worker has seen 6 starts on 6 connections and 11 other calls on 11 connections

  Scenario: A start whose turn comes right before its timeout is not sent
    The worker would carry it out, and nobody would hear the answer. The starts that are
    made first time out first, so that the others get their turns then.
    Given a worker that answers no starts
    When 10 starts are made 0.02 seconds apart
    Then the starts have no answer
    And the worker has seen 6 calls on 6 connections

  Scenario: A start that has waited for its turn is sent
    Given a worker that answers each call after 0.2 seconds
    When 10 starts are made 0 seconds apart
    Then the starts have their answers
    And the worker has seen 10 calls on 6 connections

  Scenario: Closing the client fails the calls in progress
    Given a worker that answers no starts
    When a start is in progress while the client is closed
    Then the start has no answer, and no connection is open

  Scenario: A worker's name that would end its header is not sent
    Given a worker
    When a worker is called by the name "a\r\nX-Other: b"
    Then the call fails, and is not refused
    And the worker has seen 0 calls
