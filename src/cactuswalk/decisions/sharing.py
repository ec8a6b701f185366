"""Division of a service's slots between cells.

Load pattern: cells are added while requests arrive, are emptied before their hosts are
replaced, and differ in size. Without shares that follow the workers, a new cell would
idle beside a full one, and an emptied cell would refuse its share of the requests
permanently.

A holding is a range of a service's slots that a cell answers for, limited to keys whose
birth time is in the holding's interval. Two cells at a time balance their holdings in
proportion to their worker slots; no node has to know all cells.
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
    started_ms = [
        holding.since_ms for holding in holdings if holding.service == service
    ]
    return max(int(wall_ms) + ahead_ms, latest_ms + 1, *(at + 1 for at in started_ms))


def cede(
    holdings: list[Holding], service: str, to: str, count: int, from_ms: int
) -> list[Holding]:
    """Return the holdings after ceding slots for keys born from a time on.

    Whole holdings are ceded before part of one, which keeps the list short.

    :param to: the cell that gets the slots.
    :param count: number of slots to cede.
    :param from_ms: birth time from which keys belong to that cell.
    """
    serial = 1 + max((holding.serial for holding in holdings), default=0)
    result: list[Holding] = []
    for holding in reversed(holdings):
        slot_count = holding.last - holding.first + 1
        if holding.service != service or holding.until_ms or count <= 0:
            result.append(holding)
            continue
        ceded_count = min(slot_count, count)
        count -= ceded_count
        first_ceded = holding.last - ceded_count + 1
        result.append(
            msgspec.structs.replace(
                holding, first=first_ceded, until_ms=from_ms, ceded_to=to, serial=serial
            )
        )
        if ceded_count < slot_count:
            result.append(msgspec.structs.replace(holding, last=first_ceded - 1))
    return result[::-1]


def retire(holdings: list[Holding], to: str, from_ms: int) -> list[Holding]:
    """Return the holdings of a cell that is gone for good: all ceded to another."""
    services = {holding.service for holding in holdings}
    for service in sorted(services):
        count = sum(holding.last - holding.first + 1 for holding in holdings)
        starts_ms = [
            holding.since_ms + 1 for holding in holdings if holding.service == service
        ]
        holdings = cede(holdings, service, to, count, max(from_ms, *starts_ms))
    return holdings


def take(
    holdings: list[Holding], source: str, ceded: list[Holding], after: int
) -> list[Holding]:
    """Return the holdings after accepting the cessions with a later serial.

    :param source: the cell that ceded them.
    :param after: serial of the last accepted cession of that cell.
    """
    return holdings + [
        Holding(
            holding.service,
            holding.first,
            holding.last,
            holding.until_ms,
            ceded_by=source,
        )
        for holding in ceded
        if holding.serial > after
    ]


def without_superseded(holdings: list[Holding], before_ms: float) -> list[Holding]:
    """Drop ended holdings for which no records are kept any more.

    The latest one of its slots is kept, so that entries can be redirected from here.
    """
    return [
        holding
        for holding in holdings
        if not holding.until_ms
        or holding.until_ms > before_ms
        or not any(_supersedes(other, holding) for other in holdings)
    ]


def _supersedes(other: Holding, holding: Holding) -> bool:
    """Return whether another holding covers the same slots at a later time."""
    return (
        other.service == holding.service
        and other.since_ms >= holding.until_ms
        and other.first <= holding.first
        and other.last >= holding.last
    )
