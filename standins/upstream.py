"""Stand-in for an upstream that simulates tasks by sleeping and records each start.

Tests detect double starts by these records: a task of a submission may have only one
start in the records of all upstreams together. Faults are set at run time.

    python -m standins.upstream --port 0 --port-file F --agent http://127.0.0.1:7001 \
        --name w1 --service booking --slots 8 --record FILE
"""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import time
from pathlib import Path

import aiohttp
import click
import msgspec
from aiohttp import web

__all__ = ["Faults", "Options", "StandInUpstream", "main", "make_application"]

ANNOUNCE_INTERVAL_SECONDS = 0.5

# Longer than the interval, as a busy agent may take more than that to answer.
ANNOUNCE_TIMEOUT_SECONDS = 1.0

# Requests that were in flight may still arrive after the upstream's withdrawal.
IDLE_BEFORE_EXIT_SECONDS = 0.5


class Options(msgspec.Struct):
    """Command-line options of the stand-in, most of which it announces."""

    name: str
    service: str
    agent: str = ""
    slots: int = 8
    connections: int = 64
    memory_mb: int = 0
    accelerators: int = 0
    labels: dict[str, str] = {}
    record: str = ""
    echoes: bool = True
    saves: bool = False


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; each request replaces them all, omitted ones by the defaults.

    :param slow: factor on every run time.
    :param frozen: no task starts or ends and nothing is announced until it is unset.
    :param fail: every task fails at once, without running.
    :param cut: half of the response is sent, then the connection is closed.
    :param close: the task runs, then the connection is closed without a response.
    :param late_ms: delay of a finished task's response.
    :param twice: the response is sent twice on its connection, which stays open.
    :param usage_late_ms: age of the data in a usage report.
    """

    slow: float = 1.0
    frozen: bool = False
    fail: bool = False
    cut: bool = False
    close: bool = False
    late_ms: int = 0
    twice: bool = False
    usage_late_ms: int = 0


class RunningTask:
    """A running task; ``changed`` wakes it after a stop or a throttle."""

    __slots__ = ("attempt", "changed", "factor", "left", "memory_mb", "stopped")

    def __init__(self, seconds: float, attempt: int, memory_mb: int) -> None:
        self.attempt = attempt
        self.memory_mb = memory_mb
        self.changed = asyncio.Event()
        self.left = seconds
        self.factor = 1.0
        self.stopped = False

    async def run(self, slow: float) -> None:
        """Sleep for the task's run time, longer if throttled, until it is stopped.

        :param slow: factor on the run time.
        """
        while self.left > 0 and not self.stopped:
            started_at = time.monotonic()
            time_factor = self.factor * slow
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), self.left * time_factor)
            except TimeoutError:
                return
            self.left -= (time.monotonic() - started_at) / time_factor


class StandInUpstream:
    """The state of one stand-in: records, faults and running tasks."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.faults = Faults()
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.records: list[dict] = []
        self.running: dict[tuple[str, int], RunningTask] = {}
        self.max_running = 0
        self.peers: set[tuple] = set()
        self.record_file = None
        if options.record:
            self.record_file = Path(options.record).open("a", encoding="utf-8")

    def add_record(
        self, event: str, submission: str, index: int, **fields: object
    ) -> None:
        """Append to the records; the line is flushed to the file before returning."""
        record = {
            "event": event,
            "submission": submission,
            "index": index,
            "worker": self.options.name,
            "at": time.time(),
            **fields,
        }
        self.records.append(record)
        if self.record_file is not None:
            self.record_file.write(json.dumps(record) + "\n")
            self.record_file.flush()

    def find_double_starts(self) -> list[list]:
        """Return submission, index and starts of each task started more than once."""
        start_counts: dict[tuple[str, int], int] = {}
        for record in self.records:
            if record["event"] == "start":
                key = (record["submission"], record["index"])
                start_counts[key] = start_counts.get(key, 0) + 1
        return [[*key, starts] for key, starts in start_counts.items() if starts > 1]


async def run_task(upstream: StandInUpstream, request: web.Request):
    """Sleep for the task's ``duration_ms`` and return a digest of its body."""
    body = await request.read()
    if request.transport is not None:
        upstream.peers.add(request.transport.get_extra_info("peername"))
    try:
        submission = request.headers["Cactuswalk-Submission"]
        index = int(request.headers["Cactuswalk-Task"])
        attempt = int(request.headers["Cactuswalk-Attempt"])
        work = json.loads(body)
        seconds = float(work.get("duration_ms", 0)) / 1000
        memory_mb = int(work.get("uses_mb", 0))
    except (KeyError, ValueError, AttributeError, TypeError) as error:
        return web.json_response({"error": f"no task: {error!r}"}, status=400)
    await upstream.unfrozen.wait()
    upstream.add_record(
        "start", submission, index, attempt=attempt, work=work.get("work")
    )
    task = RunningTask(seconds, attempt, memory_mb)
    upstream.running[submission, index] = task
    upstream.max_running = max(upstream.max_running, len(upstream.running))
    outcome = "cut"
    try:
        if upstream.faults.fail:
            outcome = "failed"
            return web.json_response({"error": "fails everything"}, status=500)
        await task.run(upstream.faults.slow)
        await upstream.unfrozen.wait()
        outcome = "stopped" if task.stopped else "done"
    finally:
        upstream.running.pop((submission, index), None)
        upstream.add_record("end", submission, index, attempt=attempt, outcome=outcome)
    if task.stopped:
        return web.json_response({"error": "stopped"}, status=503)
    answer = {
        "submission": submission,
        "index": index,
        "attempt": attempt,
        "worker": upstream.options.name,
        "work": work.get("work"),
        "digest": hashlib.sha256(body).hexdigest(),
    }
    return await deliver(upstream.faults, request, json.dumps(answer).encode())


async def deliver(faults: Faults, request: web.Request, body: bytes):
    """Return the response, or send what the faults leave of it."""
    if faults.late_ms:
        await asyncio.sleep(faults.late_ms / 1000)
    response = web.Response(body=body, content_type="application/json")
    transport = request.transport
    if transport is None or not (faults.cut or faults.close or faults.twice):
        return response
    echo = "".join(
        f"{name}: {value}\r\n" for name, value in copy_request_headers(request).items()
    )
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{echo}\r\n"
    if faults.twice:
        transport.write(head.encode() + body)
        return response
    if faults.cut:
        transport.write(head.encode() + body[: len(body) // 2])
    transport.close()
    return response


def copy_request_headers(request: web.Request) -> dict[str, str]:
    """Return the request's headers that identify the task, for the response."""
    names = ("Cactuswalk-Submission", "Cactuswalk-Task", "Cactuswalk-Attempt")
    return {name: request.headers[name] for name in names if name in request.headers}


async def control_task(upstream: StandInUpstream, request: web.Request):
    """Stop, throttle or checkpoint a running task."""
    submission = request.match_info["submission"]
    index = int(request.match_info["index"])
    action = request.match_info["action"]
    task = upstream.running.get((submission, index))
    if task is None:
        return web.json_response({"error": "not running"}, status=404)
    if action == "stop":
        task.stopped = True
    elif action == "throttle":
        task.factor = max(1.0, float((await request.json()).get("factor", 2.0)))
    else:
        # A checkpoint frees the task's memory; the task then continues from the copy.
        task.memory_mb = 0
    upstream.add_record(action, submission, index, factor=task.factor)
    task.changed.set()
    # Lets the task wake up and update its remaining time.
    await asyncio.sleep(0.005)
    return web.json_response({"left_ms": round(task.left * 1000)})


async def set_faults(upstream: StandInUpstream, request: web.Request):
    """Replace the faults."""
    try:
        upstream.faults = msgspec.json.decode(await request.read(), type=Faults)
    except msgspec.MsgspecError as error:
        return web.json_response({"error": str(error)}, status=400)
    if upstream.faults.frozen:
        upstream.unfrozen.clear()
    else:
        upstream.unfrozen.set()
    return web.json_response(msgspec.to_builtins(upstream.faults))


async def show_record(upstream: StandInUpstream, request: web.Request):
    """Return all records, and the tasks that have started here more than once."""
    return web.json_response(
        {
            "worker": upstream.options.name,
            "most_running": upstream.max_running,
            "running": len(upstream.running),
            "connections": len(upstream.peers),
            "double_starts": upstream.find_double_starts(),
            "records": upstream.records,
        }
    )


def make_application(upstream: StandInUpstream) -> web.Application:
    """Return the HTTP application of a stand-in."""

    def bind_handler(handler):
        async def handle(request: web.Request):
            response = await handler(upstream, request)
            if upstream.options.echoes:
                response.headers.update(copy_request_headers(request))
            return response

        return handle

    application = web.Application(client_max_size=64 << 20)
    application.router.add_post("/tasks", bind_handler(run_task))
    application.router.add_post(
        r"/tasks/{submission}/{index:\d+}/{action:stop|throttle|checkpoint}",
        bind_handler(control_task),
    )
    application.router.add_post("/standin/faults", bind_handler(set_faults))
    application.router.add_get("/standin/record", bind_handler(show_record))
    return application


async def announce(upstream: StandInUpstream, port: int) -> None:
    """Announce the upstream to its agent every ANNOUNCE_INTERVAL_SECONDS."""
    options = upstream.options
    announcement = {
        "service": options.service,
        "port": port,
        "slots": options.slots,
        "connections": options.connections,
        "memory_mb": options.memory_mb,
        "accelerators": options.accelerators,
        "labels": options.labels,
        "echoes": options.echoes,
    }
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await upstream.unfrozen.wait()
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                address = f"{options.agent}/announce"
                async with session.post(address, json=announcement) as response:
                    await response.read()
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)


async def report_usage(upstream: StandInUpstream) -> None:
    """Report the memory of the running tasks to the agent at the same interval."""
    options = upstream.options
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_INTERVAL_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await upstream.unfrozen.wait()
            tasks = [
                {
                    "submission": submission,
                    "task": index,
                    "attempt": task.attempt,
                    "memory_mb": task.memory_mb,
                    "checkpoints": options.saves,
                }
                for (submission, index), task in upstream.running.items()
            ]
            await asyncio.sleep(upstream.faults.usage_late_ms / 1000)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                address = f"{options.agent}/usage"
                async with session.post(address, json={"tasks": tasks}) as response:
                    await response.read()
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)


async def withdraw(options: Options) -> None:
    """Withdraw the upstream's announcement from the agent."""
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.delete(f"{options.agent}/announce") as response:
                await response.read()


async def wait_until_idle(upstream: StandInUpstream) -> None:
    """Return once no task has run for IDLE_BEFORE_EXIT_SECONDS."""
    idle_since = time.monotonic()
    while time.monotonic() - idle_since < IDLE_BEFORE_EXIT_SECONDS:
        await asyncio.sleep(0.02)
        if upstream.running:
            idle_since = time.monotonic()


def write_port(path: str, port: int) -> None:
    """Write the port atomically, so that a reader never sees a partial number."""
    partial = f"{path}.partial"
    Path(partial).write_text(f"{port}\n", encoding="utf-8")
    os.replace(partial, path)


async def serve(options: Options, host: str, port: int, port_file: str) -> None:
    """Serve until SIGTERM, then withdraw, let running tasks finish and return."""
    upstream = StandInUpstream(options)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    runner = web.AppRunner(make_application(upstream), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    bound_port = runner.addresses[0][1]
    if port_file:
        write_port(port_file, bound_port)
    agent_tasks = []
    if options.agent:
        agent_tasks.append(asyncio.create_task(announce(upstream, bound_port)))
        agent_tasks.append(asyncio.create_task(report_usage(upstream)))
    await stopping.wait()
    for task in agent_tasks:
        task.cancel()
    if agent_tasks:
        await withdraw(options)
    await wait_until_idle(upstream)
    await runner.cleanup()


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, help="0 for any free port.")
@click.option("--port-file", default="", help="File that gets the port.")
@click.option("--agent", default="", help="URL of the agent to announce to.")
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--connections", default=64, show_default=True)
@click.option("--memory-mb", default=0)
@click.option("--accelerators", default=0)
@click.option("--label", "labels", multiple=True, help="KEY=VALUE; repeatable.")
@click.option("--echoes/--no-echoes", default=True, help="Repeat the task's headers.")
@click.option("--saves/--no-saves", default=False, help="Can checkpoint its tasks.")
@click.option("--record", default="", help="File that gets the records.")
def main(host, port, port_file, labels, **fields):
    """Run a stand-in of an upstream."""
    pairs = dict(label.split("=", 1) for label in labels)
    asyncio.run(serve(Options(labels=pairs, **fields), host, port, port_file))


if __name__ == "__main__":
    main()
