"""How objects lie in the key-value service, and what is read from there.

One key an object. A deleted object leaves a value without an object in its
place: the key's revision then still says that it is newer than any copy of the
object, so that no node can bring the object back.
"""

from collections.abc import AsyncGenerator, Callable, Iterable
from typing import Protocol

import msgspec

from cactuswalk.errors import CactuswalkError
from cactuswalk.http.operators_errors import (
    ServiceUnavailableError,
    UnreadableValueError,
)
from cactuswalk.messages import ConfigurationUpdate, StoredObject
from cactuswalk.model.configuration import OperatorObject, encode_object
from cactuswalk.state.events import KeyRead, KeySwapped

__all__ = [
    "Change",
    "ConfigurationKeys",
    "CurrentObject",
    "ConfigurationFollower",
    "KeyValueStore",
    "StoredValue",
    "encode_stored",
    "follow_configuration",
]

# A write is recognised for this many further changes of its object; at some
# 200 bytes each, history stays far below the service's bound of a megabyte.
HISTORY_LENGTH = 20

# Of all objects' keys; the store puts the installation's own prefix before it.
CONFIGURATION_PREFIX = "config/"

# Ends the write ids of earlier changes. The key-value client looks for a write
# id in a value to tell whether that write made the value: found in the history
# of a later change, it would take this later value for the write's own.
PAST_WRITE_SUFFIX = "~"


class KeyChange(Protocol):
    """One key's change, as a list or a watch brings it."""

    key: str
    value: bytes | None
    mod_revision: int


class KeyChanges(Protocol):
    """What a watch has brought; ``whole`` for a complete list."""

    is_snapshot: bool
    changes: list[KeyChange]


class KeyValueStore(Protocol):
    """What is used of the key-value client."""

    async def read(self, key: str) -> KeyRead:
        """Read a key."""

    async def swap(
        self, key: str, expected: int, value: bytes, write_id: str
    ) -> KeySwapped:
        """Write a key if its revision is the expected one."""

    async def list(self, prefix: str) -> tuple[int, list[KeyChange]]:
        """Return the service's revision and all keys under a prefix."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[KeyChanges, None]:
        """Yield a list and then all changes after it, through outages."""


class Change(msgspec.Struct):
    """One change of an object.

    :param revision: that it was given; 0 in the newest, whose is the key's.
    :param at_ms: wall clock of the entry, for people; nothing is decided by it.
    :param difference: a line for each field that has changed.
    """

    write_id: str
    who: str
    at_ms: int
    action: str
    difference: list[str]
    revision: int = 0


class StoredValue(msgspec.Struct):
    """The value of an object's key.

    :param object: None for a deleted one.
    :param history: newest first, at most ``HISTORY_LENGTH``.
    """

    object: OperatorObject | None
    history: list[Change]


class CurrentObject(msgspec.Struct):
    """An object as the service has it now; revision 0 where there is no key."""

    key: str
    revision: int
    object: OperatorObject | None
    history: list[Change]

    def find(self, write_id: str) -> Change | None:
        """Return the change that a write made, None if it is not there."""
        names = (write_id, write_id + PAST_WRITE_SUFFIX)
        found = (one for one in self.history if one.write_id in names)
        return next(found, None)

    def has_all_changes_since(self, revision: int) -> bool:
        """Return whether the history holds all changes after a revision."""
        if len(self.history) < HISTORY_LENGTH:
            return True
        return any(one.revision <= revision for one in self.history)

    def next_value(self, after: OperatorObject | None, change: Change) -> StoredValue:
        """Return the value that a change of this object would write."""
        for one in self.history[:1]:
            one.write_id = (
                one.write_id.removesuffix(PAST_WRITE_SUFFIX) + PAST_WRITE_SUFFIX
            )
        return StoredValue(after, [change, *self.history][:HISTORY_LENGTH])


_decoder = msgspec.json.Decoder(StoredValue)


def encode_stored(value: StoredValue) -> bytes:
    """Return the bytes that are written to the service."""
    return msgspec.json.encode(value)


class ConfigurationKeys:
    """The configuration's part of the key-value service."""

    __slots__ = ("store", "prefix", "unreadable")

    def __init__(
        self, store: KeyValueStore, prefix: str = CONFIGURATION_PREFIX
    ) -> None:
        self.store = store
        self.prefix = prefix
        # Keys whose values this release can't read, and why.
        self.unreadable: dict[str, str] = {}

    async def read(self, key: str) -> CurrentObject:
        """Read an object with its history.

        :raises ServiceUnavailableError: if the service gives no answer.
        """
        read = await self.store.read(self.prefix + key)
        if not read.known:
            raise ServiceUnavailableError(
                f"the key-value service gave no answer for {key}",
                "Nothing was written. The configuration in force stays in force; "
                "try again when the service answers.",
            )
        if read.value is None:
            return CurrentObject(key, 0, None, [])
        return self._decode_current(key, read.value, read.revision)

    async def revision(self) -> int:
        """Return the service's own revision, by reading nothing else.

        :raises ServiceUnavailableError: if the service gives no answer.
        """
        try:
            revision, _ = await self.store.list(f"{self.prefix}none/")
        except CactuswalkError as error:
            raise ServiceUnavailableError(
                f"the key-value service gave no answer: {error.message}",
                "Nothing was written. The configuration in force stays in force; "
                "try again when the service answers.",
            ) from error
        return revision

    def update(self, since: int, changes: Iterable[KeyChange]) -> ConfigurationUpdate:
        """Return what a list or a watch has brought as an update.

        A key that is gone is passed over: no release deletes one, and a node
        keeps what it has in force.

        The update's revision is that of its newest object: the service counts
        writes to other keys too, and copies of the same configuration would
        otherwise look different.

        :param since: of the newest object that was brought before.
        """
        found = (self._decode_object(one) for one in changes if one.value is not None)
        objects = [one for one in found if one is not None]
        objects.sort(key=lambda one: one.revision)
        newest = objects[-1].revision if objects else since
        return ConfigurationUpdate(since, newest, objects)

    def _decode_object(self, change: KeyChange) -> StoredObject | None:
        """Return an object without its history, which nodes have no use for.

        One value that is no object of this release (written by hand, or of a
        kind that a later release has added) must not keep all other changes
        from being read.
        """
        name = change.key.removeprefix(self.prefix)
        try:
            held = _decoder.decode(change.value).object
        except msgspec.MsgspecError as error:
            self.unreadable[name] = str(error)
            return None
        self.unreadable.pop(name, None)
        value = encode_object(held) if held else b""
        return StoredObject(name, change.mod_revision, value)

    def _decode_current(self, key: str, value: bytes, revision: int) -> CurrentObject:
        try:
            stored = _decoder.decode(value)
        except msgspec.MsgspecError as error:
            raise UnreadableValueError(
                f"the value of {key} in the key-value service is no object: {error}",
                "Nothing was written. Use the release that wrote it, or correct the "
                "key in the service.",
            ) from error
        if stored.history:
            stored.history[0].revision = revision
        return CurrentObject(key, revision, stored.object, stored.history)


class ConfigurationFollower:
    """Turns a list and the watch that continues it into updates."""

    __slots__ = ("keys", "newest")

    def __init__(self, keys: ConfigurationKeys) -> None:
        self.keys = keys
        # Revision of the newest object so far: the next update builds on it.
        self.newest = 0

    def make_update(self, batch: KeyChanges) -> ConfigurationUpdate:
        """Return the update for the next news of the watch."""
        since = 0 if batch.is_snapshot else self.newest
        update = self.keys.update(since, batch.changes)
        self.newest = update.revision
        return update


async def follow_configuration(
    keys: ConfigurationKeys, publish: Callable[[ConfigurationUpdate], None]
) -> None:
    """Hand all changes in the service to a replica until cancelled.

    :param publish: called with each update, for the entry's own ``ConfigurationSync``.
    """
    follower = ConfigurationFollower(keys)
    async for batch in keys.store.watch(keys.prefix, 0):
        publish(follower.make_update(batch))
