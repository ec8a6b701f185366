Feature: The scheduler accounts for every task and slot

  Scenario: In any sequence of events each task leaves the queue once
    Jobs arrive, tasks end, fail and are declined, workers leave and return, callers
    cancel and deadlines pass, in any order. A task that left the queue twice would
    run twice; one that never left it would keep its caller waiting; a slot that is
    counted wrongly would stay idle.
    Then 150 random event sequences keep the scheduler's tasks and slots consistent

  Scenario: A declined task goes first again, and not to the same worker at once
    An agent declines a start because its upstream has just withdrawn. Queued behind
    all later tasks, the declined task would wait twice; offered to the same worker
    in a loop, it would flood the network with messages.
    Given a scheduler with 2 workers of 1 slot
    When 3 single scheduler jobs are admitted and assigned
    And the first started task is declined by its worker 3 times in a row
    Then 2 scheduler tasks are queued
    And that scheduler task was started again before the third job
    And the declining worker is paused for a while

  Scenario: A worker is drained
    An operator drains a worker before its host is replaced. New work that still
    went there would be lost with the host.
    Given a scheduler with 2 workers of 2 slots
    When scheduler worker "w0" is drained
    And 3 single scheduler jobs are admitted and assigned
    Then scheduler worker "w0" has 0 tasks and 1 task is queued
    And the scheduler explains that "w0" takes nothing because "it is drained"

  Scenario: A worker that hangs gets no new tasks until one of its tasks ends
    An upstream stops answering while it has free slots. Each further request sent
    there would wait until its deadline.
    Given a scheduler with 2 workers of 8 slots
    When two scheduler tasks hang on "w0" for 4 seconds while "w1" goes on
    Then 4 more scheduler tasks all go to "w1"
    When one of the hanging scheduler tasks ends
    Then the next scheduler task goes to "w0"
