"""A small deployment on the loopback, for tests and tools.

Entries, agents each with its upstream stand-in, and the key-value stand-in, as
separate processes with generated settings::

    with Cluster(entries=2, workers=[Worker("w1", "booking")]) as cluster:
        cluster.wait_ready()
        cluster.post_json(f"{cluster.entry_url(0)}/v1/services/booking/requests", ...)
        cluster["agent-w1"].kill()
        cluster.restart("agent-w1")
        starts = cluster.starts()

Names of processes: ``keyvalue``, ``entry-1`` and so on, ``agent-NAME`` and
``upstream-NAME`` for each worker. Leaving the ``with`` block ends all of them,
after a failure and after Ctrl-C too.
"""

import configparser
import hashlib
import json
import shutil
import signal
import tempfile
import threading
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from tools.processes import LaunchError, Process, free_ports, wait_until

__all__ = ["TEAMS", "Cluster", "Worker", "token_of"]

# Callers of the generated settings: each name is a caller and its team.
TEAMS = ("glenmorrow", "labuta")
OPERATOR = "on-call"

# The first owner has to win the record of its cell, and be confirmed by more
# than half of the roster; on a busy machine a process takes seconds to import.
READY_TIMEOUT_S = 30.0

# A stand-in that is asked for a switch answers at once or is gone.
CONTROL_TIMEOUT_S = 5.0


class Worker(msgspec.Struct):
    """A worker of the deployment; the defaults are the brief's.

    :param cell: by default the name of its service.
    :param saves: its upstream can checkpoint tasks.
    :param labels: of the worker, in its agent's settings.
    """

    name: str
    service: str
    cell: str = ""
    data_centre: str = "inverness"
    rack: str = "rack-1"
    slots: int = 8
    connections: int = 64
    memory_mb: int = 0
    can_checkpoint: bool = False
    labels: dict[str, str] = {}


def token_of(caller: str) -> str:
    """Return the token of a caller or operator of the generated settings."""
    return f"{caller}-token"


class Cluster:
    """The processes of a deployment, by name.

    :param entries: how many.
    :param workers: one agent and one upstream stand-in each.
    :param changes: options that replace generated ones, for agents and
        entries alike where they know them: ``{"agent": {"cell":
        {"ping_period_ms": "100"}}}`` by role, section and option.
    :param directory: for settings, logs and records; a temporary one, removed
        at the end, if it isn't given.
    :param teams: callers of the generated settings.
    :param network: whether messages between processes pass a network stand-in.
    """

    def __init__(
        self,
        entries: int,
        workers: list[Worker],
        changes: dict[str, dict[str, dict[str, str]]] | None = None,
        directory: Path | None = None,
        teams: tuple[str, ...] = TEAMS,
        network: bool = False,
    ) -> None:
        self.network = network
        self.listening: dict[str, str] = {}
        self.workers = {worker.name: worker for worker in workers}
        self.changes = changes or {}
        self.teams = teams
        self.temporary = directory is None
        self.directory = directory or Path(tempfile.mkdtemp(prefix="cactuswalk-"))
        self.processes: dict[str, Process] = {}
        self.urls: dict[str, str] = {}
        self.addresses: dict[str, str] = {}
        self.operator_urls: list[str] = []
        self.earlier_handlers: dict[int, object] = {}
        self.entry_names = [f"entry-{number + 1}" for number in range(entries)]
        self._lay_out()

    def __enter__(self) -> "Cluster":
        """Start everything; what has started is ended if the rest fails."""
        self._take_signals()
        try:
            for process in self.processes.values():
                process.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End everything."""
        self.close()

    def __getitem__(self, name: str) -> Process:
        """Return a process by its name."""
        return self.processes[name]

    def close(self) -> None:
        """Kill what still runs, and remove a temporary directory."""
        for process in reversed(self.processes.values()):
            process.end()
        for number, handler in self.earlier_handlers.items():
            signal.signal(number, handler)
        self.earlier_handlers.clear()
        if self.temporary:
            shutil.rmtree(self.directory, ignore_errors=True)

    def stop(self) -> dict[str, int]:
        """Ask all for a planned stop, entries first, and return exit statuses.

        A caller's request must find its owner and upstream until the entries
        have finished, so each kind of process outlives those that need it.
        """
        statuses: dict[str, int] = {}
        for prefix in ("entry-", "upstream-", "agent-", "keyvalue", "network"):
            chosen = [name for name in self.processes if name.startswith(prefix)]
            running = [name for name in chosen if self[name].alive]
            for name in running:
                self[name].terminate()
            statuses |= {name: self[name].wait() for name in running}
        return statuses

    def restart(self, name: str) -> None:
        """Start a process that has ended again, with the settings it had."""
        self[name].start()

    def entry_url(self, number: int) -> str:
        """Return the callers' base address of an entry, counted from 0."""
        return self.urls[self.entry_names[number]]

    def operator_url(self, number: int) -> str:
        """Return the operators' base address of an entry, counted from 0."""
        return self.operator_urls[number]

    def is_ready(self, name: str) -> bool:
        """Return whether a process answers that it is ready."""
        try:
            status, _ = self.request("GET", f"{self.urls[name]}/ready")
        except OSError:
            return False
        return status == 200

    def wait_ready(self, *names: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Return once these, or all entries and agents, are ready.

        :raises LaunchError: if one ends or isn't ready in time, with its log.
        """
        for name in names or [*self._agent_names(), *self.entry_names]:
            self._wait_for(
                name, lambda name=name: self.is_ready(name), "ready", timeout_s
            )

    def set_upstream_faults(self, worker: str, **faults: object) -> None:
        """Replace the faults of an upstream stand-in; none for all right."""
        self._switch(f"upstream-{worker}", "POST", "faults", faults)

    def set_keyvalue_faults(self, **faults: object) -> None:
        """Change some faults of the key-value stand-in; the others stay."""
        self._switch("keyvalue", "POST", "faults", faults)

    def clear_keyvalue_faults(self) -> None:
        """Make the key-value stand-in right again."""
        self._switch("keyvalue", "DELETE", "faults", None)

    def set_link_faults(self, names: list[str], **conduct: object) -> None:
        """Change how what is sent to these processes arrives."""
        links = {name: conduct for name in names}
        self._switch("network", "POST", "links", links)

    def clear_link_faults(self) -> None:
        """Make all links of the network stand-in right again."""
        self._switch("network", "DELETE", "links", None)

    def keyvalue_calls(self) -> dict:
        """Return what the key-value stand-in has counted."""
        return self._switch("keyvalue", "GET", "calls", None)

    def records(self) -> list[dict]:
        """Return the upstreams' own records, also of those that have died."""
        found: list[dict] = []
        for worker in self.workers:
            path = self._record_path(worker)
            if path.exists():
                lines = path.read_text(encoding="utf-8").splitlines()
                found.extend(json.loads(line) for line in lines)
        return found

    def starts(self) -> dict[tuple[str, int], int]:
        """Return how often each task, by submission and index, has started."""
        counted: dict[tuple[str, int], int] = {}
        for record in self.records():
            if record["event"] == "start":
                task = (record["submission"], record["index"])
                counted[task] = counted.get(task, 0) + 1
        return counted

    def request(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Send one request and return status and body, errors included."""
        data = None if body is None else json.dumps(body).encode()
        asked = urllib.request.Request(
            url, data, {"Content-Type": "application/json"} | (headers or {})
        )
        asked.method = method
        try:
            with urllib.request.urlopen(asked, timeout=timeout_s) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            with error:
                return error.code, error.read()

    def _agent_names(self) -> list[str]:
        return [f"agent-{worker}" for worker in self.workers]

    def _record_path(self, worker: str) -> Path:
        return self.directory / f"upstream-{worker}.records"

    def _switch(self, name: str, method: str, what: str, body: object) -> dict:
        status, text = self.request(method, f"{self.urls[name]}/standin/{what}", body)
        if status != 200:
            raise LaunchError(f"{name} refused {what} {body}: {status} {text!r}")
        return json.loads(text)

    def _wait_for(
        self, name: str, condition: Callable[[], bool], what: str, timeout_s: float
    ) -> None:
        process = self[name]

        def settled() -> bool:
            return condition() or not process.alive

        try:
            wait_until(settled, timeout_s, f"{name} {what}")
        except LaunchError as error:
            raise LaunchError(f"{error}\n{process.tail()}") from error
        if not process.alive:
            status = process.exit_status
            raise LaunchError(f"{name} ended with {status}\n{process.tail()}")

    def _lay_out(self) -> None:
        """Choose all ports, and write the settings of each process."""
        names = [*self.entry_names, *self._agent_names()]
        upstreams = [f"upstream-{worker}" for worker in self.workers]
        ports = iter(free_ports(2 + 4 * len(names) + len(upstreams)))
        keyvalue_port = next(ports)
        for name in ["keyvalue", *names, *upstreams]:
            port = keyvalue_port if name == "keyvalue" else next(ports)
            self.urls[name] = f"http://127.0.0.1:{port}"
        for name in names:
            self.addresses[name] = f"tcp://127.0.0.1:{next(ports)}"
            self.listening[name] = self.addresses[name]
        self.operator_urls = [
            f"http://127.0.0.1:{next(ports)}" for _ in self.entry_names
        ]
        self._add("keyvalue", ["standins.keyvalue", "--port", str(keyvalue_port)])
        if self.network:
            self._lay_out_network(names, ports)
        for number, name in enumerate(self.entry_names):
            path = self._write(name, "entry", self._entry_options(number, name))
            self._add(name, ["cactuswalk.commands.entry", "--settings", path])
        for worker in self.workers.values():
            self._lay_out_worker(worker)

    def _lay_out_network(self, names: list[str], ports: Iterator[int]) -> None:
        """Let each process listen behind the address that the others are told."""
        self.urls["network"] = f"http://127.0.0.1:{next(ports)}"
        arguments = ["standins.network", "--port", port_of(self.urls["network"])]
        for name in names:
            self.listening[name] = f"tcp://127.0.0.1:{next(ports)}"
            ends = port_of(self.addresses[name]), port_of(self.listening[name])
            arguments += ["--link", name, *ends]
        self._add("network", arguments)

    def _lay_out_worker(self, worker: Worker) -> None:
        agent, upstream = f"agent-{worker.name}", f"upstream-{worker.name}"
        path = self._write(agent, "agent", self._agent_options(worker, agent))
        self._add(agent, ["cactuswalk.commands.agent", "--settings", path])
        options = {
            "port": port_of(self.urls[upstream]),
            "agent": self.urls[agent],
            "name": worker.name,
            "service": worker.service,
            "slots": worker.slots,
            "connections": worker.connections,
            "memory-mb": worker.memory_mb,
            "record": self._record_path(worker.name),
        }
        arguments = ["standins.upstream"]
        for option, value in options.items():
            arguments += [f"--{option}", str(value)]
        if worker.can_checkpoint:
            arguments.append("--saves")
        self._add(upstream, arguments)

    def _add(self, name: str, arguments: list[str]) -> None:
        self.processes[name] = Process(name, arguments, self.directory)

    def _entry_options(self, number: int, name: str) -> dict:
        operators = self.operator_urls[number]
        return {
            "process": {
                "name": name,
                "data_centre": "inverness",
                "address": self.addresses[name],
                "listen": self.listening[name],
            },
            "http": {"port": port_of(self.urls[name])},
            "operators_http": {"port": port_of(operators)},
            "callers": {
                caller: f"{caller}, {sha256(token_of(caller))}" for caller in self.teams
            },
            "operators": {OPERATOR: sha256(token_of(OPERATOR))},
        }

    def _agent_options(self, worker: Worker, name: str) -> dict:
        return {
            "process": {
                "worker": worker.name,
                "cell": worker.cell or worker.service,
                "data_centre": worker.data_centre,
                "rack": worker.rack,
                "address": self.addresses[name],
                "listen": self.listening[name],
            },
            "labels": worker.labels,
            "http": {"port": port_of(self.urls[name])},
        }

    def _write(self, name: str, role: str, options: dict) -> str:
        """Write the settings of a process and return their path."""
        others = [self.addresses[other] for other in self.entry_names if other != name]
        sections = {
            "key_value": {"endpoints": self.urls["keyvalue"]},
            "peers": {"addresses": " ".join(others)},
            "logs": {"level": "info", "destination": "stderr"},
        }
        parser = configparser.ConfigParser(interpolation=None)
        parser.optionxform = str
        parser.read_dict(sections)
        parser.read_dict(options)
        parser.read_dict(self.changes.get(role, {}))
        path = self.directory / f"{name}.ini"
        with path.open("w", encoding="utf-8") as file:
            parser.write(file)
        return str(path)

    def _take_signals(self) -> None:
        """Turn SIGTERM into an exception, so that clean-up runs then too."""
        if threading.current_thread() is not threading.main_thread():
            return
        earlier = signal.signal(signal.SIGTERM, _raise_exit)
        self.earlier_handlers[signal.SIGTERM] = earlier


def port_of(url: str) -> str:
    """Return the port of an address."""
    return url.rpartition(":")[2]


def sha256(text: str) -> str:
    """Return the digest of a token, as settings hold it."""
    return hashlib.sha256(text.encode()).hexdigest()


def _raise_exit(number: int, _: object) -> None:
    raise SystemExit(128 + number)
