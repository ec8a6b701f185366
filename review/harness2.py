"""Parts that the scripts of the second review share.

``Site`` starts entries, agents and workers' stand-ins on loopback addresses, as the
deploy file says: its commands, and its templates filled in with the settings of a
small deployment. ``Balancer`` chooses an entry for each new connection. ``Record``
writes what was sent, answered and run to ``record.txt``.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

__all__ = [
    "HOST",
    "OTHER_PREFIX",
    "PREFIX",
    "Balancer",
    "CannotRunError",
    "Record",
    "Site",
    "ask",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
OTHER_PREFIX = "/gono990/"
SERVICE = "rezervari"

# The bounds of the small sites, as their sheets give them.
BOUNDS = {"grace_s": 6, "drain_ms": 2000, "remote_factor": 1.5}

READY_SECONDS = 20.0
CALL_SECONDS = 5.0


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """The record of a run; times are seconds since its start.

    :param folder: in which ``record.txt`` is written.
    """

    def __init__(self, folder: Path) -> None:
        self.began_at = time.time()
        self.lock = threading.Lock()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def say(self, text: str, at: float | None = None) -> None:
        """Write a line."""
        seconds = (at or time.time()) - self.began_at
        with self.lock:
            print(f"{seconds:8.3f} s  {text}", file=self.file, flush=True)


def ask(
    method: str,
    address: tuple[str, int],
    path: str,
    body: dict | None = None,
    deadline_ms: int = 5000,
) -> tuple[int, dict]:
    """Send one request on a connection of its own; return status and JSON body.

    :raises OSError: if there is no complete answer.
    """
    connection = http.client.HTTPConnection(*address, timeout=deadline_ms / 1000)
    try:
        data = None if body is None else json.dumps(body)
        headers = {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}
        if data is not None:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}
    except (http.client.HTTPException, ValueError) as error:
        raise OSError(f"no complete answer: {error!r}") from error
    finally:
        connection.close()


class Site:
    """The processes of a small deployment.

    :param zones: data centre of each entry.
    :param workers: number of workers, each with an agent.
    :param load: lines that are added to the section ``[load]`` of the entries.
    """

    def __init__(
        self, zones: list[str], workers: int, cpu: int = 8000, load: str = ""
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        names = ("front", "ready", "control", "message", "metric", "app", "store")
        self.ports = dict(zip(names, _free_ports(len(names)), strict=True))
        self.zones = zones
        self.workers = workers
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self._add_standin("store", "standins.metadata", "--port", self.ports["store"])
        for number, zone in enumerate(zones):
            self._add_role("entry", number, f"127.0.1.{number + 1}", zone, load)
        for number in range(workers):
            host, zone = f"127.0.2.{number + 1}", zones[number % len(zones)]
            self._add_role("agent", number, host, zone, "")
            self._add_standin(
                f"worker-{number}",
                "standins.taskworker",
                *("--host", host, "--port", self.ports["app"]),
                *("--agent", f"{host}:{self.ports['control']}"),
                *("--service", SERVICE, "--zone", zone, "--cpu", cpu),
            )

    def __enter__(self) -> "Site":
        """Start all processes, and wait until the entries are ready."""
        try:
            for name in self.commands:
                self.start(name)
            self._wait_until(
                lambda: self.configure(3, (PREFIX, OTHER_PREFIX)), "the store"
            )
            for number in range(len(self.zones)):
                self._wait_until(lambda n=number: self.is_ready(n), f"entry {number}")
            self._wait_until(self._has_all_workers, "the workers")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes that were started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name: str) -> None:
        """Start a process, or start it again."""
        arguments, environment = self.commands[name]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        self.processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """Return what a process has written."""
        path = self.folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def front(self, entry: int) -> tuple[str, int]:
        """Return an entry's address for clients."""
        return f"127.0.1.{entry + 1}", self.ports["front"]

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry answers its readiness check with 200."""
        address = (f"127.0.1.{entry + 1}", self.ports["ready"])
        try:
            return ask("GET", address, "/v1/readyz", deadline_ms=1000)[0] == 200
        except OSError:
            return False

    def runs(self) -> list[tuple[float, str, int, str]]:
        """Return what the workers have recorded: time, task, run, and what."""
        lines = []
        for number in range(self.workers):
            address = (f"127.0.2.{number + 1}", self.ports["app"])
            for line in ask("GET", address, "/record")[1]["record"]:
                what = f"{line['what']} on worker {number}"
                lines.append((line["at"], line["task"], line["run"], what))
        return sorted(lines)

    def _add_standin(self, name: str, module: str, *options: object) -> None:
        arguments = [sys.executable, "-m", module, *map(str, options)]
        self.commands[name] = arguments, _environment(f"target/deps{os.pathsep}.")

    def _add_role(
        self, role: str, number: int, host: str, zone: str, load: str
    ) -> None:
        given = self.roles[role]
        template = (ROOT / given["template"]).read_text(encoding="utf-8")
        text = _fill_in(template, self._fields(role, number, host, zone)) + load
        path = self.folder / f"{role}-{number}.ini"
        path.write_text(text, encoding="utf-8")
        environment = _environment("target/deps") | {"CACTUSWALK_BOOT": str(path)}
        self.commands[f"{role}-{number}"] = given["run"].split(), environment

    def _fields(self, role: str, number: int, host: str, zone: str) -> dict[str, str]:
        """Return the fields of the platform's settings that the templates use."""
        ports = self.ports
        seeds = [f"127.0.1.{n + 1}:{ports['control']}" for n in range(len(self.zones))]
        return {
            "node_name": f"{role}-{zone}-{number}",
            "zone": zone,
            "ip": host,
            "app": f"{host}:{ports['app']}",
            "service": SERVICE,
            "bind_addresses.front": f"{host}:{ports['front']}",
            "bind_addresses.ready": f"{host}:{ports['ready']}",
            "bind_addresses.control": f"{host}:{ports['control']}",
            "internal_ports": f"{ports['message']},{ports['metric']}",
            "internal_ports.1": str(ports["metric"]),
            "seeds": ",".join(seeds[:3]),
            "platform.address": f"127.0.0.1:{ports['store']}",
        } | {f"bounds.{name}": str(value) for name, value in BOUNDS.items()}

    def configure(self, version: int, prefixes: tuple[str, ...]) -> bool:
        """Write a configuration as the operator does; return whether it is stored.

        :param prefixes: of the routes.
        """
        routes = [
            {
                "name": f"r-{prefix.strip('/')}",
                "host": HOST,
                "path_prefix": prefix,
                "service": SERVICE,
                "priority": 0,
                "max_attempts": 4,
                "stretch_factor": 1.6,
                "target_latency_ms": 60,
            }
            for prefix in prefixes
        ]
        body = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "rejects_overload": True}],
            "limits": {"max_body_bytes": 262_144},
        }
        address = ("127.0.0.1", self.ports["store"])
        item = {"key": "op/config", "value": json.dumps(body)}
        try:
            return ask("POST", address, "/put", item)[0] == 200
        except OSError:
            return False

    def _has_all_workers(self) -> bool:
        return all(
            "found a worker" in self.log(f"agent-{number}")
            for number in range(self.workers)
        )

    def _wait_until(self, condition, what: str) -> None:
        ends_at = time.monotonic() + READY_SECONDS
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"{what}: not ready after {READY_SECONDS} s")
            time.sleep(0.1)


class Balancer:
    """The platform's choice of an entry for each new connection.

    Asks each entry once per second whether it is ready. After two misses an entry gets
    no new connections until it answers with 200 again. A client goes to the entry of
    its own zone, or to the nearest other zone if that one is out.
    """

    def __init__(self, site: Site, record: Record) -> None:
        self.site = site
        self.record = record
        self.misses = [0] * len(site.zones)
        self.is_ended = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def in_rotation(self, entry: int) -> bool:
        """Return whether an entry gets new connections."""
        return self.misses[entry] < 2

    def choose(self, zone: str) -> int:
        """Return the entry that a new connection from a zone is forwarded to."""
        zones = self.site.zones
        near = [n for n in range(len(zones)) if zones[n] == zone]
        far = [n for n in range(len(zones)) if zones[n] != zone]
        usable = [n for n in near + far if self.in_rotation(n)]
        return (usable or near)[0]

    def end(self) -> None:
        """Ask no more."""
        self.is_ended = True
        self.thread.join()

    def _run(self) -> None:
        while not self.is_ended:
            for entry in range(len(self.misses)):
                was = self.in_rotation(entry)
                missed = not self.site.is_ready(entry)
                self.misses[entry] = self.misses[entry] + 1 if missed else 0
                if self.in_rotation(entry) != was:
                    state = "is back in" if not was else "is out of"
                    self.record.say(f"entry {entry} {state} rotation")
            time.sleep(1.0)


def _environment(path: str) -> dict[str, str]:
    kept = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    return kept | {"PYTHONPATH": path}


def _fill_in(template: str, fields: dict[str, str]) -> str:
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: fields[match[1]], template)


def _free_ports(count: int) -> list[int]:
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports
