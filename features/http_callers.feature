Feature: Callers over HTTP get their own whole answer or the truth

  Background:
    Given a callers' application before a fake entry

  Scenario: A request gets the upstream's body
    When a caller posts the request {"pupil": 7} to "route-planning"
    Then the caller gets status 200 and the body {"pupil": 7}
    And the caller's answer names its submission and the outcome "answered"
    And the entry was handed one request of team "planning" with 10000 ms left

  Scenario: What a caller declares reaches the entry
    When a caller posts the request {"stop": 3} to "route-planning" with the headers
      | header                  | value                |
      | Cactuswalk-Deadline-Ms  | 900                  |
      | Cactuswalk-Idempotent   | ?1                   |
      | Cactuswalk-Selector     | size=large,rack!=r1  |
      | Cactuswalk-Key          | Aviemore             |
      | Cactuswalk-Duration-Ms  | 250                  |
      | Cactuswalk-Memory-Mb    | 64                   |
      | Cactuswalk-Accelerators | 1                    |
    Then the caller gets status 200 and the body {"stop": 3}
    And the entry was handed the declared work

  Scenario: A body of exactly the limit is taken
    When a caller posts a body of exactly the limit
    Then the entry was handed one request of team "planning" with 10000 ms left

  Scenario: A job gets the whole JSON
    When a caller posts a job of 140 tasks to "booking"
    Then the caller gets status 200 and 140 results in order

  Scenario Outline: Bad input has a code of its own, and nothing is started
    A caller's program has a fault or a clerk's file is cut in two. Work that was
    started on half of it would book a pen that nobody asked for.
    When a caller sends bad input: <input>
    Then the caller gets the problem "<code>" with status <status> and the outcome "not_run"
    And the entry was handed nothing

    Examples:
      | input                    | status | code                          |
      | no token                 | 401    | unauthenticated               |
      | an unknown token         | 401    | unauthenticated               |
      | a body over the limit    | 413    | body_too_large                |
      | an encoded body          | 415    | unsupported_media_type        |
      | a body of XML            | 415    | unsupported_media_type        |
      | malformed JSON           | 400    | malformed_json                |
      | an empty body            | 400    | malformed_json                |
      | a string of odd bytes    | 400    | malformed_json                |
      | odd bytes in a task      | 400    | malformed_json                |
      | deeply nested JSON       | 400    | malformed_json                |
      | a job of 0 tasks         | 400    | empty_job                     |
      | a job of 141 tasks       | 400    | too_many_tasks                |
      | a job with a stray field | 400    | malformed_job                 |
      | a job that is a list     | 400    | malformed_job                 |
      | a past deadline          | 504    | deadline_passed               |
      | a deadline of one year   | 400    | invalid_deadline              |
      | a deadline in words      | 400    | invalid_deadline              |
      | a selector cut short     | 400    | invalid_selector              |
      | a selector of odd bytes  | 400    | invalid_selector              |
      | a misspelt header        | 400    | invalid_header                |
      | two deadlines            | 400    | invalid_header                |
      | a job's header selector  | 400    | invalid_header                |
      | idempotent by a word     | 400    | invalid_header                |
      | a service that is none   | 404    | unknown_service               |
      | a key with a slash       | 400    | invalid_idempotency_key       |
      | a key without a birth    | 400    | idempotency_key_without_birth |
      | a key from tomorrow      | 400    | idempotency_key_from_future   |
      | a first-sent in words    | 400    | invalid_header                |
      | a first-sent without key | 400    | invalid_header                |
      | an unknown path          | 404    | no_such_path                  |
      | a path of odd bytes      | 404    | no_such_path                  |
      | a wrong method           | 405    | method_not_allowed            |

  Scenario Outline: Keys tell when they were made
    When a caller posts a request with the key <key> and first sent <first_sent>
    Then the entry was handed a request born at <born>

    Examples:
      | key           | first_sent                | born             |
      | a UUIDv7      | never                     | the key's birth  |
      | "a UUIDv7"    | never                     | the key's birth  |
      | order-17      | 2026-12-02T10:59:00Z      | 2026-12-02T10:59 |
      | order-17      | 2026-12-02T12:59:00+02:00 | 2026-12-02T10:59 |
      | a UUIDv7      | 2020-01-01T00:00:00Z      | the key's birth  |

  Scenario: A submission older than its records is not run again
    A caller's queue is restarted after a day and sends yesterday's seat check
    again. Its record is gone, so nobody may take it for new.
    When a caller posts a request with the key order-17 and first sent 2026-12-02T10:50:05Z
    Then the caller gets the problem "too_old_to_know" with status 410 and the outcome "unknown"
    And the entry was handed nothing

  Scenario: A refusal of a resubmission does not speak for the first copy
    The answer to a pen confirmation was lost, and its resubmission meets a full
    entry. "Not run" would be a lie if the first copy has run.
    Given 1 caller may wait at a time
    When a caller waits and another posts with a key of its own
    Then the caller gets the problem "overloaded" with status 503 and the outcome "unknown"
    And the caller is told to come back after 1 s

  Scenario: A refusal of a request without a key is certain
    Given 1 caller may wait at a time
    When a caller waits and another posts without a key
    Then the caller gets the problem "overloaded" with status 503 and the outcome "not_run"

  Scenario: Callers whose bodies come late can't pass the limit together
    On a slow line many bodies arrive at one time. Checked at their heads only, all
    of them would be let in, and the entry would hold far more than it can answer.
    Given 1 caller may wait at a time
    When 5 callers send their heads, and their bodies later
    Then 1 of them is handed on and 4 are told "overloaded"

  Scenario: A key stands for all that a resubmission must repeat
    Then changing any of these changes the fingerprint, and a repetition doesn't
      | changed                                      |
      | {"body": "{\"pupil\": 8}"}                   |
      | {"service": "booking"}                       |
      | {"Cactuswalk-Idempotent": "?1"}              |
      | {"Cactuswalk-Selector": "size=small"}        |
      | {"Cactuswalk-Key": "Dingwall"}               |
      | {"Cactuswalk-Duration-Ms": "5"}              |
      | {"Cactuswalk-First-Sent": "2026-12-02T10:59:30Z"} |
    And the fingerprint does not hang on the deadline

  Scenario: Every refusal has a status, a remedy and the owner's outcome
    Then each refusal code is told with each outcome, status, remedy and Retry-After

  Scenario Outline: A mixed-up or partial answer is never delivered
    A fault elsewhere hands the entry another caller's answer, or one without its
    last task. A bus must not be sent by half of a route.
    Given the entry replies <reply>
    When a caller posts a job of 2 tasks to "booking"
    Then the caller gets the problem "internal" with status 500 and the outcome "unknown"
    And the problem holds nothing of any task's body

    Examples:
      | reply                     |
      | to another submission     |
      | without the last task     |
      | in another order          |
      | with a task that failed   |

  Scenario: A failed job tells how each task ended, without their bodies
    Given the entry replies that one task failed
    When a caller posts a job of 2 tasks to "booking"
    Then the caller gets the problem "upstream_failed" with status 502 and the outcome "failed"
    And the problem holds nothing of any task's body

  Scenario: A caller that closes its connection is told to the entry
    A parent gives up and closes the app. Its stop lookup must not hold a slot
    for nobody while others wait.
    Given the entry does not reply
    When a caller posts a request and closes its connection
    Then the entry is told that the caller is gone

  Scenario: A planned stop answers who waits
    The entry host is replaced while a route is being rebuilt. A cut connection
    would leave the driver without a route.
    Given the entry does not reply
    When the server stops while a caller waits, and the reply comes then
    Then the caller gets status 200 and the body {"pupil": 7}
    And the server takes no more connections

  Scenario: A job in the background
    Given the entry does not reply
    When a caller posts a job of 2 tasks to "booking" and prefers no waiting
    Then the caller gets status 202 and a place to ask
    And the state there is "running", and "finished" with the whole answer later

  Scenario: A refusal is told at once, also to who prefers no waiting
    Given the entry replies that the service is unknown
    When a caller posts a job of 2 tasks to "nobody" and prefers no waiting
    Then the caller gets the problem "unknown_service" with status 404 and the outcome "not_run"

  Scenario: Cancelling, and asking for what is not there
    Given the entry does not reply
    When a caller posts a job of 2 tasks to "booking" and prefers no waiting
    Then the job can be cancelled by its team, with status 202
    And another team gets "not_found" for it, and its cancel stops nothing
    And "no_owner" comes for it while no owner answers

  Scenario: Whatever is sent, nothing malformed is handed on and nothing is a 500
    When Hypothesis sends headers, paths and bodies
    Then no caller got a 500, and all that was handed on is well-formed
