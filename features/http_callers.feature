Feature: Callers over HTTP get their own complete answer or a true outcome

  Background:
    Given a callers' application with a fake entry

  Scenario: A request gets the upstream's body
    When a caller posts the request {"pupil": 7} to "route-planning"
    Then the caller gets status 200 and the body {"pupil": 7}
    And the caller's answer names its submission and the outcome "answered"
    And the entry received one request of team "planning" with 10000 ms left

  Scenario: The work that a caller declares reaches the entry
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
    And the entry received the declared work

  Scenario: A body of exactly the maximum size is accepted
    When a caller posts a body of exactly the limit
    Then the entry received one request of team "planning" with 10000 ms left

  Scenario: A job gets all results as JSON
    When a caller posts a job of 140 tasks to "booking"
    Then the caller gets status 200 and 140 results in order

  Scenario Outline: Invalid input is rejected with its own code, and nothing is started
    Guards against work started from faulty or truncated input, such as a booking
    that nobody asked for.
    When a caller sends invalid input: <input>
    Then the caller gets the problem "<code>" with status <status> and the outcome "not_run"
    And the entry received nothing

    Examples:
      | input                    | status | code                          |
      | no token                 | 401    | unauthenticated               |
      | an unknown token         | 401    | unauthenticated               |
      | a body over the limit    | 413    | body_too_large                |
      | an encoded body          | 415    | unsupported_media_type        |
      | a body of XML            | 415    | unsupported_media_type        |
      | malformed JSON           | 400    | malformed_json                |
      | an empty body            | 400    | malformed_json                |
      | invalid UTF-8 string     | 400    | malformed_json                |
      | invalid UTF-8 in a task  | 400    | malformed_json                |
      | deeply nested JSON       | 400    | malformed_json                |
      | a job of 0 tasks         | 400    | empty_job                     |
      | a job of 141 tasks       | 400    | too_many_tasks                |
      | a job with extra field   | 400    | malformed_job                 |
      | a job that is a list     | 400    | malformed_job                 |
      | a past deadline          | 504    | deadline_passed               |
      | a deadline of one year   | 400    | invalid_deadline              |
      | a non-numeric deadline   | 400    | invalid_deadline              |
      | a truncated selector     | 400    | invalid_selector              |
      | a non-UTF-8 selector     | 400    | invalid_selector              |
      | a misspelt header        | 400    | invalid_header                |
      | two deadlines            | 400    | invalid_header                |
      | a job's header selector  | 400    | invalid_header                |
      | a non-boolean flag       | 400    | invalid_header                |
      | an invalid service name  | 404    | unknown_service               |
      | a key with a slash       | 400    | invalid_idempotency_key       |
      | a key without a time     | 400    | idempotency_key_without_birth |
      | a key from tomorrow      | 400    | idempotency_key_from_future   |
      | an invalid first-sent    | 400    | invalid_header                |
      | a first-sent without key | 400    | invalid_header                |
      | an unknown path          | 404    | no_such_path                  |
      | a non-UTF-8 path         | 404    | no_such_path                  |
      | a wrong method           | 405    | method_not_allowed            |

  Scenario Outline: Creation times of keys
    When a caller posts a request with the key <key> and first sent <first_sent>
    Then the entry received a request created at <created>

    Examples:
      | key           | first_sent                | created          |
      | a UUIDv7      | never                     | the key's time   |
      | "a UUIDv7"    | never                     | the key's time   |
      | order-17      | 2026-12-02T10:59:00Z      | 2026-12-02T10:59 |
      | order-17      | 2026-12-02T12:59:00+02:00 | 2026-12-02T10:59 |
      | a UUIDv7      | 2020-01-01T00:00:00Z      | the key's time   |

  Scenario: A submission older than its records is not run again
    A caller's queue restarts after a day and resubmits old work. Its record has
    expired, so it must not be treated as a new submission.
    When a caller posts a request with the key order-17 and first sent 2026-12-02T10:50:05Z
    Then the caller gets the problem "too_old_to_know" with status 410 and the outcome "unknown"
    And the entry received nothing

  Scenario: A refusal of a resubmission does not cover the first copy
    An answer was lost, and the resubmission meets an overloaded entry. The outcome
    "not_run" would be false if the first copy has run.
    Given 1 caller may wait at a time
    When a caller waits and another posts with a key of its own
    Then the caller gets the problem "overloaded" with status 503 and the outcome "unknown"
    And the caller gets Retry-After 1 s

  Scenario: A refusal of a request without a key is certain
    Given 1 caller may wait at a time
    When a caller waits and another posts without a key
    Then the caller gets the problem "overloaded" with status 503 and the outcome "not_run"

  Scenario: Requests with delayed bodies can't exceed the limit together
    On a slow link many bodies arrive at the same time. If the limit was checked on
    the headers only, the entry would accept more requests than the limit.
    Given 1 caller may wait at a time
    When 5 callers send their headers, and their bodies later
    Then 1 of them is submitted and 4 are refused as "overloaded"

  Scenario: The fingerprint covers everything that a resubmission must repeat
    Then changing any of these changes the fingerprint, and a repetition doesn't
      | changed                                      |
      | {"body": "{\"pupil\": 8}"}                   |
      | {"service": "booking"}                       |
      | {"Cactuswalk-Idempotent": "?1"}              |
      | {"Cactuswalk-Selector": "size=small"}        |
      | {"Cactuswalk-Key": "Dingwall"}               |
      | {"Cactuswalk-Duration-Ms": "5"}              |
      | {"Cactuswalk-First-Sent": "2026-12-02T10:59:30Z"} |
    And the fingerprint does not depend on the deadline

  Scenario: Every refusal has a status, a remedy and the owner's outcome
    Then each refusal code is returned with each outcome, status, remedy and Retry-After

  Scenario Outline: A mismatched or partial answer is never delivered
    A bug elsewhere gives the entry the answer to another submission, or one without
    its last task. The caller would act on a wrong or incomplete result.
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

  Scenario: A failed job returns the outcome of each task, without their bodies
    Given the entry replies that one task failed
    When a caller posts a job of 2 tasks to "booking"
    Then the caller gets the problem "upstream_failed" with status 502 and the outcome "failed"
    And the problem holds nothing of any task's body

  Scenario: The entry is notified when a caller closes its connection
    Guards against work that holds a slot after its caller gave up, while other
    callers wait.
    Given the entry does not reply
    When a caller posts a request and closes its connection
    Then the entry is notified that the caller is gone

  Scenario: A planned stop answers waiting callers
    The entry is stopped while callers wait for answers. Closing their connections
    would lose these answers.
    Given the entry does not reply
    When the server stops while a caller waits, and the reply arrives afterwards
    Then the caller gets status 200 and the body {"pupil": 7}
    And the server accepts no more connections

  Scenario: A job in the background
    Given the entry does not reply
    When a caller posts a job of 2 tasks to "booking" and prefers no waiting
    Then the caller gets status 202 and the location of the state
    And the state there is "running", and "finished" with the complete answer later

  Scenario: A refusal is returned directly even with "Prefer: respond-async"
    Given the entry replies that the service is unknown
    When a caller posts a job of 2 tasks to "nobody" and prefers no waiting
    Then the caller gets the problem "unknown_service" with status 404 and the outcome "not_run"

  Scenario: Cancelling a job, and querying a job that is not found
    Given the entry does not reply
    When a caller posts a job of 2 tasks to "booking" and prefers no waiting
    Then the job can be cancelled by its team, with status 202
    And another team gets "not_found" for it, and can't cancel it
    And its state is "no_owner" while no owner answers

  Scenario: Arbitrary input never causes a 500 or a malformed submission
    When Hypothesis sends headers, paths and bodies
    Then no caller got a 500, and all submissions are well-formed
