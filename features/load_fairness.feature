Feature: One caller, team, key or kind of work takes more than its part

  What callers receive with the decisions, and from a first come first served queue
  without them, on the same arrivals.

  Scenario: A hot caller
    A client of a depot loops and sends 150% of the capacity by itself. Without
    decisions its backlog stands before everyone else's of the same depot, and a
    quarter of them get no answer in time.
    When the situation "hot caller" is run with and without the decisions
    Then with the decisions at least 99% of callers "others" are answered
    And with the decisions the p99 slowdown of callers "others" is at most 3.0
    And without the decisions at least 20% of callers "others" fail

  Scenario: Two teams of which one floods
    One team sends twice the capacity, another a tenth of it. Without decisions the
    small team is drowned: it gets as little as the flooding one.
    When the situation "flooding team" is run with and without the decisions
    Then with the decisions at least 99% of callers "light" are answered
    And with the decisions the p99 slowdown of callers "light" is at most 3.0
    And without the decisions at least 30% of callers "light" fail
    And with the decisions the useful throughput of callers "flood" is at least 0.80

  Scenario: A hot key
    A third of all lookups are about one kennel. A worker that does not have a
    kennel's data at hand takes three times as long, and holds eight of them. Without
    decisions every worker has to load every kennel again and again; if the key were
    bound to one worker, its owners would queue there.
    When the situation "hot key" is run with and without the decisions
    Then with the decisions at least 99.5% of callers "hot" are answered
    And with the decisions the p99 slowdown of callers "hot" is at most 1.5
    And with the decisions the p50 slowdown of callers "others" is at most 1.2
    And without the decisions the p50 slowdown of callers "hot" is at least 2.0
    And without the decisions the p50 slowdown of callers "others" is at least 2.0

  Scenario: Long tasks among short ones
    A batch of 200 tasks of five seconds comes while members look up stop times.
    Without decisions all slots hold long tasks for seconds, and a quarter of the
    lookups are never answered.
    When the situation "long among short" is run with and without the decisions
    Then with the decisions at least 100% of callers "lookups" are answered
    And with the decisions the p99 slowdown of callers "lookups" is at most 1.5
    And without the decisions at least 20% of callers "lookups" fail
    And with the decisions at least 100% of callers "batch" are answered
    And with the decisions the p99 slowdown of callers "batch" is at most 6.0
