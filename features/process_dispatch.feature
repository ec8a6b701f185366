Feature: Real entries and agents against stand-ins of the platform

  Scenario: A job runs from submission to answer
    Given a deployment of 2 entries and 3 workers
    When a job of 6 tasks of 150 ms is submitted to entry 0
    Then it is answered with 200 and the state completed
    And the workers' records show 6 runs, none of them overlapping
    And entry 1 counts 0 queued jobs, and has no queue elsewhere
    And earlier jobs of the queue are not known
    And the metrics of entry 0 count the job

  Scenario: Jobs are served while the store fails
    Guards against a call to the store on a job's path: jobs are served while the store
    is silent, busy or resets connections, and a later change still takes effect.
    Given a deployment of 2 entries and 2 workers
    When the store is silent and a job is submitted
    Then it is answered with 200 and the state completed
    When the store is busy and a job is submitted
    Then it is answered with 200 and the state completed
    When the store is reset and a job is submitted
    Then it is answered with 200 and the state completed
    When the store recovers and compacts its history
    And the queue is moved to another path
    Then the new path is served within 4 seconds and the old one gives 404

  Scenario: An entry that starts during a store outage is configured by another
    Entry 1 restarts during the outage without a configuration, and rejects callers
    until it has one; entry 0 knows the latest.
    Given a deployment of 2 entries and 1 workers
    When the queue is moved to another path
    Then the new path is served within 4 seconds and the old one gives 404
    When the store rejects all calls and entry-1 is restarted
    Then entry 1 serves the new path within 10 seconds

  Scenario: The evacuation of a data centre begins and ends
    Only worker 1 is in that data centre. The store compacts its history when the
    request is withdrawn, so the watch delivers no deletion: the key is only missing
    from the next list.
    Given a deployment of 2 entries and 2 workers
    When data centre centre-1 of the deployment is evacuated for 1 seconds
    And a job of 6 tasks of 100 ms is submitted to entry 1
    Then it is answered with 200 and the state completed
    And worker 1 has run nothing
    When the store compacts its history while the evacuation of centre-1 ends
    And a job of 16 tasks of 100 ms is submitted to entry 1
    Then it is answered with 200 and the state completed
    And worker 1 has run something

  Scenario: The key of a running entry is removed and written again
    The store removes the key that registers an entry. Renewals of its lease still
    succeed, so no call reports the removal.
    Given a deployment of 2 entries and 1 workers
    When the key of entry 0 is revoked
    Then it is written again within 4 seconds

  Scenario: An entry is killed with a job in progress
    Its caller submits the job again 1.3 seconds later to another entry.
    Given a deployment of 2 entries and 3 workers
    When a job of 4 tasks of 2500 ms is in progress at entry 0
    And entry-0 is killed, and the job submitted to entry 1 after 1.3 seconds
    Then it is answered with 200 and the state completed
    And the workers' records show no overlapping runs of a task

  Scenario: The phases of a start are logged and measured
    Given a deployment of 1 entries and 1 workers
    When a job of 2 tasks of 50 ms is submitted to entry 0
    Then entry-0 has logged the phases "process, settings, modules, sockets, configuration, first agent, first open worker, first placement"
    And agent-0 has logged the phases "process, settings, modules, sockets, first entry, first worker, first open worker, first placement"
    And the metrics of entry 0 and of agent 0 have each of them

  Scenario: All processes start while the store is down
    Agents that waited for the store to find the entries would add the time of their
    first reports to its outage.
    Given a deployment of 1 entries and 2 workers
    When the store rejects all calls and all other processes are killed and restarted
    Then entry-0 reaches the phase "first open worker" of its new start
    When the store recovers and compacts its history
    Then a job of 2 tasks of 50 ms is completed within 3 seconds

  Scenario: An agent is killed with tasks running
    Given a deployment of 2 entries and 2 workers
    When a job of 6 tasks of 1500 ms is in progress at entry 0
    And agent-0 is killed and restarted
    Then the job in progress is answered with 200 and the state completed
    And the workers' records show no overlapping runs of a task

  Scenario: Planned stops drop no request
    Given a deployment of 2 entries and 2 workers
    When a job of 4 tasks of 1500 ms is in progress at entry 0
    And entry-0 is asked to stop
    Then the job in progress is answered with 200 and the state completed
    And entry-0 ends with status 0
    When a job of 4 tasks of 1500 ms is in progress at entry 1
    And agent-1 is asked to stop
    Then the job in progress is answered with 200 and the state completed
    And agent-1 ends with status 0

  Scenario Outline: An invalid or unservable job is refused at once, with its code
    Given a deployment of 1 entries and 1 workers
    When a body with <fault> is submitted
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

  Scenario: A job that fails permanently is answered as failed
    Given a deployment of 1 entries and 2 workers
    When a job whose tasks always fail is submitted
    Then it is answered with 200 and the state failed

  Scenario: Jobs that arrive until the end of a planned stop
    The balancer may still send callers to a stopping entry if too few others are
    left. The entry listens while it removes its key from the store, which takes long
    if the store is silent. A job accepted in that time used to get no answer, and the
    process had to be killed.
    Given a deployment of 2 entries and 2 workers
    When the store falls silent and jobs arrive at entry 0 until it has stopped
    Then each of them was done, refused as not run, or could not connect
    And it has stopped within its grace period of 6 seconds

  Scenario: A request is read from a connection that has been reset
    The entry was busy for a moment. Its caller's connection broke before the entry
    accepted it, so that the caller sent the job to another entry at once.
    Given a deployment of 2 entries and 3 workers
    When entry-0 stands still for 0.3 seconds, and a caller with a job of 4 tasks of 1000 ms is reset and goes to entry 1
    Then it is answered with 200 and the state completed
    And the workers' records show no overlapping runs of a task
    And entry-0 has logged "ignores a job whose caller has gone"

  Scenario: A job is submitted to a second entry while the first one runs it
    What tells the first entry of its caller's leaving never comes. The tasks run on
    there, and the caller's second attempt must wait for their end.
    Given a deployment of 2 entries and 3 workers
    When a job of 4 tasks of 2500 ms is in progress at entry 0
    And the job is submitted to entry 1 after 1.3 seconds, and its caller stays at entry 0
    Then it is answered with 200 and the state completed
    And the workers' records show no overlapping runs of a task
    And the job in progress is told 504
