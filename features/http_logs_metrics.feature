Feature: Logs and metrics tell what the processes do

  Scenario: A decision is one JSON line with its part and its grounds
    Given a log file of the process "dingwall-5" at level "info"
    When a decision of the owner is logged with awkward fields
    Then the log file has one line whose message is "owner: task 0 of vets/a starts on w7: most free slots"
    And the log line keeps the process, the part, the level and every field

  Scenario: Lines below the level are left out, warnings of libraries are not
    Given a log file of the process "dingwall-5" at level "warning"
    When a decision of the owner is logged with awkward fields
    And a library warns that "a handler failed"
    Then the log file has one line whose message is "library: a handler failed"

  Scenario: A caller does not wait for the lines of its own decisions
    Lines written one by one, before the message that they tell of leaves, made a
    fifth of an empty request's way. They are written after it, and all of them.
    Given a log file of the process "dingwall-5" at level "info"
    When 3 decisions are logged in one turn of a loop that runs for a while
    Then the file was empty at the end of that turn
    And the log file has the lines 0 to 2 in order, each with a task_uuid of its own

  Scenario: A planned stop loses no line
    The process ends in the moment after a decision. Without a last writing, the
    log would end before the placement that an operator looks for.
    Given a log file of the process "dingwall-5" at level "info"
    When 3 decisions are logged in a loop that closes the log at once
    Then the log file has the lines 0 to 2 in order, each with a task_uuid of its own

  Scenario: An error is written at once, after what led to it
    A process may end because of what it reports. A reader would find neither the
    error nor the decisions before it.
    Given a log file of the process "dingwall-5" at level "info"
    When 2 decisions and an error are logged in one turn of a loop
    Then the log file has the lines 0 to 2 in order, each with a task_uuid of its own

  Scenario: A burst of lines does not fill the memory
    A wave of jobs makes thousands of lines in one turn of the loop, and the turn
    lasts. Waiting for its end, they would take memory that an agent has not got.
    Given a log file of the process "dingwall-5" at level "info"
    When 1200 decisions are logged in one turn of a loop
    Then no more than 500 lines waited

  Scenario: A line keeps the values of its moment
    The list of workers that were chosen among changes after the choice. Written
    later, the line would name workers that nobody had looked at.
    Given a log file of the process "dingwall-5" at level "info"
    When a decision among "w7" and "w9" is logged and the list emptied in that turn
    Then the line names "w7" and "w9"

  Scenario: A log that can't be opened is a mistake in the settings
    When a log file is asked for in a directory that is not there
    Then the log is refused with exit code 2 and a remedy

  Scenario: Metrics come in few packets
    Given a statsd server and metrics that go to it
    When 1000 starts are counted, a gauge set twice and 3 timings taken
    Then the statsd server gets, in packets of at most 1200 bytes
      | line                                    |
      | glenmorrow.agent.starts:1000\|c         |
      | glenmorrow.owner.queued:5\|g            |
      | glenmorrow.upstream.call:12.000000\|ms  |

  Scenario: In a loop, metrics are sent without being asked for
    Given a statsd server and metrics that go to it
    When a start is counted in a loop that runs for a while
    Then the statsd server gets, in packets of at most 1200 bytes
      | line                         |
      | glenmorrow.agent.starts:1\|c |

  Scenario: A statsd server that is away costs nothing
    The metrics host is being replaced. Its absence must never reach a caller.
    Given metrics that go to a statsd server that is away
    When 1000 starts are counted, a gauge set twice and 3 timings taken
    Then nothing is raised, then or with the next ones

  Scenario: Without a statsd section nothing is sent
    Given metrics without settings
    When 1000 starts are counted, a gauge set twice and 3 timings taken
    Then nothing is raised, then or with the next ones
