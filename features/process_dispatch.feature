Feature: The real entries and agents, against stand-ins of the platform

  Scenario: A job goes through from one end to the other
    Given a deployment of 2 entries and 3 workers
    When a job of 6 tasks of 150 ms is handed to entry 0
    Then it is answered with 200 and the state completed
    And the workers' records show 6 runs, none twice at once
    And entry 1 counts 0 queued jobs, and has no queue elsewhere
    And a queue's jobs of before are not known
    And the metrics of entry 0 tell of the job

  Scenario: Nothing on a job's path waits for the store
    The store goes silent, is busy, resets connections and is slow by turns; jobs
    are served all the while, and a change that comes afterwards is in force.
    Given a deployment of 2 entries and 2 workers
    When the store is silent and a job is handed in
    Then it is answered with 200 and the state completed
    When the store is busy and a job is handed in
    Then it is answered with 200 and the state completed
    When the store is reset and a job is handed in
    Then it is answered with 200 and the state completed
    When the store is well again and drops its history
    And the queue moves to another path
    Then the new path is served within 4 seconds and the old one gives 404

  Scenario: An entry that starts while the store is away learns from another
    Entry 1 is started anew in an outage. It has no configuration, and callers are
    turned away until it has one; entry 0 knows the newest.
    Given a deployment of 2 entries and 1 workers
    When the queue moves to another path
    Then the new path is served within 4 seconds and the old one gives 404
    When the store turns everyone away and entry-1 is started anew
    Then entry 1 serves the new path within 10 seconds

  Scenario: A data centre is evacuated and taken back
    Worker 1 alone is in that data centre, and the store has dropped its history when
    the request is withdrawn: no change is seen, only that the key is there no more.
    Given a deployment of 2 entries and 2 workers
    When data centre centre-1 of the deployment is evacuated for 1 seconds
    And a job of 6 tasks of 100 ms is handed to entry 1
    Then it is answered with 200 and the state completed
    And worker 1 has run nothing
    When the store drops its history while centre-1 is taken back
    And a job of 16 tasks of 100 ms is handed to entry 1
    Then it is answered with 200 and the state completed
    And worker 1 has run something

  Scenario: A key that was taken away from a living entry comes back
    The store removes the key under which others find an entry; its lease goes on
    being renewed, and no call shows it.
    Given a deployment of 2 entries and 1 workers
    When the key of entry 0 is revoked
    Then it is back within 4 seconds

  Scenario: An entry is killed while it answers for a job
    Its caller sends the job again 1.3 seconds later, at another entry.
    Given a deployment of 2 entries and 3 workers
    When a job of 4 tasks of 2500 ms is under way at entry 0
    And entry-0 is killed, and the job handed to entry 1 after 1.3 seconds
    Then it is answered with 200 and the state completed
    And the workers' records show no task twice at once

  Scenario: An agent is killed with tasks running
    Given a deployment of 2 entries and 2 workers
    When a job of 6 tasks of 1500 ms is under way at entry 0
    And agent-0 is killed and started again
    Then the job under way is answered with 200 and the state completed
    And the workers' records show no task twice at once

  Scenario: Planned stops cut no request off
    Given a deployment of 2 entries and 2 workers
    When a job of 4 tasks of 1500 ms is under way at entry 0
    And entry-0 is told to stop
    Then the job under way is answered with 200 and the state completed
    And entry-0 ends with status 0
    When a job of 4 tasks of 1500 ms is under way at entry 1
    And agent-1 is told to stop
    Then the job under way is answered with 200 and the state completed
    And agent-1 ends with status 0

  Scenario Outline: What can't be done is refused at once, with its code
    Given a deployment of 1 entries and 1 workers
    When a body with <fault> is handed in
    Then it is refused with <status> and the code <code>
    And nothing has run

    Examples:
      | fault           | status | code            |
      | no JSON         | 400    | malformed_job   |
      | no steps        | 400    | malformed_job   |
      | a cycle         | 400    | malformed_job   |
      | a long spec     | 400    | malformed_job   |
      | no best effort  | 503    | unsupported_job |
      | a gang          | 503    | unsupported_job |
      | too large a task | 503   | not_run         |

  Scenario: A job that fails for good is told as failed
    Given a deployment of 1 entries and 2 workers
    When a job whose tasks always fail is handed in
    Then it is answered with 200 and the state failed

  Scenario: Jobs that come until the last moment of a planned stop
    The balancer may send callers to a stopping entry, where too few others are left.
    While it takes its key out of a store that is silent it still listens: a job that
    was taken then never ended, and the process had to be killed.
    Given a deployment of 2 entries and 2 workers
    When the store falls silent and jobs come to entry 0 until it has stopped
    Then each of them was done, refused as not run, or found nobody
    And it has stopped within its grace of 6 seconds
