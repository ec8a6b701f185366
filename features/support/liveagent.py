"""An agent's reducer and its real client in real time, beside a stand-in worker."""

import asyncio
import time
from unittest import mock

from aiohttp import web

from cactuswalk.dispatch.agent import reduce
from cactuswalk.dispatch.agentevents import Announced, Received, Tick
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.dispatch.job import TaskKey, Worker
from cactuswalk.dispatch.messages import Start
from cactuswalk.platform import worker as workerclient
from cactuswalk.platform.names import format_task_name
from cactuswalk.platform.worker import STOP_PATH, WorkerClient
from standins.taskworker import TaskWorker, make_application

TICK_SECONDS = 0.05
SPEC = '{"ms": 100000, "cpu": 100}'
HANG_SECONDS = 5.0

# The machine that runs the tests may be busy: calls may take longer than usual.
SETUP_SECONDS = 10.0
TIMEOUT_SECONDS = 0.15


class LiveAgent:
    """An agent that runs tasks for an entry which falls silent.

    :ivar hanging_paths: calls to these paths get no response.
    :ivar stops_due_at: by task, when the agent decided on its first stop call.
    :ivar stops_seen_at: by task, when the first stop call reached the worker.
    :ivar stop_calls: number of stop calls that the agent decided on.
    :ivar stops_arrived: number of stop calls that reached the worker.
    """

    def __init__(self) -> None:
        self.worker = TaskWorker(8000)
        self.state = AgentState("l1", 7, [], "a0", "d0", 6.0, 5.0)
        self.hanging_paths: set[str] = set()
        self.stops_due_at: dict[str, float] = {}
        self.stops_seen_at: dict[str, float] = {}
        self.stop_calls = 0
        self.stops_arrived = 0
        self.calls: set[asyncio.Task] = set()

    async def run(self, tasks: int, hanging_paths: set[str], seconds: float) -> None:
        """Start tasks, let calls hang, and wait while the entry is silent."""
        server = await self._serve()
        with mock.patch.object(workerclient, "CALL_TIMEOUT_SECONDS", SETUP_SECONDS):
            async with asyncio.timeout(SETUP_SECONDS):
                await self._start_tasks(tasks)
        with mock.patch.object(workerclient, "CALL_TIMEOUT_SECONDS", TIMEOUT_SECONDS):
            await self._fall_silent(hanging_paths, seconds)
        await self.client.close()
        await server.cleanup()

    async def _start_tasks(self, tasks: int) -> None:
        self.feed(Announced(self._make_announcement()))
        await asyncio.gather(*self.calls)
        for number in range(tasks):
            self.feed(Received("e0", self._make_start(number + 1)))
        while len(self.worker.runs) < tasks:
            await asyncio.wait(self.calls, return_when=asyncio.FIRST_COMPLETED)

    async def _fall_silent(self, hanging_paths: set[str], seconds: float) -> None:
        self.hanging_paths |= hanging_paths
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(TICK_SECONDS)
            self.feed(Tick())
        calls = list(self.calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    def feed(self, event: object) -> None:
        """Pass an event to the reducer, and make the calls that it decides on."""
        now = time.monotonic()
        for effect in reduce(self.state, event, now):
            if isinstance(effect, StartTask):
                self._spawn(self.client.start(effect))
            elif isinstance(effect, PollWorker):
                self._spawn(self.client.poll(effect))
            elif isinstance(effect, StopTask):
                self.stops_due_at.setdefault(format_task_name(effect.key), now)
                self.stop_calls += 1
                self._spawn(self.client.stop(effect))

    def _spawn(self, call) -> None:
        async def feed_result():
            self.feed(await call)

        task = asyncio.get_running_loop().create_task(feed_result())
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _serve(self) -> web.AppRunner:
        application = make_application(self.worker, "127.0.0.1:1", "plans", "d0")
        application.middlewares.append(self._make_middleware())
        server = web.AppRunner(application, shutdown_timeout=0.1, access_log=None)
        await server.setup()
        await web.TCPSite(server, "127.0.0.1", 0).start()
        host, port = server.addresses[0]
        self.client = WorkerClient(f"{host}:{port}", time.monotonic)
        return server

    def _make_middleware(self):
        @web.middleware
        async def hang(request, handler):
            if request.path == STOP_PATH:
                task = (await request.json())["task"]
                self.stops_seen_at.setdefault(task, time.monotonic())
                self.stops_arrived += 1
            if request.path in self.hanging_paths:
                await asyncio.sleep(HANG_SECONDS)
            return await handler(request)

        return hang

    def _make_announcement(self) -> Worker:
        return Worker(
            self.worker.identifier, "plans", "d0", ("a",), 8000, 65_536, 0, False, 0, 1
        )

    def _make_start(self, number: int) -> Start:
        return Start(
            "l2",
            "l1",
            int(time.monotonic() * 1000),
            number,
            self.worker.identifier,
            TaskKey(f"{number:016x}", 0, 0),
            1,
            SPEC,
            100,
            64,
            0,
            100_000,
        )
