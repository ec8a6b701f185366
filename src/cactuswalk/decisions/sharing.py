"""Division of a service's slots between cells.

Load pattern: cells are added while requests arrive, are emptied before their hosts are
replaced, and differ in size. Without shares that follow the workers, a new cell would
idle beside a full one, and an emptied cell would refuse its share of the requests
permanently.

Two cells at a time balance their slots, in proportion to their worker slots; no node
has to know all cells.
"""

import msgspec

from cactuswalk.model.holding import Holding

__all__ = [
    "cede",
    "cession_begins_ms",
    "retire",
    "slots_to_cede",
    "take",
    "without_superseded",
]

# Differences below this part of the fair share are left alone. Balanced to the last
# slot, two cells whose workers come and go would exchange slots endlessly.
TOLERANCE = 0.25


def slots_to_cede(mine: int, my_workers: int, theirs: int, their_workers: int) -> int:
    """Return how many slots to cede to a cell that requests them.

    :param mine: open slots here.
    :param my_workers: worker slots of the service here.
    :param theirs: open slots at the requesting cell.
    :param their_workers: worker slots of the service at the requesting cell.
    """
    if their_workers <= 0:
        return 0
    fair = (mine + theirs) * their_workers // (my_workers + their_workers)
    wanted = fair - theirs
    if wanted <= 0 or (my_workers and theirs and wanted < TOLERANCE * fair):
        return 0
    return min(mine, wanted)


def cession_begins_ms(
    holdings: list[Holding], service: str, wall_ms: float, latest_ms: int, ahead_ms: int
) -> int:
    """Return the earliest key birth time for which a cell may cede slots.

    It is later than every key that the cell has accepted and later than the start of
    each of its holdings: if this clock is behind that of the cell which ceded them, the
    cession would otherwise include births that the earlier holder kept.

    :param latest_ms: the latest birth of a key that was accepted here.
    :param ahead_ms: how far ahead of this clock a key may be born.
    """
    began = [one.since_ms for one in holdings if one.service == service]
    return max(int(wall_ms) + ahead_ms, latest_ms + 1, *(at + 1 for at in began))


def cede(
    holdings: list[Holding], service: str, to: str, count: int, from_ms: int
) -> list[Holding]:
    """Return the holdings after ceding slots for keys born from a time on.

    Whole holdings are ceded first and only the last one in part, so that there are few.
    """
    serial = 1 + max((one.serial for one in holdings), default=0)
    found: list[Holding] = []
    for one in reversed(holdings):
        width = one.last - one.first + 1
        if one.service != service or one.until_ms or count <= 0:
            found.append(one)
            continue
        given = min(width, count)
        count -= given
        border = one.last - given + 1
        found.append(
            msgspec.structs.replace(
                one, first=border, until_ms=from_ms, to=to, serial=serial
            )
        )
        if given < width:
            found.append(msgspec.structs.replace(one, last=border - 1))
    return found[::-1]


def retire(holdings: list[Holding], to: str, from_ms: int) -> list[Holding]:
    """Return the holdings of a cell that is gone for good: all ceded to another."""
    services = {one.service for one in holdings}
    for service in sorted(services):
        count = sum(one.last - one.first + 1 for one in holdings)
        begun = [one.since_ms + 1 for one in holdings if one.service == service]
        holdings = cede(holdings, service, to, count, max(from_ms, *begun))
    return holdings


def take(
    holdings: list[Holding], source: str, ceded: list[Holding], after: int
) -> list[Holding]:
    """Return the holdings after accepting the cessions with a later serial."""
    return holdings + [
        Holding(one.service, one.first, one.last, one.until_ms, source=source)
        for one in ceded
        if one.serial > after
    ]


def without_superseded(holdings: list[Holding], before_ms: float) -> list[Holding]:
    """Drop ended holdings for which no records are kept any more.

    The latest one of its slots is kept, so that entries can be redirected from here.
    """
    return [
        one
        for one in holdings
        if not one.until_ms
        or one.until_ms > before_ms
        or not any(_follows(other, one) for other in holdings)
    ]


def _follows(other: Holding, one: Holding) -> bool:
    return (
        other.service == one.service
        and other.since_ms >= one.until_ms
        and other.first <= one.first
        and other.last >= one.last
    )
