"""The dispatch entry process."""

import asyncio
import contextlib
import functools
import itertools
import random
import secrets
import signal
import socket

from cactuswalk.dispatch.effects import Answer
from cactuswalk.dispatch.entry import reduce
from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EntriesListed,
    EvacuationsRead,
    JobArrived,
    JobCancelled,
    Received,
    StopRequested,
    StoreAnswered,
    Tick,
    WaiterLeft,
)
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.dispatch.job import JobRequest, JobVerdict
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import ConfigurationCopy, ConfigurationRequest
from cactuswalk.dispatch.routing import Queue, Queues
from cactuswalk.observations import Part
from cactuswalk.platform.callers import CallerHandler, JobResult, make_readiness_handler
from cactuswalk.platform.configuration import (
    UnreadableConfigurationError,
    read_configuration,
)
from cactuswalk.platform.names import (
    CONFIGURATION_KEY,
    OPERATORS_PREFIX,
    parse_evacuated_data_centre,
)
from cactuswalk.runtime.dispatch import DispatchRuntime, read_boottime
from cactuswalk.runtime.startclock import StartClock
from cactuswalk.runtime.storewatch import (
    ENTRIES_PREFIX,
    PrefixUpdate,
    Registration,
    StoreBackoff,
    decode_member,
    watch_prefix,
)
from cactuswalk.settings.dispatch import DispatchEntrySettings, message_url

__all__ = ["DispatchEntryProcess"]

# Long-poll times of the watches: shorter ones cost more calls, and with longer ones a
# silent connection is detected later. An operator's change has to be in force within
# two seconds.
OPERATORS_WATCH_SECONDS = 1.2
ENTRIES_WATCH_SECONDS = 4.0

# The balancer checks readiness once a second and removes an entry after two failures.
# An entry that exits sooner would break connections that it still receives.
BALANCER_NOTICE_SECONDS = 3.0

# Time limit for removing the entry's key at a stop. A key that isn't removed expires
# with its lease; the process has to have exited by then.
DEREGISTER_TIMEOUT_SECONDS = 0.2

# A starting entry connects to its first agents within 0.1 or 0.2 s. The readiness
# check waits for that: after a "not ready" the balancer asks again a second later.
READY_WAIT_SECONDS = 0.3
READY_POLL_SECONDS = 0.02

STOP_MARGIN_SECONDS = 0.5

# A starting entry reads the configuration within some milliseconds. Requests that come
# before wait for it this long: a refused caller comes back after a second at the
# earliest. If it takes longer, the store is probably unavailable.
CONFIGURATION_WAIT_SECONDS = 0.3


class DispatchEntryProcess:
    """Runs an entry, which accepts callers' requests.

    :param listener: a socket that already listens for the balancer's readiness checks.
    :param clock: has the phases of the start so far.
    """

    def __init__(
        self,
        settings: DispatchEntrySettings,
        listener: socket.socket | None = None,
        clock: StartClock | None = None,
    ) -> None:
        self.settings = settings
        self.listener = listener
        self.clock = clock or StartClock()
        address = message_url(settings.messages)
        self.state = EntryState(
            address,
            secrets.token_hex(4),
            settings.data_centre,
            settings.seeds,
            settings.far_factor,
            settings.grace_seconds,
        )
        self.state.logs_debug = settings.logs.level == "debug"
        self.state.policy = settings.policy
        # A pause before the first event counts as well.
        self.state.handled_at = read_boottime()
        self.runtime = DispatchRuntime(
            settings,
            Part.ENTRY,
            functools.partial(reduce, self.state),
            self.is_stopped,
            self._make_received,
            Tick,
            StopRequested,
            lambda: not self.state.waiting_jobs(),
        )
        self.application = self.runtime.application
        self.application.effect_handlers[Answer] = self._resolve_waiter
        member = Member(address, settings.data_centre)
        self.registration = Registration(self.runtime.store, settings.name, member)
        self.waiters: dict[int, asyncio.Future] = {}
        self.waiter_ids = itertools.count(1)
        self.configuration = b""
        self.configured = asyncio.Event()
        self.members: dict[str, Member] = {}
        self.evacuated: set[str] = set()
        self.stop_began_at = 0.0
        self.is_closed = False

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        signal.signal(
            signal.SIGHUP,
            lambda *_: self.runtime.say("ignores SIGHUP: settings are read at start"),
        )
        self.runtime.add_store()
        ready = make_readiness_handler(self._wait_until_ready)
        self.runtime.add_http_service(self.settings.readiness, ready, self.listener)
        self.runtime.add_http_service(
            self.settings.metrics, self.runtime.exposition.make_handler()
        )
        self.runtime.add_transport()
        self.application.add_hook(self._start_store_watches, self._deregister)
        # Started last and stopped first, so that every accepted caller is answered.
        self.runtime.add_http_service(self.settings.callers, CallerHandler(self).handle)
        self.runtime.add_start_phases(self.state, self.clock)
        await self.application.run()

    def is_stopped(self) -> bool:
        """Return whether callers are answered and the balancer has noticed the stop."""
        if not self.stop_began_at:
            self.stop_began_at = read_boottime()
        waited = read_boottime() - self.stop_began_at
        out_of_time = waited >= self.settings.grace_seconds - STOP_MARGIN_SECONDS
        self.is_closed = out_of_time or (
            waited >= BALANCER_NOTICE_SECONDS and not self.waiters
        )
        return self.is_closed

    async def _wait_until_ready(self) -> bool:
        """Return whether this entry is ready, waiting briefly for it to become so."""
        asked_at = read_boottime()
        while not self.state.is_ready(read_boottime()):
            if self.state.stop_at or read_boottime() - asked_at > READY_WAIT_SECONDS:
                return False
            await asyncio.sleep(READY_POLL_SECONDS)
        return True

    # The interface of the callers' HTTP handler.

    async def wait_for_queues(self) -> Queues | None:
        """Return the queues in force, waiting briefly for the first configuration."""
        if self.state.queues is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONFIGURATION_WAIT_SECONDS):
                    await self.configured.wait()
        return self.state.queues

    def count_queued(self, queue: Queue) -> int:
        """Return how many jobs of a queue wait at this entry."""
        return self.state.count_queued_jobs(queue.name)

    def is_stopping(self) -> bool:
        """Return whether connections should be closed after their responses."""
        return self.state.stop_at > 0

    def ignore(self, job: str) -> None:
        """Record that a job is not submitted, since its caller has gone."""
        self.runtime.say("ignores a job whose caller has gone", job=job)

    def cancel(self, job: str) -> bool:
        """Cancel a job; return whether it was known."""
        known = job in self.state.jobs
        self.application.feed(JobCancelled(job))
        return known

    async def submit(
        self, queue: Queue, request: JobRequest, wait_seconds: float
    ) -> JobResult:
        """Submit a job and wait for its result."""
        if self.is_closed:
            # The reducer no longer decides about jobs, so this one would never end.
            return JobResult(JobVerdict.NOT_RUN, "this entry has stopped", 1.0)
        waiter = next(self.waiter_ids)
        future = asyncio.get_running_loop().create_future()
        self.waiters[waiter] = future
        try:
            self.application.feed(JobArrived(waiter, queue, request, wait_seconds))
            return await future
        except asyncio.CancelledError:
            self.application.feed(WaiterLeft(waiter, request.identifier))
            raise
        finally:
            del self.waiters[waiter]

    def _resolve_waiter(self, effect: Answer) -> None:
        future = self.waiters.get(effect.waiter)
        if future is not None and not future.done():
            future.set_result(
                JobResult(effect.verdict, effect.reason, effect.retry_after)
            )

    # The metadata store, and other entries' copies of the configuration.

    async def _start_store_watches(self) -> None:
        generator = random.Random(secrets.randbits(64))

        def make_backoff(what: str) -> StoreBackoff:
            return StoreBackoff(what, read_boottime, self.runtime.say, generator)

        store = self.runtime.store
        self.application.spawn(
            watch_prefix(
                store,
                OPERATORS_PREFIX,
                OPERATORS_WATCH_SECONDS,
                self._apply_operators_update,
                make_backoff("configuration"),
                lambda: self.application.feed(StoreAnswered()),
            )
        )
        self.application.spawn(
            watch_prefix(
                store,
                ENTRIES_PREFIX,
                ENTRIES_WATCH_SECONDS,
                self._apply_entries,
                make_backoff("entries"),
            )
        )
        self.application.spawn(self.registration.maintain(make_backoff("registration")))

    async def _deregister(self) -> None:
        """Remove this entry's key; if the store doesn't answer, its lease expires."""
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT_SECONDS):
                await self.registration.remove()
        except TimeoutError:
            self.runtime.say(
                "can't remove its key, the store doesn't answer; its lease will expire"
            )

    def _apply_operators_update(self, update: PrefixUpdate) -> None:
        """Apply the configuration and the evacuations, stored under one prefix."""
        for change in update.changes:
            if change.key == CONFIGURATION_KEY and change.value is not None:
                self._apply_configuration(change.value)
        self._apply_evacuations(update)

    def _apply_evacuations(self, update: PrefixUpdate) -> None:
        previous = frozenset(self.evacuated)
        if update.is_snapshot:
            self.evacuated.clear()
        for change in update.changes:
            data_centre = parse_evacuated_data_centre(change.key)
            if data_centre is None:
                continue
            if change.value is None:
                self.evacuated.discard(data_centre)
            else:
                self.evacuated.add(data_centre)
        if update.is_snapshot or self.evacuated != previous:
            evacuations = Evacuations(update.revision, tuple(sorted(self.evacuated)))
            self.application.feed(EvacuationsRead(evacuations))

    def _apply_configuration(self, value: bytes) -> None:
        try:
            queues = read_configuration(value)
        except UnreadableConfigurationError as error:
            self.runtime.say(
                "rejects a configuration that can't be parsed", reason=error.message
            )
            return
        known = self.state.queues
        if known is None or queues.version > known.version:
            self.configuration = value
            self.application.feed(ConfigurationRead(queues))
            self.configured.set()

    def _apply_entries(self, update: PrefixUpdate) -> None:
        if update.is_snapshot:
            self.members.clear()
        for change in update.changes:
            self.members.pop(change.key, None)
            if change.value is None:
                continue
            member = decode_member(change.value)
            if member is None:
                self.runtime.say(
                    "ignores an entry whose key can't be parsed", key=change.key
                )
                continue
            self.members[change.key] = member
        self.registration.rewrite_if_missing(set(self.members))
        self.application.feed(EntriesListed(list(self.members.values())))

    def _make_received(self, sender: str, message) -> Received:
        """Send and apply copies of the configuration; pass all messages on."""
        if isinstance(message, ConfigurationRequest) and self.configuration:
            copy = ConfigurationCopy(self.state.queues.version, self.configuration)
            self.runtime.transport.send(sender, copy, read_boottime())
        elif isinstance(message, ConfigurationCopy):
            self._apply_configuration(message.value)
        return Received(sender, message)
