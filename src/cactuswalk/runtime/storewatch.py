"""Follow the platform's store: the configuration, and who the entries are.

Nothing that serves callers waits for it. Each loop goes on through outages with
its own back-off, so that the store's return isn't met by all calls at once.
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

# Entries write their addresses below it.
ENTRIES_PREFIX = "cactuswalk/entries/"

# An entry's key outlives so long an outage of its process.
LEASE_SECONDS = 6.0
RENEW_PERIOD_SECONDS = 2.0

# Waits longer than this would keep a node that was turned away from hearing of
# the store's return: entries that lapsed have to be back within two seconds.
MAX_WAIT_SECONDS = 1.0


class PrefixUpdate(msgspec.Struct):
    """What has come about under a prefix of the store.

    :param revision: of the store when this was all that had changed.
    :param whole: these are all keys that there are; any other one is gone.
    """

    revision: int
    changes: list[ItemChange]
    is_snapshot: bool


class StoreBackoff:
    """Says once that the store is away, waits, and says that it is back."""

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
        """Wait as long as a failed call asks for."""
        if not self.backoff.failures:
            self.say("the store is lost", what=self.what, reason=str(error))
        now = self.clock()
        self.backoff.record_failure(started, now, self.generator)
        await asyncio.sleep(min(self.backoff.remaining(now), MAX_WAIT_SECONDS))

    def record_success(self) -> None:
        """Take note that a call was answered."""
        if self.backoff.failures:
            self.say("the store is back", what=self.what, tries=self.backoff.failures)
        self.backoff.record_success()


async def watch_prefix(
    store: MetadataStore,
    prefix: str,
    wait_seconds: float,
    on_update: Callable[[PrefixUpdate], None],
    backoff: StoreBackoff,
) -> None:
    """Give ``take`` all changes under a prefix, for ever.

    The first time, and whenever the store has dropped the history in between,
    it gets the whole list.
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
            # A watch that was cut may have missed what the store has dropped
            # since; it finds out by itself, from the revision where it was.
            await backoff.wait_after(error, started)
            continue
        backoff.record_success()


def decode_member(value: bytes) -> Member | None:
    """Return the entry that a key of the store tells of, or None if it can't be read.

    :param value: as ``Registration`` wrote it, or another version of this product.
    """
    try:
        return msgspec.json.decode(value, type=Member)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


class Registration:
    """Keeps this entry's key in the store, under a lease.

    :param name: of the process.
    :param member: its message address and data centre.
    """

    def __init__(self, store: MetadataStore, name: str, member: Member) -> None:
        self.store = store
        self.key = f"{ENTRIES_PREFIX}{name}"
        self.value = msgspec.json.encode(member)
        self.lease = 0
        self.key_missing = asyncio.Event()

    def rewrite_if_missing(self, keys: set[str]) -> None:
        """Write the key again if it is not among those that the store holds.

        The store may take a key away from a living holder, whose renewals go on
        being answered; only the list of keys shows it.
        """
        if self.key not in keys:
            self.key_missing.set()

    async def maintain(self, backoff: StoreBackoff) -> None:
        """Hold the key, for ever."""
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
        """Give the key up at a planned stop."""
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
