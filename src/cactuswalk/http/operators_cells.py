"""Retire a cell whose hosts are permanently stopped, on an operator's request."""

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

# Same margin as for a cession: larger than the clock differences of callers and
# entries, so that no key that the cell may have accepted is transferred.
RETIRE_AHEAD_MS = 5_000


class CellAliveError(CactuswalkError):
    """The cell has an owner from which this entry receives messages."""

    code = "cell_alive"
    status = 409
    exit_code = 5


class CellRetirement:
    """Retires cells by changing their records in the key-value service.

    :param is_heard: returns whether the entry receives messages from a cell's owner.
    :param wall_ms: returns the wall clock in milliseconds.
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
        """Transfer a cell's slots to another cell; idempotent.

        If a host of the cell still runs behind a network partition, its owner and
        the other cell both start the same keys. Only the operator can know, so the
        operator has to confirm that the hosts are off.

        :raises UsageError: if ``hosts_are_off`` is False or ``to`` is not a running
            other cell; nothing was written.
        :raises CellAliveError: if the owner is heard; nothing was written.
        """
        if not hosts_are_off or cell == to:
            raise UsageError(
                f"{cell} is retired to {to} only if you confirm that its hosts are off",
                "Switch all hosts of the cell off, give another cell with --to, and "
                "add --hosts-are-off.",
            )
        if self.is_heard(cell):
            raise CellAliveError(
                f"the owner of {cell} sends messages to this entry",
                "Drain its workers; the cell then cedes its slots by itself.",
            )
        record, revision = await self._read(cell)
        target, _ = await self._read(to)
        if not target.owner.address:
            raise UsageError(f"{to} is itself retired", "Give a running cell.")
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
                f"the key-value service did not answer the read of {cell}",
                "Nothing was written. Retry when the service answers.",
            )
        if event.value is None:
            raise ObjectNotFoundError(
                f"there is no cell {cell}", "Run `cactuswalk status` for a list."
            )
        return msgspec.json.decode(event.value, type=CellRecord), event.revision

    async def _write(self, record: CellRecord, revision: int) -> None:
        value = msgspec.json.encode(record)
        key = cell_key(record.cell)
        swapped = await self.store.swap(key, revision, value, record.write_id)
        if swapped.outcome is SwapOutcome.UNKNOWN:
            raise OutcomeUnknownError(key, record.write_id)
        if swapped.outcome is SwapOutcome.LOST:
            raise ConflictError(
                f"the record of {record.cell} was changed meanwhile", 0, "", 0
            )
