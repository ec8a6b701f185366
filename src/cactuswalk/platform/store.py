"""Key-value store client: reads, compare-and-swap, lists, watches and leases."""

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

# By the specification the service answers in milliseconds; a hundred times that is
# beyond its normal variation.
MIN_TIMEOUT_SECONDS = 1.0

# How long a read or swap is retried. Exceeds the longest timeout, so that a service
# that is nearly as slow can still answer.
MAX_RETRY_SECONDS = 10.0

# Swaps in doubt that are remembered in case they are repeated. A process has few at
# a time; each takes about 100 bytes.
MAX_IN_DOUBT_SWAPS = 1024

Kind = typing.TypeVar("Kind", bound=protocol.Reply | protocol.KeepAliveReply)


class ListedKey(typing.NamedTuple):
    """One key of a listing."""

    key: str
    value: bytes
    mod_revision: int


class KeyValueStore:
    """Client whose calls are limited by timeouts, a call budget and back-off.

    :param clock: monotonic seconds.
    :param generator: source of the jitter.
    :param count: called with the name of a counter to increment.
    :param prefix: prepended to every key, so that two fleets can share a service.
    :param timeout: seconds for one call while the service is healthy.
    :param max_retry_seconds: how long a read or swap is retried.
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
        # The highest revision that the service has returned. A lower one in the
        # reply to a later call comes from an outdated copy of the data.
        self.revision = 0
        # The last error, for the operators; None once a call succeeds.
        self.last_error: PlatformError | None = None
        # By write id, the revision after which a swap in doubt may have been applied.
        self.in_doubt: collections.OrderedDict[str, int] = collections.OrderedDict()
        # Set once a swap in doubt was evicted: the revision to search from for swaps
        # that are not in ``in_doubt``.
        self.evicted_since: int | None = None

    async def read(self, key: str) -> KeyRead:
        """Read a key; ``known`` is False if it could not be read in time."""
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
        """Write a key if it has the expected revision (0: it doesn't exist).

        ``APPLIED`` and ``LOST`` are final. After ``UNKNOWN`` the write may yet
        be applied: call again with the same arguments to resolve it.

        :raises ValueTooLargeError: if the value exceeds the service's limit.
        :raises WriteIdMissingError: if the value doesn't contain the write id.
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
        """Repeat a swap that an earlier run of this process left in doubt.

        Swaps of the same run are resolved by calling ``swap`` again.

        :param since: a revision of the store from before the first try.
        """
        self.in_doubt.setdefault(write_id, since)
        return await self.swap(key, expected, value, write_id)

    def watch(
        self, prefix: str, from_revision: int
    ) -> collections.abc.AsyncGenerator[Changes, None]:
        """Yield the changes after a revision, without end.

        It reconnects after broken connections and outages. At revision 0, and
        after the service has compacted changes that are missing, it yields a
        snapshot of all keys first. The changes of a key are yielded in their
        order, and the revisions of successive ``Changes`` never decrease.
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
        """Make an idempotent call, and retry it until it is answered."""
        deadline = self.clock() + self.max_retry_seconds
        while True:
            try:
                return await self.call_once(path, body, kind, cost, deadline)
            except CallFailedError:
                continue

    async def call_once(
        self, path: str, body: bytes, kind: type[Kind], cost: float, deadline: float
    ) -> Kind:
        """Make one call with a permit of the limiter.

        :raises UnavailableError: if there was no permit before the deadline.
        :raises CallFailedError: if the call got no usable answer.
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
        """Count a failed call, and keep the error for the operators."""
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
        """Reject a reply that is older than an earlier one.

        A service restored from a backup, or a member that lags behind, returns
        values that operators have since replaced. Such a reply is treated as a
        failed call, so that no setting reverts on the nodes.

        :raises CallFailedError: if the revision is below the known one.
        """
        if revision < known_revision:
            self.count("platform.revision_went_back")
            self.last_error = RevisionWentBackError(
                f"the key-value service is at revision {revision} and has"
                f" been at {known_revision}",
                "Check whether it was restored from a backup or reads from a"
                " member that lags behind; see docs/operations/platform.md.",
            )
            raise CallFailedError(
                self.last_error.message, sent=True
            ) from self.last_error
        self.revision = max(self.revision, revision)

    async def _swap_until_certain(
        self, key: str, expected: int, value: bytes, write_id: str
    ) -> Verdict | None:
        """Retry a swap until its outcome is final, or return None at the deadline."""
        has_unanswered_copy = (
            write_id in self.in_doubt or self.evicted_since is not None
        )
        # Recorded before anything is sent: if this task is cancelled, the next
        # one with the same write id must know that a copy may be in flight.
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
        """Record a swap, and return the revision after which it may be applied."""
        known_revision = (
            self.revision if self.evicted_since is None else self.evicted_since
        )
        since = self.in_doubt.setdefault(write_id, known_revision)
        if len(self.in_doubt) > MAX_IN_DOUBT_SWAPS:
            # From now on any new swap may be a repetition of an evicted one, so
            # all are treated as in doubt and searched for in the history. That
            # costs a call for each lost race. Treating them as new could report
            # an applied write as lost.
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
        """Search the key's changes from ``start`` on for a write."""
        current = reply.current
        if current is None:
            # The key was deleted, by another program since this package deletes
            # nothing. Whether the write was applied before is unknown.
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
            f"{key}: the value has {len(value)} bytes, the service's limit is"
            f" {protocol.MAX_VALUE_BYTES}",
            "Split the object into several smaller ones.",
        )
    if not contains_write_id(value, write_id):
        raise WriteIdMissingError(
            f"{key}: the value doesn't contain the write id {write_id}",
            "Encode the write id as a string in the value, in JSON or"
            " MessagePack; without it a swap in doubt can't be resolved.",
        )
