Feature: Calls to the upstream are sent once, and only complete answers count

  Scenario: A complete answer is returned
    Given an upstream stand-in that the client calls
    When task 3 of "vets/a" is called at the upstream
    Then the upstream call is "answered" with status 200 and the digest of its input
    And the upstream has started it 1 time

  Scenario: A refused connection means that nothing was sent
    The upstream's process has died. Only in this case can the owner start the task
    elsewhere without the risk that it runs twice.
    Given an upstream client whose port refuses connections
    When task 0 of "vets/a" is called at the upstream
    Then the upstream call is "not_sent"

  Scenario: An upstream gets no calls before its announcement
    Given an upstream client without an upstream
    When task 0 of "vets/a" is called at the upstream
    Then the upstream call is "not_sent"

  Scenario Outline: A call without a complete answer is uncertain and not retried
    The upstream fails during a task and may have done the work, so the outcome must
    not be "not_run", and the client must not send the call again.
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

  Scenario: Failures of the upstream are complete answers
    Given an upstream stand-in that the client calls
    And the upstream has the fault {"fail": true}
    When task 0 of "schools/a" is called at the upstream
    Then the upstream call is "answered" with status 500

  Scenario Outline: A second answer does not reach the next request
    A faulty upstream answers twice. On a reused connection the next request would
    read the second answer as its own.
    Given an upstream stand-in that <names> the request in its answers
    And the upstream has the fault {"twice": true}
    When tasks 0 to 19 of "members/a" are called at the upstream in turn
    Then each upstream call got the digest of its own input or is uncertain
    And the upstream has started each task 1 time

    Examples:
      | names         |
      | names         |
      | does not name |

  Scenario: Connections are reused if answers identify their request
    Given an upstream stand-in that names the request in its answers
    When tasks 0 to 19 of "members/a" are called at the upstream in turn
    Then each upstream call got the digest of its own input
    And the upstream client opened 1 connection

  Scenario: An answer that does not identify its request is rejected
    Guards against delivering an answer to the wrong request.
    Given an upstream stand-in that names the request in its answers
    And the upstream client expects the names from one that has none
    When task 0 of "vets/a" is called at the upstream
    Then the upstream call is "uncertain"

  Scenario Outline: Malformed or unexpected answers of an upstream
    A load balancer or a partial rollout may answer instead of the upstream.
    Following a redirect would run the task again.
    Given an upstream that sends <bytes> and closes
    When task 0 of "schools/a" is called at the upstream
    Then the upstream call is "<outcome>"
    And the malformed upstream was called 1 time

    Examples:
      | bytes                                                              | outcome   |
      | HTTP/1.1 200 OK\r\n\r\nhalf of an ans                              | uncertain |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort                  | uncertain |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n | uncertain |
      | HTTP/1.1 307 No\r\nLocation: /tasks\r\nContent-Length: 0\r\n\r\n   | answered  |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                  | answered  |
      | SSH-2.0-OpenSSH\r\n                                                | uncertain |

  Scenario: Arbitrary answers are complete or uncertain
    Given an upstream that sends what Hypothesis chooses
    Then an answer counts only if its full declared length was received

  Scenario: The task of an answer above the limit has run but its answer is lost
    Given an upstream that answers 5 MB
    When task 0 of "schools/a" is called at the upstream
    Then the upstream call is "answered" with status 502

  Scenario: No call goes beyond the announced connections
    Without the limit a burst would open one connection per task, and the upstream
    would drop some of them with the work partly done.
    Given an upstream stand-in that the client calls over 2 connections
    When 3 tasks of "schools/b" of 100 ms are called at the upstream at once
    Then 2 upstream calls are "answered" and 1 is "not_sent"

  Scenario: A running task is stopped
    Given an upstream stand-in that the client calls
    When a running task of "schools/c" is stopped at the upstream
    Then the upstream call is "answered" with status 503
    And the record of the upstream reads "start, stop, end"
