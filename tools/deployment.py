"""A small deployment of dispatch entries and agents on loopback addresses.

Runs entries, agents with one stand-in of a worker each, and the stand-in of the
metadata store as separate processes::

    with Deployment(entries=2, workers=3) as deployment:
        deployment.wait_ready()
        status, body = deployment.submit(0, tasks=4, ms=200)
        deployment["entry-1"].kill()

Each host has a loopback address of its own, as the platform uses the same ports on
all hosts. Leaving the ``with`` block ends every process.
"""

import itertools
import json
import shutil
import socket
import struct
import tempfile
import threading
import urllib.error
import urllib.request
from pathlib import Path

from tools.processes import Process, free_ports, wait_until

__all__ = ["Deployment", "call_json"]

SERVICE = "plans"
HOST = "checks.example"
PREFIX = "/checks/"

MAX_READY_SECONDS = 30.0
CALL_TIMEOUT_SECONDS = 15.0


def make_configuration(version: int = 1, **changes) -> dict:
    """Return a configuration with one queue, as an operator writes it.

    :param changes: fields of the queue that replace the defaults.
    """
    route = {
        "name": "checks",
        "host": HOST,
        "path_prefix": PREFIX,
        "type": "unsafe",
        "timeout_ms": 1500,
        "target_latency_ms": 60,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 3,
        "stretch_factor": 3.0,
    }
    return {
        "version": version,
        "routes": [route | changes],
        "services": [{"name": SERVICE}],
        "limits": {"max_body_bytes": 262_144},
    }


def call_json(
    url: str, body: dict | None = None, method: str = "", host: str = ""
) -> tuple[int, dict, dict]:
    """Send a request and return status, JSON body and headers of the response."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    if host:
        headers["Host"] = host
    request = urllib.request.Request(
        url, data, headers, method=method or ("POST" if data else "GET")
    )
    try:
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_SECONDS) as response:
            text = response.read()
            return response.status, parse_json(text), dict(response.headers)
    except urllib.error.HTTPError as error:
        return error.code, parse_json(error.read()), dict(error.headers)


def parse_json(text: bytes) -> dict:
    try:
        return json.loads(text)
    except ValueError:
        return {}


class Deployment:
    """The processes, by name: ``store``, ``entry-0``, ``agent-0``, ``worker-0``.

    :param entries: number of entries.
    :param workers: number of workers, each with an agent.
    :param cpu: capacity of each worker, in thousandths of a core.
    """

    def __init__(self, entries: int = 2, workers: int = 3, cpu: int = 8000) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="cactuswalk-"))
        self.processes: dict[str, Process] = {}
        self.entries = entries
        self.workers = workers
        self.identifiers = itertools.count(1)
        ports = free_ports(7)
        names = ("callers", "ready", "metrics", "messages", "control", "app", "store")
        self.ports = dict(zip(names, ports, strict=True))
        seeds = [f"{self.entry_host(number)}:1" for number in range(entries)]
        self.seeds = ",".join(seeds[:3])
        self._add("store", "standins.metadata", "--port", str(self.ports["store"]))
        for number in range(entries):
            path = self._write(f"entry-{number}", self._entry_settings(number))
            self._add(
                f"entry-{number}",
                "cactuswalk.commands.dispatch_entry",
                "--settings",
                path,
            )
        for number in range(workers):
            self._add_worker(number, cpu)

    def entry_host(self, number: int) -> str:
        """Return an entry's address."""
        return f"127.0.1.{number + 1}"

    def worker_host(self, number: int) -> str:
        """Return the address of an agent and its worker."""
        return f"127.0.2.{number + 1}"

    def __enter__(self) -> "Deployment":
        """Start all processes."""
        for process in self.processes.values():
            process.start()
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes, whatever their state."""
        for process in self.processes.values():
            process.end()
        shutil.rmtree(self.directory, ignore_errors=True)

    def __getitem__(self, name: str) -> Process:
        """Return the process with this name."""
        return self.processes[name]

    @property
    def store_url(self) -> str:
        """Base URL of the store's stand-in, for calls and faults."""
        return f"http://127.0.0.1:{self.ports['store']}"

    def caller_url(self, entry: int) -> str:
        """Return the URL of an entry's queue for callers."""
        return f"http://{self.entry_host(entry)}:{self.ports['callers']}{PREFIX}"

    def metrics(self, host: str) -> str:
        """Return the metrics of the process on a host, as text."""
        url = f"http://{host}:{self.ports['metrics']}/metrics"
        with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_SECONDS) as response:
            return response.read().decode()

    def write_configuration(self, body: dict) -> None:
        """Write the operator's configuration to the store."""
        key_value = {"key": "op/config", "value": json.dumps(body)}
        call_json(f"{self.store_url}/put", key_value)

    def set_store_fault(
        self, mode: str, exempt_addresses: tuple[str, ...] = ()
    ) -> None:
        """Set the fault mode of the store; an empty mode clears it.

        :param exempt_addresses: clients that the fault does not affect.
        """
        body = {"mode": mode, "except": list(exempt_addresses)}
        call_json(f"{self.store_url}/fault", body)

    def wait_ready(self) -> None:
        """Write the configuration; wait for ready entries and for agents with workers.

        :raises LaunchError: if a process is not ready in time.
        """
        wait_until(self._store_answers, MAX_READY_SECONDS, "the store")
        self.write_configuration(make_configuration())
        for number in range(self.entries):
            wait_until(
                lambda number=number: self.is_ready(number),
                MAX_READY_SECONDS,
                f"entry {number}",
            )
        for number in range(self.workers):
            name = f"agent-{number}"
            wait_until(
                lambda name=name: self.has_logged(name, "found a worker"),
                MAX_READY_SECONDS,
                name,
            )

    def _store_answers(self) -> bool:
        try:
            return call_json(f"{self.store_url}/counts")[0] == 200
        except OSError:
            return False

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry's readiness check succeeds."""
        url = f"http://{self.entry_host(entry)}:{self.ports['ready']}/v1/readyz"
        try:
            return call_json(url)[0] == 200
        except OSError:
            return False

    def has_logged(self, name: str, text: str) -> bool:
        """Return whether a process's log contains a text."""
        return text in self[name].tail(100_000)

    def submit(
        self, entry: int, tasks: int, ms: int, identifier: str = "", **spec
    ) -> tuple[int, dict, dict]:
        """Submit a best-effort job and wait for its response."""
        name = identifier or f"{next(self.identifiers):016x}"
        body = make_job_body(tasks, ms, **spec)
        return call_json(self.caller_url(entry) + name, body, host=HOST)

    def submit_and_reset(self, entry: int, tasks: int, ms: int, name: str) -> None:
        """Send a job to an entry, and reset the connection at once."""
        body = json.dumps(make_job_body(tasks, ms)).encode()
        lines = (
            f"POST {PREFIX}{name} HTTP/1.1",
            f"Host: {HOST}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        )
        address = (self.entry_host(entry), self.ports["callers"])
        with socket.create_connection(address) as connection:
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def submit_later(self, entry: int, tasks: int, ms: int, **spec) -> "PendingCall":
        """Submit a job in a separate thread."""
        pending = PendingCall(lambda: self.submit(entry, tasks, ms, **spec))
        pending.start()
        return pending

    def record(self, worker: int) -> list[dict]:
        """Return the starts and ends of runs that a worker's stand-in has recorded."""
        url = f"http://{self.worker_host(worker)}:{self.ports['app']}/record"
        return call_json(url)[1]["record"]

    def evacuate(self, data_centre: str) -> None:
        """Request the evacuation of a data centre."""
        key_value = {"key": f"op/evacuate/{data_centre}", "value": "{}"}
        call_json(f"{self.store_url}/put", key_value)

    def end_evacuation(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        key = {"key": f"op/evacuate/{data_centre}"}
        call_json(f"{self.store_url}/revoke", key)

    def list_started_tasks(self, *workers: int) -> list[str]:
        """Return the task of each run that the workers' stand-ins have started.

        :param workers: numbers of the workers, by default all.
        """
        return [
            line["task"]
            for worker in workers or range(self.workers)
            for line in self.record(worker)
            if line["what"] == "began"
        ]

    def set_worker_faults(self, worker: int, **faults: bool) -> None:
        """Replace the faults of a worker's stand-in; no argument clears them."""
        url = f"http://{self.worker_host(worker)}:{self.ports['app']}/fault"
        call_json(url, faults)

    def find_overlaps(self) -> list[str]:
        """Return the tasks with overlapping runs, by the workers' records."""
        events = sorted(
            (line["at"], number, line["task"], line["run"], line["what"])
            for number in range(self.workers)
            for line in self.record(number)
        )
        active_runs: dict[str, set] = {}
        found = []
        for _, number, task, run, event in events:
            runs = active_runs.setdefault(task, set())
            if event != "began":
                runs.discard((number, run))
                continue
            if runs:
                found.append(task)
            runs.add((number, run))
        return found

    def _add(self, name: str, *arguments: str) -> None:
        self.processes[name] = Process(name, list(arguments), self.directory)

    def _add_worker(self, number: int, cpu: int) -> None:
        host = self.worker_host(number)
        path = self._write(f"agent-{number}", self._agent_settings(number))
        self._add(
            f"agent-{number}", "cactuswalk.commands.dispatch_agent", "--settings", path
        )
        self._add(
            f"worker-{number}",
            "standins.taskworker",
            *("--host", host, "--port", str(self.ports["app"])),
            *("--agent", f"{host}:{self.ports['control']}"),
            *("--service", SERVICE, "--zone", f"centre-{number % 2}"),
            *("--cpu", str(cpu)),
        )

    def _write(self, name: str, text: str) -> str:
        path = self.directory / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def _entry_settings(self, number: int) -> str:
        host = self.entry_host(number)
        ports = self.ports
        return f"""{self._common_settings("entry", number, host)}far_factor = 1.5
[callers]
address = {host}:{ports["callers"]}
[readiness]
address = {host}:{ports["ready"]}
"""

    def _agent_settings(self, number: int) -> str:
        host = self.worker_host(number)
        ports = self.ports
        return f"""{self._common_settings("agent", number, host)}[announcements]
address = {host}:{ports["control"]}
[worker]
address = {host}:{ports["app"]}
service = {SERVICE}
"""

    def _common_settings(self, role: str, number: int, host: str) -> str:
        """Return the settings of both roles; the last section may be extended."""
        ports = self.ports
        return f"""[process]
name = {role}-{number}
data_centre = centre-{number % 2}
[metrics]
address = {host}:{ports["metrics"]}
[messages]
host = {host}
ports = {ports["messages"]}
seeds = {self.seeds}
[store]
address = 127.0.0.1:{ports["store"]}
[logs]
destination = stdout
[bounds]
grace_seconds = 6
"""


def make_job_body(tasks: int, ms: int, **spec) -> dict:
    """Return a best-effort job of one step.

    :param spec: further fields of the task's spec, for the worker's stand-in.
    """
    step = {"count": tasks, "cpu": 1000, "mem_mb": 64, "estimated_ms": ms}
    text = json.dumps({"ms": ms, "cpu": 1000} | spec)
    return {"spec": text, "steps": [step], "best_effort": True}


class PendingCall(threading.Thread):
    """A call in a separate thread; ``result`` is None if it got no response."""

    def __init__(self, call) -> None:
        super().__init__(daemon=True)
        self.call = call
        self.result = None

    def run(self) -> None:
        """Call the function and keep its result."""
        try:
            self.result = self.call()
        except OSError:
            self.result = None
