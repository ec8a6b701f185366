"""A stand-in of a platform's worker, as one process.

It sends heartbeats to its agent and runs tasks by letting time pass: a task's spec
is JSON, ``{"ms": 200}`` or ``{"ms": 200, "fails": true}``. ``GET /record`` tells of
every run; ``POST /fault`` sets ``fails`` (everything fails at once), ``mute`` (runs
stand still) or ``draining``.
"""

import asyncio
import json
import secrets
import time

import aiohttp
import click
from aiohttp import web

HEARTBEAT_SECONDS = 0.5
MOST_LEASE_MS = 1000


class Run:
    """One run of a task."""

    def __init__(self, task: str, run: int, cpu: int, ms: float, fails: bool) -> None:
        self.task = task
        self.run = run
        self.cpu = cpu
        self.ms = ms
        self.fails = fails
        self.began = clock_ms()

    def percent(self) -> int:
        """Return how much of it is done."""
        return min(99, int(100 * (clock_ms() - self.began) / max(1.0, self.ms)))


def clock_ms() -> int:
    """Return the worker's steady clock."""
    return int(time.monotonic() * 1000)


class TaskWorker:
    """What runs, what has ended, and the lease on it all."""

    def __init__(self, cpu: int) -> None:
        self.identifier = f"i-{secrets.token_hex(4)}"
        self.cpu = cpu
        self.runs: dict[str, Run] = {}
        self.ended: list[list] = []
        self.number = 0
        self.highest: dict[str, int] = {}
        self.token = 0
        self.lease_until = 0
        self.record: list[dict] = []
        self.faults: dict = {}
        self.changed = asyncio.Condition()

    async def tick(self) -> None:
        """End what has ended, for ever."""
        while True:
            await asyncio.sleep(0.005)
            now = clock_ms()
            for run in list(self.runs.values()):
                if now >= self.lease_until:
                    await self.finish(run, "lapsed")
                elif self.faults.get("mute"):
                    run.began = now
                elif self.faults.get("fails") or now - run.began >= run.ms:
                    failed = run.fails or self.faults.get("fails")
                    await self.finish(run, "failed" if failed else "done")

    async def finish(self, run: Run, how: str) -> None:
        """List a run's end."""
        del self.runs[run.task]
        self.number += 1
        self.ended.append([self.number, run.task, run.run, how, ""])
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.note(run, how)
        async with self.changed:
            self.changed.notify_all()

    def note(self, run: Run, what: str) -> None:
        """Keep a line of the record."""
        line = {"at": time.time(), "task": run.task, "run": run.run, "what": what}
        self.record.append(line)

    def refused(self, request: web.Request, token: int) -> web.Response | None:
        """Return a refusal for another life or a lower token."""
        if request.headers.get("X-Expected-Instance") != self.identifier:
            return reply({}, 421)
        if token < self.token:
            return reply({"reason": "fence"}, 409)
        self.token = token
        return None

    def renew(self, body: dict) -> None:
        """Move the end of the lease."""
        deadline = min(body.get("deadline_ms", 0), clock_ms() + MOST_LEASE_MS)
        self.lease_until = max(self.lease_until, deadline)

    async def start(self, request: web.Request) -> web.Response:
        """Begin a run."""
        body = await request.json()
        refusal = self.refused(request, body.get("fencing_token", 0))
        if refusal is not None:
            return refusal
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= clock_ms():
            return reply({"reason": "late"}, 409)
        self.renew(body)
        if task in self.runs and self.runs[task].run == number:
            return reply({})
        if number <= self.highest.get(task, 0):
            return reply({"reason": "old"}, 409)
        spec = json.loads(body["spec"])
        cpu = spec.get("cpu", 1000)
        if sum(run.cpu for run in self.runs.values()) + cpu > self.cpu:
            return reply({"reason": "room"}, 409)
        run = Run(task, number, cpu, spec["ms"], spec.get("fails", False))
        self.runs[task] = run
        self.note(run, "began")
        return reply({})

    async def stop(self, request: web.Request) -> web.Response:
        """Stop a run, or forbid it."""
        body = await request.json()
        refusal = self.refused(request, body.get("fencing_token", 0))
        if refusal is not None:
            return refusal
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run <= number:
            await self.finish(run, "stopped")
        return reply({})

    async def hold(self, request: web.Request) -> web.Response:
        """Renew the lease and list what runs and has ended."""
        body = await request.json()
        refusal = self.refused(request, body.get("fencing_token", 0))
        if refusal is not None:
            return refusal
        self.renew(body)
        noted = body.get("last_seen", 0)
        self.ended = [row for row in self.ended if row[0] > noted]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                break
        running = [[run.task, run.run, "", run.percent()] for run in self.runs.values()]
        return reply({"running": running, "finished": self.ended[:500]})

    async def heartbeats(self, agent: str, service: str, zone: str) -> None:
        """Tell the agent of this worker, for ever."""
        sequence = 0
        async with aiohttp.ClientSession() as session:
            while True:
                sequence += 1
                body = self.heartbeat(service, zone, sequence)
                url = f"http://{agent}/v1/instances/{self.identifier}"
                pause = HEARTBEAT_SECONDS
                try:
                    async with asyncio.timeout(1.0):
                        async with session.put(url, json=body) as response:
                            await response.read()
                except (aiohttp.ClientError, OSError):
                    pause = 0.05
                await asyncio.sleep(pause)

    def heartbeat(self, service: str, zone: str, sequence: int) -> dict:
        """Return the body of a heartbeat."""
        return {
            "service": service,
            "address": "127.0.0.1:1",
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.faults.get("draining") else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": clock_ms(),
            "sequence": sequence,
        }


def reply(body: dict, status: int = 200) -> web.Response:
    """Return a JSON response with the worker's clock."""
    return web.json_response(body | {"clock_ms": clock_ms()}, status=status)


def make_application(
    worker: TaskWorker, agent: str, service: str, zone: str
) -> web.Application:
    """Return the server's application."""

    async def record(_: web.Request) -> web.Response:
        return reply({"record": worker.record, "identifier": worker.identifier})

    async def fault(request: web.Request) -> web.Response:
        worker.faults = await request.json()
        return reply({})

    async def background(_: web.Application):
        tasks = [
            asyncio.create_task(worker.tick()),
            asyncio.create_task(worker.heartbeats(agent, service, zone)),
        ]
        yield
        for task in tasks:
            task.cancel()

    application = web.Application()
    application.add_routes(
        [
            web.post("/v1/run-start", worker.start),
            web.post("/v1/run-stop", worker.stop),
            web.post("/v1/hold", worker.hold),
            web.get("/record", record),
            web.post("/fault", fault),
        ]
    )
    application.cleanup_ctx.append(background)
    return application


@click.command()
@click.option("--host", required=True)
@click.option("--port", type=int, required=True)
@click.option("--agent", required=True, help="Where heartbeats go, IP:PORT.")
@click.option("--service", required=True)
@click.option("--zone", required=True)
@click.option("--cpu", type=int, default=8000, show_default=True)
def main(host: str, port: int, agent: str, service: str, zone: str, cpu: int) -> None:
    """Run a worker's stand-in until it is killed."""
    application = make_application(TaskWorker(cpu), agent, service, zone)
    web.run_app(application, host=host, port=port, print=None)


if __name__ == "__main__":
    main()
