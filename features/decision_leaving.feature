Feature: An entry leaves when its balancer has noticed

  Scenario: A balancer that is slow to notice
    The balancer's host is busy in the middle of an upgrade: it asks for readiness
    only after five seconds, and sends on until then. An entry that left after
    three would refuse what comes later, and its callers would see an upgrade.
    Given an entry that a balancer asks for readiness each second
    When it gets a submission each half second, and the balancer asks after 5 s
    Then it leaves between 6 and 7 seconds after it was told to

  Scenario: A balancer that is quick to notice
    An upgrade of many hosts would take long if each waited for the worst case.
    Given an entry that a balancer asks for readiness each second
    When it gets a submission each half second, and the balancer asks after 1 s
    Then it leaves between 3 and 4 seconds after it was told to

  Scenario: A balancer that never asks again
    The balancer has died, or looks at something else. An entry that waited for it
    without end would never be replaced, and a supervisor would kill it with
    requests in flight.
    Given an entry that a balancer asks for readiness each second
    When it gets a submission each half second, and the balancer asks after 99 s
    Then it leaves between 20 and 21 seconds after it was told to

  Scenario: An entry without a balancer
    A single entry is stopped; only whoever started it has waited until it was
    ready. It has nobody to wait for, and a supervisor would end it in ten seconds.
    Given an entry that was asked for readiness while it started only
    When it gets no submission
    Then it leaves between 3 and 4 seconds after it was told to
