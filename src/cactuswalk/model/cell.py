"""Cells: groups of some tens of workers whose starts one owner decides."""

import msgspec

from cactuswalk.model.holding import Holding

__all__ = ["CellRecord", "Member", "cell_key"]


def cell_key(cell: str) -> str:
    """Return the key of a cell's record in the key-value service."""
    return f"cells/{cell}"


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an agent: a restarted agent is a different member.

    :param worker: the worker's name from the settings.
    :param incarnation: generated at start; an agent that restarted without its
        records must not be mistaken for the one that had them.
    :param address: where its messages are sent, ``tcp://ip:port``.
    """

    worker: str
    incarnation: str
    address: str


class CellRecord(msgspec.Struct):
    """A cell's record in the key-value service; changed only by compare-and-swap.

    :param epoch: incremented by each takeover; an agent that has seen it accepts
        nothing from the owner of an earlier epoch.
    :param roster: the agents at which the owner may start tasks.
    :param departed: members that were removed less than the retention window ago
        and had records of which there is no other copy.
    :param backed_up: another member has copies of all records of the agent on the
        owner's host, so that a failure of that host alone loses none.
    :param write_id: identifies the write, so that a swap whose reply was lost can
        be recognised when the record is read back.
    :param identity: generated with the record; a cell whose record was lost and
        written anew must not be mistaken for the earlier one.
    :param holdings: the submissions that belong to this cell.
    :param founded: services of which it was the first holder.
    :param taken: serial of the last cession accepted from each other cell, by that
        cell's name and identity.
    :param known_since_ms: wall clock at which the cell was founded without an earlier
        record, in milliseconds; of older submissions the records may be incomplete.
    """

    cell: str
    epoch: int
    owner: Member
    roster: list[Member]
    departed: list[Member]
    write_id: str
    backed_up: bool = False
    identity: str = ""
    holdings: list[Holding] = []
    founded: list[str] = []
    taken: dict[str, int] = {}
    known_since_ms: int = 0
