Feature: A start without an answer costs its caller less than it can spare

  A lookup of 0.12 s is on time within 0.25 s. Whether a start that was not answered
  runs, has to be known within a part of that.

  Scenario: The answer is lost, and the task runs
    To stop it and run it elsewhere would begin it anew for nothing.
    Given a fleet of 1 entries and 2 workers
    When the workers' answers are lost for 0.005 seconds as a job of 4 tasks of 0.12 seconds comes
    And the fleet runs on for 3 seconds
    Then e0 completes the job within 0.252 seconds
    And every task was started once
    And each task's agent has logged "an unanswered start is running"

  Scenario: The start is lost, and carried out four seconds later
    A look that waits at the worker would tell 0.15 s later that nothing runs there;
    the caller's time is over by then.
    Given a fleet of 1 entries and 2 workers
    When starts are carried out 4 seconds late for 0.005 seconds as a job of 4 tasks of 0.12 seconds comes
    And the fleet runs on for 8 seconds
    Then e0 completes the job within 0.252 seconds
    And no task has run twice at once
    And every task was started once
    And each task's agent has logged "cancels an unanswered start"

  Scenario: Six of a hundred calls have no answer, and are carried out later
    Nearly half of all lookups of eight tasks meet one. Only one in three was on time
    while it was settled by looks that wait.
    Given 4 entries, 11 workers of three speeds, and the users' three kinds of job
    When 6 of 100 calls are carried out 4 seconds late during 8 seconds of the usual load
    Then at least 80 of 100 lookups, 95 of 100 checks and 95 of 100 rebuilds are on time

  Scenario: Five workers lose one answer in seven
    Given 4 entries, 11 workers of three speeds, and the users' three kinds of job
    When 5 workers lose 14 of 100 answers during 8 seconds of the usual load
    Then at least 95 of 100 lookups, 95 of 100 checks and 95 of 100 rebuilds are on time

  Scenario: Neither a start nor its stop is answered, and the start is late
    A caller leaves while its start is under way. The worker answers neither the start
    nor the stop, though it answers looks, and carries the start out a third of a second
    later. Taken for one that never began, it would run beside what was given its room
    meanwhile: a worker that doesn't guard its room gets more than it holds.
    Given a fleet of 1 entries and 1 workers
    When a job of 10 tasks of 0.5 seconds comes, whose starts are 0.3 seconds late
    And its caller leaves 0.01 seconds later
    And 0.2 seconds later e0 gets another one of 10 tasks of 0.5 seconds
    Then no worker has been given more than it holds
