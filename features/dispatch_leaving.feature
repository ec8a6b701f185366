Feature: Leaving workers still run tasks that end before they leave

  Scenario: Agents are restarted one after another under high load
    Each agent waits for its last task to end. If it accepted no other tasks until then,
    a fifth of all capacity would be idle, and jobs would be refused.
    Given a wave load at 1.4 times the usual rate
    When a third of the agents is restarted, one per second
    Then the load earns at least 0.983 of its value
    And no run was stopped or lost

  Scenario: Jobs are refused if leaving workers accept no short tasks
    Given a wave load at 1.4 times the usual rate
    And leaving workers accept no tasks
    When a third of the agents is restarted, one per second
    Then the load earns less than 0.983 of its value

  Scenario: Workers leave at short notice
    Runs that can't finish in time are lost with their worker. If this is noticed only
    after the worker has gone, the job is late wherever it runs again.
    Given a wave load at 1.2 times the usual rate
    When a sixth of the workers leaves 1.7 seconds after its notice
    Then the load earns at least 0.995 of its value
    And at most 3 runs were lost with their workers

  Scenario: Jobs are late if runs that can't finish on a leaving worker aren't stopped
    Given a wave load at 1.2 times the usual rate
    And leaving workers keep runs that can't finish in time
    When a sixth of the workers leaves 1.7 seconds after its notice
    Then the load earns less than 0.995 of its value

  Scenario: A draining worker gets no tasks once its drain time has passed
    The upstream's owners rely on it: a worker that drains for long gets no new tasks a
    few seconds after it announced that it drains.
    Given a wave load at 1.2 times the usual rate
    When a worker drains for 6 seconds
    Then it was given tasks, and none after 1.1 seconds

  Scenario: An agent that restarts next to a draining worker gives it no tasks
    The new process doesn't know how long the worker has been draining.
    Given a wave load at 1.2 times the usual rate
    When a worker drains for 6 seconds and its agent restarts
    Then it was given no task after 0.2 seconds
