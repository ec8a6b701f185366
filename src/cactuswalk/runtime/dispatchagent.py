"""The dispatch agent process."""

import functools
import secrets
import signal
import socket
import time
from collections.abc import Awaitable

from cactuswalk.dispatch.agent import reduce
from cactuswalk.dispatch.agentevents import (
    Announced,
    Departed,
    EntriesRead,
    EvacuationsListed,
    Received,
    StopRequested,
    Tick,
)
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import (
    PollWorker,
    ReadEntries,
    ReadEvacuations,
    StartTask,
    StopTask,
)
from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.observations import Part
from cactuswalk.platform.announcements import AnnouncementHandler
from cactuswalk.platform.errors import PlatformError
from cactuswalk.platform.names import (
    EVACUATIONS_PREFIX,
    parse_evacuated_data_centre,
)
from cactuswalk.platform.worker import WorkerClient
from cactuswalk.runtime.dispatch import DispatchRuntime, read_boottime
from cactuswalk.runtime.startclock import StartClock
from cactuswalk.runtime.storewatch import ENTRIES_PREFIX, decode_member
from cactuswalk.settings.dispatch import DispatchAgentSettings

__all__ = ["DispatchAgentProcess"]

# A draining worker gets no new tasks during this time before its drain deadline: the
# entry's start message and the call to the worker take time too.
DRAIN_MARGIN_SECONDS = 1.0


class DispatchAgentProcess:
    """Runs the agent of one worker.

    :param listener: a socket that already listens for the worker's heartbeats.
    :param clock: has the phases of the start so far.
    """

    def __init__(
        self,
        settings: DispatchAgentSettings,
        listener: socket.socket | None = None,
        clock: StartClock | None = None,
    ) -> None:
        self.settings = settings
        self.listener = listener
        self.clock = clock or StartClock()
        # Only an earlier incarnation of this agent has given the worker a token, from
        # an earlier time of day. If the clock was set back since, the worker refuses
        # the token, and AgentState raises it.
        token = int(time.time() * 1000)
        self.state = AgentState(
            secrets.token_hex(4),
            token,
            settings.seeds,
            settings.name,
            settings.data_centre,
            settings.grace_seconds,
            settings.drain_seconds - DRAIN_MARGIN_SECONDS,
        )
        self.state.logs_debug = settings.logs.level == "debug"
        self.state.policy = settings.policy
        self.runtime = DispatchRuntime(
            settings,
            Part.AGENT,
            functools.partial(reduce, self.state),
            self.is_stopped,
            Received,
            Tick,
            StopRequested,
        )
        self.application = self.runtime.application
        self.worker = WorkerClient(str(settings.worker), read_boottime)
        self.application.effect_handlers |= {
            StartTask: lambda effect: self._spawn_call(self.worker.start(effect)),
            StopTask: lambda effect: self._spawn_call(self.worker.stop(effect)),
            PollWorker: lambda effect: self._spawn_call(self.worker.poll(effect)),
            ReadEntries: lambda effect: self._spawn_call(self._list_entries()),
            ReadEvacuations: lambda effect: self._spawn_call(self._list_evacuations()),
        }

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        signal.signal(
            signal.SIGHUP,
            lambda *_: self.runtime.say("ignores SIGHUP: settings are read at start"),
        )
        self.runtime.add_store()
        handler = AnnouncementHandler(
            self.settings.service, self._feed_announcement, self._log_unusable_heartbeat
        )
        self.runtime.add_http_service(
            self.settings.announcements, handler.handle, self.listener
        )
        self.runtime.add_transport()
        self.runtime.add_http_service(
            self.settings.metrics, self.runtime.exposition.make_handler()
        )
        self.application.add_hook(_do_nothing, self.worker.close)
        # Its first tick looks up the entries at once, not 50 ms later.
        self.runtime.add_start_phases(self.state, self.clock)
        await self.application.run()

    def is_stopped(self) -> bool:
        """Return whether all work is finished or the stop deadline has passed."""
        return (
            self.state.is_idle(read_boottime()) or read_boottime() >= self.state.stop_by
        )

    def _feed_announcement(self, event: Announced | Departed) -> None:
        if isinstance(event, Announced):
            self.worker.record_heartbeat(event.worker.identifier, event.worker.clock_ms)
        self.application.feed(event)

    def _spawn_call(self, work: Awaitable) -> None:
        self.application.spawn(self._feed_result(work))

    async def _feed_result(self, work: Awaitable) -> None:
        self.application.feed(await work)

    async def _list_entries(self) -> EntriesRead:
        try:
            _, items = await self.runtime.store.list(ENTRIES_PREFIX, allow_stale=True)
        except PlatformError as error:
            self.runtime.say("can't read the list of entries", reason=str(error))
            return EntriesRead(None)
        read = [decode_member(item.value) for item in items]
        return EntriesRead([member for member in read if member is not None])

    async def _list_evacuations(self) -> EvacuationsListed:
        try:
            revision, items = await self.runtime.store.list(EVACUATIONS_PREFIX)
        except PlatformError as error:
            self.runtime.say("can't read the evacuations", reason=str(error))
            return EvacuationsListed(None)
        names = {parse_evacuated_data_centre(item.key) for item in items}
        return EvacuationsListed(Evacuations(revision, tuple(sorted(names - {None}))))

    def _log_unusable_heartbeat(self, error: PlatformError) -> None:
        self.runtime.say("rejects a heartbeat of the worker", reason=error.message)


async def _do_nothing() -> None:
    """Serve as the start of a part that is started by its first use."""
