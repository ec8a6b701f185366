Feature: Upstreams announce themselves to the agent on their host

  Scenario: An announcement and its renewals are one event
    Given an agent's announcement application
    When the upstream announces {"service": "booking", "port": 9, "slots": 8, "labels": {"accepts": "dogs", "zone": "b"}}
    And the upstream announces {"service": "booking", "port": 9, "slots": 8, "labels": {"accepts": "dogs", "zone": "b"}}
    Then there is 1 announcement event
    And the last announcement has 8 slots, 64 connections, serial 1 and the labels
      | label   | value   |
      | accepts | cats    |
      | service | booking |
      | zone    | b       |
    When the upstream announces {"service": "booking", "port": 9, "slots": 4}
    Then there are 2 announcement events
    And the last announcement has 4 slots, 64 connections, serial 2 and the labels
      | label   | value   |
      | accepts | cats    |
      | service | booking |

  Scenario: An upstream withdraws
    An upstream withdraws at a planned stop. New work sent afterwards would be
    interrupted.
    Given an agent's announcement application
    When the upstream announces {"service": "booking", "port": 9, "slots": 8}
    And the upstream withdraws twice
    Then there are 2 announcement events
    And the last announcement event is a withdrawal

  Scenario: An upstream that stops renewing is gone
    The upstream hangs without closing its port. Without the expiry it would be sent
    work that it never answers.
    Given an agent's announcement application that expires after 50 ms
    When the upstream announces {"service": "booking", "port": 9, "slots": 8}
    Then a withdrawal comes without a request

  Scenario Outline: An invalid announcement changes nothing
    Given an agent's announcement application
    When the upstream announces <body>
    Then the announcement is refused as "malformed_announcement"
    And there are 0 announcement events

    Examples:
      | body                                                        |
      | {"service": "booking", "port": 0, "slots": 8}               |
      | {"service": "booking", "port": 9, "slots": 0}               |
      | {"service": "boo king", "port": 9, "slots": 8}              |
      | {"service": "booking", "port": 9, "slots": 8, "slot": 8}    |
      | {"service": "booking", "port": 9, "slots": 8, "labels": []} |
      | no JSON                                                     |

  Scenario: Arbitrary announcements are accepted or rejected, never a 500
    Given an agent's announcement application
    When Hypothesis announces bodies
    Then each is answered with 200 or a problem, never with 500

  Scenario: Health and readiness are reported separately
    Given an agent's announcement application
    Then the agent is alive and ready
    When the agent gives the reason "joining the cell"
    Then the agent is alive and not ready because of "joining the cell"

  Scenario: An upstream process finishes its task at a planned stop
    An upstream that is stopped during a task withdraws at its agent first, finishes
    the task, and only then exits.
    Given an agent's announcement application
    And an upstream stand-in process that announces itself there
    When the upstream process is stopped during a task
    Then the last announcement event is a withdrawal
    And the task of the stopped upstream was answered and the process exited with 0
    And the file of the upstream process records one start and one end

  Scenario: A killed upstream counts as gone once it refuses a call
    A crashed upstream can't withdraw. Until its announcement expires, each request
    placed there would find a closed port and have to be retried.
    Given an agent's announcement application
    And an upstream stand-in process that announces itself there
    When the upstream process is killed and called once
    Then the call was certainly not sent
    And the last announcement event is a withdrawal
    When an upstream stand-in process announces itself there again
    Then the last announcement event is no withdrawal

  Scenario: A refusal by an earlier port does not affect the current upstream
    An upstream is replaced by one on another port while a call to the old port is in
    flight. If its refusal counted for the new upstream, that would get no work.
    Given an agent's announcement application
    When the upstream announces {"service": "booking", "port": 9, "slots": 8}
    And it moves to another port while a call to the first is in flight
    Then the call was certainly not sent
    And the last announcement event is no withdrawal
