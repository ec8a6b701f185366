Feature: A worker whose memory a task outgrows

  Scenario: The task that outgrew its declaration is stopped, and nobody else is
    A route rebuild declares 100 MB and takes ten times as much, among three lookups
    that keep to what they said. Unguarded, the worker runs out of memory and all
    four end with an unknown outcome; the school office cannot ask again. Guarded,
    one ends, and its caller is told that it ran, and why it was stopped.
    Given a worker of 1000 MB with its guard on
    When a request that declares 100 MB and uses 960 runs beside three of 20 MB
    Then the large request ends as "failed" and its answer says "out of memory"
    And the three others are answered
    And the upstream was asked to "stop" the large request, and none of the others

  Scenario: A request that may be repeated is started again within the budget
    A lookup that its caller declared idempotent outgrows its declaration. It is
    started again at once; where the budget were not asked, it would be started and
    stopped until its deadline, and take the worker's memory each time.
    Given a worker of 1000 MB with its guard on
    When an idempotent request that declares 100 MB and uses 960 runs
    Then the upstream has started the large request twice, as two attempts
    And the large request ends as "failed" and its answer says "out of memory"

  Scenario: A task that can be saved is saved
    The upstream can checkpoint. Stopping the rebuild would throw its work away.
    Given a worker of 1000 MB with its guard on, whose upstream can save tasks
    When a request that declares 100 MB and uses 960 runs beside three of 20 MB
    Then the large request is answered
    And the three others are answered
    And the upstream was asked to "checkpoint" the large request, and none of the others

  Scenario: A guard that is turned off does nothing
    The operators know their upstream to keep its own bounds.
    Given a worker of 1000 MB with its guard off
    When a request that declares 100 MB and uses 960 runs beside three of 20 MB
    Then the large request is answered
    And the three others are answered
    And the upstream was asked for nothing
