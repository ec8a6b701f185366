"""Layout of configuration objects in the key-value service, and reads of them.

Each object has one key. Deleting an object writes a tombstone, a value without an
object: the key's revision is then higher than that of any copy, so that no node can
restore the object.
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

# A retried write is recognised until its object has had this many further changes;
# at about 200 bytes each, the history stays far below the service's limit of 1 MB.
HISTORY_LENGTH = 20

# Prefix of all objects' keys; the store prepends the prefix of the installation.
CONFIGURATION_PREFIX = "config/"

# Suffix of the write IDs of earlier changes. The key-value client searches a value
# for a write ID to find out whether that write made the value; an unmarked ID in the
# history would make it attribute the value of a later change to the earlier write.
PAST_WRITE_SUFFIX = "~"


class KeyChange(Protocol):
    """Change of one key, from a list or a watch."""

    key: str
    value: bytes | None
    mod_revision: int


class KeyChanges(Protocol):
    """Changes from a watch; ``is_snapshot`` for a complete list."""

    is_snapshot: bool
    changes: list[KeyChange]


class KeyValueStore(Protocol):
    """Subset of the key-value client that this package uses."""

    async def read(self, key: str) -> KeyRead:
        """Read a key."""

    async def swap(
        self, key: str, expected: int, value: bytes, write_id: str
    ) -> KeySwapped:
        """Write a key if it is at the expected revision."""

    async def list(self, prefix: str) -> tuple[int, list[KeyChange]]:
        """Return the service's revision and all keys under a prefix."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[KeyChanges, None]:
        """Yield a list and then all later changes, resuming after outages."""


class Change(msgspec.Struct):
    """One change of an object.

    :param at_ms: wall clock of the entry in milliseconds; for display only, no
        decision depends on it.
    :param difference: removed and added lines for the fields that changed.
    :param revision: revision of this change; stored as 0 in the newest change, whose
        revision is that of the key.
    """

    write_id: str
    who: str
    at_ms: int
    action: str
    difference: list[str]
    revision: int = 0


class StoredValue(msgspec.Struct):
    """Value of an object's key.

    :param object: None if it was deleted.
    :param history: newest first, at most ``HISTORY_LENGTH``.
    """

    object: OperatorObject | None
    history: list[Change]


class CurrentObject(msgspec.Struct):
    """Current state of an object in the service; revision 0 if there is no key."""

    key: str
    revision: int
    object: OperatorObject | None
    history: list[Change]

    def find(self, write_id: str) -> Change | None:
        """Return the change with a write ID, None if the history has none."""
        names = (write_id, write_id + PAST_WRITE_SUFFIX)
        matching = (one for one in self.history if one.write_id in names)
        return next(matching, None)

    def has_all_changes_since(self, revision: int) -> bool:
        """Return whether the history contains all changes after a revision."""
        if len(self.history) < HISTORY_LENGTH:
            return True
        return any(one.revision <= revision for one in self.history)

    def next_value(self, after: OperatorObject | None, change: Change) -> StoredValue:
        """Return the value to write for a change of this object."""
        for one in self.history[:1]:
            one.write_id = (
                one.write_id.removesuffix(PAST_WRITE_SUFFIX) + PAST_WRITE_SUFFIX
            )
        return StoredValue(after, [change, *self.history][:HISTORY_LENGTH])


_decoder = msgspec.json.Decoder(StoredValue)


def encode_stored(value: StoredValue) -> bytes:
    """Encode a value for the service."""
    return msgspec.json.encode(value)


class ConfigurationKeys:
    """Reads configuration objects from the key-value service."""

    __slots__ = ("store", "prefix", "unreadable")

    def __init__(
        self, store: KeyValueStore, prefix: str = CONFIGURATION_PREFIX
    ) -> None:
        self.store = store
        self.prefix = prefix
        # Errors of values that this release can't decode, by key.
        self.unreadable: dict[str, str] = {}

    async def read(self, key: str) -> CurrentObject:
        """Read an object with its history.

        :raises ServiceUnavailableError: if the service does not answer.
        :raises UnreadableValueError: if the value is not a valid object.
        """
        read = await self.store.read(self.prefix + key)
        if not read.known:
            raise ServiceUnavailableError(
                f"the key-value service did not answer the read of {key}",
                "Nothing was written. The configuration in force stays in force; "
                "try again when the service answers.",
            )
        if read.value is None:
            return CurrentObject(key, 0, None, [])
        return self._decode_current(key, read.value, read.revision)

    async def revision(self) -> int:
        """Return the revision of the service, by listing an empty prefix.

        :raises ServiceUnavailableError: if the service does not answer.
        """
        try:
            revision, _ = await self.store.list(f"{self.prefix}none/")
        except CactuswalkError as error:
            raise ServiceUnavailableError(
                f"the key-value service did not answer: {error.message}",
                "Nothing was written. The configuration in force stays in force; "
                "try again when the service answers.",
            ) from error
        return revision

    def update(self, since: int, changes: Iterable[KeyChange]) -> ConfigurationUpdate:
        """Convert changes from a list or a watch to an update.

        Deleted keys are skipped: no release deletes keys, and nodes keep the
        configuration that they have in force.

        The update's revision is that of its newest object. The service's own revision
        also counts writes to other keys, so replicas of the same configuration would
        appear to differ.

        :param since: revision of the newest object of the updates so far.
        """
        decoded = (self._decode_object(one) for one in changes if one.value is not None)
        objects = [one for one in decoded if one is not None]
        objects.sort(key=lambda one: one.revision)
        newest = objects[-1].revision if objects else since
        return ConfigurationUpdate(since, newest, objects)

    def _decode_object(self, change: KeyChange) -> StoredObject | None:
        """Return an object without its history, which nodes don't need.

        Returns None for a value that is not a valid object in this release (written
        by hand, or of a kind added in a later release): it must not prevent all
        other changes from being read.
        """
        name = change.key.removeprefix(self.prefix)
        try:
            stored_object = _decoder.decode(change.value).object
        except msgspec.MsgspecError as error:
            self.unreadable[name] = str(error)
            return None
        self.unreadable.pop(name, None)
        value = encode_object(stored_object) if stored_object else b""
        return StoredObject(name, change.mod_revision, value)

    def _decode_current(self, key: str, value: bytes, revision: int) -> CurrentObject:
        try:
            stored = _decoder.decode(value)
        except msgspec.MsgspecError as error:
            raise UnreadableValueError(
                f"the value of {key} in the key-value service is invalid: {error}",
                "Nothing was written. Use the release that wrote the value, or correct "
                "the key in the service.",
            ) from error
        if stored.history:
            stored.history[0].revision = revision
        return CurrentObject(key, revision, stored.object, stored.history)


class ConfigurationFollower:
    """Converts a list and the watch that continues it to updates."""

    __slots__ = ("keys", "newest")

    def __init__(self, keys: ConfigurationKeys) -> None:
        self.keys = keys
        # Revision of the newest object so far, the base of the next update.
        self.newest = 0

    def make_update(self, batch: KeyChanges) -> ConfigurationUpdate:
        """Return the update for the next changes from the watch."""
        since = 0 if batch.is_snapshot else self.newest
        update = self.keys.update(since, batch.changes)
        self.newest = update.revision
        return update


async def follow_configuration(
    keys: ConfigurationKeys, publish: Callable[[ConfigurationUpdate], None]
) -> None:
    """Publish all changes in the service until cancelled.

    :param publish: called with each update, for the entry's ``ConfigurationSync``.
    """
    follower = ConfigurationFollower(keys)
    async for batch in keys.store.watch(keys.prefix, 0):
        publish(follower.make_update(batch))
