Feature: No task runs twice at once, although something was taken for gone

  Scenario: A worker announces that it leaves, and runs on
    The announcement comes before the process ends. An agent that takes it for the end
    of all runs has their tasks run elsewhere while they still run here.
    Given a fleet of 1 entries and 2 workers
    When a job of 2 tasks of 2 seconds comes to e0
    And after 0.3 seconds a worker that runs a task leaves, and runs on for 0.3 seconds
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A worker's address refuses connections while its runs go on
    A network that rejects connections looks to the agent as if nobody listened at the
    address. The runs go on until their lease ends, half a second later.
    Given a fleet of 1 entries and 2 workers
    When a job of 2 tasks of 2 seconds comes to e0
    And after 0.3 seconds connections to a worker that runs a task are refused for 0.3
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An entry resumes after its callers have gone elsewhere
    Paused for longer than callers wait before a second attempt, it learns first that
    its agents have stopped the tasks, and runs them again before it reads that their
    caller's connection has broken.
    Given a fleet of 2 entries and 4 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And e0 freezes for 2 seconds after 0.1 seconds
    And the connection of e0's caller breaks
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: An entry is cut off, and its callers have gone elsewhere when it is back
    It hears its agents again before the broken connection of its caller reaches it, and
    runs the tasks that its agents had stopped.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And e0 is cut off for 1.5 seconds after 0.3 seconds, from its callers 0.3 longer
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: An entry is cut off while it is frozen, and its callers have gone elsewhere
    It has noticed no silence when it resumes, and the broken connection of its caller
    reaches it later than it waits after a pause.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And e0 freezes for 1.4 seconds after 0.3 seconds
    And e0 is cut off for 1.2 seconds after 0.05 seconds, from its callers 0.6 longer
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: Stops of a dead entry's tasks don't reach their worker
    The worker answers polls, which renew its lease, so that the tasks run on until
    after their caller's second attempt.
    Given a fleet of 2 entries and 2 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And all stop calls are lost
    And e0 is killed after 0.3 seconds
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: A worker with a slow clock is cut off after it was idle
    An idle worker isn't polled, so that its clock has fallen behind by more than half a
    second since it was measured. The lease in the start is longer by that than its agent
    believes.
    Given a fleet of 1 entries and 2 workers
    When the workers' clocks run 2 percent slow for 30 seconds
    And a job of 1 tasks of 2 seconds comes to e0
    And the worker that runs it is cut off after 0.005 seconds
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: An agent is paused between its decision on a start and the call
    Meanwhile its entry has waited for both leases and has run the task elsewhere. The
    deadline is computed when the call is sent, so that the worker accepts it.
    Given a fleet of 1 entries and 2 workers
    When the agent that is given the next task is paused for 1.5 seconds before its call
    And a job of 1 tasks of 2 seconds comes to e0
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A report from before an agent's host rebooted comes late
    The host's clock began anew, so that the dead incarnation's report has the higher
    stamp. An entry that takes it for news of yet another incarnation has the tasks of
    the live one run elsewhere while they still run there.
    Given a fleet of 1 entries and 2 workers
    When a0 reboots for 1.5 seconds, and its last reports come 3 seconds late
    And a job of 12 tasks of 2 seconds comes to e0
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A caller comes back at once while its task's agent has just restarted
    The agent's new incarnation is asked to stop a start that the earlier one accepted. If
    it answered that the task never ran, the entry would place it again while the first
    run still goes on at the worker.
    Given a fleet of 1 entries and 2 workers
    When a job of 1 tasks of 2 seconds comes to e0
    And after 0.5 seconds the agent that runs its task is replaced, and the caller leaves
    And the same job comes to e0 0.2 seconds later
    Then no task has run twice at once

  Scenario: An entry is paused before it has handled anything
    A process that is frozen while it starts has callers in its backlog that have gone
    elsewhere since. It must take that for a pause too.
    Given a fleet of 2 entries and 2 workers
    When e0 is started again, frozen for 2 seconds
    And a caller of e0 leaves before that, and comes to e1 1.3 seconds later
    Then no task has run twice at once

  Scenario: An agent is sent a task of which it holds a run that is being stopped
    Nothing reaches its worker. A second run beside the first is two at once on one worker.
    Given a fleet of 2 entries and 1 workers
    When a job of 1 tasks of 2 seconds comes to e0
    And all stop calls are lost
    And the caller of e0 leaves after 0.3 seconds
    And the same job comes to e1 0.2 seconds later
    Then no task has run twice at once
    And the job is completed at e1
