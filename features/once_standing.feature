Feature: What an owner keeps of its members is what it would find by looking

  Scenario: Kept standing and usable workers are those that a full look finds
    An owner looks all its members over only when something that concerns all has
    changed. Were its notes to outlive a lost pong, a member that leaves or a change
    of the roster, it would start tasks or say "not run" while another owner serves.
    Given a cell of 6 that loses half of its pings and pongs
    When members die, come back and stop for 20 seconds
    Then at each moment the owner's notes were those of a full look

  Scenario: A pong costs the same in a large cell as in a small one
    With each pong an owner looked at every member, and at each for its place in the
    roster: a cell of 64 took sixteen times the processor time of one of 16, and its
    callers' starts waited for it.
    When idle cells of 8 and 32 are watched for 5 seconds
    Then the larger one's owner looks at members five times as often at most

  Scenario: A ping that is lost is sent again before the worker counts as away
    A member that has confirmed a ping is left out of the next round. Were it so when
    its ping was lost too, its last word would be a second old: it would get no work
    for as long, and its callers would wait beside a free worker.
    Given an idle cell in which each second ping to a worker's agent is lost
    When 10 seconds have passed
    Then that worker could be given work throughout

  Scenario: Starts that run are not asked after
    A pong lists the starts that its agent runs, in few bytes. Misread, each would be
    taken for lost and asked after: messages that help no caller.
    Given an idle cell of 3
    When every slot runs a task for 3 seconds
    Then no start was asked after
