Feature: A run that should be stopped ends, however many stops are lost

  Scenario: An entry is killed, and no stop reaches a worker
    The agents' polls renew the workers' leases for all runs, also for those that are
    to be stopped. Renewed without a limit, the dead entry's runs would go on while
    another entry runs the caller's second attempt.
    When the entry is killed while 100 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds

  Scenario: The runs of an entry that was killed end within the bound
    No stop reaches a worker, so that only the worker's lease ends them.
    When e0 is killed while its job runs and 100 of 100 stop calls are lost
    Then its runs have ended within the bound on 20 seeds

  Scenario: An entry is killed, and most stops are lost
    When the entry is killed while 90 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds

  Scenario: An entry freezes, and no stop reaches a worker
    When the entry freezes while 100 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds

  Scenario: An entry runs tasks elsewhere, and no stop reaches the first workers
    Two agents' reports are lost, and the entry runs their tasks elsewhere once their
    leases should have expired.
    When the agents' reports are lost while 100 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds

  Scenario: A caller leaves, and no stop reaches a worker
    The entry asks for the stops and lives on, so that its lease at the agents doesn't
    expire. The caller submits the job again at another entry.
    When the caller leaves while 100 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds

  Scenario: An entry restarts, and no stop reaches a worker
    When the entry restarts while 100 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds

  Scenario: A caller leaves, and submits the job to the same entry at once
    The entry knows that the first runs are still being stopped. If it placed the tasks
    again at other workers before it knows their ends, they would run twice at once.
    When the caller leaves and returns at once while 0 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds

  Scenario: An entry's stop messages are lost, and its keepalives arrive
    A keepalive renews the lease of all runs of its entry, also of those that the entry
    wants stopped.
    When the entry's stop messages are lost while 0 of 100 stop calls are lost
    Then no task runs twice at once on 20 seeds
