Feature: No task runs twice at once, whichever process fails

  Scenario: An entry is killed and its caller retries at another one
    The caller's connection breaks while the job's tasks run, and 1.3 s later it submits
    the job again elsewhere. If the first runs had not ended by then, the tasks would
    run twice at once.
    Given a fleet of 2 entries and 4 workers
    When a job of 4 tasks of 3 seconds comes to e0
    And e0 is killed after 0.5 seconds
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: An entry is killed together with an agent that runs its tasks
    No process is left that could stop the tasks. The lease at the worker has to end
    them before the caller retries.
    Given a fleet of 2 entries and 1 workers
    When a job of 4 tasks of 3 seconds comes to e0
    And e0 and a0 are killed after 0.5 seconds
    And a0 is started again 1 second later
    And the same job comes to e1 0.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: An entry freezes while tasks run, and resumes
    The host of an entry is paused for 3 s. Its agents stop its tasks. When it resumes,
    it can't know whether the caller is still there: it answers at once that the job is
    unfinished, and the tasks run again where the caller sends the job next.
    Given a fleet of 2 entries and 4 workers
    When a job of 4 tasks of 1 seconds comes to e0
    And e0 freezes for 3 seconds after 0.2 seconds
    And the fleet runs on for 3.3 seconds
    Then the job at e0 is answered as unfinished
    And every task was started once
    When the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1
    And every task was started twice

  Scenario: An agent's messages are lost while it receives everything
    The link from an agent to an entry is cut one way. The entry hears nothing of its
    tasks and runs them elsewhere. The agent, which still receives keepalives, must have
    stopped them by then.
    Given a fleet of 1 entries and 2 workers
    When a job of 4 tasks of 2 seconds comes to e0
    And the link from a0 to e0 is cut after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An entry's messages are lost while it receives everything
    Given a fleet of 1 entries and 2 workers
    When a job of 4 tasks of 2 seconds comes to e0
    And the link from e0 to a0 is cut after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An agent freezes, and its tasks run elsewhere
    Given a fleet of 1 entries and 2 workers
    When a job of 6 tasks of 2 seconds comes to e0
    And a0 freezes for 4 seconds after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An agent is killed and restarted while its worker keeps running
    The worker still runs tasks that the new incarnation of the agent does not know.
    Given a fleet of 1 entries and 2 workers
    When a job of 6 tasks of 2 seconds comes to e0
    And a0 is killed after 0.5 seconds
    And a0 is started again 0.1 second later
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: Calls without an answer are executed seconds later
    A worker leaves most calls unanswered and executes them two seconds later, when the
    tasks have already been run elsewhere.
    Given a fleet of 1 entries and 3 workers
    When a0 leaves 60 of 100 calls unanswered and executes them 2 seconds later
    And 20 jobs of 2 tasks of 0.3 seconds come to e0
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And all jobs are completed

  Scenario: A worker is unreachable and keeps running
    Given a fleet of 1 entries and 2 workers
    When a job of 6 tasks of 2 seconds comes to e0
    And a0's worker is cut off after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A delayed heartbeat of an earlier incarnation arrives
    Its worker has crashed meanwhile and restarted under another identifier. If the
    heartbeat were taken for a new worker's, all running tasks would be lost.
    Given a fleet of 1 entries and 1 workers
    When a0's worker crashes and comes back
    And a job of 4 tasks of 1 seconds comes to e0
    And a heartbeat of the earlier incarnation arrives after 0.3 seconds
    And the fleet runs on for 5 seconds
    Then the job is completed at e0
    And every task was started once

  Scenario: An entry restarts while its earlier incarnation's tasks are being stopped
    The agent's stop calls get no answer for a while, and the new incarnation numbers
    its starts from 1 again. An agent that took two starts with the same number for one
    lost track of both and crashed.
    Then random day 5034 of 12 seconds keeps every guarantee

  Scenario: A stopping entry accepts only jobs that it can finish
    Estimates are off by 40%. A job accepted by its expected run time alone may have to
    be given up, after it has run for seconds, when the process ends.
    Given a fleet of 1 entries and 2 workers
    When e0 is told to stop and 3 seconds pass
    And a job of 2 tasks of 2 seconds comes to e0
    Then the job is refused as not run at e0
    When a job of 2 tasks of 0.3 seconds comes to e0
    And the fleet runs on for 2 seconds
    Then the job is completed at e0

  Scenario: A stopping entry accepts a long job that will probably end in time
    Its target is 1.6 times its run time. If that had to pass before the stop, long jobs
    would be refused for a second more at each host of a round of planned stops.
    Given a fleet of 1 entries and 2 workers
    When e0 is told to stop and 2.5 seconds pass
    And a job of 2 tasks of 1.8 seconds comes to e0
    And the fleet runs on for 2 seconds
    Then the job is completed at e0

  Scenario: The bounds end the first runs before the second ones can begin
    Then tasks of a dead entry have ended before its callers retry
    And an entry waits longer for a silent agent than the agent keeps its tasks
    And an entry waits longer for a silent agent than tasks run without stops

  Scenario Outline: Random days
    Every kind of fault occurs, alone and combined, while jobs keep arriving. Each
    caller that stays connected gets one answer, no job that has run is refused as not
    run, and no two runs of a task overlap.
    Then random days <first> to <last> keep every guarantee

    Examples:
      | first | last |
      | 0     | 9    |
      | 10    | 19   |
