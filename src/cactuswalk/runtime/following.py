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

__all__ = ["ENTRIES_PREFIX", "Registration", "Update", "follow", "read_member"]

# Entries write their addresses below it.
ENTRIES_PREFIX = "cactuswalk/entries/"

# An entry's key outlives so long an outage of its process.
LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0

# Waits longer than this would keep a node that was turned away from hearing of
# the store's return: entries that lapsed have to be back within two seconds.
LONGEST_WAIT_SECONDS = 1.0


class Update(msgspec.Struct):
    """What has come about under a prefix of the store.

    :param revision: of the store when this was all that had changed.
    :param whole: these are all keys that there are; any other one is gone.
    """

    revision: int
    changes: list[ItemChange]
    whole: bool


class Patience:
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

    async def after(self, error: PlatformError, started: float) -> None:
        """Wait as long as a failed call asks for."""
        if not self.backoff.failures:
            self.say("the store is lost", what=self.what, reason=str(error))
        now = self.clock()
        self.backoff.record_failure(started, now, self.generator)
        await asyncio.sleep(min(self.backoff.remaining(now), LONGEST_WAIT_SECONDS))

    def succeeded(self) -> None:
        """Take note that a call was answered."""
        if self.backoff.failures:
            self.say("the store is back", what=self.what, tries=self.backoff.failures)
        self.backoff.record_success()


async def follow(
    store: MetadataStore,
    prefix: str,
    wait_seconds: float,
    take: Callable[[Update], None],
    patience: Patience,
) -> None:
    """Give ``take`` all changes under a prefix, for ever.

    The first time, and whenever the store has dropped the history in between,
    it gets the whole list.
    """
    revision: int | None = None
    while True:
        started = patience.clock()
        try:
            if revision is None:
                revision, items = await store.list(prefix)
                whole = [
                    ItemChange(item.key, item.value, item.revision) for item in items
                ]
                take(Update(revision, whole, True))
            else:
                watched = await store.watch(prefix, revision, wait_seconds)
                revision = watched.revision
                if watched.changes:
                    take(Update(revision, watched.changes, False))
        except HistoryCompactedError:
            revision = None
            continue
        except PlatformError as error:
            # A watch that was cut may have missed what the store has dropped
            # since; it finds out by itself, from the revision where it was.
            await patience.after(error, started)
            continue
        patience.succeeded()


def read_member(value: bytes) -> Member | None:
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
        self.missing = asyncio.Event()

    def check(self, keys: set[str]) -> None:
        """Write the key again if it is not among those that the store holds.

        The store may take a key away from a living holder, whose renewals go on
        being answered; only the list of keys shows it.
        """
        if self.key not in keys:
            self.missing.set()

    async def keep(self, patience: Patience) -> None:
        """Hold the key, for ever."""
        while True:
            started = patience.clock()
            try:
                await self._renew()
            except PlatformError as error:
                self.missing.set()
                await patience.after(error, started)
                continue
            patience.succeeded()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_SECONDS):
                    await self.missing.wait()

    async def remove(self) -> None:
        """Give the key up at a planned stop."""
        if self.lease:
            with contextlib.suppress(PlatformError):
                await self.store.revoke(self.lease)

    async def _renew(self) -> None:
        if self.lease and not self.missing.is_set():
            try:
                await self.store.renew(self.lease)
                return
            except LeaseLapsedError:
                self.lease = 0
        self.missing.clear()
        if self.lease:
            try:
                await self.store.put(self.key, self.value, self.lease)
                return
            except LeaseLapsedError:
                self.lease = 0
        self.lease = await self.store.grant(LEASE_SECONDS)
        await self.store.put(self.key, self.value, self.lease)
