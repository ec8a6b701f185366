Feature: Workers that come and go, judged by what callers receive

  Scenario: A host that reboots in a loop
    A worker lives for four seconds, dies, and is back a second later, again and
    again. In each life it earns all its slots, and takes with it the bookings that
    run when it dies. Callers would be told unknown eight times for each life.
    Given a directed cell without work
    When a worker dies every five seconds, eight times, under a full load of bookings
    Then at most 24 of the callers were told unknown
    And the other callers were answered, or told "not run" of what did not run
    And no promise was broken in the directed run

  Scenario: A crash is no flapping
    Two processes of a worker crash on one evening. If it were held back for that,
    a rack that is replaced would be missing when its callers need it.
    Given a directed cell without work
    When a worker dies every five seconds, two times, under a full load of bookings
    Then the worker that was away gets work again within 5 s

  Scenario: A long pause is no death
    A virtual machine is moved: its agent stands still for six seconds and knows
    nothing of it, three times. It is suspected wrongly, taken off the roster, and
    comes back with all that it knows. Callers must not find a booking made twice,
    nor its worker missing afterwards.
    Given a directed cell without work
    When a worker is frozen for 6 s, three times, under a full load of bookings
    Then the worker that was away gets work again within 5 s
    And the other callers were answered, or told "not run" of what did not run
    And no promise was broken in the directed run

  Scenario: All hosts of a cell reboot in a loop
    A bad kernel goes to every host. Held back for it, all of them would be away at
    once, and callers would be refused by a cell whose workers are up.
    Given a scheduler with 9 workers that have each died three times
    When all of them are back
    Then at most 3 of them are held back
