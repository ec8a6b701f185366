"""Shared parts of dispatch entries and agents: log, metrics, messages, HTTP."""

import asyncio
import importlib
import socket
from collections.abc import Callable

from cactuswalk.dispatch import messages
from cactuswalk.dispatch.effects import Observe, Say, SendMessage
from cactuswalk.dispatch.reducerstate import ReducerState
from cactuswalk.observations import Log, Part
from cactuswalk.platform.metadata import MetadataStore
from cactuswalk.runtime.application import Application
from cactuswalk.runtime.exposition import Exposition
from cactuswalk.runtime.loglines import JsonLines
from cactuswalk.runtime.logs import open_logs
from cactuswalk.runtime.metrics import make_metrics
from cactuswalk.runtime.serving import Handler, HttpService
from cactuswalk.runtime.startclock import StartClock, read_boottime
from cactuswalk.runtime.transport import Transport
from cactuswalk.settings.dispatch import (
    DispatchAgentSettings,
    DispatchEntrySettings,
    Endpoint,
    message_url,
)

__all__ = ["DispatchRuntime", "read_boottime"]

# Interval of heartbeats on connections between processes: TCP alone takes minutes to
# detect a silent connection. With a shorter interval, heartbeats would be as many as
# the messages.
HEARTBEAT_MS = 500

# The recovery after a full outage takes 2 s (``decisions.recovery``).
ELIOT_AFTER_SECONDS = 3.0
ELIOT_MODULE = "cactuswalk.runtime.eliotlines"

# Interval at which a process with many messages receives them. While jobs wait at an
# entry, each message may bring room, and is received at once.
BATCH_SECONDS = 0.004


class DispatchRuntime:
    """The parts of a process that don't depend on its role.

    :param part: the prefix of each log line.
    :param reduce: the role's reducer.
    :param is_stopped: returns whether a planned stop is complete.
    :param make_received: returns the reducer's event for a message; ``make_tick`` and
        ``make_stop_requested`` return those for time and for a requested stop.
    :param may_batch: returns whether messages may wait for ``BATCH_SECONDS``.
    """

    def __init__(
        self,
        settings: DispatchAgentSettings | DispatchEntrySettings,
        part: Part,
        reduce: Callable,
        is_stopped: Callable[[], bool],
        make_received: Callable,
        make_tick: Callable,
        make_stop_requested: Callable,
        may_batch: Callable[[], bool] = lambda: True,
    ) -> None:
        self.settings = settings
        self.part = part
        self.log = open_logs(settings.logs, settings.name, JsonLines())
        self.metrics = make_metrics(settings.statsd)
        self.exposition = Exposition()
        self.store = MetadataStore(str(settings.store))
        self.application = Application(
            settings.name,
            reduce,
            is_stopped,
            self._write_log,
            self.metrics,
            clock=read_boottime,
            make_tick=make_tick,
            make_received=make_received,
            make_stop_requested=make_stop_requested,
        )
        self.transport = Transport(
            message_url(settings.messages),
            self.application.receive,
            self.exposition.count,
            codec=messages,
            heartbeat_ms=HEARTBEAT_MS,
            clock=read_boottime,
            batch_seconds=BATCH_SECONDS,
            may_batch=may_batch,
        )
        self.application.transport = self.transport
        self.application.effect_handlers |= {
            SendMessage: self._send,
            Say: self._say,
            Observe: self.exposition.observe,
        }

    def add_http_service(
        self,
        address: Endpoint,
        handler: Handler,
        listener: socket.socket | None = None,
    ) -> None:
        """Serve an address for as long as the application runs.

        :param listener: a socket that already listens at the address.
        """
        service = HttpService(address, handler, listener)
        self.application.add_hook(service.start, service.stop)

    def add_transport(self) -> None:
        """Receive and send messages for as long as the application runs."""

        async def start() -> None:
            self.transport.open()

        async def stop() -> None:
            self.transport.close()

        self.application.add_hook(start, stop)

    def add_store(self) -> None:
        """Close the store client, metrics and log when the application stops."""

        async def start() -> None:
            self._say(Say("starts", {"address": self.transport.address}))
            self.application.spawn(self._load_eliot())

        async def stop() -> None:
            await self.store.close()
            self._say(Say("has stopped", {}))
            self.metrics.close()
            self.log.close()

        self.application.add_hook(start, stop)

    def add_start_phases(self, state: ReducerState, clock: StartClock) -> None:
        """Have the phases of the start logged and measured, the last one here."""
        state.started_at = clock.started_at

        async def start() -> None:
            clock.reach("sockets")
            for phase, at in clock.phases:
                state.reach_phase(phase, at)
            self.application.feed(self.application.make_tick())

        async def stop() -> None:
            """Do nothing: a start has no end of its own."""

        self.application.add_hook(start, stop)

    def say(self, sentence: str, **fields: object) -> None:
        """Write a log line of this process, with the given fields."""
        self._say(Say(sentence, fields))

    async def _load_eliot(self) -> None:
        """Have eliot encode the log lines, once jobs don't wait for the start."""
        await asyncio.sleep(ELIOT_AFTER_SECONDS)
        # It holds up the loop for less than a keepalive's interval, once.
        module = importlib.import_module(ELIOT_MODULE)
        self.log.encode_with(module.EliotLines())

    def _send(self, effect: SendMessage) -> None:
        self.transport.send(effect.address, effect.message, read_boottime())

    def _say(self, effect: Say) -> None:
        self.log.say(self.part, effect.sentence, effect.fields, effect.level)

    def _write_log(self, effect: Log, level: str = "info") -> None:
        self.log.write(effect, level)
