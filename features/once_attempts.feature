Feature: Second attempts, for idempotent requests only

  Scenario: A lookup whose worker dies is retried
    The worker dies while it runs a stop lookup. Its caller declared the request
    idempotent and should get the answer within its deadline.
    Given a settled cell of second attempts
    When an idempotent request of 800 ms runs on a worker that then dies
    Then its caller is answered, and it started twice at most

  Scenario: A seat check whose worker dies is not retried
    The worker dies while it runs a seat check. It is unknown whether the seat was
    taken; a second attempt could take a second one.
    Given a settled cell of second attempts
    When a request that is not idempotent runs on a worker that then dies
    Then its caller is told unknown, and it started once

  Scenario: A lookup whose upstream fails is retried
    The upstream answers with an error, but that of another worker may succeed.
    Given a settled cell of second attempts
    When an idempotent request meets an upstream that fails
    Then its caller is answered, and it started twice at most

  Scenario: A straggler is hedged
    A worker hangs with a lookup while the others are idle. Without a second attempt
    the caller would wait as long as the worker hangs.
    Given a settled cell of second attempts
    And its operators enable hedging
    And 200 requests of 20 ms have been answered
    When an idempotent request hangs for 5 seconds on its worker
    Then its caller is answered within 2 seconds, once

  Scenario: Stragglers are not hedged unless operators enable it
    Most hedged attempts are wasted calls. Lăbuța Unită considers these worse than a
    long wait, so hedging is disabled by default.
    Given a settled cell of second attempts
    And 200 requests of 20 ms have been answered
    When an idempotent request hangs for 2 seconds on its worker
    Then it started once

  Scenario: Both attempts of a request come to an end
    The straggler answers after its caller has the answer of the other attempt. The
    late answer must change nothing, and both slots must be free again.
    Given a settled cell of second attempts
    And its operators enable hedging
    And 200 requests of 20 ms have been answered
    When an idempotent request hangs for 2 seconds on its worker
    Then its caller is answered within 2 seconds, once
    And no attempt holds a slot in the end
