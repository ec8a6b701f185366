"""The agent process: its sockets, its upstream client and the node's reducer."""

import secrets
import time

from cactuswalk.decisions.callbudget import AGENT_BURST, AGENT_RATE
from cactuswalk.http.announcements import make_announce_application
from cactuswalk.http.server import HttpServer
from cactuswalk.http.upstream import UpstreamClient
from cactuswalk.model import Member
from cactuswalk.runtime.process import ProcessRuntime
from cactuswalk.settings import AgentSettings
from cactuswalk.state.effects import CallUpstream, ControlUpstream, StopUpstream
from cactuswalk.state.events import UpstreamOutcome
from cactuswalk.state.node import Node, handle, new_node
from cactuswalk.state.timing import Timing

__all__ = ["AgentProcess", "make_timing"]

# How long a planned stop waits for announcement requests in flight.
ANNOUNCEMENT_DRAIN_SECONDS = 1.0


def make_timing(settings: AgentSettings) -> Timing:
    """Return the time spans from the settings, and defaults for the others."""
    return Timing(
        confirm=settings.confirm_period_ms / 1000,
        ping=settings.ping_period_ms / 1000,
        retention=float(settings.retention_seconds),
    )


class AgentProcess:
    """Owns the sockets, the upstream client and the state of one agent."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.runtime = ProcessRuntime(settings.worker, settings)
        self.node = self._make_node()
        self.application = self.runtime.make_application(
            lambda event, now: handle(self.node, event, now),
            lambda: self.node.stopped,
        )
        self.runtime.attach(self.application, AGENT_RATE, AGENT_BURST)
        self.upstream = UpstreamClient()
        self.application.effect_handlers[CallUpstream] = self._call_upstream
        self.application.effect_handlers[StopUpstream] = self._stop_upstream
        self.application.effect_handlers[ControlUpstream] = self._control_upstream
        self._add_hooks()

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        await self.application.run()

    def _make_node(self) -> Node:
        settings = self.settings
        member = Member(settings.worker, secrets.token_hex(8), self.runtime.address)
        return new_node(
            settings.cell,
            member,
            make_timing(settings),
            self.runtime.generator,
            settings.retention_bytes,
            time.monotonic(),
            wall_ms=time.time() * 1000 - time.monotonic() * 1000,
            entries=settings.peers,
        )

    def _add_hooks(self) -> None:
        application = self.application
        server = HttpServer(
            make_announce_application(
                self.settings,
                self.upstream,
                application.feed,
                self._list_unready_reasons,
            ),
            self.settings.http,
            ANNOUNCEMENT_DRAIN_SECONDS,
        )
        self.server = server
        application.add_hook(self.upstream.open, self.upstream.close)
        application.add_hook(server.start, server.stop)

    def _list_unready_reasons(self) -> list[str]:
        reasons = []
        if self.application.stopping:
            reasons.append("this agent is stopping")
        if self.node.member not in self.node.agent.roster:
            reasons.append("this agent is not a member of its cell")
        return reasons

    def _call_upstream(self, effect: CallUpstream) -> None:
        self.application.spawn(self._run_upstream_call(effect))

    async def _run_upstream_call(self, effect: CallUpstream) -> None:
        event = await self.upstream.call(effect)
        if event.outcome is UpstreamOutcome.ANSWERED:
            self.runtime.metrics.timing("agent.upstream", event.elapsed_ms)
        self.application.feed(event)

    def _stop_upstream(self, effect: StopUpstream) -> None:
        self.application.spawn(self._run_upstream_stop(effect))

    async def _run_upstream_stop(self, effect: StopUpstream) -> None:
        await self.upstream.stop(effect)

    def _control_upstream(self, effect: ControlUpstream) -> None:
        self.application.spawn(self._run_upstream_control(effect))

    async def _run_upstream_control(self, effect: ControlUpstream) -> None:
        await self.upstream.steer(effect)
