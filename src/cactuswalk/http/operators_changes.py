"""Write operators' changes to the key-value service, at most once."""

from collections.abc import Callable

import msgspec

from cactuswalk.http.operators_errors import (
    ConflictError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    ServiceRolledBackError,
    ServiceUnavailableError,
)
from cactuswalk.http.operators_store import (
    Change,
    ConfigurationKeys,
    CurrentObject,
    encode_stored,
)
from cactuswalk.messages import ConfigurationUpdate, StoredObject
from cactuswalk.model.configuration import OperatorObject, encode_object
from cactuswalk.state.configuration import Replica
from cactuswalk.state.events import SwapOutcome

__all__ = ["ChangeResult", "ChangeRequest", "ChangeWriter", "describe_difference"]

# The difference in the history is for display only; unbounded, the history of an
# object with many long labels would fill its value in the service.
MAX_DIFFERENCE_LINES = 20
MAX_DIFFERENCE_LINE_LENGTH = 200


class ChangeRequest(msgspec.Struct):
    """An operator's change of one object.

    :param expected: revision that the change is based on; 0 for a new object.
    :param write_id: unique per change; a request with the same ID is a retry.
    :param at_ms: wall clock in milliseconds, for display only.
    :param make: returns the object after the change, None to delete it; raises
        ``ConfigurationError`` if the result would be invalid.
    """

    key: str
    expected: int
    write_id: str
    who: str
    at_ms: int
    action: str
    make: Callable[[OperatorObject | None], OperatorObject | None]
    dry_run: bool = False


class ChangeResult(msgspec.Struct):
    """A change that was written or, with ``written`` False, would be.

    :param revision: revision of the object: the new one if ``written``, else the
        current one.
    """

    key: str
    revision: int
    object: OperatorObject | None
    difference: list[str]
    write_id: str
    written: bool


class ChangeWriter:
    """Writes changes, and publishes accepted ones to the replica at once.

    :param publish: called with an update for this entry's replica. The watch
        delivers the same change, unless the service becomes unavailable right after
        the write; then an accepted change spreads by this path only.
    """

    __slots__ = ("keys", "replica", "publish")

    def __init__(
        self,
        keys: ConfigurationKeys,
        replica: Replica,
        publish: Callable[[ConfigurationUpdate], None],
    ) -> None:
        self.keys = keys
        self.replica = replica
        self.publish = publish

    async def apply(self, request: ChangeRequest) -> ChangeResult:
        """Apply a change.

        :raises ConflictError: the object was changed first; this change will not be
            written.
        :raises ServiceUnavailableError: nothing was written, except for
            ``ServiceRolledBackError`` raised after the write.
        :raises OutcomeUnknownError: the change may have been written.
        """
        held_revision = self.replica.revision
        await self._check_service(held_revision)
        current = await self.keys.read(request.key)
        if request.write_id and current.find(request.write_id):
            return self._accept_recorded(request, current)
        check_precondition(request, current)
        after = request.make(current.object)
        lines = describe_difference(current.object, after)
        unchanged = ChangeResult(
            request.key, current.revision, after, lines, request.write_id, False
        )
        if request.dry_run or not lines:
            return unchanged
        return await self._write(request, current, after, lines, held_revision)

    async def _check_service(self, held_revision: int) -> None:
        """Raise if the service has lost changes that are in force.

        It would accept the write with a revision that no node accepts: the operator
        would see success, but the change would never take effect.
        """
        service_revision = await self.keys.revision()
        if service_revision < held_revision:
            raise ServiceRolledBackError(held_revision, service_revision, written=False)

    async def _write(
        self,
        request: ChangeRequest,
        current: CurrentObject,
        after: OperatorObject | None,
        lines: list[str],
        held_revision: int,
    ) -> ChangeResult:
        change = Change(
            *(request.write_id, request.who, request.at_ms, request.action),
            [
                line[:MAX_DIFFERENCE_LINE_LENGTH]
                for line in lines[:MAX_DIFFERENCE_LINES]
            ],
        )
        value = encode_stored(current.next_value(after, change))
        key = self.keys.prefix + request.key
        swapped = await self.keys.store.swap(
            key, current.revision, value, request.write_id
        )
        if swapped.outcome is not SwapOutcome.APPLIED:
            return await self._resolve_swap(request, current.revision, swapped.outcome)
        if swapped.revision <= held_revision:
            raise ServiceRolledBackError(held_revision, swapped.revision, written=True)
        self._publish(request.key, after, swapped.revision, [swapped.revision])
        return ChangeResult(
            request.key, swapped.revision, after, lines, request.write_id, True
        )

    async def _resolve_swap(
        self, request: ChangeRequest, expected: int, outcome: SwapOutcome
    ) -> ChangeResult:
        """Determine the outcome of a swap that was not reported as applied.

        The reply may have been lost after the write took effect, or a retry of the
        write may have lost against its own first copy.
        """
        try:
            current = await self.keys.read(request.key)
        except ServiceUnavailableError:
            raise OutcomeUnknownError(request.key, request.write_id) from None
        if current.find(request.write_id):
            return self._accept_recorded(request, current)
        # While the key is at the expected revision, a write still in flight can
        # take effect; at a later revision it no longer can.
        pending = current.revision == expected and outcome is SwapOutcome.UNKNOWN
        if pending or not current.has_all_changes_since(expected):
            raise OutcomeUnknownError(request.key, request.write_id)
        raise make_conflict_error(request, current)

    def _accept_recorded(
        self, request: ChangeRequest, current: CurrentObject
    ) -> ChangeResult:
        """Return the result of a write that the object's history contains."""
        recorded = current.find(request.write_id)
        # The replica compares revisions and rejects a value from a service that has
        # lost data.
        ahead = sorted({recorded.revision, current.revision})
        self._publish(request.key, current.object, current.revision, ahead)
        return ChangeResult(
            *(request.key, recorded.revision, current.object, recorded.difference),
            *(request.write_id, True),
        )

    def _publish(
        self, key: str, after: OperatorObject | None, revision: int, ahead: list[int]
    ) -> None:
        value = encode_object(after) if after else b""
        held_revision = self.replica.revision
        stored = StoredObject(key, revision, value)
        self.publish(ConfigurationUpdate(held_revision, held_revision, [stored], ahead))


def check_precondition(request: ChangeRequest, current: CurrentObject) -> None:
    """Raise unless the object is at the revision that the change is based on."""
    if current.object is None:
        if request.expected == 0:
            return
        if not current.history:
            raise ObjectNotFoundError(
                f"there is no {request.key}", "Run `cactuswalk get` for a list."
            )
        raise make_conflict_error(request, current)
    if request.expected != current.revision:
        raise make_conflict_error(request, current)


def make_conflict_error(
    request: ChangeRequest, current: CurrentObject
) -> ConflictError:
    """Return the conflict error with the newest change of the object."""
    if not current.history:
        return ConflictError(f"{request.key} was changed meanwhile", 0, "", 0)
    newest = current.history[0]
    state = "exists" if current.object else "was deleted"
    return ConflictError(
        f"{request.key} {state} at revision {current.revision}, not "
        f"{request.expected}: {newest.who} made the change '{newest.action}'",
        *(current.revision, newest.who, newest.at_ms),
    )


def describe_difference(
    before: OperatorObject | None, after: OperatorObject | None
) -> list[str]:
    """Return the removed and added lines for the fields that differ."""
    old, new = flatten_fields(before), flatten_fields(after)
    lines = []
    for field in sorted(old.keys() | new.keys()):
        if old.get(field) == new.get(field):
            continue
        lines += [f"- {field}: {old[field]}"] if field in old else []
        lines += [f"+ {field}: {new[field]}"] if field in new else []
    return lines


def flatten_fields(value: OperatorObject | None) -> dict[str, str]:
    """Return an object's fields as JSON texts, with one field per label."""
    if value is None:
        return {}
    fields = msgspec.to_builtins(value)
    labels = fields.pop("labels")
    flat = {field: msgspec.json.encode(one).decode() for field, one in fields.items()}
    flat |= {f"labels.{name}": f'"{text}"' for name, text in labels.items()}
    return flat
