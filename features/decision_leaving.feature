Feature: A stopping entry exits after its balancer has stopped sending

  Scenario: A balancer that checks readiness late
    The balancer's host is busy during an upgrade: it checks readiness only after
    five seconds and sends requests until then. An entry that exited after three
    seconds would refuse the later ones.
    Given an entry that a balancer asks for readiness each second
    When it gets a submission each half second, and the balancer asks after 5 s
    Then it exits between 6 and 7 seconds after it was told to stop

  Scenario: A balancer that checks readiness promptly
    If every entry waited for the worst case, an upgrade of many hosts would take
    too long.
    Given an entry that a balancer asks for readiness each second
    When it gets a submission each half second, and the balancer asks after 1 s
    Then it exits between 3 and 4 seconds after it was told to stop

  Scenario: A balancer that never checks readiness again
    The balancer is down or uses another check. An entry that waited for it without
    limit could never be replaced, and a supervisor would kill it with requests in
    flight.
    Given an entry that a balancer asks for readiness each second
    When it gets a submission each half second, and the balancer asks after 99 s
    Then it exits between 20 and 21 seconds after it was told to stop

  Scenario: An entry without a balancer
    A single entry is stopped; only the program that started it has checked until it
    was ready. It has no balancer to wait for, and a supervisor would kill it after
    ten seconds.
    Given an entry that was asked for readiness while it started only
    When it gets no submission
    Then it exits between 3 and 4 seconds after it was told to stop
