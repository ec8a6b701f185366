Feature: Second attempts of idempotent requests, and of nothing else

  Scenario: A lookup whose worker dies is tried again
    The worker dies with a stop lookup on it. Its caller declared that running it
    twice does no harm, and should get the answer within its deadline.
    Given a settled cell of second attempts
    When an idempotent request of 800 ms runs on a worker that then dies
    Then its caller is answered, and it started twice at most

  Scenario: A seat check whose worker dies is not tried again
    The same happens to a seat check. Nobody knows whether the seat was taken, so
    the truth is unknown, and a second try could take a second seat.
    Given a settled cell of second attempts
    When a request that is not idempotent runs on a worker that then dies
    Then its caller is told unknown, and it started once

  Scenario: A lookup that an upstream fails is tried again
    The upstream answers with an error. Another worker's may well answer.
    Given a settled cell of second attempts
    When an idempotent request meets an upstream that fails
    Then its caller is answered, and it started twice at most

  Scenario: A straggler is overtaken
    One worker hangs with a lookup while the others are idle. Its caller would wait
    for as long as the worker hangs.
    Given a settled cell of second attempts
    And its operators want stragglers overtaken
    And 200 requests of 20 ms have been answered
    When an idempotent request hangs for 5 seconds on its worker
    Then its caller is answered within 2 seconds, once

  Scenario: Stragglers are waited for where operators have not asked for more
    Each second attempt is a call that no answer needs. Lăbuța Unită weighs these
    more than a long wait, so nobody pays for them without having asked.
    Given a settled cell of second attempts
    And 200 requests of 20 ms have been answered
    When an idempotent request hangs for 2 seconds on its worker
    Then it started once

  Scenario: Both attempts of a request come to an end
    The straggler answers in the end, after its caller has the other attempt's
    answer. The late answer must change nothing, and both slots are free again.
    Given a settled cell of second attempts
    And its operators want stragglers overtaken
    And 200 requests of 20 ms have been answered
    When an idempotent request hangs for 2 seconds on its worker
    Then its caller is answered within 2 seconds, once
    And no attempt holds a slot in the end
