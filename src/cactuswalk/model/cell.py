"""A cell: some tens of workers whose starts are all decided by one owner."""

import msgspec

from cactuswalk.model.holding import Holding

__all__ = ["CellRecord", "Member", "cell_key"]


def cell_key(cell: str) -> str:
    """Return the key of a cell's record in the key-value service."""
    return f"cells/{cell}"


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One life of one agent: a restarted agent is another member.

    :param worker: the worker's name from the settings.
    :param incarnation: drawn at start; an agent that lost its memory must not
        speak for the one that had it.
    :param address: where its messages go, ``tcp://ip:port``.
    """

    worker: str
    incarnation: str
    address: str


class CellRecord(msgspec.Struct):
    """What the key-value service keeps of a cell; changed only by swaps.

    :param epoch: grows by one with each takeover; an agent that has seen it
        accepts nothing from an owner of an earlier one.
    :param roster: the agents that the owner may start tasks at.
    :param departed: members removed less than the retention window ago that
        took records with them which nobody else holds.
    :param backed_up: another member holds copies of all records of the owner's
        own agent, so that the loss of the owner's host alone loses none.
    :param write_id: names the write, so that a swap whose reply was lost can
        be recognised when it is read back.
    :param identity: of this life of the cell; one whose record was lost and
        written anew must not pass for the one that had it.
    :param holdings: which submissions fall to this cell.
    :param founded: services of which it was the first holder.
    :param taken: by the life of a cell, the last cession taken from it.
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
