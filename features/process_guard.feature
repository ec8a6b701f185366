Feature: A task exceeds its declared memory on a worker

  Scenario: Only the task that exceeds its declared memory is stopped
    One request declares 100 MB and uses almost ten times as much, beside three that
    keep to what they declared. Without the guard the worker runs out of memory, and
    all four end with an unknown outcome. With it only the one is stopped, and its
    caller is told that it ran and why it was stopped.
    Given a worker of 1000 MB with its guard on
    When a request that declares 100 MB and uses 960 runs beside three of 20 MB
    Then the large request ends as "failed" and its answer says "out of memory"
    And the three others are answered
    And the upstream was asked to "stop" the large request, and none of the others

  Scenario: An idempotent request is retried within the retry budget
    A request declared idempotent exceeds its declared memory and is retried at once.
    Without the retry budget it would be started and stopped until its deadline, and
    use the worker's memory each time.
    Given a worker of 1000 MB with its guard on
    When an idempotent request that declares 100 MB and uses 960 runs
    Then the upstream has started the large request twice, as two attempts
    And the large request ends as "failed" and its answer says "out of memory"

  Scenario: A task that can be checkpointed is checkpointed
    Stopping the task would lose its work, which the upstream can checkpoint.
    Given a worker of 1000 MB with its guard on, whose upstream can checkpoint tasks
    When a request that declares 100 MB and uses 960 runs beside three of 20 MB
    Then the large request is answered
    And the three others are answered
    And the upstream was asked to "checkpoint" the large request, and none of the others

  Scenario: A disabled guard does nothing
    Operators may disable the guard if their upstream enforces its own limits.
    Given a worker of 1000 MB with its guard off
    When a request that declares 100 MB and uses 960 runs beside three of 20 MB
    Then the large request is answered
    And the three others are answered
    And the upstream got no guard action
