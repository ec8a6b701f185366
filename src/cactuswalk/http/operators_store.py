"""How objects lie in the key-value service, and what is read from there.

One key an object. A deleted object leaves a value without an object in its
place: the key's revision then still says that it is newer than any copy of the
object, so that no node can bring the object back.
"""

from collections.abc import Iterable
from typing import Protocol

import msgspec

from cactuswalk.errors import CactuswalkError
from cactuswalk.http.operators_errors import ServiceAwayError, UnreadableValueError
from cactuswalk.messages import ConfigurationUpdate, StoredObject
from cactuswalk.model.configuration import OperatorObject, encode_object
from cactuswalk.state.events import KeyRead, KeySwapped

__all__ = [
    "Change",
    "ConfigurationKeys",
    "Current",
    "Follower",
    "KeyValueStore",
    "StoredValue",
    "encode_stored",
]

# A write is recognised for this many further changes of its object; at some
# 200 bytes each, history stays far below the service's bound of a megabyte.
HISTORY_LENGTH = 20


class KeyValueStore(Protocol):
    """What is used of the key-value client."""

    async def read(self, key: str) -> KeyRead:
        """Read a key."""

    async def swap(
        self, key: str, expected: int, value: bytes, write_id: str
    ) -> KeySwapped:
        """Write a key if its revision is the expected one."""

    async def list(self, prefix: str) -> tuple[int, list[tuple[str, bytes, int]]]:
        """Return the service's revision and all keys under a prefix."""


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


class Current(msgspec.Struct):
    """An object as the service has it now; revision 0 where there is no key."""

    key: str
    revision: int
    object: OperatorObject | None
    history: list[Change]

    def find(self, write_id: str) -> Change | None:
        """Return the change that a write made, None if it is not there."""
        found = (one for one in self.history if one.write_id == write_id)
        return next(found, None)

    def covers(self, revision: int) -> bool:
        """Return whether the history holds all changes after a revision."""
        if len(self.history) < HISTORY_LENGTH:
            return True
        return any(one.revision <= revision for one in self.history)

    def next_value(self, after: OperatorObject | None, change: Change) -> StoredValue:
        """Return the value that a change of this object would write."""
        return StoredValue(after, [change, *self.history][:HISTORY_LENGTH])


_decoder = msgspec.json.Decoder(StoredValue)


def encode_stored(value: StoredValue) -> bytes:
    """Return the bytes that are written to the service."""
    return msgspec.json.encode(value)


class ConfigurationKeys:
    """The configuration's part of the key-value service.

    :param prefix: of all keys of this installation, without a slash at its end.
    """

    __slots__ = ("store", "prefix", "unreadable")

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        self.store = store
        self.prefix = f"{prefix}/config/"
        # Keys whose values this release can't read, and why.
        self.unreadable: dict[str, str] = {}

    async def read(self, key: str) -> Current:
        """Read an object with its history.

        :raises ServiceAwayError: if the service gives no answer.
        """
        read = await self.store.read(self.prefix + key)
        if not read.known:
            raise ServiceAwayError(
                f"the key-value service gave no answer for {key}",
                "Nothing was written. The configuration in force stays in force; "
                "try again when the service answers.",
            )
        if read.value is None:
            return Current(key, 0, None, [])
        return self._current(key, read.value, read.revision)

    async def revision(self) -> int:
        """Return the service's own revision, by reading nothing else.

        :raises ServiceAwayError: if the service gives no answer.
        """
        revision, _ = await self._list(f"{self.prefix}none/")
        return revision

    async def whole(self) -> tuple[int, list[tuple[str, bytes, int]]]:
        """Return the service's revision and all objects' keys.

        :raises ServiceAwayError: if the service gives no answer.
        """
        return await self._list(self.prefix)

    def update(
        self, since: int, entries: Iterable[tuple[str, bytes, int]]
    ) -> ConfigurationUpdate:
        """Return what a list or a watch has brought as an update.

        The update's revision is that of its newest object: the service counts
        writes to other keys too, and copies of the same configuration would
        otherwise look different.

        :param since: of the newest object that was brought before.
        """
        found = (self._stored(key, value, rev) for key, value, rev in entries)
        objects = [one for one in found if one is not None]
        objects.sort(key=lambda one: one.revision)
        newest = objects[-1].revision if objects else since
        return ConfigurationUpdate(since, newest, objects)

    async def _list(self, prefix: str) -> tuple[int, list[tuple[str, bytes, int]]]:
        try:
            return await self.store.list(prefix)
        except CactuswalkError as error:
            raise ServiceAwayError(
                f"the key-value service gave no answer: {error.message}",
                "Nothing was written. The configuration in force stays in force; "
                "try again when the service answers.",
            ) from error

    def _stored(self, key: str, value: bytes, revision: int) -> StoredObject | None:
        """Return an object without its history, which nodes have no use for.

        One value that is no object of this release (written by hand, or of a
        kind that a later release has added) must not keep all other changes
        from being read.
        """
        name = key.removeprefix(self.prefix)
        try:
            held = _decoder.decode(value).object
        except msgspec.MsgspecError as error:
            self.unreadable[name] = str(error)
            return None
        self.unreadable.pop(name, None)
        return StoredObject(name, revision, encode_object(held) if held else b"")

    def _current(self, key: str, value: bytes, revision: int) -> Current:
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
        return Current(key, revision, stored.object, stored.history)


class Follower:
    """Turns a list and the watch that continues it into updates.

    :ivar position: the service's revision that the next watch starts after.
    """

    __slots__ = ("keys", "position", "newest")

    def __init__(self, keys: ConfigurationKeys) -> None:
        self.keys = keys
        self.position = 0
        self.newest = 0

    def listed(
        self, revision: int, entries: Iterable[tuple[str, bytes, int]]
    ) -> ConfigurationUpdate:
        """Return the update for a list; each new watch begins with one."""
        update = self.keys.update(0, entries)
        self.position = revision
        self.newest = update.revision
        return update

    def watched(self, entries: Iterable[tuple[str, bytes, int]]) -> ConfigurationUpdate:
        """Return the update for the next changes of the watch."""
        update = self.keys.update(self.newest, entries)
        self.position = max(self.position, update.revision)
        self.newest = update.revision
        return update
