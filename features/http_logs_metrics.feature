Feature: Logs and metrics of the processes

  Scenario: A decision is logged as one JSON line with its part and fields
    Given a log file of the process "dingwall-5" at level "info"
    When a decision of the owner is logged with fields that are hard to encode
    Then the log file has one line whose message is "owner: task 0 of vets/a starts on w7: most free slots"
    And the log line keeps the process, the part, the level and every field

  Scenario: A dispatch process logs the same line without eliot
    Its encoder raises for what isn't Unicode and for subclasses of built-in types. A
    log line must not end the process, or be lost.
    Given a log file of the dispatch process "dingwall-5" at level "info"
    When a decision of the owner is logged with fields that are hard to encode
    Then the log file has one line whose message is "owner: task 0 of vets/a starts on w7: most free slots"
    And the log line keeps the process, the part, the level and every field
    And its task's identifier is a UUID of version 4

  Scenario: A dispatch process goes over to eliot once it has started
    Lines that wait to be written, or are written at that time, must not be lost.
    Given a log file of the dispatch process "dingwall-5" at level "info"
    When 3 decisions are logged, eliot encodes the lines that follow, and 3 more are logged
    Then the log file has 6 lines of the same fields, numbered in order

  Scenario: A dispatch process logs text that is not Unicode
    Given a log file of the dispatch process "dingwall-5" at level "info"
    When a line with text that is not Unicode is logged
    Then the log file has one line whose message is "entry: refuses a job"

  Scenario: Lines below the level are omitted, warnings of libraries are not
    Given a log file of the process "dingwall-5" at level "warning"
    When a decision of the owner is logged with fields that are hard to encode
    And a library warns that "a handler failed"
    Then the log file has one line whose message is "library: a handler failed"

  Scenario: A caller does not wait for the lines of its own decisions
    Lines written one by one, before the message that they describe is sent, took a
    fifth of the time of an empty request. They are written together after it.
    Given a log file of the process "dingwall-5" at level "info"
    When 3 decisions are logged in one iteration of a loop that keeps running
    Then the file was empty at the end of that iteration
    And the log file has the lines 0 to 2 in order, each with a task_uuid of its own

  Scenario: A planned stop loses no line
    The process ends right after a decision. Without a final flush, the log would
    lack the placement that an operator looks for.
    Given a log file of the process "dingwall-5" at level "info"
    When 3 decisions are logged in a loop that closes the log at once
    Then the log file has the lines 0 to 2 in order, each with a task_uuid of its own

  Scenario: An error is written at once, after the lines before it
    A process may end because of an error that it logs. If lines still waited, the
    log would contain neither the error nor the decisions before it.
    Given a log file of the process "dingwall-5" at level "info"
    When 2 decisions and an error are logged in one iteration of a loop
    Then the log file has the lines 0 to 2 in order, each with a task_uuid of its own

  Scenario: A burst of lines takes bounded memory
    A burst of jobs logs thousands of lines in one long iteration of the loop. If
    all of them waited for its end, an agent would exceed its memory limit.
    Given a log file of the process "dingwall-5" at level "info"
    When 1200 decisions are logged in one iteration of a loop
    Then no more than 500 lines waited

  Scenario: A line keeps the values of the time when it was logged
    The list of candidate workers changes after the choice. If the line were encoded
    from that list later, it would name workers that were no candidates.
    Given a log file of the process "dingwall-5" at level "info"
    When a decision among "w7" and "w9" is logged and the list emptied before writing
    Then the line names "w7" and "w9"

  Scenario: A log that can't be opened is a mistake in the settings
    When a log file is opened in a missing directory
    Then the log is refused with exit code 2 and a remedy

  Scenario: Metrics are sent in few packets
    Given a statsd server and metrics that go to it
    When 1000 starts are counted, a gauge set twice and 3 timings taken
    Then the statsd server gets, in packets of at most 1200 bytes
      | line                                    |
      | glenmorrow.agent.starts:1000\|c         |
      | glenmorrow.owner.queued:5\|g            |
      | glenmorrow.upstream.call:12.000000\|ms  |

  Scenario: In a running loop, metrics are flushed automatically
    Given a statsd server and metrics that go to it
    When a start is counted in a loop that keeps running
    Then the statsd server gets, in packets of at most 1200 bytes
      | line                         |
      | glenmorrow.agent.starts:1\|c |

  Scenario: An unavailable StatsD server causes no errors
    While the metrics host is replaced, its absence must not affect callers.
    Given metrics that go to an unavailable statsd server
    When 1000 starts are counted, a gauge set twice and 3 timings taken
    Then no exception is raised, nor by further metrics

  Scenario: Without a statsd section no metrics are sent
    Given metrics without settings
    When 1000 starts are counted, a gauge set twice and 3 timings taken
    Then no exception is raised, nor by further metrics
