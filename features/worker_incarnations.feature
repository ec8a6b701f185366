Feature: What a worker reports of itself names its incarnation, or nothing to use

  Scenario Outline: A heartbeat names its incarnation by its name and its birth
    Given an agent whose worker "w" was born at 7
    When a heartbeat of "<name>" has <birth>
    Then it is answered with 200
    And the agent hears "<identifier>"

    Examples:
      | name  | birth                 | identifier      |
      | w     | "born": 1700000000123 | w#1700000000123 |
      | w     | no birth              | w               |
      | w%237 | no birth              | w#7#            |
      | w%237 | "born": 7             | w#7#7           |
      | i-1   | "born": 0             | i-1#0           |

  Scenario Outline: A heartbeat that names no worker to use changes nothing
    It comes from another writer. If it ended the heartbeat's service, or the agent, the
    worker would be lost.
    Given an agent whose worker "w" was born at 7
    When a heartbeat comes with <field> as <value>
    Then it is answered with 400 and changes nothing
    And the next heartbeat of "w" is heard

    Examples: another type
      | field        | value                      |
      | born         | "7"                        |
      | born         | 7.5                        |
      | born         | true                       |
      | born         | null                       |
      | born         | -1                         |
      | born         | 99999999999999999999999999 |
      | born         | [7]                        |
      | service      | 5                          |
      | zone         | null                       |
      | state        | {}                         |
      | sequence     | "1"                        |
      | sequence     | true                       |
      | capacity     | 8000                       |
      | capacity     | {"cpu": 1}                 |
      | capacity     | {"cpu": -1, "mem_mb": 1}   |
      | capacity     | {"cpu": 1e30, "mem_mb": 1} |
      | labels       | "a"                        |
      | labels       | [1]                        |
      | remaining_ms | "1"                        |
      | remaining_ms | 1e300                      |
      | clock_ms     | "1"                        |
      | clock_ms     | 1e300                      |

    Examples: a state or a service that isn't named
      | field   | value      |
      | state   | "leaving"  |
      | state   | ""         |
      | service | "lookups"  |
      | service | ""         |

  Scenario Outline: A heartbeat that can't be read changes nothing
    Given an agent whose worker "w" was born at 7
    When the bytes of a heartbeat are <bytes>
    Then it is answered with 400 and changes nothing
    And the next heartbeat of "w" is heard

    Examples:
      | bytes           |
      | none            |
      | half of it      |
      | not UTF-8       |
      | not JSON        |
      | a list          |
      | nested too deep |
      | nested unknown  |

  Scenario Outline: A heartbeat without a field that is needed changes nothing
    Given an agent whose worker "w" was born at 7
    When a heartbeat comes without <field>
    Then it is answered with 400 and changes nothing

    Examples:
      | field    |
      | service  |
      | zone     |
      | state    |
      | sequence |
      | capacity |

  Scenario Outline: A name that fits into no header is not used
    Given an agent whose worker "w" was born at 7
    When a heartbeat of "<name>" has no birth
    Then it is answered with 400 and changes nothing

    Examples:
      | name           |
      | w%0d%0aX:%20b  |
      | w%00           |

  Scenario: Random heartbeats are answered and never with an error of the agent
    Given an agent whose worker "w" was born at 7
    When heartbeats with random fields and bytes come
    Then each is answered with 200 or 400
    And a heartbeat that was refused changes nothing

  Scenario: Calls name the worker without its birth
    Given a worker that answers {"clock_ms": 5, "born": 7}
    When "w#7" gets a start, a stop and a poll
    Then each call names the instance "w"
    And the start is started, the stop is done, and the poll is answered

  Scenario Outline: A poll tells which incarnation has answered
    Given a worker that answers <body> with <status>
    When "<worker>" gets a poll
    Then the poll <result>

    Examples:
      | worker | status | body                                  | result                 |
      | w#7    | 200    | {"born": 7}                           | is answered            |
      | w#7    | 200    | {"born": 9}                           | was answered by "w#9"  |
      | w#7    | 200    | {"born": 5}                           | was answered by "w#5"  |
      | w#7    | 200    | {}                                    | has no answer          |
      | w#7    | 200    | {"born": "9"}                         | has no answer          |
      | w#7    | 200    | {"born": 7.5}                         | has no answer          |
      | w#7    | 200    | {"born": true}                        | has no answer          |
      | w#7    | 200    | {"born": null}                        | has no answer          |
      | w#7    | 200    | {"born": -9}                          | has no answer          |
      | w#7    | 421    | {}                                    | is gone                |
      | w#7    | 421    | {"born": 9}                           | is gone                |
      | w#7    | 409    | {"reason": "fence"}                   | is fenced              |
      | w#7    | 409    | {"reason": "fence", "born": 7}        | is fenced              |
      | w#7    | 409    | {"reason": "fence", "born": 9}        | was answered by "w#9"  |
      | w      | 200    | {}                                    | is answered            |
      | w      | 200    | {"born": 9}                           | was answered by "w#9"  |
      | w#7#   | 200    | {}                                    | is answered            |
      | w#7#   | 200    | {"born": 7}                           | was answered by "w#7#7"|
      | w      | 200    | {"running": [["a.0.0.0"]]}            | has no answer          |
      | w      | 200    | {"running": [[5, 1, 0, 0]]}           | has no answer          |
      | w      | 200    | {"running": [["a.0.0.0", "1", 0, 0]]} | has no answer          |
      | w      | 200    | {"finished": [["1", "a", 1, "done"]]} | has no answer          |
      | w      | 200    | {"running": 5}                        | has no answer          |

  Scenario Outline: A start or a stop that another incarnation has answered is in doubt
    Its responses need not have a birth. One that has it is not taken for an answer of the
    incarnation that was called.
    Given a worker that answers <body>
    When "w#7" gets a start, a stop and a poll
    Then the start is <start>, the stop is <stop>

    Examples:
      | body                       | start   | stop     |
      | {"clock_ms": 5}            | started | done     |
      | {"clock_ms": 5, "born": 7} | started | done     |
      | {"clock_ms": 5, "born": 9} | unknown | not done |

  Scenario: The clock of another incarnation is not used for the one that was called
    Its clock starts anew. A start with a lease by the wrong clock would be late at once,
    or last too long.
    Given a worker that answers {"clock_ms": 50000, "born": 9}
    When "w#7" gets a poll
    Then the clock of "w#7" is unknown, and that of "w#9" is known

  Scenario: A start is not sent to another incarnation whose clock was asked for
    Given a worker that answers {"clock_ms": 50000, "born": 9}
    When "w#7" gets a start without a reading of its clock
    Then the start is late, and no start was sent

  Scenario: A worker over HTTP restarts before a start and carries it out
    The agent's reducer, its client and the worker together: the run is stopped before the
    agent opens, and its end is told only then.
    Given an agent beside a worker that reports when it was born
    When the worker restarts between the decision on a start and the call
    Then the worker has begun the run and stopped it
    And the agent uses the new incarnation, holds nothing, and takes no tasks yet
    When the new incarnation sends its heartbeat
    Then the agent takes tasks, and a start runs there

  Scenario Outline: Incarnations are ordered by birth if they share a name
    Then "<one>" is <order> "<other>"

    Examples:
      | one | other | order         |
      | w#9 | w#7   | later than    |
      | w#9 | w     | later than    |
      | w#7 | w#9   | no later than |
      | w#7 | w#7   | no later than |
      | w   | w#7   | no later than |
      | w   | w     | no later than |
      | v#9 | w#7   | no later than |
      | w#10| w#9   | later than    |

  Scenario: Only the names that were used last are remembered
    A worker may change its name at each restart, for months.
    Then of 1000 names with a birth the last 100 are known, and none without one

  Scenario: Any name and birth make an identifier that can be taken apart
    Then random names and births come back from their identifiers
