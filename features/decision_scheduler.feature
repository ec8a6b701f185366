Feature: The scheduler keeps count of every task

  Scenario: Whatever happens, each task leaves the queue once and slots are kept
    Jobs come, tasks end, fail and are declined, workers go and return, callers
    cancel, deadlines pass, all in any order. A task that left the queue twice
    would be a doubled booking; one that never left it would be a caller who waits
    for nothing; a slot that is counted wrongly stays idle for ever.
    Then 150 drawn histories of the scheduler keep every task and slot in count

  Scenario: A declined task goes first again, and not to the same worker at once
    An agent declines a start because its upstream has just withdrawn. Were the
    task queued behind everything that came since, its caller would wait twice; were
    it offered to the same worker again and again, the two would fill the network.
    Given a scheduler with 2 workers of 1 slot
    When 3 single scheduler jobs are admitted and assigned
    And the first started task is declined by its worker 3 times in a row
    Then 2 scheduler tasks are queued
    And that scheduler task was started again before the third job
    And the declining worker is left alone for a while

  Scenario: A worker is drained
    An operator drains a worker before its host is replaced. New work that still
    went there would be cut off with the host.
    Given a scheduler with 2 workers of 2 slots
    When scheduler worker "w0" is drained
    And 3 single scheduler jobs are admitted and assigned
    Then scheduler worker "w0" has 0 tasks and 1 task is queued
    And the scheduler explains that "w0" takes nothing because "it is drained"

  Scenario: A worker that hangs gets nothing new until something ends there
    An upstream stops answering while it has free slots. Each request that is still
    sent there waits for its deadline.
    Given a scheduler with 2 workers of 8 slots
    When two scheduler tasks hang on "w0" for 4 seconds while "w1" goes on
    Then 4 more scheduler tasks all go to "w1"
    When one of the hanging scheduler tasks ends
    Then the next scheduler task goes to "w0"
