"""A small deployment of dispatch entries and agents on loopback addresses.

Entries, agents each with a worker's stand-in, and the metadata store's stand-in,
as separate processes::

    with Deployment(entries=2, workers=3) as deployment:
        deployment.wait_ready()
        status, body = deployment.submit(0, tasks=4, ms=200)
        deployment["entry-1"].kill()

Each host is an address of its own (127.0.0.N), as the platform's ports are the
same on all hosts. Leaving the ``with`` block ends every process.
"""

import itertools
import json
import shutil
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

READY_SECONDS = 30.0
CALL_SECONDS = 15.0


def make_configuration(version: int = 1, **changes) -> dict:
    """Return the operator's configuration with one queue."""
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
    """Make a call, and return its status, its JSON body and its headers."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    if host:
        headers["Host"] = host
    request = urllib.request.Request(
        url, data, headers, method=method or ("POST" if data else "GET")
    )
    try:
        with urllib.request.urlopen(request, timeout=CALL_SECONDS) as response:
            text = response.read()
            return response.status, _parse(text), dict(response.headers)
    except urllib.error.HTTPError as error:
        return error.code, _parse(error.read()), dict(error.headers)


def _parse(text: bytes) -> dict:
    try:
        return json.loads(text)
    except ValueError:
        return {}


class Deployment:
    """The processes, by name: ``store``, ``entry-0``, ``agent-0``, ``worker-0``."""

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
        """Start everything."""
        for process in self.processes.values():
            process.start()
        return self

    def __exit__(self, *_: object) -> None:
        """End everything, whatever its state."""
        for process in self.processes.values():
            process.end()
        shutil.rmtree(self.directory, ignore_errors=True)

    def __getitem__(self, name: str) -> Process:
        """Return a process."""
        return self.processes[name]

    @property
    def store_url(self) -> str:
        """Where the store's stand-in takes calls and switches."""
        return f"http://127.0.0.1:{self.ports['store']}"

    def caller_url(self, entry: int) -> str:
        """Where an entry takes callers."""
        return f"http://{self.entry_host(entry)}:{self.ports['callers']}{PREFIX}"

    def metrics(self, host: str) -> str:
        """Return the metrics text of a process."""
        url = f"http://{host}:{self.ports['metrics']}/metrics"
        with urllib.request.urlopen(url, timeout=CALL_SECONDS) as response:
            return response.read().decode()

    def write_configuration(self, body: dict) -> None:
        """Write the operator's configuration."""
        put = {"key": "op/config", "value": json.dumps(body)}
        call_json(f"{self.store_url}/put", put)

    def set_store_fault(self, mode: str, served: tuple[str, ...] = ()) -> None:
        """Switch a fault of the store on, or all off."""
        body = {"mode": mode, "except": list(served)}
        call_json(f"{self.store_url}/fault", body)

    def wait_ready(self) -> None:
        """Wait until every entry knows its queues and hears every agent."""
        wait_until(self._store_answers, READY_SECONDS, "the store")
        self.write_configuration(make_configuration())
        for number in range(self.entries):
            wait_until(
                lambda number=number: self.is_ready(number),
                READY_SECONDS,
                f"entry {number}",
            )
        for number in range(self.workers):
            name = f"agent-{number}"
            wait_until(
                lambda name=name: self.tail_has(name, "found a worker"),
                READY_SECONDS,
                name,
            )

    def _store_answers(self) -> bool:
        try:
            return call_json(f"{self.store_url}/counts")[0] == 200
        except OSError:
            return False

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry tells the balancer that it is ready."""
        url = f"http://{self.entry_host(entry)}:{self.ports['ready']}/v1/readyz"
        try:
            return call_json(url)[0] == 200
        except OSError:
            return False

    def tail_has(self, name: str, text: str) -> bool:
        """Return whether a process has logged a text."""
        return text in self[name].tail(100_000)

    def submit(
        self, entry: int, tasks: int, ms: int, identifier: str = "", **spec
    ) -> tuple[int, dict, dict]:
        """Hand a best-effort job in and wait for its answer."""
        name = identifier or f"{next(self.identifiers):016x}"
        body = make_job_body(tasks, ms, **spec)
        return call_json(self.caller_url(entry) + name, body, host=HOST)

    def submit_later(self, entry: int, tasks: int, ms: int, **spec) -> "PendingCall":
        """Hand a job in on a thread of its own."""
        pending = PendingCall(lambda: self.submit(entry, tasks, ms, **spec))
        pending.start()
        return pending

    def record(self, worker: int) -> list[dict]:
        """Return what a worker's stand-in has seen of its runs."""
        url = f"http://{self.worker_host(worker)}:{self.ports['app']}/record"
        return call_json(url)[1]["record"]

    def evacuate(self, data_centre: str) -> None:
        """Have a data centre evacuated."""
        put = {"key": f"op/evacuate/{data_centre}", "value": "{}"}
        call_json(f"{self.store_url}/put", put)

    def end_evacuation(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        key = {"key": f"op/evacuate/{data_centre}"}
        call_json(f"{self.store_url}/revoke", key)

    def list_started_tasks(self, *workers: int) -> list[str]:
        """Return the task of each run that workers' stand-ins have begun.

        :param workers: numbers of those to look at; all of them by default.
        """
        return [
            line["task"]
            for worker in workers or range(self.workers)
            for line in self.record(worker)
            if line["what"] == "began"
        ]

    def set_worker_faults(self, worker: int, **faults: bool) -> None:
        """Switch a worker's faults."""
        url = f"http://{self.worker_host(worker)}:{self.ports['app']}/fault"
        call_json(url, faults)

    def find_overlaps(self) -> list[str]:
        """Return the tasks of which two runs overlapped, by the workers' records."""
        lines = sorted(
            (line["at"], number, line["task"], line["run"], line["what"])
            for number in range(self.workers)
            for line in self.record(number)
        )
        live: dict[str, set] = {}
        found = []
        for _, number, task, run, what in lines:
            runs = live.setdefault(task, set())
            if what != "began":
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
        """Return the sections of both roles; the last one is open for more."""
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
    """Return a best-effort job of one step."""
    step = {"count": tasks, "cpu": 1000, "mem_mb": 64, "estimated_ms": ms}
    text = json.dumps({"ms": ms, "cpu": 1000} | spec)
    return {"spec": text, "steps": [step], "best_effort": True}


class PendingCall(threading.Thread):
    """A call that is under way; ``result`` is None if it had no answer."""

    def __init__(self, call) -> None:
        super().__init__(daemon=True)
        self.call = call
        self.result = None

    def run(self) -> None:
        """Make the call."""
        try:
            self.result = self.call()
        except OSError:
            self.result = None
