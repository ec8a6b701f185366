"""Make an operator's change in the key-value service, once or not at all."""

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

# A line of history is for people; an object of many long labels would fill
# the service's value with its own past.
MAX_DIFFERENCE_LINES = 20
MAX_DIFFERENCE_LINE_LENGTH = 200


class ChangeRequest(msgspec.Struct):
    """What an operator wants of one object.

    :param expected: revision that the change builds on; 0 for a new object.
    :param write_id: unique; the same one again is the same change.
    :param make: returns the object after the change, None to delete it, and
        raises ``ConfigurationError`` if it would be wrong.
    :param at_ms: wall clock, for people.
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
    """A change that was made, or would be.

    :param revision: of the object; with ``written`` False the one it has now.
    """

    key: str
    revision: int
    object: OperatorObject | None
    difference: list[str]
    write_id: str
    written: bool


class ChangeWriter:
    """Writes changes, and hands what was accepted to the replica at once.

    :param publish: called with an update for this entry's replica. The watch
        brings the same change, unless the service goes away just after the
        write; then this is the only path by which an accepted change spreads.
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
        """Make a change.

        :raises ConflictError: another came first; this one will not be made.
        :raises ServiceUnavailableError: nothing was written.
        :raises OutcomeUnknownError: it may have been written.
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
        """Refuse to write to a service that has lost what is in force.

        It would accept the write under a revision that no node takes: the
        operator would see success and nothing would ever change.
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
        """Find out what became of a swap that did not say that it applied.

        The reply may have been lost after the write took effect, or a repeat
        of the write may have lost against the first copy of itself.
        """
        try:
            current = await self.keys.read(request.key)
        except ServiceUnavailableError:
            raise OutcomeUnknownError(request.key, request.write_id) from None
        if current.find(request.write_id):
            return self._accept_recorded(request, current)
        # While the key is at the expected revision, a write that is still on
        # its way can take effect; once it has moved on, never.
        pending = current.revision == expected and outcome is SwapOutcome.UNKNOWN
        if pending or not current.has_all_changes_since(expected):
            raise OutcomeUnknownError(request.key, request.write_id)
        raise make_conflict_error(request, current)

    def _accept_recorded(
        self, request: ChangeRequest, current: CurrentObject
    ) -> ChangeResult:
        """Accept a write that is found in the object's history."""
        found = current.find(request.write_id)
        # The replica compares revisions; a value that a service with lost data
        # shows is refused there.
        ahead = sorted({found.revision, current.revision})
        self._publish(request.key, current.object, current.revision, ahead)
        return ChangeResult(
            *(request.key, found.revision, current.object, found.difference),
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
    """Raise unless the object is at the revision that the change builds on."""
    if current.object is None:
        if request.expected == 0:
            return
        if not current.history:
            raise ObjectNotFoundError(
                f"there is no {request.key}", "See `cactuswalk get` for what there is."
            )
        raise make_conflict_error(request, current)
    if request.expected != current.revision:
        raise make_conflict_error(request, current)


def make_conflict_error(
    request: ChangeRequest, current: CurrentObject
) -> ConflictError:
    """Return the error that tells the loser of a race who has won."""
    if not current.history:
        return ConflictError(f"{request.key} has changed meanwhile", 0, "", 0)
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
    """Return a line for each field that a change changes."""
    old, new = flatten_fields(before), flatten_fields(after)
    lines = []
    for field in sorted(old.keys() | new.keys()):
        if old.get(field) == new.get(field):
            continue
        lines += [f"- {field}: {old[field]}"] if field in old else []
        lines += [f"+ {field}: {new[field]}"] if field in new else []
    return lines


def flatten_fields(value: OperatorObject | None) -> dict[str, str]:
    """Return an object's fields as JSON texts, each label a field."""
    if value is None:
        return {}
    fields = msgspec.to_builtins(value)
    labels = fields.pop("labels")
    flat = {field: msgspec.json.encode(one).decode() for field, one in fields.items()}
    flat |= {f"labels.{name}": f'"{text}"' for name, text in labels.items()}
    return flat
