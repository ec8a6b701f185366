"""When a cell without a record may be created, and with which epoch.

If the key-value service loses its data, an agent that starts afterwards would take
its cell for new: keys that have run would run again, and two owners would serve at
once. An agent that finds no record therefore first asks the entries, which know the
owners that they have heard, and waits. The argument is in docs/design/ownership.md.
"""

import msgspec

from cactuswalk.messages import LastContactRequest, NotOwner
from cactuswalk.model import CellRecord, Member
from cactuswalk.state.effects import Effect, Send

__all__ = [
    "UNHEARD_EPOCHS",
    "Absence",
    "make_first_record",
    "make_owner_queries",
    "rebuild_record",
]

# Takeovers that an earlier cell may have had since the entries last heard its owner. If
# its owner lives and has the epoch of the new one, agents that hear both stop.
UNHEARD_EPOCHS = 1000


class Absence(msgspec.Struct):
    """What an agent knows while the service has no record of its cell.

    :param since: when the record was first found missing; None while it exists.
    :param owner: address of an owner that an entry hears, reported at
        ``owner_told_at``.
    :param epoch: the highest epoch that any entry has reported.
    """

    since: float | None = None
    owner: str = ""
    owner_told_at: float = float("-inf")
    epoch: int = 0

    def begin(self, now: float) -> None:
        """Record that the record is missing, keeping the time of the first miss."""
        if self.since is None:
            self.since = now

    def end(self) -> None:
        """Record that the record exists, or that the service can't be asked."""
        self.since = None

    def record_reply(self, message: NotOwner, now: float) -> None:
        """Record an entry's reply about the owner of the cell."""
        self.epoch = max(self.epoch, message.epoch)
        if message.owner:
            self.owner, self.owner_told_at = message.owner, now

    def live_owner(self, span: float, now: float) -> str:
        """Return an owner reported within ``span`` seconds, empty if none was."""
        return self.owner if now - self.owner_told_at <= span else ""

    def has_lasted(self, span: float, now: float) -> bool:
        """Tell whether the record has been missing for ``span`` seconds."""
        return self.since is not None and now - self.since >= span


def make_owner_queries(cell: str, entries: list[str]) -> list[Effect]:
    """Return messages that ask each entry who owned the cell."""
    return [Send(address, LastContactRequest(cell, 0)) for address in entries]


def make_first_record(
    cell: str, epoch: int, member: Member, write_id: str, wall_ms: float
) -> CellRecord:
    """Return the record of a new cell with one member.

    :param epoch: the highest known epoch of an earlier cell of this name; 0 for none.
    :param wall_ms: the wall clock.
    """
    return CellRecord(
        cell,
        epoch + UNHEARD_EPOCHS if epoch else 1,
        member,
        [member],
        [],
        write_id,
        identity=write_id,
        known_since_ms=int(wall_ms),
    )


def rebuild_record(
    cell: str, epoch: int, owner: Member, roster: list[Member]
) -> CellRecord:
    """Return a record that the service has lost, from what a member knows.

    Members don't know which members have departed. The owner is listed as departed
    in their place, so that tasks without a record are still answered as unknown.
    """
    return CellRecord(cell, epoch, owner, roster, [owner], "", False)
