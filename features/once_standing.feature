Feature: An owner's cached view of its members equals a full check

  Scenario: Cached standing and usable workers equal those of a full check
    An owner checks all members only when something that concerns all has changed.
    With a cache that is stale after a lost pong, a member that leaves or a change of
    the roster, it would start tasks or say "not run" while another owner serves.
    Given a cell of 6 that loses half of its pings and pongs
    When members die, come back and stop for 20 seconds
    Then at each event the owner's cache equalled a full check

  Scenario: A pong costs the same in a large cell as in a small one
    An owner that checked every member on each pong, and searched the roster for each
    of them, took sixteen times the processor time in a cell of 64 as in one of 16, and
    starts were delayed.
    When idle cells of 8 and 32 are watched for 5 seconds
    Then the larger one's owner checks members five times as often at most

  Scenario: A ping that is lost is sent again before the worker counts as away
    A member that has confirmed a ping is skipped in the next round. If it were also
    skipped after a lost ping, its last confirmation would be a second old. It would
    get no work for that long, although it is free.
    Given an idle cell in which each second ping to a worker's agent is lost
    When 10 seconds have passed
    Then that worker could be given work throughout

  Scenario: Running starts are not probed
    A pong lists the running starts of its agent in a compact form. If the owner
    decoded it wrongly, it would take each start for lost and send a needless probe.
    Given an idle cell of 3
    When every slot runs a task for 3 seconds
    Then no start was probed
