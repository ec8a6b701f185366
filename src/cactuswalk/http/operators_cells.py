"""Retire a cell whose hosts are gone for good, on an operator's word."""

import uuid
from collections.abc import Callable

import msgspec

from cactuswalk.decisions.sharing import retire
from cactuswalk.errors import CactuswalkError, UsageError
from cactuswalk.http.operators_errors import (
    ConflictError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    ServiceUnavailableError,
)
from cactuswalk.http.operators_store import KeyValueStore
from cactuswalk.model import CellRecord, Member
from cactuswalk.model.cell import cell_key
from cactuswalk.state.events import SwapOutcome

__all__ = ["CellAliveError", "CellRetirement"]

# As a cession: beyond the margins of callers' and entries' clocks, so that no key
# that the cell may have accepted is given away.
RETIRE_AHEAD_MS = 5_000


class CellAliveError(CactuswalkError):
    """The cell has an owner that this entry hears."""

    code = "cell_alive"
    status = 409
    exit_code = 5


class CellRetirement:
    """Changes records of cells for operators.

    :param is_heard: whether the entry hears an owner of a cell.
    :param wall_ms: the present time.
    """

    __slots__ = ("store", "is_heard", "wall_ms")

    def __init__(
        self,
        store: KeyValueStore,
        is_heard: Callable[[str], bool],
        wall_ms: Callable[[], int],
    ) -> None:
        self.store = store
        self.is_heard = is_heard
        self.wall_ms = wall_ms

    async def retire(self, cell: str, to: str, hosts_are_off: bool) -> dict:
        """Give a cell's slots to another; a repeated call changes nothing more.

        What goes wrong if a host of the cell still runs behind a cut: its owner
        starts keys that the other cell starts too. Nobody but the operator can
        tell, so the operator has to say so.

        :raises CellAliveError: nothing was written.
        """
        if not hosts_are_off or cell == to:
            raise UsageError(
                f"{cell} is retired to {to} only on the word that its hosts are off",
                "Switch all hosts of the cell off, name another cell with --to, and "
                "add --hosts-are-off.",
            )
        if self.is_heard(cell):
            raise CellAliveError(
                f"the owner of {cell} is heard by this entry",
                "Drain its workers; it gives its share away by itself.",
            )
        record, revision = await self._read(cell)
        target, _ = await self._read(to)
        if not target.owner.address:
            raise UsageError(f"{to} is retired itself", "Name a cell that runs.")
        if record.owner.address:
            await self._write(self._retired(record, to), revision)
        return {"cell": cell, "to": to, "written": bool(record.owner.address)}

    def _retired(self, record: CellRecord, to: str) -> CellRecord:
        return msgspec.structs.replace(
            record,
            epoch=record.epoch + 1,
            owner=Member("", "", ""),
            roster=[],
            departed=record.departed + record.roster,
            write_id=str(uuid.uuid4()),
            holdings=retire(record.holdings, to, self.wall_ms() + RETIRE_AHEAD_MS),
        )

    async def _read(self, cell: str) -> tuple[CellRecord, int]:
        event = await self.store.read(cell_key(cell))
        if not event.known:
            raise ServiceUnavailableError(
                f"the key-value service gave no answer for {cell}",
                "Nothing was written. Try again when the service answers.",
            )
        if event.value is None:
            raise ObjectNotFoundError(
                f"there is no cell {cell}", "See `cactuswalk status` for the cells."
            )
        return msgspec.json.decode(event.value, type=CellRecord), event.revision

    async def _write(self, record: CellRecord, revision: int) -> None:
        value = msgspec.json.encode(record)
        key = cell_key(record.cell)
        swapped = await self.store.swap(key, revision, value, record.write_id)
        if swapped.outcome is SwapOutcome.UNKNOWN:
            raise OutcomeUnknownError(key, record.write_id)
        if swapped.outcome is SwapOutcome.LOST:
            raise ConflictError(f"the record of {record.cell} has changed", 0, "", 0)
