Feature: One service on several cells
  Cells come and go, and entries learn of it at different times. Callers' replies
  and the upstreams' records are the judges.

  Scenario: Two entries know different cells of one service
    A second cell has just come up, and only one entry has heard of it. A caller
    whose connection broke sends its booking again, through the other entry. With
    each entry choosing among the cells that it knows, two pens would be taken.
    Given two cells of one service and an entry that knows only the first
    When 40 keys are submitted at both entries
    Then every submission at either entry is answered and ran once

  Scenario: A cell vanishes from an entry's view
    An entry is restarted while a cell has no owner that it could have heard of.
    Keys that ran in that cell come again there. With the choice left to what the
    entry knows, they would all run again in the other cell.
    Given two cells of one service and an entry that knows only the first
    When 40 keys are submitted at the entry that knows both and then at the other
    Then every submission at either entry is answered and ran once

  Scenario: A host changes its cell
    A host is given to another cell, and its old cell is taken over before it is off
    the roster there. The new owner fences it with its own epoch. Taken there, the
    epoch would have two owners: agents of the other cell stop, or its owner steps
    down, and its callers wait.
    Given two cells of one service and an entry that knows only the first
    When a host of the first cell starts in the second, and the first is taken over
    Then the second cell has the owner and the epoch that it had

  Scenario: A cession takes effect though its reply is lost
    A cell cedes slots, the key-value service applies the swap and then goes away
    with its reply. The owner can't know. If it served the ceded keys meanwhile, the
    new cell would serve them again when the caller comes back, and a booking would
    be made twice.
    Given two cells of one service and an entry that knows only the first
    When a cession's reply is lost, and keys come before and after it is known
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: The word of a cession comes a second time
    The network holds back a copy of the word that slots were ceded, until its
    receiver has ceded some of them to a third cell. Taken again, they would be
    held by both, and callers of either would have their bookings made twice.
    Given two cells of one service and an entry that knows only the first
    When each word of a cession comes again 20 s later, and a third cell asks
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: The owner of a ceding cell dies before it has told anybody
    The swap is in force, and the new cell has not heard of it. Nobody would hold
    those slots, and their callers would be refused for ever.
    Given two cells of one service and an entry that knows only the first
    When the owner of a ceding cell dies as its swap takes effect
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: Only keys that are yet to be born are ceded
    Keys that are born already may have run here. Entries' clocks differ; a key that
    one of them has just given out, by the clock furthest ahead, must stay as well.
    The receiving cell refuses such keys as too old, so that no reply shows the fault.
    Given two cells of one service and an entry that knows only the first
    When a third cell asks for its share
    Then the ceded keys are born later than the clock furthest ahead says now

  Scenario: A cell cedes what a clock ahead of its own gave it
    A cell's owner has a clock that is a minute behind. It cedes slots to a third
    cell, by its clock from a moment before it got them: those keys stayed with the
    first cell, and callers would have them run by both.
    Given two cells of one service and an entry that knows only the first
    When a cell whose clock is a minute behind is asked for its share
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: Two cells begin to serve a new service at one moment
    Both find that nobody holds it, both write that they do, and one reply is lost.
    With two first holders every key of it could run twice.
    Given two cells of one service and an entry that knows only the first
    When both cells begin a new service at once and replies are lost
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: An owner is replaced after its cell has ceded
    The owner dies, another agent takes the cell over, and a new cell asks it for
    slots. If it did not know what its cell had ceded, or ceded keys of which it has
    no records, they would run again when their callers come back.
    Given two cells of one service and an entry that knows only the first
    When both cells' owners are replaced, a third cell asks, and every key comes again
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: A cell's workers withdraw
    The upstreams of a cell are taken away. Its slots would be refused for want of
    a worker though the other cell has room; callers of half of all keys would
    notice.
    Given two cells of one service and an entry that knows only the first
    When the workers of the first cell withdraw for 20 s
    Then the second cell holds all new keys and answers them at either entry
    And no submission ran twice and no key falls to two cells

  Scenario: A cell loses its owner while the key-value service is away
    Nobody can take the cell over. Requests without a key of the caller's are drawn
    to the other cell; a caller's own key stays where it may have run, and is
    refused at once with a time to come back, not held until the service returns.
    Given two cells of one service and an entry that knows only the first
    When the service goes away, an owner dies, and requests with and without keys come
    Then all without keys are answered, and those with keys of the lost cell are told unknown at once
    And no submission ran twice and no key falls to two cells

  Scenario: A cell's hosts are gone for good and an operator retires it
    A room burns down with a whole cell. Its share of callers' keys is refused until
    an operator gives it to the other cell. What had run there nobody knows; run
    again, a booking would be made twice.
    Given two cells of one service and an entry that knows only the first
    When keys are answered, the second cell is lost for good, and it is retired
    Then the first cell holds all new keys and answers them at either entry
    And the lost cell's keys of before are told unknown when they come again
    And no submission ran twice and no key falls to two cells
