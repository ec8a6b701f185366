"""Assignment of submissions to cells, by slot of a service and creation time."""

import msgspec

from cactuswalk.model.identifier import compute_digest

__all__ = [
    "SLOT_COUNT",
    "Holding",
    "ServiceRecord",
    "holds_submission",
    "count_open_slots",
    "service_key",
    "compute_slot",
    "find_next_holder",
]

# Two slots for each of the 518 cells that docs/CAPACITY.md plans for at the target
# load, if one service were on all of them; a record of 16 cells takes 1.8 KB.
SLOT_COUNT = 1024


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """A range of a service's slots that a cell holds, for keys created in an interval.

    The holder of a key never changes: a cell cedes only keys created in the future.

    :param first: the first slot of the range.
    :param last: the last slot of the range, inclusive.
    :param since_ms: start of the interval, wall clock in milliseconds.
    :param until_ms: end of the interval, exclusive; 0 until the range is ceded.
    :param ceded_by: the cell that ceded the range to this one; empty for the first
        holder.
    :param ceded_to: the cell that holds keys created after the interval.
    :param serial: of the cession; the receiving cell accepts each serial once.
    """

    service: str
    first: int
    last: int
    since_ms: int
    until_ms: int = 0
    ceded_by: str = ""
    ceded_to: str = ""
    serial: int = 0

    def contains(self, slot: int, created_ms: int) -> bool:
        """Return whether a key with this slot and creation time belongs to it."""
        if not self.first <= slot <= self.last or created_ms < self.since_ms:
            return False
        return self.until_ms == 0 or created_ms < self.until_ms


class ServiceRecord(msgspec.Struct):
    """The record of a service's cells in the key-value service.

    :param founder: name and identity of the cell that first held all slots; set by
        the swap that creates the key, and never changed.
    :param cells: names of the cells that serve it, the founder first.
    :param write_id: identifies the write, by which the platform's client resolves a
        swap whose outcome is in doubt.
    """

    founder: str
    cells: list[str]
    write_id: str


def service_key(service: str) -> str:
    """Return the key of a service's record in the key-value service."""
    return f"holders/{service}"


def compute_slot(submission: str) -> int:
    """Return the slot of a submission, which is the same on every node for ever."""
    return int.from_bytes(compute_digest(submission.encode())[:8], "big") % SLOT_COUNT


def holds_submission(
    holdings: list[Holding], service: str, submission: str, created_ms: int
) -> bool:
    """Return whether a submission belongs to the cell with these holdings."""
    slot = compute_slot(submission)
    return any(
        holding.service == service and holding.contains(slot, created_ms)
        for holding in holdings
    )


def count_open_slots(holdings: list[Holding], service: str) -> int:
    """Return the number of slots held for keys created in the future."""
    return sum(
        holding.last - holding.first + 1
        for holding in holdings
        if holding.service == service and holding.until_ms == 0
    )


def find_next_holder(
    holdings: list[Holding], service: str, submission: str, created_ms: int
) -> str:
    """Return the cell to ask about a submission that these holdings don't contain.

    Returns an empty string if the cell has never held its slot.
    """
    slot = compute_slot(submission)
    later, earlier = "", ""
    for holding in holdings:
        if holding.service != service or not holding.first <= slot <= holding.last:
            continue
        if holding.until_ms and created_ms >= holding.until_ms:
            later = holding.ceded_to
        elif created_ms < holding.since_ms:
            earlier = earlier or holding.ceded_by
    return later or earlier
