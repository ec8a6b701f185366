Feature: Calls to the upstream are sent once and believed only when whole

  Scenario: A whole answer comes back
    Given an upstream stand-in that the client calls
    When task 3 of "vets/a" is called at the upstream
    Then the upstream call is "answered" with status 200 and the digest of its input
    And the upstream has started it 1 time

  Scenario: An upstream that is not there was not sent anything
    The upstream's process has died and its port refuses connections. Only here
    may the owner place a pen confirmation elsewhere and nobody books it twice.
    Given an upstream client whose port refuses connections
    When task 0 of "vets/a" is called at the upstream
    Then the upstream call is "not_sent"

  Scenario: Before its announcement an upstream gets nothing
    Given an upstream client without an upstream
    When task 0 of "vets/a" is called at the upstream
    Then the upstream call is "not_sent"

  Scenario Outline: What is no whole answer is uncertain, and never sent again
    The upstream breaks in the middle of a seat check. It may have assigned the
    seat, so nobody may say "not run", and the client must not ask again.
    Given an upstream stand-in that the client calls
    And the upstream has the fault <fault>
    When task 0 of "schools/a" is called at the upstream within 1000 ms
    Then the upstream call is "uncertain"
    And the upstream has started it <starts> time

    Examples:
      | fault             | starts |
      | {"cut": true}     | 1      |
      | {"close": true}   | 1      |
      | {"slow": 1000}    | 1      |
      | {"late_ms": 5000} | 1      |
      | {"frozen": true}  | 0      |

  Scenario: An upstream that fails everything gives whole answers
    Given an upstream stand-in that the client calls
    And the upstream has the fault {"fail": true}
    When task 0 of "schools/a" is called at the upstream
    Then the upstream call is "answered" with status 500

  Scenario Outline: A second answer does not reach the next request
    An upstream with a fault answers twice. On a shared connection the next
    caller would read it as its own: one family gets another's booking.
    Given an upstream stand-in that <names> the request in its answers
    And the upstream has the fault {"twice": true}
    When tasks 0 to 19 of "members/a" are called at the upstream in turn
    Then each upstream call got the digest of its own input or is uncertain
    And the upstream has started each task 1 time

    Examples:
      | names         |
      | names         |
      | does not name |

  Scenario: Connections are reused where answers name their request
    Given an upstream stand-in that names the request in its answers
    When tasks 0 to 19 of "members/a" are called at the upstream in turn
    Then each upstream call got the digest of its own input
    And the upstream client opened 1 connection

  Scenario: An answer that names another request is not believed
    A mixed-up upstream answers a vet with the record of another animal.
    Given an upstream stand-in that names the request in its answers
    And the upstream client expects the names from one that has none
    When task 0 of "vets/a" is called at the upstream
    Then the upstream call is "uncertain"

  Scenario Outline: Odd answers of an upstream
    A load balancer or a half-finished rollout answers in the upstream's place.
    A redirect that was followed would run the task again.
    Given an upstream that sends <bytes> and closes
    When task 0 of "schools/a" is called at the upstream
    Then the upstream call is "<outcome>"
    And the odd upstream was asked 1 time

    Examples:
      | bytes                                                              | outcome   |
      | HTTP/1.1 200 OK\r\n\r\nhalf of an ans                              | uncertain |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort                  | uncertain |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n | uncertain |
      | HTTP/1.1 307 No\r\nLocation: /tasks\r\nContent-Length: 0\r\n\r\n   | answered  |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                  | answered  |
      | SSH-2.0-OpenSSH\r\n                                                | uncertain |

  Scenario: Whatever comes is whole or uncertain
    Given an upstream that sends what Hypothesis chooses
    Then an answer counts only when all of its declared length came

  Scenario: An answer above the limit has run and can't be delivered
    Given an upstream that answers 5 MB
    When task 0 of "schools/a" is called at the upstream
    Then the upstream call is "answered" with status 502

  Scenario: No call goes beyond the announced connections
    Without the guard a burst would open a connection a task, and the upstream
    would drop some of them with work half done.
    Given an upstream stand-in that the client calls over 2 connections
    When 3 tasks of "schools/b" of 100 ms are called at the upstream at once
    Then 2 upstream calls are "answered" and 1 is "not_sent"

  Scenario: A running task is stopped
    Given an upstream stand-in that the client calls
    When a running task of "schools/c" is stopped at the upstream
    Then the upstream call is "answered" with status 503
    And the record of the upstream reads "start, stop, end"
