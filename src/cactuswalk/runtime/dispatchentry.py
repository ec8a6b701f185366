"""The process of a dispatch entry."""

import asyncio
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
from cactuswalk.runtime.dispatch import DispatchHost, now
from cactuswalk.runtime.following import (
    ENTRIES_PREFIX,
    Patience,
    Registration,
    Update,
    follow,
    read_member,
)
from cactuswalk.settings.dispatch import DispatchEntrySettings, message_url

__all__ = ["DispatchEntryProcess"]

# A watch that waits is a call like others; and a connection that went silent for
# good is noticed no sooner than this. A change has two seconds to be in force.
OPERATORS_WAIT_SECONDS = 1.2
ENTRIES_WAIT_SECONDS = 4.0

# The balancer asks once a second and turns away after two misses; a stopping
# entry that leaves sooner would break connections that are still given to it.
BALANCER_SECONDS = 3.0

# A key that isn't given up goes with its lease; the process has to be gone by then.
LEAVE_SECONDS = 0.2

# An entry that starts meets its first agents within a tenth of a second or two. The
# balancer is answered then: told otherwise, it comes back a second later.
READY_PATIENCE_SECONDS = 0.3
READY_LOOK_SECONDS = 0.02

STOP_MARGIN_SECONDS = 0.5


class DispatchEntryProcess:
    """Runs an entry: the door that callers' requests come in by.

    :param listener: for the balancer's questions, where one listens already.
    """

    def __init__(
        self, settings: DispatchEntrySettings, listener: socket.socket | None = None
    ) -> None:
        self.settings = settings
        self.listener = listener
        address = message_url(settings.messages)
        self.state = EntryState(
            address,
            secrets.token_hex(4),
            settings.data_centre,
            settings.seeds,
            settings.far_factor,
            settings.grace_seconds,
        )
        self.host = DispatchHost(
            settings,
            Part.ENTRY,
            functools.partial(reduce, self.state),
            self.is_stopped,
            self._received,
            Tick,
            StopRequested,
        )
        self.application = self.host.application
        self.application.performers[Answer] = self._answer
        member = Member(address, settings.data_centre)
        self.registration = Registration(self.host.store, settings.name, member)
        self.waiters: dict[int, asyncio.Future] = {}
        self.numbers = itertools.count(1)
        self.configuration = b""
        self.members: dict[str, Member] = {}
        self.evacuated: set[str] = set()
        self.stopped_at = 0.0
        self.is_closed = False

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        signal.signal(signal.SIGHUP, lambda *_: self.host.say("settings have changed"))
        self.host.open_store()
        ready = make_readiness_handler(self._becomes_ready)
        self.host.serve(self.settings.readiness, ready, self.listener)
        self.host.serve(self.settings.metrics, self.host.exposition.handler())
        self.host.open_messages()
        self.application.add_hook(self._follow_store, self._leave_store)
        # Started last and stopped first: a caller who is let in is answered.
        self.host.serve(self.settings.callers, CallerHandler(self).handle)
        await self.application.run()

    def is_stopped(self) -> bool:
        """Return whether every caller is answered and the balancer has noticed."""
        if not self.stopped_at:
            self.stopped_at = now()
        waited = now() - self.stopped_at
        out_of_time = waited >= self.settings.grace_seconds - STOP_MARGIN_SECONDS
        self.is_closed = out_of_time or (
            waited >= BALANCER_SECONDS and not self.waiters
        )
        return self.is_closed

    async def _becomes_ready(self) -> bool:
        """Return whether this entry is ready, or will be in a moment."""
        asked_at = now()
        while not self.state.is_ready(now()):
            if self.state.stop_at or now() - asked_at > READY_PATIENCE_SECONDS:
                return False
            await asyncio.sleep(READY_LOOK_SECONDS)
        return True

    # What the callers' edge asks for.

    def queues(self) -> Queues | None:
        """Return the queues in force."""
        return self.state.queues

    def count_queued(self, queue: Queue) -> int:
        """Return how many jobs of a queue wait here."""
        return self.state.count_queued_jobs(queue.name)

    def is_stopping(self) -> bool:
        """Return whether connections are to be given up."""
        return self.state.stop_at > 0

    def cancel(self, job: str) -> bool:
        """Cancel a job; return whether it was known."""
        known = job in self.state.jobs
        self.application.feed(JobCancelled(job))
        return known

    async def submit(
        self, queue: Queue, request: JobRequest, wait_seconds: float
    ) -> JobResult:
        """Wait for the end of a job."""
        if self.is_closed:
            # Nothing is judged or told any more, so that it would never end.
            return JobResult(JobVerdict.NOT_RUN, "this entry has stopped", 1.0)
        waiter = next(self.numbers)
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

    def _answer(self, effect: Answer) -> None:
        future = self.waiters.get(effect.waiter)
        if future is not None and not future.done():
            future.set_result(
                JobResult(effect.verdict, effect.reason, effect.retry_after)
            )

    # The store, and other entries' copies of it.

    async def _follow_store(self) -> None:
        generator = random.Random(secrets.randbits(64))

        def patience(what: str) -> Patience:
            return Patience(what, now, self.host.say, generator)

        store = self.host.store
        self.application.spawn(
            follow(
                store,
                OPERATORS_PREFIX,
                OPERATORS_WAIT_SECONDS,
                self._take_operators_keys,
                patience("configuration"),
            )
        )
        self.application.spawn(
            follow(
                store,
                ENTRIES_PREFIX,
                ENTRIES_WAIT_SECONDS,
                self._take_entries,
                patience("entries"),
            )
        )
        self.application.spawn(self.registration.keep(patience("registration")))

    async def _leave_store(self) -> None:
        """Give the key up; a store that doesn't answer takes it back by itself."""
        try:
            async with asyncio.timeout(LEAVE_SECONDS):
                await self.registration.remove()
        except TimeoutError:
            self.host.say("leaves its key to the store: no answer")

    def _take_operators_keys(self, update: Update) -> None:
        """Take the configuration and the evacuations, which lie side by side."""
        for change in update.changes:
            if change.key == CONFIGURATION_KEY and change.value is not None:
                self._use_configuration(change.value)
        self._take_evacuations(update)

    def _take_evacuations(self, update: Update) -> None:
        was = frozenset(self.evacuated)
        if update.whole:
            self.evacuated.clear()
        for change in update.changes:
            data_centre = parse_evacuated_data_centre(change.key)
            if data_centre is None:
                continue
            if change.value is None:
                self.evacuated.discard(data_centre)
            else:
                self.evacuated.add(data_centre)
        if update.whole or self.evacuated != was:
            evacuations = Evacuations(update.revision, tuple(sorted(self.evacuated)))
            self.application.feed(EvacuationsRead(evacuations))

    def _use_configuration(self, value: bytes) -> None:
        try:
            queues = read_configuration(value)
        except UnreadableConfigurationError as error:
            self.host.say("a configuration can't be read", reason=error.message)
            return
        known = self.state.queues
        if known is None or queues.version > known.version:
            self.configuration = value
            self.application.feed(ConfigurationRead(queues))

    def _take_entries(self, update: Update) -> None:
        if update.whole:
            self.members.clear()
        for change in update.changes:
            self.members.pop(change.key, None)
            if change.value is None:
                continue
            member = read_member(change.value)
            if member is None:
                self.host.say("an entry's key can't be read", key=change.key)
                continue
            self.members[change.key] = member
        self.registration.check(set(self.members))
        self.application.feed(EntriesListed(list(self.members.values())))

    def _received(self, sender: str, message) -> Received:
        """Hand configurations over here; all other messages are the reducer's."""
        if isinstance(message, ConfigurationRequest) and self.configuration:
            copy = ConfigurationCopy(self.state.queues.version, self.configuration)
            self.host.transport.send(sender, copy, now())
        elif isinstance(message, ConfigurationCopy):
            self._use_configuration(message.value)
        return Received(sender, message)
