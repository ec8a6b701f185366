"""Which submissions a cell holds: slots of a service, by the key's birth."""

import msgspec

from cactuswalk.model.identifier import digest

__all__ = [
    "SLOT_COUNT",
    "Holding",
    "ServiceRecord",
    "covers",
    "open_slots",
    "service_key",
    "slot_of",
    "successor",
]

# Two slots for each of the 518 cells that docs/CAPACITY.md reckons with at the
# target, if one service were on all of them; a record of 16 cells takes 1.8 KB.
SLOT_COUNT = 1024


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """A span of a service's slots that a cell holds, for keys born in a span of time.

    Who holds a key never changes: a cell cedes only keys that are not born yet.

    :param first: the first slot, ``last`` the last one.
    :param since_ms: births from this wall clock on, in milliseconds.
    :param until_ms: births before this; 0 as long as nothing was ceded.
    :param source: the cell that ceded it to this one, empty at the first holder.
    :param to: the cell that later births were ceded to.
    :param serial: of the cession; the receiver takes each serial once.
    """

    service: str
    first: int
    last: int
    since_ms: int
    until_ms: int = 0
    source: str = ""
    to: str = ""
    serial: int = 0

    def has(self, slot: int, born_ms: int) -> bool:
        """Tell whether a key of this slot and birth is in it."""
        if not self.first <= slot <= self.last or born_ms < self.since_ms:
            return False
        return self.until_ms == 0 or born_ms < self.until_ms


class ServiceRecord(msgspec.Struct):
    """What the key-value service keeps of a service's cells.

    :param founder: the life of the cell that held all slots first; settled by
        the swap that creates the key, and never changed.
    :param cells: names of the cells that take part, the founder first.
    :param write_id: names the write, for the platform's client to settle it by.
    """

    founder: str
    cells: list[str]
    write_id: str


def service_key(service: str) -> str:
    """Return the key of a service's record in the key-value service."""
    return f"holders/{service}"


def slot_of(submission: str) -> int:
    """Return the slot of a submission: the same on every node, for ever."""
    return int.from_bytes(digest(submission.encode())[:8], "big") % SLOT_COUNT


def covers(
    holdings: list[Holding], service: str, submission: str, born_ms: int
) -> bool:
    """Tell whether a submission falls to the holder of these."""
    slot = slot_of(submission)
    return any(one.service == service and one.has(slot, born_ms) for one in holdings)


def open_slots(holdings: list[Holding], service: str) -> int:
    """Return how many slots are held for keys that are yet to be born."""
    return sum(
        one.last - one.first + 1
        for one in holdings
        if one.service == service and one.until_ms == 0
    )


def successor(
    holdings: list[Holding], service: str, submission: str, born_ms: int
) -> str:
    """Return the cell to ask about a submission that these don't cover.

    Empty if its slot was never held here.
    """
    slot = slot_of(submission)
    later, earlier = "", ""
    for one in holdings:
        if one.service != service or not one.first <= slot <= one.last:
            continue
        if one.until_ms and born_ms >= one.until_ms:
            later = one.to
        elif born_ms < one.since_ms:
            earlier = earlier or one.source
    return later or earlier
