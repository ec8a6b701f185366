"""When a cell without a record in the service may be begun, and with what epoch.

What goes wrong without it: the service loses its data, and an agent that starts then
takes its cell for new. A caller's key that has run would run again in the new cell,
and two owners would serve beside each other. So whoever finds no record asks the
entries, which know the owners that they have heard, and waits. The argument is in
docs/design/ownership.md.
"""

import msgspec

from cactuswalk.messages import LastContactRequest, NotOwner
from cactuswalk.model import CellRecord, Member
from cactuswalk.state.effects import Effect, Send

__all__ = ["Absence", "ask_entries", "first_record", "rebuilt_record"]


class Absence(msgspec.Struct):
    """What is known while the service has no record of the cell.

    :param since: when none was found first; None while there is one.
    :param owner: address of an owner that an entry hears, heard of at ``told_at``.
    :param epoch: the highest that any entry has known.
    """

    since: float | None = None
    owner: str = ""
    told_at: float = float("-inf")
    epoch: int = 0

    def begin(self, now: float) -> None:
        """Take note that there is no record, from now on unless it was known."""
        if self.since is None:
            self.since = now

    def end(self) -> None:
        """Take note that there is a record, or that nothing can be known."""
        self.since = None

    def told(self, message: NotOwner, now: float) -> None:
        """Take an entry's word on the cell."""
        self.epoch = max(self.epoch, message.epoch)
        if message.owner:
            self.owner, self.told_at = message.owner, now

    def live_owner(self, span: float, now: float) -> str:
        """Return an owner that an entry has lately heard, empty if there is none."""
        return self.owner if now - self.told_at <= span else ""

    def has_lasted(self, span: float, now: float) -> bool:
        """Tell whether the entries have had so long to answer."""
        return self.since is not None and now - self.since >= span


def ask_entries(cell: str, entries: list[str]) -> list[Effect]:
    """Return the question who owned the cell, to each entry."""
    return [Send(address, LastContactRequest(cell, 0)) for address in entries]


def first_record(cell: str, epoch: int, member: Member, write_id: str) -> CellRecord:
    """Return the record of a cell that begins with one member.

    :param epoch: the highest that is known of an earlier cell of this name.
    """
    return CellRecord(
        cell, epoch + 1, member, [member], [], write_id, identity=write_id
    )


def rebuilt_record(
    cell: str, epoch: int, owner: Member, roster: list[Member]
) -> CellRecord:
    """Return what a member knows of a record that the service has lost.

    Members don't know who has departed. The owner stands for them there, so that
    tasks without a record are told unknown, as they would be for a departed one.
    """
    return CellRecord(cell, epoch, owner, roster, [owner], "", False)
