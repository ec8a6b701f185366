Feature: Which jobs the entries serve when capacity is short

  Scenario: The usual load is served in full
    Given 4 entries, 11 workers of three speeds, and the users' three kinds of job
    When 8 seconds of the usual load are played
    Then at least 99 of 100 lookups, checks and rebuilds are on time

  Scenario: A burst is served without starving the wide lookups
    At 1.6 times the usual load the workers are fully used. Lookups of eight tasks have
    a seventh of a second of slack: queued behind long rebuilds, or with one task
    declined by a full worker, they are late. They have the highest priority and may
    not be served worst.
    When 8 seconds of 1.6 times the load are played, with each of 8 seeds
    Then at least 85 of 100 lookups, 81 of 100 checks and 87 of 100 rebuilds are on time

  Scenario: At twice the load, excess jobs are refused early and the rest is served
    When 8 seconds of 2.0 times the load are played, with each of 8 seeds
    Then at least 85 of 100 lookups, 68 of 100 checks and 60 of 100 rebuilds are on time
    And a refusal takes no longer than the time that the job could spare
    And no refused job has run

  Scenario: Without urgent jobs no capacity is reserved for them
    Otherwise callers would be refused while reserved capacity is idle.
    Given 4 entries, 11 workers of three speeds, and the users' three kinds of job
    When checks alone fill the workers for 4 seconds
    Then at least 97 of 100 parts of the workers are in use most of the time

  Scenario: A task that needs a whole worker is placed while urgent jobs arrive
    Beside the reserved share it would fit no worker, and would be refused though
    workers are empty.
    Given 4 entries, 11 workers of three speeds, and the users' three kinds of job
    When lookups come and a check needs 31 cores of a worker of 32
    Then the check is completed

  Scenario: A worker that becomes slow does not delay every wide job
    One worker of eleven becomes six times slower and still reports that it is healthy.
    If it were chosen by free capacity alone, each wide job would have a task there.
    Given 4 entries, 11 workers of three speeds, and the users' three kinds of job
    When one worker is 6 times slower while 8 seconds of the usual load are played
    Then at least 90 of 100 lookups, 96 of 100 checks and 92 of 100 rebuilds are on time

  Scenario: A worker that fails every task gets hardly any work
    Its tasks fail within a millisecond, so it always has free capacity.
    Given a fleet of 2 entries and 4 workers
    When a0's worker fails everything
    And 100 jobs of 2 tasks of 0.2 seconds come to e0
    And the fleet runs on for 5 seconds
    Then a0 has started fewer than 40 tasks
    And no job has failed

  Scenario: A stalled task is run elsewhere
    Given a fleet of 1 entries and 2 workers
    When a0's worker stalls every task
    And a job of 4 tasks of 0.5 seconds comes to e0
    And the fleet runs on for 6 seconds
    Then the job is completed at e0

  Scenario: A draining worker gets no new tasks
    Given a fleet of 1 entries and 2 workers
    When a0's worker drains
    And the fleet runs on for 2 seconds
    And 20 jobs of 2 tasks of 0.2 seconds come to e0
    And the fleet runs on for 3 seconds
    Then a0 has started fewer than 1 tasks
    And all jobs are completed

  Scenario: The tasks of a caller that disconnects are stopped
    Given a fleet of 1 entries and 2 workers
    When a job of 4 tasks of 3 seconds comes to e0
    And its caller disconnects after 0.3 seconds
    And the fleet runs on for 0.3 seconds
    Then no task is running

  Scenario: A task that fits no worker is refused at once
    Given a fleet of 1 entries and 2 workers
    When a job with a task of 64 cores comes to e0
    Then it is refused as not run without delay

  Scenario: A caller joins a job whose earlier caller would have waited longer
    It came back to the same entry, and the earlier connection is still open there. It is
    answered in its own time; without an answer it could not come back sooner.
    Given a fleet of 1 entries and 2 workers
    When a job of 2 tasks of 5 seconds comes to e0
    And its caller submits it to e0 again after 0.5 seconds, and waits for 1 second
    Then that caller is told within 1 second that it is unfinished
    And the first caller gets the result
