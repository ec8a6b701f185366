Feature: More work comes than the workers can do

  What callers receive with the decisions, and from a first come first served queue
  without them, on the same arrivals.

  Scenario: A burst of ten times the capacity
    Road closures after a storm make every depot rebuild its routes in one second.
    Without decisions the queue holds ten seconds of work: who comes after the burst
    waits behind all of it, and many drivers get their answer after they have left.
    When the situation "burst" is run with and without the decisions
    Then with the decisions at least 75% of callers "after" are answered
    And with the decisions at least 98% of refusals of callers "burst" come at once
    And with the decisions the p50 slowdown of callers "after" is at most 2.0
    And without the decisions the p50 slowdown of callers "after" is at least 8.0
    And with the decisions at most 1% of callers "burst" fail
    And without the decisions at least 25% of callers "burst" fail

  Scenario: Lasting overload at 150%
    Half more comes than can be done, for as long as the morning lasts. Without
    decisions everyone waits until the deadline is near, and a third wait in vain.
    When the situation "lasting overload" is run with and without the decisions
    Then with the decisions the useful throughput of callers "all" is at least 0.95
    And with the decisions at least 70% of callers "all" are answered
    And with the decisions at least 95% of refusals of callers "all" come at once
    And with the decisions at most 0.3% of callers "all" fail
    And with the decisions the p50 slowdown of callers "all" is at most 1.5
    And without the decisions the p50 slowdown of callers "all" is at least 5.0

  Scenario: A peak that passes
    On a school morning the work of a minute fits into the minute, but for some
    twenty seconds more comes than can be done at once. Whoever is refused then sees
    slots for which he could have waited; whoever reckons that all are passed by
    the fair share refuses two in a hundred.
    When the situation "passing peak" is run with and without the decisions
    Then with the decisions at least 99.5% of callers "all" are answered
    And with the decisions the useful throughput of callers "all" is at least 0.91
    And with the decisions the p50 slowdown of callers "all" is at most 1.2
    And with the decisions the p99 slowdown of callers "all" is at most 50
    And without the decisions the p50 slowdown of callers "all" is at least 3.0

  Scenario: A cancellation wave of ten thousand
    A planning run has queued 10,000 checks and is called off. The members who ask
    after it notice nothing; they would if each cancel searched the whole queue, or
    if the cancelled checks kept their places in it.
    When the situation "cancellation wave" is run with and without the decisions
    Then with the decisions at least 100% of callers "after" are answered
    And with the decisions the p99 slowdown of callers "after" is at most 1.5
    And with the decisions the p99 slowdown of callers "before" is at most 3.0
    And without the decisions the p99 slowdown of callers "before" is at least 10.0

  Scenario: A job that fits nowhere
    Someone declares 100 GB where workers have 64. Without decisions that request
    stands at the head of the queue until its deadline, and nobody behind it is
    served; its caller learns nothing and sends it again.
    When the situation "fits nowhere" is run with and without the decisions
    Then with the decisions at least 100% of refusals of callers "large" come at once
    And with the decisions at most 0% of callers "large" are answered
    And with the decisions at most 0% of callers "large" fail
    And with the decisions at least 99% of callers "others" are answered
    And without the decisions at least 5% of callers "others" fail
    And without the decisions the p50 slowdown of callers "others" is at least 5.0
