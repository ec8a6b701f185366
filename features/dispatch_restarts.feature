Feature: A worker may restart under its name
  What it reports tells when it was born. A call names no incarnation, so that one for
  an earlier incarnation may be carried out by the next one.

  Background:
    Given a fleet of 1 entries and 2 workers
    And its workers report when they were born

  Scenario: A worker restarts and takes tasks again
    Its tasks run again at once, and it is used again within two heartbeats.
    When a job of 2 tasks of 2 seconds comes to e0
    And a worker that runs a task restarts within 0.3 seconds, after 0.3 seconds
    Then its tasks begin again within 0.05 seconds of its return
    And it is open for tasks within 3 seconds of its return
    When the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A poll shows the next incarnation before its heartbeat comes
    Its tasks run again at once. What it can hold is unknown until its heartbeat.
    When the fleet runs on for 0.5 seconds
    And a job of 2 tasks of 2 seconds comes to e0
    And a worker that runs a task restarts in an instant, after 0.3 seconds
    And the fleet runs on for 0.25 seconds
    Then its tasks have begun again
    And its agent uses its current incarnation, but takes no tasks
    And it is open for tasks within 3 seconds of its return
    When the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A job comes before the first heartbeat of workers that have restarted
    Entries would refuse it as too large if the workers counted as empty of capacity.
    When the fleet runs on for 0.7 seconds
    And a job of 8 tasks of 2 seconds comes to e0
    And the fleet runs on for 0.1 seconds
    And all workers restart in an instant, and 0.25 seconds pass
    Then a job that comes now is not refused as too large

  Scenario Outline: The host's time of day is set back before a worker restarts
    Its start looks earlier than that of the incarnation before. If it were ignored, the
    worker would never be used again.
    When a job of 2 tasks of 2 seconds comes to e0
    And a worker that runs a task restarts within <away> seconds, after 0.3 seconds
    And its host's time of day was set back by 10 seconds meanwhile
    And the fleet runs on for <away> seconds
    Then it is open for tasks within 3 seconds of its return
    When the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

    Examples:
      | away |
      | 0.3  |
      | 8    |

  Scenario: The next incarnation is smaller and of another service
    Once a poll has shown it, the agent must not start there what the earlier one could
    hold.
    When the fleet runs on for 0.5 seconds
    And a job of 2 tasks of 2 seconds comes to e0
    And a worker that runs a task restarts in an instant with 6 cores, for "other" tasks
    And the fleet runs on for 0.2 seconds
    And 10 jobs of 2 tasks of 0.4 seconds come to e0
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And no task has begun there since
    And its agent knows its 6 cores and its service "other"

  Scenario: The next incarnation is smaller, and still of use
    When the fleet runs on for 0.5 seconds
    And a job of 2 tasks of 2 seconds comes to e0
    And a worker that runs a task restarts in an instant with 6 cores, for "plans" tasks
    And the fleet runs on for 1.6 seconds
    And 10 jobs of 2 tasks of 0.4 seconds come to e0
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And it has never been sent more than it holds

  Scenario: A heartbeat of the earlier incarnation arrives last
    If it were believed, all tasks of the running incarnation would be lost.
    When the workers restart, and a heartbeat of each is held up before
    And the fleet runs on for 2 seconds
    And a job of 4 tasks of 1 seconds comes to e0
    And the heartbeats that were held up arrive after 0.3 seconds
    And the fleet runs on for 3 seconds
    Then every task was started once
    And the job is completed at e0
    And its agents use the current incarnations

  Scenario: A heartbeat of the earlier incarnation arrives while no worker is known
    When the workers restart, and a heartbeat of each is held up before
    And the fleet runs on for 2 seconds
    And connections to all workers are refused until they are forgotten
    And the heartbeats that were held up arrive after 0.1 seconds
    Then its agents use no worker
    When the fleet runs on for 2 seconds
    Then its agents use the current incarnations

  Scenario: An agent that has just started hears the earlier incarnation's heartbeat first
    Polls show it which incarnation runs.
    When the workers restart, and a heartbeat of each is held up before
    And the agents restart, and hear what was held up first
    And the fleet runs on for 2 seconds
    And a job of 4 tasks of 1 seconds comes to e0
    And the fleet runs on for 3 seconds
    Then its agents use the current incarnations
    And every task was started once
    And the job is completed at e0

  Scenario: A heartbeat without a birth comes from another writer
    Then its agents ignore a heartbeat under their worker's name that lacks its birth

  Scenario: The departure of the earlier incarnation arrives after the next has registered
    It names no incarnation. The runs go on, and the next heartbeat shows that the worker
    stays.
    When the workers restart, and a heartbeat of each is held up before
    And the fleet runs on for 2 seconds
    And a job of 4 tasks of 2 seconds comes to e0
    And a departure of each worker is announced after 0.3 seconds
    Then no agent takes tasks
    When the fleet runs on for 1.6 seconds
    Then each agent takes tasks
    When the fleet runs on for 2 seconds
    Then every task was started once
    And the job is completed at e0

  Scenario: A worker that leaves and restarts under its name
    It has said so: its tasks are lost, and none is blamed for a crash.
    When a job of 2 tasks of 2 seconds comes to e0
    And a worker that runs a task departs, ends and is back after 0.4 seconds
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And no task has counted as crashed

  Scenario: The next incarnation carries out a start
    The agent takes it for a run of the earlier incarnation, which has ended.
    When the worker that gets the next start restarts right before it
    And a job of 1 tasks of 1 seconds comes to e0
    And the fleet runs on for 5 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And the first run was stopped before its agent opened again

  Scenario Outline: The next incarnation carries out a start, and calls to it are lost
    Its heartbeat proves that the earlier one has ended. If the task ran elsewhere then,
    it would run twice, since no stop arrives.
    When the worker that gets the next start restarts right before it
    And it then loses <calls> for <seconds> seconds, and sends a heartbeat
    And a job of 1 tasks of 3 seconds comes to e0
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0

    Examples:
      | calls            | seconds |
      | polls            | 0.3     |
      | stops            | 0.3     |
      | polls and stops  | 0.3     |
      | polls and stops  | 3       |
      | answers to polls | 0.3     |
      | answers to polls | 3       |

  Scenario: The next incarnation carries out a start whose answer is lost
    When the worker that gets the next start restarts right before it
    And its answers to starts are lost
    And a job of 1 tasks of 1 seconds comes to e0
    And the fleet runs on for 5 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A start arrives only after the next incarnation has answered a poll
    Its lease was converted to the earlier incarnation's clock, so that it isn't late
    there; the token alone has it refused.
    When the next start is held up for 0.02 seconds, and its worker restarts meanwhile
    And a job of 1 tasks of 1 seconds comes to e0
    And the fleet runs on for 5 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And the start that was held up was refused by its token

  Scenario: The next incarnation carries out a stop
    It is of a run of the earlier one. A run with the same number would be stopped by it,
    so that numbers go on.
    When a job of 1 tasks of 2 seconds comes to e0
    And the worker that runs it restarts right before the stop that its entry asks for
    And the fleet runs on for 2 seconds
    Then the next run of the task there has a higher number

  Scenario: A worker restarts again and again
    When a job of 2 tasks of 1 seconds comes to e0
    And a worker that runs a task restarts 5 times, 0.02 seconds apart
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And its agents use the current incarnations

  Scenario: Workers restart on random days
    Then days 0 to 14 of restarts under a name keep every guarantee

  Scenario: Without holding the starts in doubt, a task runs twice at once
    When all runs are taken for ended with the earlier incarnation
    And the worker that gets the next start restarts right before it
    And it then loses polls and stops for 0.3 seconds, and sends a heartbeat
    And a job of 1 tasks of 3 seconds comes to e0
    And the fleet runs on for 8 seconds
    Then a task has run twice at once
