"""An agent's reducer and its real client, with a stand-in worker over HTTP.

Both clocks are virtual: they advance only when a test says so, and while a response
is on its way. So a worker can be idle for a minute, with a clock that runs slow.
"""

import asyncio
import contextlib
from unittest import mock

import msgspec
from aiohttp import web

from cactuswalk.dispatch.agent import reduce
from cactuswalk.dispatch.agentevents import Announced, Received
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import (
    PollWorker,
    SendMessage,
    StartTask,
    StopTask,
)
from cactuswalk.dispatch.job import TaskKey, Worker
from cactuswalk.dispatch.messages import Report, Start
from cactuswalk.platform import worker as workerclient
from cactuswalk.platform.heartbeats import read_heartbeat
from cactuswalk.platform.worker import WorkerClient
from standins.taskworker import TaskWorker, make_application

ENTRY = "e0"
# The worker's clock is far behind the agent's, so that a time on the one is of no use
# on the other.
WORKER_CLOCK_MS = -400_000
# The machine that runs the tests may be busy; no virtual time passes during a call.
CALL_TIMEOUT_SECONDS = 2.0
SPEC = '{"ms": 100000, "cpu": 1000}'


class AgentBesideWorker:
    """An agent and its worker.

    :param rate: speed of the worker's clock relative to the agent's.
    :param reports_born: the worker reports the time of its start, and restarts under
        its name.
    :ivar response_seconds: how long a response is on its way.
    :ivar unanswered_paths: calls to these paths get no response.
    :ivar calls: path of each call that has reached the worker.
    :ivar reported_at: when the agent has sent its latest report.
    """

    def __init__(self, rate: float, reports_born: bool = False) -> None:
        self.rate = rate
        self.now = 1000.0
        self.response_seconds = 0.0
        self.unanswered_paths: set[str] = set()
        self.calls: list[str] = []
        self.report: Report | None = None
        self.reported_at = 0.0
        self.sequence = 0
        self.worker = TaskWorker(8000, self.read_worker_clock_ms, reports_born)
        self.state = AgentState("l1", 7, [], "a0", "d0", 6.0, 5.0)
        self.runner = asyncio.Runner()
        self.patch = mock.patch.object(
            workerclient, "CALL_TIMEOUT_SECONDS", CALL_TIMEOUT_SECONDS
        )
        self.patch.start()
        self.address = self.runner.run(self._serve())
        self.client = WorkerClient(self.address, lambda: self.now)

    def read_worker_clock_ms(self) -> int:
        return int(WORKER_CLOCK_MS + self.rate * self.now * 1000)

    def lease_ends_at(self) -> float:
        """Return when the worker's lease ends, on the agent's clock."""
        return (self.worker.lease_ends_ms - WORKER_CLOCK_MS) / self.rate / 1000

    def forget_readings(self) -> None:
        """Replace the client by one that has made no call yet."""
        self.runner.run(self.client.close())
        self.client = WorkerClient(self.address, lambda: self.now)

    def announce(self) -> None:
        """Have the agent find its worker."""
        poll = take(self.feed(Announced(self._make_announcement())), PollWorker)
        self.feed(self.perform(poll))
        assert self.state.ready_to_start

    def decide_start(self, age_seconds: float = 0.0) -> list[object]:
        """Let an entry's start arrive; return the agent's effects.

        :param age_seconds: age of the agent's stamp that the start returns.
        """
        self.sequence += 1
        key = TaskKey(f"{self.sequence:016x}", 0, 0)
        start = Start(
            "l2",
            "l1",
            int((self.now - age_seconds) * 1000),
            self.sequence,
            self.state.worker.identifier,
            key,
            1,
            SPEC,
            1000,
            64,
            0,
            100_000,
        )
        return self.feed(Received(ENTRY, start))

    def feed(self, event: object) -> list[object]:
        """Pass an event to the agent's reducer; return its effects."""
        effects = reduce(self.state, event, self.now)
        for effect in effects:
            if isinstance(effect, SendMessage) and isinstance(effect.message, Report):
                self.report, self.reported_at = effect.message, self.now
        return effects

    def perform(self, effect: object) -> object:
        """Make a call to the worker; return the resulting event."""
        calls = {
            StartTask: self.client.start,
            StopTask: self.client.stop,
            PollWorker: self.client.poll,
        }
        return self.runner.run(calls[type(effect)](effect))

    def perform_all(self, effects: list[object], most: int) -> None:
        """Make calls, and those that follow from their results, one after the other."""
        waiting = [effect for effect in effects if is_call(effect)]
        for _ in range(most):
            if not waiting:
                return
            event = self.perform(waiting.pop(0))
            waiting += [effect for effect in self.feed(event) if is_call(effect)]

    def close(self) -> None:
        self.patch.stop()
        with contextlib.closing(self.runner):
            self.runner.run(self._stop_serving())

    async def _serve(self) -> str:
        application = make_application(self.worker, "127.0.0.1:1", "plans", "d0")
        application.middlewares.append(self._make_middleware())
        self.server = web.AppRunner(application, shutdown_timeout=0.1, access_log=None)
        await self.server.setup()
        site = web.TCPSite(self.server, "127.0.0.1", 0)
        await site.start()
        host, port = self.server.addresses[0]
        return f"{host}:{port}"

    async def _stop_serving(self) -> None:
        await self.client.close()
        await self.server.cleanup()

    def _make_middleware(self):
        @web.middleware
        async def delay(request, handler):
            self.calls.append(request.path)
            if request.path in self.unanswered_paths:
                await asyncio.sleep(2 * CALL_TIMEOUT_SECONDS)
            response = await handler(request)
            self.now += self.response_seconds
            return response

        return delay

    def _make_announcement(self) -> Worker:
        """Return the worker as its heartbeat describes it."""
        heartbeat = self.worker.make_heartbeat("plans", "d0", 1)
        body = msgspec.json.encode(heartbeat | {"clock_ms": None})
        return read_heartbeat(self.worker.identifier, body, "plans")


def is_call(effect: object) -> bool:
    return isinstance(effect, StartTask | StopTask | PollWorker)


def take(effects: list[object], kind: type) -> object:
    """Return the only effect of a kind."""
    (found,) = [effect for effect in effects if isinstance(effect, kind)]
    return found
