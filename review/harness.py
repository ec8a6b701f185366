"""A small deployment on loopback addresses, for the cases of this review.

Entries and agents are started with the commands of ``deploy/system.toml``, from the
build in ``target/``, with settings made from the deployment's own templates. The
metadata store and the workers are the project's stand-ins. Only the standard library
is used here.
"""

import contextlib
import ctypes
import http.client
import itertools
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request
from pathlib import Path

from tools.processes import free_ports

ROOT = Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"

SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"

# The figures of the sheet of glenmorrow-routes.
BOUNDS = {
    "grace_s": "6",
    "drain_ms": "2000",
    "remote_factor": "1.5",
}
CANCEL_SECONDS = 3.0
STOP_TIMEOUT_SECONDS = 0.05

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

MAX_READY_SECONDS = 30.0
CALL_TIMEOUT_SECONDS = 5.0


# From <sys/prctl.h>: the kernel sends the child a signal when its parent dies.
PR_SET_PDEATHSIG = 1


def die_with_parent() -> None:
    """Have the kernel kill this child process if the case is interrupted."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class NotRunnableError(Exception):
    """The case couldn't be set up, so that it says nothing about the rule."""


def render(template: str, fields: dict[str, str]) -> str:
    """Fill in the plain placeholders of a settings template."""
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], template)


def wait_until(condition, seconds: float, what: str) -> None:
    """Wait until a condition holds.

    :raises NotRunnableError: if it doesn't hold in time.
    """
    ends_at = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > ends_at:
            raise NotRunnableError(f"{what}: not within {seconds} s")
        time.sleep(0.02)


class Record:
    """The lines of ``record.txt``, with the seconds since the case began."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.time()

    def seconds(self, at: float | None = None) -> float:
        """Return the seconds from the beginning of the case to a Unix time."""
        return (time.time() if at is None else at) - self.began

    def add(self, text: str, at: float | None = None) -> None:
        """Write a line."""
        with self.lock:
            line = f"{self.seconds(at):8.3f} s  {text}"
            print(line, file=self.file, flush=True)
            print(line, flush=True)


class Process:
    """One process that this case has started."""

    def __init__(self, name: str, words: list[str], env: dict[str, str], log: Path):
        self.name = name
        self.words = words
        self.env = env
        self.log = log
        self.handle: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, or start it again."""
        with self.log.open("ab") as log:
            self.handle = subprocess.Popen(
                self.words,
                cwd=ROOT,
                env=self.env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.handle.send_signal(number)

    def exit_status(self) -> int | None:
        """Return the exit status, or None while the process runs."""
        return self.handle.poll()

    def logged(self) -> str:
        """Return what the process has written."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    def end(self) -> None:
        """Kill the process unless it has ended."""
        if self.handle is not None and self.handle.poll() is None:
            self.handle.kill()
            self.handle.wait()


class Deployment:
    """The processes of a deployment, by name, such as ``entry-0`` and ``agent-2``.

    Each entry stands in a zone of its own, like each ``front`` of the small sites.
    """

    def __init__(self, entries: int, workers: int, worker_cpu: int = 8000) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.entries = entries
        self.workers = workers
        names = ("front", "ready", "metrics", "messages", "control", "app", "store")
        self.port = dict(zip(names, free_ports(len(names)), strict=True))
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.processes: dict[str, Process] = {}
        self.versions = itertools.count(1)
        self._add_stand_in(
            "store", "standins.metadata", "--port", str(self.port["store"])
        )
        for number in range(entries):
            self._add_role("entry", number, self.entry_host(number))
        for number in range(workers):
            self._add_role("agent", number, self.worker_host(number))
            self._add_worker(number, worker_cpu)

    def __enter__(self) -> "Deployment":
        """Start all processes."""
        if not (DEPENDENCIES / "cactuswalk").is_dir():
            raise NotRunnableError("the build of deploy/system.toml is missing")
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

    def entry_host(self, number: int) -> str:
        """Return an entry's address."""
        return f"127.0.1.{number + 1}"

    def worker_host(self, number: int) -> str:
        """Return the address of an agent and its worker."""
        return f"127.0.2.{number + 1}"

    def zone(self, number: int) -> str:
        """Return the zone of an entry or a worker."""
        return f"zone-{number % self.entries}"

    def put_configuration(self, added_prefix: str = "") -> int:
        """Write the next version of the configuration; return its number.

        :param added_prefix: of a second queue on the same host; empty for none.
        """
        version = next(self.versions)
        route = {
            "name": "r-wrr6x73",
            "host": HOST,
            "path_prefix": PREFIX,
            "type": "unsafe",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 4,
            "stretch_factor": 1.6,
        }
        routes = [route]
        if added_prefix:
            routes.append(route | {"name": "r-73hh2b9", "path_prefix": added_prefix})
        body = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "rejects_overload": True}],
            "limits": {"max_body_bytes": 262_144},
        }
        put = {"key": "op/config", "value": json.dumps(body)}
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.port['store']}/put",
            json.dumps(put).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_SECONDS):
            return version

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry answers the platform's readiness check with 200."""
        address = (self.entry_host(entry), self.port["ready"])
        with contextlib.suppress(OSError, http.client.HTTPException):
            return call(address, "GET", "/v1/readyz", timeout=1.0)[0] == 200
        return False

    def wait_ready(self) -> None:
        """Write the configuration; wait until entries and workers can be used."""
        wait_until(self._store_answers, MAX_READY_SECONDS, "the store")
        self.put_configuration()
        for number in range(self.entries):
            wait_until(
                lambda number=number: self.is_ready(number),
                MAX_READY_SECONDS,
                f"entry-{number}",
            )
        for number in range(self.workers):
            agent = self[f"agent-{number}"]
            wait_until(
                lambda agent=agent: "found a worker" in agent.logged(),
                MAX_READY_SECONDS,
                agent.name,
            )

    def front(self, entry: int) -> tuple[str, int]:
        """Return the address at which an entry takes clients' requests."""
        return self.entry_host(entry), self.port["front"]

    def runs(self) -> list[dict]:
        """Return what the workers have recorded, in order of time."""
        lines = []
        for number in range(self.workers):
            address = (self.worker_host(number), self.port["app"])
            _, body = call(address, "GET", "/record")
            for line in json.loads(body)["record"]:
                lines.append(line | {"worker": f"worker-{number}"})
        return sorted(lines, key=lambda line: line["at"])

    def _store_answers(self) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            address = ("127.0.0.1", self.port["store"])
            return call(address, "GET", "/counts", timeout=1.0)[0] == 200
        return False

    def _add_role(self, role: str, number: int, host: str) -> None:
        """Add a program of the deploy file, with its template filled in."""
        seeds = [
            f"{self.entry_host(entry)}:{self.port['control']}"
            for entry in range(min(3, self.entries))
        ]
        ports = f"{self.port['messages']},{self.port['metrics']}"
        fields = {
            "node_name": f"{role}-{number}",
            "zone": self.zone(number),
            "ip": host,
            "bind_addresses.front": f"{host}:{self.port['front']}",
            "bind_addresses.ready": f"{host}:{self.port['ready']}",
            "bind_addresses.control": f"{host}:{self.port['control']}",
            "internal_ports": ports,
            "internal_ports.1": str(self.port["metrics"]),
            "seeds": ",".join(seeds),
            "platform.address": f"127.0.0.1:{self.port['store']}",
            "app": f"{host}:{self.port['app']}",
            "service": SERVICE,
        } | {f"bounds.{name}": value for name, value in BOUNDS.items()}
        name = f"{role}-{number}"
        path = self.directory / f"{name}.conf"
        template = (ROOT / self.roles[role]["template"]).read_text(encoding="utf-8")
        path.write_text(render(template, fields), encoding="utf-8")
        env = self._environment(str(DEPENDENCIES)) | {"CACTUSWALK_BOOT": str(path)}
        words = self.roles[role]["run"].split(" ")
        self._add(name, words, env)

    def _add_worker(self, number: int, cpu: int) -> None:
        host = self.worker_host(number)
        self._add_stand_in(
            f"worker-{number}",
            "standins.taskworker",
            *("--host", host, "--port", str(self.port["app"])),
            *("--agent", f"{host}:{self.port['control']}"),
            *("--service", SERVICE, "--zone", self.zone(number), "--cpu", str(cpu)),
        )

    def _add_stand_in(self, name: str, module: str, *arguments: str) -> None:
        env = self._environment(f"{DEPENDENCIES}:{ROOT}")
        self._add(name, [sys.executable, "-m", module, *arguments], env)

    def _add(self, name: str, words: list[str], env: dict[str, str]) -> None:
        log = self.directory / f"{name}.log"
        self.processes[name] = Process(name, words, env, log)

    def _environment(self, python_path: str) -> dict[str, str]:
        names = ("PATH", "HOME", "LANG")
        kept = {name: os.environ[name] for name in names if name in os.environ}
        return kept | {"PYTHONPATH": python_path, "PYTHONDONTWRITEBYTECODE": "1"}


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: dict | None = None,
    deadline_ms: int = 0,
    timeout: float = CALL_TIMEOUT_SECONDS,
) -> tuple[int, str]:
    """Send one request over a connection of its own; return status and body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    headers = {"Host": HOST, "Content-Type": "application/json"}
    if deadline_ms:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


class Submission(threading.Thread):
    """A client's POST of a job, whose connection stays open until its answer."""

    def __init__(
        self,
        record: Record,
        deployment: Deployment,
        entry: int,
        job: str,
        body: dict,
        deadline_ms: int,
    ) -> None:
        super().__init__(daemon=True)
        self.record = record
        self.address = deployment.front(entry)
        self.entry = entry
        self.job = job
        self.body = body
        self.deadline_ms = deadline_ms
        self.answer = "no answer"

    def run(self) -> None:
        """Send the job, and record the answer."""
        path = f"{PREFIX}{self.job}"
        self.record.add(f"client: POST {path} to entry-{self.entry}")
        timeout = self.deadline_ms / 1000 + 1.0
        try:
            status, text = call(
                self.address, "POST", path, self.body, self.deadline_ms, timeout
            )
            self.answer = f"{status} {text}"
        except (OSError, http.client.HTTPException) as error:
            self.answer = f"no answer ({type(error).__name__})"
        self.record.add(f"client: the POST is answered: {self.answer}")


def make_spec(ms: int, cpu: int = 1000) -> str:
    """Return the spec of a job whose tasks take ``ms`` at the worker's stand-in."""
    return json.dumps({"ms": ms, "cpu": cpu})


def run_case(directory: Path, play) -> None:
    """Run a case, and exit as the issue asks.

    :param play: called with the record and whether to disrupt; returns a sentence for
        each time that the rule was broken.
    """
    disrupted = os.environ.get("TROUBLE", "1") != "0"
    record = Record(directory / "record.txt")
    record.add(f"TROUBLE={int(disrupted)}")
    try:
        breaks = play(record, disrupted)
    except Exception as error:  # Whatever it is, it says nothing about the rule.
        record.add(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    for sentence in breaks:
        record.add(f"RULE BROKEN: {sentence}")
    record.add("the rule was broken" if breaks else "the rule held")
    sys.exit(BROKEN if breaks else HELD)
