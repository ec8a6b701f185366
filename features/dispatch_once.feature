Feature: No task runs twice at once, whatever ends

  Scenario: An entry is killed and its caller comes back at another one
    The process that answers for a job dies while the job's tasks run. Its caller's
    connection breaks, and 1.3 s later the caller sends the job again elsewhere. If
    the first try still ran, two buses would be sent.
    Given a fleet of 2 entries and 4 workers
    When a job of 4 tasks of 3 seconds comes to e0
    And e0 is killed after 0.5 seconds
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: An entry is killed together with an agent that runs its tasks
    Nobody is left who could stop the tasks; the worker's own lease has to end them
    before the caller is back.
    Given a fleet of 2 entries and 1 workers
    When a job of 4 tasks of 3 seconds comes to e0
    And e0 and a0 are killed after 0.5 seconds
    And a0 is started again 1 second later
    And the same job comes to e1 0.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: An entry freezes with tasks running, and wakes
    The host of an entry stands still for 3 s. Its agents stop what it can't answer
    for; when it wakes it learns that, and runs the tasks again for the caller who
    has waited all the while.
    Given a fleet of 2 entries and 4 workers
    When a job of 4 tasks of 1 seconds comes to e0
    And e0 freezes for 3 seconds after 0.2 seconds
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And every task was started twice

  Scenario: An agent's words are lost while it hears everything
    The link from an agent to an entry is cut one way. The entry hears nothing of
    its tasks and has to run them elsewhere; the agent, which still hears pulses,
    must have stopped them by then.
    Given a fleet of 1 entries and 2 workers
    When a job of 4 tasks of 2 seconds comes to e0
    And the link from a0 to e0 is cut after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An entry's words are lost while it hears everything
    Given a fleet of 1 entries and 2 workers
    When a job of 4 tasks of 2 seconds comes to e0
    And the link from e0 to a0 is cut after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An agent freezes, and its worker with it is given up
    Given a fleet of 1 entries and 2 workers
    When a job of 6 tasks of 2 seconds comes to e0
    And a0 freezes for 4 seconds after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An agent dies and comes back while its worker runs on
    The worker still runs tasks that the new agent knows nothing of.
    Given a fleet of 1 entries and 2 workers
    When a job of 6 tasks of 2 seconds comes to e0
    And a0 is killed after 0.5 seconds
    And a0 is started again 0.1 second later
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: Orders without an answer are carried out seconds later
    A worker answers most calls not for a while and carries them out two seconds
    later; by then the tasks have long been run elsewhere.
    Given a fleet of 1 entries and 3 workers
    When a0 answers 60 of 100 calls not and carries them out 2 seconds later
    And 20 jobs of 2 tasks of 0.3 seconds come to e0
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And all jobs are completed

  Scenario: A worker can't be reached and runs on
    Given a fleet of 1 entries and 2 workers
    When a job of 6 tasks of 2 seconds comes to e0
    And a0's worker is cut off after 0.3 seconds
    And the fleet runs on for 9 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A heartbeat of an earlier life arrives after the new life's
    A heartbeat was held up on its way; its sender has crashed meanwhile and come
    back under another name. Taken for a new worker, it would end all that runs.
    Given a fleet of 1 entries and 1 workers
    When a0's worker crashes and comes back
    And a job of 4 tasks of 1 seconds comes to e0
    And a heartbeat of the earlier life arrives after 0.3 seconds
    And the fleet runs on for 5 seconds
    Then the job is completed at e0
    And every task was started once

  Scenario: An entry comes back while its earlier life's tasks are being stopped
    The agent's stops have no answer for a while, and the new life counts its starts
    from one again. Taken for the same start, the agent lost track of both, and ended.
    Then random day 5034 of 12 seconds keeps every promise

  Scenario: A stopping entry takes only what it can finish
    Estimates are off by 40%. A job that is taken by its expected run time alone may
    have to be given up, after it has run for seconds, when the process must end.
    Given a fleet of 1 entries and 2 workers
    When e0 is told to stop and 3 seconds pass
    And a job of 2 tasks of 2 seconds comes to e0
    Then the job is refused as not run at e0
    When a job of 2 tasks of 0.3 seconds comes to e0
    And the fleet runs on for 2 seconds
    Then the job is completed at e0

  Scenario: The bounds end the first try before the second may begin
    Then tasks of a dead entry have ended before its callers come back
    And an entry waits longer for a silent agent than the agent holds on

  Scenario Outline: Random days
    Everything that can fail fails by turns, in series and together, while jobs
    come all the time. Each caller who stays gets one answer, no refusal of a job
    that has run says that it has not, and no two runs of a task overlap.
    Then random days <first> to <last> keep every promise

    Examples:
      | first | last |
      | 0     | 9    |
      | 10    | 19   |
