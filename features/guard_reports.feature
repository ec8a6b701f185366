Feature: Late reports of use, and what the guard asks of the upstream

  Reports are about a second old. ``a`` to ``c`` declare 100 MB each on a worker of
  1000 MB; an attempt is written behind the task, as ``a/2``.

  Scenario: A report about what has ended since hits nobody
    The upstream looked just before a lookup ended; by the time its report comes the
    same task runs as another attempt. Believed, the report would stop that one,
    which has done no harm.
    Given a guarded worker that runs a/2 and b/1
    When its upstream reports "a/1 980, b/1 10, c/1 400"
    Then the guard asks for nothing
    And 2 tasks of the report were stale

  Scenario: One task is stopped, and its end is awaited
    The stop is on its way while the next reports still show what the task held. If
    each of them stopped another task, a whole worker of checks would be lost for one.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 800, b/1 190"
    Then the guard asks for "stop a/1, throttle b/1"
    When its upstream reports "a/1 300, b/1 690" a second later
    Then the guard asks for "throttle a/1"
    When a/1 ends with status 503
    Then its owner is told "failed" because it was "out of memory"
    When its upstream reports "b/1 980" a second later
    Then the guard asks for "stop b/1"

  Scenario: A stop that was not heeded does not protect the others for ever
    The upstream lost the wish, or does not know it. After three seconds the next
    report counts again; without that the worker dies in the end.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 800, b/1 190"
    And its upstream reports "a/1 300, b/1 690" 4 seconds later
    Then the guard asks for "throttle a/1, stop b/1"

  Scenario: A throttle is lifted when there is room again
    A rebuild was slowed in the peak. Left so, it would be late though its worker is
    empty now.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 800, b/1 80"
    Then the guard asks for "throttle a/1"
    When its upstream reports "a/1 500, b/1 80" a second later
    Then the guard asks for "lift a/1"
    When its upstream reports "a/1 500, b/1 80" a second later
    Then the guard asks for nothing

  Scenario: An upstream that says it saves and does not
    It was asked twice to save the task and still holds its memory. Asked for ever,
    it would take the whole worker with it.
    Given a guarded worker that runs a/1 and b/1
    When its upstream reports "a/1 960 saves, b/1 10"
    Then the guard asks for "checkpoint a/1"
    When its upstream reports "a/1 960 saves, b/1 10" a second later
    Then the guard asks for "checkpoint a/1"
    When its upstream reports "a/1 960 saves, b/1 10" a second later
    Then the guard asks for "stop a/1"

  Scenario Outline: Who outgrows a worker does not get it ejected
    Callers of one kind of rebuild all declare too little, and one after the other is
    stopped. Taken for failures of the worker, they would get it ejected, and then
    the next one, until lookups find no worker; a worker that fails by itself is.
    Given a scheduler of three workers
    When twenty requests one after the other end at w1 as "failed" with status <status>
    Then w1 is <state>

    Examples:
      | status | state   |
      | 0      | in use  |
      | 503    | ejected |

  Scenario Outline: What is no report of use changes nothing
    Given an agent's announcement application
    When the upstream reports its use as <body>
    Then the report of use is refused as "malformed_usage"
    And there are 0 announcement events

    Examples:
      | body                                                               |
      | {                                                                  |
      | {"tasks": [{"submission": "a", "task": 0, "memory_mb": 1}]}        |
      | {"tasks": [{"submission": "a", "task": 0, "attempt": 1, "mb": 1}]} |
