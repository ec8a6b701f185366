Feature: Workers fail, drag, freeze and return, and callers declare wrongly

  What callers receive with the decisions, and from a first come first served queue
  without them, on the same arrivals.

  Scenario: A black-hole worker
    One worker fails everything within a millisecond, so that its slots are always
    free. Without decisions it draws nearly all the work, and four of five callers
    get a failure.
    When the situation "black hole" is run with and without the decisions
    Then with the decisions at least 97% of callers "all" are answered
    And without the decisions at least 50% of callers "all" fail

  Scenario: A slow upstream that then freezes
    An upstream turns ten times slower, and five seconds later stops answering. A
    job with one task there waits for it. Without decisions each large job has such
    a task, and callers whose requests hang there wait for nothing.
    When the situation "slow upstream" is run with and without the decisions
    Then with the decisions at least 99.5% of callers "all" are answered
    And with the decisions the p99 slowdown of callers "all" is at most 2.0
    And without the decisions the p99 slowdown of callers "all" is at least 3.0

  Scenario: A rack of workers returns cold
    Three workers come back after a replacement of their switch. While they are
    cold, tasks that run there together slow each other down. Without decisions the
    idle workers draw a full load at once, and callers of that moment wait longest.
    When the situation "rack returns" is run with and without the decisions
    Then with the decisions at least 99% of callers "return" are answered
    And with the decisions the p99 slowdown of callers "return" is at most 5.2
    And without the decisions the p99 slowdown of callers "return" is at least 8.0

  Scenario: Run times declared ten times too long
    All callers declare ten times the true run time. Believed, half of them would be
    refused while slots stand idle.
    When the situation "declared ten times too long" is run with and without the decisions
    Then with the decisions at least 99.5% of callers "all" are answered
    And with the decisions the p99 slowdown of callers "all" is at most 5.0

  Scenario: Run times declared ten times too short
    All callers declare a tenth of the true run time. Believed, the queue would look
    empty, and work would be taken in that can't be answered in time.
    When the situation "declared ten times too short" is run with and without the decisions
    Then with the decisions at least 99.5% of callers "all" are answered
    And with the decisions the p99 slowdown of callers "all" is at most 5.0
