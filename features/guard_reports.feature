Feature: Delayed usage reports, and the actions of the memory guard

  Reports are about a second old. ``a`` to ``c`` declare 100 MB each on a worker of
  1000 MB; an attempt is written behind the task, as ``a/2``.

  Scenario: A report about ended attempts has no effect
    The upstream measured just before a lookup ended; when its report arrives, the same
    task runs as another attempt, which the report must not stop.
    Given a guarded worker that runs a/2 and b/1
    When its upstream reports "a/1 980, b/1 10, c/1 400"
    Then the guard asks for nothing
    And 2 tasks of the report were stale

  Scenario: One task is stopped at a time, until it has ended
    After a stop was sent, the next reports still include the task's memory. If each of
    them stopped another task, one task could cost all checks of a worker.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 800, b/1 190"
    Then the guard asks for "stop a/1, throttle b/1"
    When its upstream reports "a/1 300, b/1 690" a second later
    Then the guard asks for "throttle a/1"
    When a/1 ends with status 503
    Then its owner is told "failed" because it was "out of memory"
    When its upstream reports "b/1 980" a second later
    Then the guard asks for "stop b/1"

  Scenario: An ineffective stop delays further stops only for a time
    The upstream lost the stop request or does not support it. After three seconds
    reports count again; otherwise the worker runs out of memory.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 800, b/1 190"
    And its upstream reports "a/1 300, b/1 690" 4 seconds later
    Then the guard asks for "throttle a/1, stop b/1"

  Scenario: A throttle is lifted when memory is free again
    A rebuild was throttled during a peak. If the throttle stayed, it would be late
    although its worker has free memory.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 800, b/1 80"
    Then the guard asks for "throttle a/1"
    When its upstream reports "a/1 500, b/1 80" a second later
    Then the guard asks for "lift a/1"
    When its upstream reports "a/1 500, b/1 80" a second later
    Then the guard asks for nothing

  Scenario: An upstream that claims to checkpoint but does not
    It was asked twice to checkpoint the task and still holds its memory. Unless the
    task is stopped then, the worker runs out of memory.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 960 saves, b/1 10"
    Then the guard asks for "checkpoint a/1"
    When its upstream reports "a/1 960 saves, b/1 10" a second later
    Then the guard asks for "checkpoint a/1"
    When its upstream reports "a/1 960 saves, b/1 10" a second later
    Then the guard asks for "stop a/1"

  Scenario Outline: Tasks that exceed their declared memory do not eject a worker
    Load pattern: all callers of one kind of rebuild declare too little memory, and
    their tasks are stopped. Counted as failures of the worker, they would eject one
    worker after the other. A worker that fails by itself is ejected.
    Given a scheduler of three workers
    When twenty requests one after the other end at w1 as "failed" with status <status>
    Then w1 is <state>

    Examples:
      | status | state   |
      | 0      | in use  |
      | 503    | ejected |

  Scenario Outline: An invalid usage report has no effect
    Given an agent's announcement application
    When the upstream reports its usage as <body>
    Then the usage report is refused as "malformed_usage"
    And there are 0 announcement events

    Examples:
      | body                                                               |
      | {                                                                  |
      | {"tasks": [{"submission": "a", "task": 0, "memory_mb": 1}]}        |
      | {"tasks": [{"submission": "a", "task": 0, "attempt": 1, "mb": 1}]} |
