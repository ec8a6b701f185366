"""Stand-in for a worker of the platform, as one process.

It sends heartbeats to its agent and simulates tasks by waiting: a task's spec is
JSON, ``{"ms": 200}`` or ``{"ms": 200, "fails": true}``; ``"crashes": 500`` crashes the
worker, which is back as a new incarnation 500 ms later. ``GET /record`` returns the
start and end of every run; ``POST /fault`` sets ``fails`` (every run fails at once),
``mute`` (runs make no progress), ``draining``, ``cpu`` (its capacity, which the next
heartbeat shows) or ``unguarded`` (it starts what exceeds its capacity).
"""

import asyncio
import json
import secrets
import time
from collections.abc import Callable

import aiohttp
import click
from aiohttp import web

from standins.taskruns import Run, read_clock_ms

HEARTBEAT_SECONDS = 0.5
MAX_LEASE_MS = 1000


class TaskWorker:
    """The active runs, the finished runs that are not acknowledged, and the lease.

    :param read_clock_ms: returns its clock, in milliseconds.
    :param reports_born: it reports the time of its start, and restarts under its name.
    """

    def __init__(
        self,
        cpu: int,
        read_clock_ms: Callable[[], int] = read_clock_ms,
        reports_born: bool = False,
    ) -> None:
        self.read_clock_ms = read_clock_ms
        self.reports_born = reports_born
        self.born = 0
        self.full_cpu = cpu
        self.record: list[dict] = []
        self.faults: dict = {}
        self.run_finished = asyncio.Condition()
        self.down_until_ms = 0
        self.rename()
        self.reset()

    def reset(self) -> None:
        """Begin as a new incarnation, which runs nothing and has seen no token."""
        if self.reports_born:
            self.born = max(self.born + 1, int(time.time() * 1000))
        else:
            self.rename()
        self.runs: dict[str, Run] = {}
        self.finished_runs: list[list] = []
        self.last_end_number = 0
        self.highest_runs: dict[str, int] = {}
        self.token = 0
        self.lease_ends_ms = 0

    def rename(self) -> None:
        """Have a new name, which the platform calls an instance."""
        self.identifier = f"i-{secrets.token_hex(4)}"

    def report_born(self) -> dict:
        """Return the field with the time of its start, if it reports that."""
        return {"born": self.born} if self.reports_born else {}

    @property
    def cpu(self) -> int:
        """The capacity in thousandths of a core."""
        return self.faults.get("cpu", self.full_cpu)

    def crash(self, down_ms: int) -> None:
        """End all runs, break connections for a while, and be a new incarnation."""
        for run in self.runs.values():
            self.add_record(run, "crashed")
        self.down_until_ms = self.read_clock_ms() + down_ms
        self.reset()

    async def finish_due_runs(self) -> None:
        """Finish each run whose time is over, and all runs once the lease lapses."""
        while True:
            await asyncio.sleep(0.005)
            now = self.read_clock_ms()
            for run in list(self.runs.values()):
                if now >= self.lease_ends_ms:
                    await self.finish_run(run, "lapsed")
                elif self.faults.get("mute"):
                    run.started_ms = now
                elif self.faults.get("fails") or now - run.started_ms >= run.ms:
                    failed = run.fails or self.faults.get("fails")
                    await self.finish_run(run, "failed" if failed else "done")

    async def finish_run(self, run: Run, outcome: str) -> None:
        """Move a run to the finished runs, and wake the calls that wait for one."""
        del self.runs[run.task]
        self.last_end_number += 1
        self.finished_runs.append(
            [self.last_end_number, run.task, run.run, outcome, ""]
        )
        self.highest_runs[run.task] = max(run.run, self.highest_runs.get(run.task, 0))
        self.add_record(run, outcome)
        async with self.run_finished:
            self.run_finished.notify_all()

    def add_record(self, run: Run, event: str) -> None:
        """Append an event of a run to the record."""
        line = {"at": time.time(), "task": run.task, "run": run.run, "what": event}
        self.record.append(line)

    def check_request(self, request: web.Request, token: int) -> web.Response | None:
        """Return an error for another instance or a lower fencing token, else None."""
        if self.read_clock_ms() < self.down_until_ms and request.transport is not None:
            request.transport.abort()
        if request.headers.get("X-Expected-Instance") != self.identifier:
            return self.make_reply({}, 421)
        if token < self.token:
            return self.make_reply({"reason": "fence"}, 409)
        self.token = token
        return None

    def extend_lease(self, body: dict) -> None:
        """Extend the lease to the deadline asked for, at most MAX_LEASE_MS from now."""
        deadline = min(body.get("deadline_ms", 0), self.read_clock_ms() + MAX_LEASE_MS)
        self.lease_ends_ms = max(self.lease_ends_ms, deadline)

    async def start(self, request: web.Request) -> web.Response:
        """Start a run; the same run is started once."""
        body = await request.json()
        refusal = self.check_request(request, body.get("fencing_token", 0))
        if refusal is not None:
            return refusal
        task, run_number = body["task"], body["run"]
        if body["deadline_ms"] <= self.read_clock_ms():
            return self.make_reply({"reason": "late"}, 409)
        self.extend_lease(body)
        if task in self.runs and self.runs[task].run == run_number:
            return self.make_reply({})
        if run_number <= self.highest_runs.get(task, 0):
            return self.make_reply({"reason": "old"}, 409)
        spec = json.loads(body["spec"])
        cpu = spec.get("cpu", 1000)
        if sum(run.cpu for run in self.runs.values()) + cpu > self.cpu:
            if not self.faults.get("unguarded"):
                return self.make_reply({"reason": "room"}, 409)
        run = Run(
            task,
            run_number,
            cpu,
            spec["ms"],
            spec.get("fails", False),
            self.read_clock_ms(),
        )
        self.runs[task] = run
        self.add_record(run, "began")
        if "crashes" in spec:
            asyncio.get_running_loop().call_later(0.002, self.crash, spec["crashes"])
        return self.make_reply({})

    async def stop(self, request: web.Request) -> web.Response:
        """Stop a run; if it has not started, it will be refused."""
        body = await request.json()
        refusal = self.check_request(request, body.get("fencing_token", 0))
        if refusal is not None:
            return refusal
        task, run_number = body["task"], body["run"]
        self.highest_runs[task] = max(run_number, self.highest_runs.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run <= run_number:
            await self.finish_run(run, "stopped")
        return self.make_reply({})

    async def hold(self, request: web.Request) -> web.Response:
        """Extend the lease, and return active and finished runs (long polling)."""
        body = await request.json()
        refusal = self.check_request(request, body.get("fencing_token", 0))
        if refusal is not None:
            return refusal
        self.extend_lease(body)
        acknowledged = body.get("last_seen", 0)
        self.finished_runs = [
            row for row in self.finished_runs if row[0] > acknowledged
        ]
        wait_ends_at = time.monotonic() + body.get("wait_ms", 0) / 1000
        while (
            not self.finished_runs
            and (remaining_seconds := wait_ends_at - time.monotonic()) > 0
        ):
            try:
                async with asyncio.timeout(remaining_seconds), self.run_finished:
                    await self.run_finished.wait()
            except TimeoutError:
                break
        refusal = self.check_request(request, body.get("fencing_token", 0))
        if refusal is not None:
            return refusal
        running = [
            [run.task, run.run, "", run.compute_percent(self.read_clock_ms())]
            for run in self.runs.values()
        ]
        return self.make_reply(
            {"running": running, "finished": self.finished_runs[:500]}
            | self.report_born()
        )

    async def send_heartbeats(self, agent: str, service: str, zone: str) -> None:
        """Send heartbeats to the agent until cancelled."""
        sequence = 0
        async with aiohttp.ClientSession() as session:
            while True:
                down_ms = self.down_until_ms - self.read_clock_ms()
                await asyncio.sleep(max(0, down_ms) / 1000)
                sequence += 1
                body = self.make_heartbeat(service, zone, sequence)
                url = f"http://{agent}/v1/instances/{self.identifier}"
                pause_seconds = HEARTBEAT_SECONDS
                try:
                    async with asyncio.timeout(1.0):
                        async with session.put(url, json=body) as response:
                            await response.read()
                except (aiohttp.ClientError, OSError):
                    pause_seconds = 0.05
                await asyncio.sleep(pause_seconds)

    def make_heartbeat(self, service: str, zone: str, sequence: int) -> dict:
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
            "clock_ms": self.read_clock_ms(),
            "sequence": sequence,
        } | self.report_born()

    def make_reply(self, body: dict, status: int = 200) -> web.Response:
        """Return a JSON response that carries the worker's clock."""
        body = body | {"clock_ms": self.read_clock_ms()}
        return web.json_response(body, status=status)


def make_application(
    worker: TaskWorker, agent: str, service: str, zone: str
) -> web.Application:
    """Return the worker's HTTP application, which runs its background tasks too."""

    async def show_record(_: web.Request) -> web.Response:
        return worker.make_reply(
            {"record": worker.record, "identifier": worker.identifier}
        )

    async def set_faults(request: web.Request) -> web.Response:
        worker.faults = await request.json()
        return worker.make_reply({})

    async def background(_: web.Application):
        tasks = [
            asyncio.create_task(worker.finish_due_runs()),
            asyncio.create_task(worker.send_heartbeats(agent, service, zone)),
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
            web.get("/record", show_record),
            web.post("/fault", set_faults),
        ]
    )
    application.cleanup_ctx.append(background)
    return application


@click.command()
@click.option("--host", required=True)
@click.option("--port", type=int, required=True)
@click.option("--agent", required=True, help="Agent that gets the heartbeats, IP:PORT.")
@click.option("--service", required=True)
@click.option("--zone", required=True)
@click.option("--cpu", type=int, default=8000, show_default=True)
def main(host: str, port: int, agent: str, service: str, zone: str, cpu: int) -> None:
    """Run a stand-in of a worker until it is killed."""
    application = make_application(TaskWorker(cpu), agent, service, zone)
    web.run_app(application, host=host, port=port, print=None)


if __name__ == "__main__":
    main()
