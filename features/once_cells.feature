Feature: One service on several cells
  Cells are added and removed, and entries learn of it at different times. The checks
  use the callers' replies and the upstreams' records.

  Scenario: Two entries know different cells of one service
    A second cell has just started, and only one entry knows it. A caller whose
    connection broke resubmits its booking through the other entry. If each entry
    chose among the cells that it knows, the booking would be made twice.
    Given two cells of one service and an entry that knows only the first
    When 40 keys are submitted at both entries
    Then every submission at either entry is answered and ran once

  Scenario: A cell vanishes from an entry's view
    An entry is restarted while a cell has no owner that could announce itself. Keys
    that ran in that cell are resubmitted there. If the entry chose among the cells
    that it knows, they would all run again in the other cell.
    Given two cells of one service and an entry that knows only the first
    When 40 keys are submitted at the entry that knows both and then at the other
    Then every submission at either entry is answered and ran once

  Scenario: A host changes its cell
    A host is moved to another cell, and its old cell is taken over before the host is
    removed from the roster there. The new owner fences it with the old cell's epoch.
    If the host accepted that epoch for its new cell, the epoch would have two owners:
    agents of the new cell would stop, or its owner would step down.
    Given two cells of one service and an entry that knows only the first
    When a host of the first cell starts in the second, and the first is taken over
    Then the second cell has the owner and the epoch that it had

  Scenario: A cession takes effect though its reply is lost
    A cell cedes slots; the key-value service applies the swap and fails before its
    reply. If the owner still served the ceded keys, the new cell would serve them
    again after a resubmission, and a booking would be made twice.
    Given two cells of one service and an entry that knows only the first
    When a cession's reply is lost, and keys come before and after it is known
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: The message of a cession is delivered twice
    The network delays a copy of the message that slots were ceded, until its receiver
    has ceded some of them to a third cell. If they were accepted again, both cells
    would hold them, and bookings would be made twice.
    Given two cells of one service and an entry that knows only the first
    When each message of a cession is repeated 20 s later, and a third cell asks
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: The owner of a ceding cell dies before it has notified the new cell
    The swap is in force, and the new cell does not know of it. Nobody would hold
    those slots, and their callers would be refused permanently.
    Given two cells of one service and an entry that knows only the first
    When the owner of a ceding cell dies as its swap takes effect
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: Only keys that are created in the future are ceded
    Existing keys may have run here. Entries' clocks differ; a key just created by the
    entry whose clock is furthest ahead must stay as well. The receiving cell refuses
    such keys as too old, so that no reply would show the fault.
    Given two cells of one service and an entry that knows only the first
    When a third cell asks for its share
    Then the ceded keys are born later than the clock furthest ahead says now

  Scenario: A cell cedes slots that it got from a cell whose clock is ahead
    The clock of a cell's owner is a minute behind. It cedes slots to a third cell from
    a time, by its own clock, before it got them. Keys of that time stayed with the
    first cell, and both cells would run them.
    Given two cells of one service and an entry that knows only the first
    When a cell whose clock is a minute behind is asked for its share
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: Two cells begin to serve a new service at one moment
    Both find that nobody holds its slots, both write that they do, and one reply is
    lost. With two initial holders every key of the service could run twice.
    Given two cells of one service and an entry that knows only the first
    When both cells begin a new service at once and replies are lost
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: An owner is replaced after its cell has ceded
    The owner dies, another agent takes the cell over, and a new cell asks it for
    slots. If it did not know what its cell had ceded, or ceded keys without having
    their records, resubmitted keys would run again.
    Given two cells of one service and an entry that knows only the first
    When both cells' owners are replaced, a third cell asks, and every key comes again
    Then no submission ran twice and no key falls to two cells
    And every slot of the service is held once for new keys

  Scenario: A cell's workers withdraw
    The upstreams of a cell are withdrawn. Without a cession, half of all keys would be
    refused for lack of a worker although the other cell has capacity.
    Given two cells of one service and an entry that knows only the first
    When the workers of the first cell withdraw for 20 s
    Then the second cell holds all new keys and answers them at either entry
    And no submission ran twice and no key falls to two cells

  Scenario: A cell loses its owner while the key-value service is away
    Nobody can take the cell over. Requests without a caller's key get one that the
    other cell holds. A caller's own key stays where it may have run, and is refused
    at once with a retry time, not held until the service returns.
    Given two cells of one service and an entry that knows only the first
    When the service goes away, an owner dies, and requests with and without keys come
    Then all without keys are answered, and those with keys of the lost cell are told unknown at once
    And no submission ran twice and no key falls to two cells

  Scenario: A cell's hosts are permanently lost and an operator retires it
    All hosts of a cell are lost. Its share of callers' keys is refused until an
    operator assigns it to the other cell. Its records are lost too, so keys that may
    have run there must not run again.
    Given two cells of one service and an entry that knows only the first
    When keys are answered, the second cell is permanently lost, and it is retired
    Then the first cell holds all new keys and answers them at either entry
    And the lost cell's earlier keys are answered as unknown when they are resubmitted
    And no submission ran twice and no key falls to two cells
