"""Watches of the platform's metadata store: the configuration and the entries.

Requests of callers never wait for the store. Each loop retries during an outage with
its own back-off, so that calls don't arrive all at once when the store is back.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from cactuswalk.decisions.backoff import Backoff
from cactuswalk.dispatch.membership import Member
from cactuswalk.platform.errors import (
    HistoryCompactedError,
    LeaseLapsedError,
    PlatformError,
)
from cactuswalk.platform.metadata import ItemChange, MetadataStore

__all__ = [
    "ENTRIES_PREFIX",
    "PrefixUpdate",
    "Registration",
    "StoreBackoff",
    "decode_member",
    "watch_prefix",
]

# Entries write their addresses under this prefix.
ENTRIES_PREFIX = "cactuswalk/entries/"

# An entry's key survives an outage of its process for this long.
LEASE_SECONDS = 6.0
RENEW_PERIOD_SECONDS = 2.0

# After an outage of the store, entries whose leases expired have to be registered
# again within two seconds; longer waits between retries would miss that.
MAX_WAIT_SECONDS = 1.0


class PrefixUpdate(msgspec.Struct):
    """Changes under a prefix of the store.

    :param revision: revision of the store that the changes lead to.
    :param is_snapshot: whether these are all existing keys; others were deleted.
    """

    revision: int
    changes: list[ItemChange]
    is_snapshot: bool


class StoreBackoff:
    """Back-off between failed calls; logs the start and the end of an outage.

    :param what: what the calls read or write, for the log lines.
    :param say: writes a log line with the given fields.
    """

    def __init__(
        self,
        what: str,
        clock: Callable[[], float],
        say: Callable[..., None],
        generator: random.Random,
    ) -> None:
        self.what = what
        self.clock = clock
        self.say = say
        self.generator = generator
        self.backoff = Backoff()

    async def wait_after(self, error: PlatformError, started: float) -> None:
        """Wait after a failed call; log the first failure of an outage."""
        if not self.backoff.failures:
            self.say(
                "can't reach the metadata store", what=self.what, reason=str(error)
            )
        now = self.clock()
        self.backoff.record_failure(started, now, self.generator)
        await asyncio.sleep(min(self.backoff.remaining(now), MAX_WAIT_SECONDS))

    def record_success(self) -> None:
        """Reset the back-off; log the end of an outage."""
        if self.backoff.failures:
            self.say(
                "the metadata store answers again",
                what=self.what,
                tries=self.backoff.failures,
            )
        self.backoff.record_success()


async def watch_prefix(
    store: MetadataStore,
    prefix: str,
    wait_seconds: float,
    on_update: Callable[[PrefixUpdate], None],
    backoff: StoreBackoff,
    on_answer: Callable[[], None] = lambda: None,
) -> None:
    """Call ``on_update`` with all changes under a prefix, without end.

    ``on_answer`` is called after each answer of the store, with changes or without.

    The first update, and each one after the store has compacted the history in
    between, is a snapshot of all keys.
    """
    revision: int | None = None
    while True:
        started = backoff.clock()
        try:
            if revision is None:
                revision, items = await store.list(prefix)
                changes = [
                    ItemChange(item.key, item.value, item.revision) for item in items
                ]
                on_update(PrefixUpdate(revision, changes, True))
            else:
                watched = await store.watch(prefix, revision, wait_seconds)
                revision = watched.revision
                if watched.changes:
                    on_update(PrefixUpdate(revision, watched.changes, False))
        except HistoryCompactedError:
            revision = None
            continue
        except PlatformError as error:
            # The watch resumes at its last revision. If the store has compacted
            # that one meanwhile, the next call raises HistoryCompactedError.
            await backoff.wait_after(error, started)
            continue
        backoff.record_success()
        on_answer()


def decode_member(value: bytes) -> Member | None:
    """Decode the value of an entry's key; return None if it is malformed.

    :param value: as written by ``Registration`` of this or another version.
    """
    try:
        return msgspec.json.decode(value, type=Member)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


class Registration:
    """Keeps this entry's key in the store, under a lease.

    :param name: name of the process.
    :param member: the entry's message address and data centre.
    """

    def __init__(self, store: MetadataStore, name: str, member: Member) -> None:
        self.store = store
        self.key = f"{ENTRIES_PREFIX}{name}"
        self.value = msgspec.json.encode(member)
        self.lease = 0
        self.key_missing = asyncio.Event()

    def rewrite_if_missing(self, keys: set[str]) -> None:
        """Write the key again if it is not among the keys in the store.

        The store may drop the key of a running process while it still confirms the
        renewals of its lease; only the list of keys shows that.
        """
        if self.key not in keys:
            self.key_missing.set()

    async def maintain(self, backoff: StoreBackoff) -> None:
        """Renew the lease, and write the key if it is missing, without end."""
        while True:
            started = backoff.clock()
            try:
                await self._renew()
            except PlatformError as error:
                self.key_missing.set()
                await backoff.wait_after(error, started)
                continue
            backoff.record_success()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_PERIOD_SECONDS):
                    await self.key_missing.wait()

    async def remove(self) -> None:
        """Remove the key at a planned stop, by revoking its lease."""
        if self.lease:
            with contextlib.suppress(PlatformError):
                await self.store.revoke(self.lease)

    async def _renew(self) -> None:
        if self.lease and not self.key_missing.is_set():
            try:
                await self.store.renew(self.lease)
                return
            except LeaseLapsedError:
                self.lease = 0
        self.key_missing.clear()
        if self.lease:
            try:
                await self.store.put(self.key, self.value, self.lease)
                return
            except LeaseLapsedError:
                self.lease = 0
        self.lease = await self.store.grant(LEASE_SECONDS)
        await self.store.put(self.key, self.value, self.lease)
