"""The platform's key-value service, as the runtime uses it."""

import collections
import collections.abc
import contextlib
import random
import typing

from cactuswalk.decisions.callbudget import READ_COST, WRITE_COST, CallBudget
from cactuswalk.platform import protocol
from cactuswalk.platform.calllimiter import CallLimiter
from cactuswalk.platform.connection import Connection
from cactuswalk.platform.errors import (
    CallFailedError,
    CallRefusedError,
    HistoryCompactedError,
    PlatformError,
    RevisionWentBackError,
    UnavailableError,
    ValueTooLargeError,
    WriteIdMissingError,
)
from cactuswalk.platform.leases import Lease, Leases
from cactuswalk.platform.swapoutcome import (
    Verdict,
    classify_history,
    classify_reply,
    contains_write_id,
)
from cactuswalk.platform.watch import Changes, Watch
from cactuswalk.state.events import KeyRead, KeySwapped, SwapOutcome

__all__ = ["KeyValueStore", "ListedKey"]

# The service answers in milliseconds (brief); a hundred times that is no
# longer its ordinary spread.
MIN_TIMEOUT_SECONDS = 1.0

# How long one read or swap may go on trying. Longer than the longest time-out,
# so that a service as slow as that is still heard.
MAX_RETRY_SECONDS = 10.0

# Swaps that ended without a verdict, remembered in case they are asked again.
# A process makes few at a time; each takes about a hundred bytes.
MAX_IN_DOUBT_SWAPS = 1024

Kind = typing.TypeVar("Kind", bound=protocol.Reply | protocol.KeepAliveReply)


class ListedKey(typing.NamedTuple):
    """One key of a list."""

    key: str
    value: bytes
    mod_revision: int


class KeyValueStore:
    """Reads, swaps, lists, watches and leases, each with a time-out and a budget.

    :param prefix: put before every key, so that two fleets can share a service.
    :param clock: monotonic seconds.
    :param generator: source of the jitter.
    :param count: takes the name of a counter to add one to.
    """

    def __init__(
        self,
        connection: Connection,
        budget: CallBudget,
        clock: collections.abc.Callable[[], float],
        generator: random.Random,
        count: collections.abc.Callable[[str], None],
        prefix: str = "",
        timeout: float = MIN_TIMEOUT_SECONDS,
        max_retry_seconds: float = MAX_RETRY_SECONDS,
    ) -> None:
        self.connection = connection
        self.call_limiter = CallLimiter(budget, timeout, clock, generator, count)
        self.clock = clock
        self.generator = generator
        self.count = count
        self.prefix = prefix
        self.max_retry_seconds = max_retry_seconds
        self.leases = Leases(self)
        # The highest revision that the service has shown. A reply to a call
        # sent afterwards that shows a lower one comes from an old copy.
        self.revision = 0
        # What last went wrong, for the operators; None once a call succeeds.
        self.last_error: PlatformError | None = None
        # By write id, the revision above which an unsettled swap may be found.
        self.in_doubt: collections.OrderedDict[str, int] = collections.OrderedDict()
        # The lowest of those revisions that had to be forgotten, if any.
        self.evicted_since: int | None = None

    async def read(self, key: str) -> KeyRead:
        """Read a key; ``known`` is False if there was no answer in time."""
        request = protocol.encode_range_request(self._prefixed(key))
        try:
            reply = await self.call_with_retries(
                protocol.RANGE_PATH, request, protocol.RangeReply, READ_COST
            )
        except (UnavailableError, CallRefusedError):
            return KeyRead(key, False, None, 0)
        if not reply.kvs:
            return KeyRead(key, True, None, 0)
        return KeyRead(key, True, reply.kvs[0].value, reply.kvs[0].mod_revision)

    async def list(self, prefix: str) -> tuple[int, list[ListedKey]]:
        """Return all keys that begin with a prefix, and the store's revision.

        :raises UnavailableError: if there was no answer in time.
        :raises CallRefusedError: if the service refused.
        """
        name = self._prefixed(prefix)
        request = protocol.encode_range_request(name, protocol.prefix_end(name))
        reply = await self.call_with_retries(
            protocol.RANGE_PATH, request, protocol.RangeReply, READ_COST
        )
        listed = [
            ListedKey(self.strip_prefix(entry.key), entry.value, entry.mod_revision)
            for entry in reply.kvs
        ]
        return reply.header.revision, listed

    async def swap(
        self, key: str, expected: int, value: bytes, write_id: str
    ) -> KeySwapped:
        """Write a key if its revision is the expected one (0: there is no key).

        ``APPLIED`` and ``LOST`` are final. After ``UNKNOWN`` the write may yet
        be applied: call again with the same arguments to settle it.

        :raises ValueTooLargeError: if the service can't hold the value.
        :raises WriteIdMissingError: if the value doesn't name its write.
        """
        _check_value(key, value, write_id)
        verdict = await self._swap_until_certain(key, expected, value, write_id)
        if verdict is None:
            verdict = Verdict(SwapOutcome.UNKNOWN, 0)
        self.count(f"platform.swap.{verdict.outcome}")
        return KeySwapped(key, write_id, verdict.outcome, verdict.revision)

    async def resolve_swap(
        self, key: str, expected: int, value: bytes, write_id: str, since: int = 0
    ) -> KeySwapped:
        """Ask again for a swap that another life of this process left unknown.

        Within one life ``swap`` remembers by itself.

        :param since: a revision of the store from before the first try.
        """
        self.in_doubt.setdefault(write_id, since)
        return await self.swap(key, expected, value, write_id)

    def watch(
        self, prefix: str, from_revision: int
    ) -> collections.abc.AsyncGenerator[Changes, None]:
        """Yield the changes after a revision, for as long as it is read.

        It goes on through cuts and outages. With 0, and where the service has
        dropped the changes that are missing, it yields the whole list first.
        No key's change is yielded after a later one of the same key, and no
        ``Changes`` after one of a higher revision.
        """
        return Watch(self, prefix, from_revision).changes()

    async def grant(self, ttl_seconds: int) -> Lease:
        """Grant a lease, see ``Leases``."""
        return await self.leases.grant(ttl_seconds)

    async def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease, see ``Leases``."""
        return await self.leases.keep_alive(lease)

    async def close(self) -> None:
        """Close the connections."""
        await self.connection.close()

    async def call_with_retries(
        self, path: str, body: bytes, kind: type[Kind], cost: float
    ) -> Kind:
        """Make a call that can be repeated without harm until it is answered."""
        deadline = self.clock() + self.max_retry_seconds
        while True:
            try:
                return await self.call_once(path, body, kind, cost, deadline)
            except CallFailedError:
                continue

    async def call_once(
        self, path: str, body: bytes, kind: type[Kind], cost: float, deadline: float
    ) -> Kind:
        """Make one call through the gate.

        :raises UnavailableError: if it could not be made before the deadline.
        :raises CallFailedError: if it was made and not answered.
        :raises CallRefusedError: if it was refused.
        """
        permit = await self.call_limiter.acquire(cost, deadline)
        known_revision = self.revision
        name = path.rpartition("/")[2]
        self.count(f"platform.call.{name}")
        try:
            data = await self.connection.call(path, body, permit.timeout)
            reply = protocol.decode(data, kind)
            self.check_revision(reply.header.revision, known_revision)
        except CallFailedError as error:
            self.record_failure(name, error)
            self.call_limiter.record_failure(permit, error.timed_out)
            raise
        except CallRefusedError as error:
            self.count(f"platform.refused.{name}")
            self.last_error = error
            self.call_limiter.record_success(permit)
            raise
        except BaseException:
            self.call_limiter.release(permit)
            raise
        self.last_error = None
        self.call_limiter.record_success(permit)
        return reply

    def record_failure(self, name: str, error: CallFailedError) -> None:
        """Count a failed call and keep the error for the operators."""
        self.count(f"platform.failure.{name}")
        if error.timed_out:
            self.count("platform.timeout")
        if not isinstance(error.__cause__, RevisionWentBackError):
            self.last_error = error

    def strip_prefix(self, name: bytes) -> str:
        """Return a key without this store's prefix."""
        return name.decode().removeprefix(self.prefix)

    def _prefixed(self, key: str) -> bytes:
        return f"{self.prefix}{key}".encode()

    def check_revision(self, revision: int, known_revision: int) -> None:
        """Refuse a reply from before what the service has already shown.

        A restored backup or a member that was left behind would hand out a
        state that operators have since replaced. The nodes would notice a
        setting that reverts; here it is a call without an answer.
        """
        if revision < known_revision:
            self.count("platform.revision_went_back")
            self.last_error = RevisionWentBackError(
                f"the key-value service is at revision {revision} and has"
                f" been at {known_revision}",
                "Check whether it was restored from a backup or reads from a"
                " member that was left behind; see docs/operations/platform.md.",
            )
            raise CallFailedError(
                self.last_error.message, sent=True
            ) from self.last_error
        self.revision = max(self.revision, revision)

    async def _swap_until_certain(
        self, key: str, expected: int, value: bytes, write_id: str
    ) -> Verdict | None:
        """Try a swap until its outcome is certain or patience ends."""
        has_unanswered_copy = (
            write_id in self.in_doubt or self.evicted_since is not None
        )
        # Noted before anything is sent: if this task is cancelled half-way the
        # next one with the same write id has to know that a copy is under way.
        since = self._track_in_doubt(write_id)
        body = protocol.encode_swap_request(self._prefixed(key), expected, value)
        deadline = self.clock() + self.max_retry_seconds
        while True:
            try:
                reply = await self.call_once(
                    protocol.TRANSACTION_PATH,
                    body,
                    protocol.TransactionReply,
                    WRITE_COST,
                    deadline,
                )
                verdict = classify_reply(reply, write_id, has_unanswered_copy)
                if verdict is None:
                    start = max(expected, since) + 1
                    verdict = await self._search_history(
                        reply, write_id, start, deadline
                    )
                if verdict is not None:
                    self.in_doubt.pop(write_id, None)
                    return verdict
            except CallFailedError as error:
                has_unanswered_copy = has_unanswered_copy or error.sent
            except (UnavailableError, CallRefusedError, HistoryCompactedError):
                if not has_unanswered_copy:
                    self.in_doubt.pop(write_id, None)
                return None

    def _track_in_doubt(self, write_id: str) -> int:
        """Return the revision above which a swap may be found applied."""
        known_revision = (
            self.revision if self.evicted_since is None else self.evicted_since
        )
        since = self.in_doubt.setdefault(write_id, known_revision)
        if len(self.in_doubt) > MAX_IN_DOUBT_SWAPS:
            # Any swap may now be one that was forgotten, so each is looked for
            # in the history. That costs a call where a race was lost; taking it
            # for a new one would call a write lost that was applied.
            _, dropped = self.in_doubt.popitem(last=False)
            self.evicted_since = min(dropped, known_revision)
            self.count("platform.swap.forgotten")
        return since

    async def _search_history(
        self,
        reply: protocol.TransactionReply,
        write_id: str,
        start: int,
        deadline: float,
    ) -> Verdict | None:
        """Look for a write in the changes of its key since it could be applied."""
        current = reply.current
        if current is None:
            # The key is gone: not this package's doing, which deletes nothing.
            # What was applied before that can't be told from here.
            return None
        verdict = classify_history([], current, write_id, start)
        if verdict is not None:
            return verdict
        self.count("platform.swap.searched")
        found: list[protocol.WatchEvent] = []
        watch = Watch(self, "", start - 1)
        messages = watch.messages(current.key, b"", deadline)
        async with contextlib.aclosing(messages):
            async for message in messages:
                found += message.events
                verdict = classify_history(found, current, write_id, start)
                if verdict is not None:
                    return verdict
        return None


def _check_value(key: str, value: bytes, write_id: str) -> None:
    if len(value) > protocol.MAX_VALUE_BYTES:
        raise ValueTooLargeError(
            f"{key}: the value has {len(value)} bytes, the service holds"
            f" {protocol.MAX_VALUE_BYTES}",
            "Split the object into several smaller ones.",
        )
    if not contains_write_id(value, write_id):
        raise WriteIdMissingError(
            f"{key}: the value doesn't hold the write id {write_id}",
            "Encode the write id as a string in the value, in JSON or"
            " MessagePack; without it a lost reply can't be settled.",
        )
