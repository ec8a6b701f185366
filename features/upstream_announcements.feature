Feature: Upstreams announce themselves to the agent beside them

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
    A planned stop of the booking service. New work sent after this would be cut
    off in the middle of a booking.
    Given an agent's announcement application
    When the upstream announces {"service": "booking", "port": 9, "slots": 8}
    And the upstream withdraws twice
    Then there are 2 announcement events
    And the last announcement event is a withdrawal

  Scenario: An upstream that stops renewing is gone
    The upstream's process hangs without closing its port. Without the expiry it
    would be given work that nobody answers until somebody notices.
    Given an agent's announcement application that expires after 50 ms
    When the upstream announces {"service": "booking", "port": 9, "slots": 8}
    Then a withdrawal comes without a request

  Scenario Outline: A wrong announcement changes nothing
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

  Scenario: Whatever is announced is taken or refused
    Given an agent's announcement application
    When Hypothesis announces bodies
    Then each is answered by 200 or a problem, never by 500

  Scenario: Health and readiness are told apart
    Given an agent's announcement application
    Then the agent is alive and ready
    When the agent gives the reason "joining the cell"
    Then the agent is alive and not ready because of "joining the cell"

  Scenario: An upstream in a process of its own leaves as planned
    The platform stops an upstream in the middle of a task. It withdraws at its
    agent first, finishes the task, and only then exits.
    Given an agent's announcement application
    And an upstream stand-in process that announces itself there
    When the upstream process is told to stop in the middle of a task
    Then the last announcement event is a withdrawal
    And the task of the stopped upstream was answered and the process exited with 0
    And the file of the upstream process records one start and one end

  Scenario: An upstream that was killed is gone with the first call it refuses
    The booking service crashes and can't withdraw. Until its announcement expired,
    each request that was placed there would find a closed port, and its caller
    would wait for another try.
    Given an agent's announcement application
    And an upstream stand-in process that announces itself there
    When the upstream process is killed and called once
    Then the call was certainly not sent
    And the last announcement event is a withdrawal
    When an upstream stand-in process announces itself there again
    Then the last announcement event is no withdrawal

  Scenario: An earlier port that refuses says nothing of the present one
    An upstream is replaced by one at another port while a call to the old port is
    still under way. Taken for gone because of it, the new one would get no work.
    Given an agent's announcement application
    When the upstream announces {"service": "booking", "port": 9, "slots": 8}
    And it moves to another port while a call to the first is under way
    Then the call was certainly not sent
    And the last announcement event is no withdrawal
