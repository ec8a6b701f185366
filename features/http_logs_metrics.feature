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
