"""The agent's process: its sockets, its upstream, and the node's reducer."""

import random
import secrets
import time

from cactuswalk.decisions.callbudget import AGENT_BURST, AGENT_RATE
from cactuswalk.http.announcements import make_announce_application
from cactuswalk.http.server import HttpServer
from cactuswalk.http.upstream import UpstreamClient
from cactuswalk.model import Member
from cactuswalk.platform import open_store
from cactuswalk.runtime.application import Application
from cactuswalk.runtime.keys import Keys, address_with_key
from cactuswalk.runtime.keyvalue import KeyValuePort
from cactuswalk.runtime.logs import open_logs
from cactuswalk.runtime.metrics import make_metrics
from cactuswalk.runtime.transport import Transport
from cactuswalk.settings import AgentSettings
from cactuswalk.state.effects import CallUpstream, StopUpstream
from cactuswalk.state.events import UpstreamOutcome
from cactuswalk.state.node import Node, handle, new_node
from cactuswalk.state.timing import Timing

__all__ = ["AgentProcess", "timing_of"]

# How long a stop waits for announcements in flight on the loopback.
FINISH_SECONDS = 1.0


def timing_of(settings: AgentSettings) -> Timing:
    """Return the spans of time that settings give, the others by default."""
    return Timing(
        confirm=settings.confirm_period_ms / 1000,
        ping=settings.ping_period_ms / 1000,
        retention=float(settings.retention_seconds),
    )


class AgentProcess:
    """Everything that one agent's process owns."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.log = open_logs(settings.logs, settings.worker)
        self.metrics = make_metrics(settings.statsd)
        self.generator = random.Random(secrets.randbits(64))
        self.node = self._make_node()
        self.application = Application(
            settings.worker,
            lambda event, now: handle(self.node, event, now),
            lambda: self.node.stopped,
            self.log.write,
            self.metrics,
        )
        keys = Keys(settings.curve) if settings.curve else None
        self.transport = Transport(
            self.node.member.address,
            self.application.receive,
            self.metrics.count,
            keys,
        )
        self.application.transport = self.transport
        self.upstream = UpstreamClient()
        self.application.performers[CallUpstream] = self._call
        self.application.performers[StopUpstream] = self._stop
        self._add_hooks()

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        await self.application.run()

    def _make_node(self) -> Node:
        settings = self.settings
        address = settings.address
        if settings.curve:
            address = address_with_key(address, settings.curve.public_key)
        member = Member(settings.worker, secrets.token_hex(8), address)
        return new_node(
            settings.cell,
            member,
            timing_of(settings),
            self.generator,
            settings.retention_bytes,
            time.monotonic(),
        )

    def _add_hooks(self) -> None:
        application = self.application
        server = HttpServer(
            make_announce_application(
                self.settings, self.upstream, application.feed, self._not_ready
            ),
            self.settings.http,
            FINISH_SECONDS,
        )
        self.server = server
        application.add_hook(self._open_transport, self._close_transport)
        application.add_hook(self._open_store, self._close_store)
        application.add_hook(self.upstream.open, self.upstream.close)
        application.add_hook(server.start, server.stop)

    async def _open_transport(self) -> None:
        self.transport.open()

    async def _close_transport(self) -> None:
        self.transport.close()

    async def _open_store(self) -> None:
        settings = self.settings.key_value
        self.store = open_store(
            settings.endpoints,
            self.settings.worker,
            AGENT_RATE,
            AGENT_BURST,
            prefix=settings.prefix,
            timeout=settings.timeout_ms / 1000,
            generator=random.Random(self.generator.getrandbits(64)),
            count=lambda name: self.metrics.count(name, 1),
        )
        KeyValuePort(self.application, self.store)

    async def _close_store(self) -> None:
        await self.store.close()
        self.metrics.close()
        self.log.close()

    def _not_ready(self) -> list[str]:
        reasons = []
        if self.application.stopping:
            reasons.append("this agent is stopping")
        if self.node.member not in self.node.agent.roster:
            reasons.append("this agent is not on its cell's roster")
        return reasons

    def _call(self, effect: CallUpstream) -> None:
        self.application.spawn(self._run_call(effect))

    async def _run_call(self, effect: CallUpstream) -> None:
        event = await self.upstream.call(effect)
        if event.outcome is UpstreamOutcome.ANSWERED:
            self.metrics.timing("agent.upstream", event.elapsed_ms)
        self.application.feed(event)

    def _stop(self, effect: StopUpstream) -> None:
        self.application.spawn(self._run_stop(effect))

    async def _run_stop(self, effect: StopUpstream) -> None:
        await self.upstream.stop(effect)
