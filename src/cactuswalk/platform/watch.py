"""Watches of the key-value service that survive disconnects and compaction."""

import asyncio
import collections.abc
import contextlib
import math
import typing

import msgspec

from cactuswalk.decisions.backoff import MAX_WAIT_SECONDS, Backoff
from cactuswalk.decisions.callbudget import READ_COST
from cactuswalk.platform import protocol
from cactuswalk.platform.errors import (
    CallFailedError,
    CallRefusedError,
    HistoryCompactedError,
    UnavailableError,
)

if typing.TYPE_CHECKING:
    from cactuswalk.platform.store import KeyValueStore

__all__ = ["Change", "Changes", "Watch"]

# A connection that a firewall has silently dropped looks like a service without
# changes, so a watch that receives nothing for this long is reopened. That costs one
# call, and only a few processes watch.
MAX_SILENCE_SECONDS = 15.0

# A message holds the changes that were made at one time. The node would need too much
# memory for a larger one, and lists the keys instead.
MAX_MESSAGE_BYTES = 8 << 20

# Between two tries of a watch that the service refuses, such as for a wrong token.
REFUSED_RETRY_SECONDS = 5.0


class Change(msgspec.Struct, frozen=True):
    """A change of a key; ``value`` is None for a deleted key."""

    key: str
    value: bytes | None
    mod_revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes delivered by a watch.

    :param revision: all changes up to it have been yielded.
    :param is_snapshot: ``changes`` are all keys; any other key doesn't exist.
    """

    revision: int
    is_snapshot: bool
    changes: list[Change]


class Watch:
    """One watch; ``revision`` is that of the last change yielded."""

    def __init__(self, store: "KeyValueStore", prefix: str, from_revision: int) -> None:
        self.store = store
        self.prefix = prefix
        self.revision = from_revision
        self.backoff = Backoff()
        self.opened_at = store.clock()

    async def changes(self) -> collections.abc.AsyncGenerator[Changes, None]:
        """Yield changes without end, and reconnect after failures."""
        is_snapshot = self.revision == 0
        while True:
            try:
                if is_snapshot:
                    yield await self._list()
                    is_snapshot = False
                name = f"{self.store.prefix}{self.prefix}".encode()
                end = protocol.prefix_end(name)
                async for message in self.messages(name, end, math.inf):
                    changes = self._extract_changes(message)
                    if changes is not None:
                        yield changes
            except HistoryCompactedError:
                is_snapshot = True
            except CallRefusedError:
                await asyncio.sleep(REFUSED_RETRY_SECONDS)
            except (CallFailedError, UnavailableError):
                await self._back_off()

    async def messages(
        self, key: bytes, range_end: bytes, deadline: float
    ) -> collections.abc.AsyncGenerator[protocol.WatchResult, None]:
        """Open one watch, and yield its messages until the connection breaks.

        :raises CallFailedError: when the connection breaks or the deadline passes.
        :raises UnavailableError: if it could not be opened before the deadline.
        :raises HistoryCompactedError: if the service has compacted the changes.
        """
        permit = await self.store.call_limiter.acquire(READ_COST, deadline)
        self.store.count("platform.call.watch")
        self.opened_at = self.store.clock()
        request = protocol.encode_watch_request(key, range_end, self.revision + 1)
        opened = False
        pieces = self.store.connection.stream(
            protocol.WATCH_PATH, request, permit.timeout
        )
        try:
            async with contextlib.aclosing(pieces):
                async for line in self._split_lines(pieces, permit.timeout, deadline):
                    result = _decode_result(line)
                    if not opened:
                        opened = True
                        self.store.call_limiter.record_success(permit)
                    if result.canceled:
                        raise self._cancel_error(result)
                    yield result
            raise CallFailedError("the key-value service closed a watch", sent=True)
        except CallFailedError as error:
            self.store.record_failure("watch", error)
            if not opened:
                self.store.call_limiter.record_failure(permit, error.timed_out)
            raise
        finally:
            self.store.call_limiter.release(permit)

    async def _back_off(self) -> None:
        """Wait after a broken watch, longer after each short-lived one.

        A proxy that accepts a watch and closes it at once looks like a healthy
        service to the limiter, and would be called again without a pause.
        """
        now = self.store.clock()
        if now - self.opened_at > MAX_WAIT_SECONDS:
            self.backoff.record_success()
        self.backoff.record_failure(now, now, self.store.generator)
        await asyncio.sleep(self.backoff.remaining(now))

    def _extract_changes(self, message: protocol.WatchResult) -> Changes | None:
        """Return the new changes in a message, and advance the revision."""
        if message.created:
            return None
        if not message.events:
            self.revision = max(self.revision, message.header.revision)
            return None
        # The header's revision may be ahead of the message's events, since more of
        # them follow in the next message. Only the events' revisions count.
        unseen = [
            self._change(event)
            for event in message.events
            if event.kv.mod_revision > self.revision
        ]
        if len(unseen) < len(message.events):
            self.store.count("platform.watch.repeated")
        if not unseen:
            return None
        self.revision = max(change.mod_revision for change in unseen)
        return Changes(self.revision, False, unseen)

    def _change(self, event: protocol.WatchEvent) -> Change:
        deleted = event.type == "DELETE"
        return Change(
            self.store.strip_prefix(event.kv.key),
            None if deleted else event.kv.value,
            event.kv.mod_revision,
        )

    async def _list(self) -> Changes:
        revision, listed = await self.store.list(self.prefix)
        if revision < self.revision:
            raise CallFailedError("the listed keys are older than the watch", sent=True)
        self.store.count("platform.watch.listed")
        self.revision = revision
        changes = [Change(*entry) for entry in listed]
        return Changes(revision, True, changes)

    async def _split_lines(
        self,
        pieces: collections.abc.AsyncGenerator[bytes, None],
        opening_timeout: float,
        deadline: float,
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Split the received chunks into messages, one on each line."""
        buffer = b""
        silence = opening_timeout
        while True:
            limit = min(silence, deadline - self.store.clock())
            try:
                async with asyncio.timeout(limit):
                    piece = await anext(pieces, None)
            except TimeoutError as error:
                text = f"a watch received nothing for {limit:.1f} s"
                raise CallFailedError(text, sent=True, timed_out=True) from error
            if piece is None:
                return
            silence = MAX_SILENCE_SECONDS
            *lines, buffer = (buffer + piece).split(b"\n")
            for line in lines:
                yield line
            if len(buffer) > MAX_MESSAGE_BYTES:
                self.store.count("platform.watch.too_large")
                raise HistoryCompactedError("a watch message is too large")

    def _cancel_error(self, result: protocol.WatchResult) -> Exception:
        if result.compact_revision:
            self.store.count("platform.watch.compacted")
            return HistoryCompactedError(
                f"changes up to revision {result.compact_revision} were compacted"
            )
        return CallFailedError("the key-value service cancelled a watch", sent=True)


def _decode_result(line: bytes) -> protocol.WatchResult:
    result = protocol.decode(line, protocol.WatchReply).result
    if result is None:
        raise CallFailedError(
            "the key-value service sent an error to a watch", sent=True
        )
    return result
