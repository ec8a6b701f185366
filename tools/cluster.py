"""A small deployment on the loopback, for tests and tools.

Runs entries, agents with one upstream stand-in each, and the key-value stand-in as
separate processes with generated settings::

    with Cluster(entries=2, workers=[Worker("w1", "booking")]) as cluster:
        cluster.wait_ready()
        cluster.post_json(f"{cluster.entry_url(0)}/v1/services/booking/requests", ...)
        cluster["agent-w1"].kill()
        cluster.restart("agent-w1")
        starts = cluster.starts()

Process names are ``keyvalue``, ``entry-1`` and so on, and ``agent-NAME`` and
``upstream-NAME`` for each worker. Leaving the ``with`` block ends all processes, also
after a failure or Ctrl-C.
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

# Callers in the generated settings; each name is a caller and its team.
TEAMS = ("glenmorrow", "labuta")
OPERATOR = "on-call"

# The first owner must win its cell's record and be confirmed by more than half of the
# roster, and on a busy machine a process takes seconds to import its modules.
READY_TIMEOUT_S = 30.0

# Stand-ins answer control requests at once unless they have failed.
CONTROL_TIMEOUT_S = 5.0


class Worker(msgspec.Struct):
    """A worker of the deployment; the defaults are those of the brief.

    :param cell: name of the cell, by default that of the service.
    :param can_checkpoint: whether its upstream can checkpoint tasks.
    :param labels: labels in the agent's settings.
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
    """Return the token of a caller or operator in the generated settings."""
    return f"{caller}-token"


class Cluster:
    """The processes of a deployment, by name.

    :param entries: number of entries.
    :param workers: workers, with one agent and one upstream stand-in each.
    :param changes: options that replace generated ones, by role, section and option:
        ``{"agent": {"cell": {"ping_period_ms": "100"}}}``.
    :param directory: directory of settings, logs and records; by default a temporary
        one that is removed at the end.
    :param teams: callers in the generated settings.
    :param network: whether messages between processes pass network proxies.
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
        self.listen_addresses: dict[str, str] = {}
        self.workers = {worker.name: worker for worker in workers}
        self.changes = changes or {}
        self.teams = teams
        self.is_temporary = directory is None
        self.directory = directory or Path(tempfile.mkdtemp(prefix="cactuswalk-"))
        self.processes: dict[str, Process] = {}
        self.urls: dict[str, str] = {}
        self.addresses: dict[str, str] = {}
        self.operator_urls: list[str] = []
        self.previous_handlers: dict[int, object] = {}
        self.entry_names = [f"entry-{number + 1}" for number in range(entries)]
        self._prepare_processes()

    def __enter__(self) -> "Cluster":
        """Start all processes; if one fails, end those that have started."""
        self._handle_sigterm()
        try:
            for process in self.processes.values():
                process.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        self.close()

    def __getitem__(self, name: str) -> Process:
        """Return the process with this name."""
        return self.processes[name]

    def close(self) -> None:
        """Kill all running processes, and remove a temporary directory."""
        for process in reversed(self.processes.values()):
            process.end()
        for number, handler in self.previous_handlers.items():
            signal.signal(number, handler)
        self.previous_handlers.clear()
        if self.is_temporary:
            shutil.rmtree(self.directory, ignore_errors=True)

    def stop(self) -> dict[str, int]:
        """Stop all processes as planned, entries first, and return exit statuses.

        Callers' requests need the owner and the upstreams until the entries have
        finished, so each kind of process stops after those that depend on it.
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
        """Start a process again, with the same settings, after it has ended."""
        self[name].start()

    def entry_url(self, number: int) -> str:
        """Return the base URL of an entry for callers, counted from 0."""
        return self.urls[self.entry_names[number]]

    def operator_url(self, number: int) -> str:
        """Return the base URL of an entry for operators, counted from 0."""
        return self.operator_urls[number]

    def is_ready(self, name: str) -> bool:
        """Return whether a process reports that it is ready."""
        try:
            status, _ = self.request("GET", f"{self.urls[name]}/ready")
        except OSError:
            return False
        return status == 200

    def wait_ready(self, *names: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until these, or all entries and agents, are ready.

        :raises LaunchError: if one ends or is not ready in time; the message has the
            end of its log.
        """
        for name in names or [*self._agent_names(), *self.entry_names]:
            self._wait_until_condition(
                name, lambda name=name: self.is_ready(name), "ready", timeout_s
            )

    def set_upstream_faults(self, worker: str, **faults: object) -> None:
        """Replace the faults of an upstream stand-in; no argument clears them."""
        self._call_standin(f"upstream-{worker}", "POST", "faults", faults)

    def set_keyvalue_faults(self, **faults: object) -> None:
        """Set some faults of the key-value stand-in; others stay as they are."""
        self._call_standin("keyvalue", "POST", "faults", faults)

    def clear_keyvalue_faults(self) -> None:
        """Clear all faults of the key-value stand-in."""
        self._call_standin("keyvalue", "DELETE", "faults", None)

    def set_link_faults(self, names: list[str], **faults: object) -> None:
        """Replace the faults of the links to these processes."""
        links = {name: faults for name in names}
        self._call_standin("network", "POST", "links", links)

    def clear_link_faults(self) -> None:
        """Clear the faults of all links of the network stand-in."""
        self._call_standin("network", "DELETE", "links", None)

    def keyvalue_calls(self) -> dict:
        """Return the call counts of the key-value stand-in."""
        return self._call_standin("keyvalue", "GET", "calls", None)

    def records(self) -> list[dict]:
        """Return the records of all upstreams, running or not."""
        records: list[dict] = []
        for worker in self.workers:
            path = self._record_path(worker)
            if path.exists():
                lines = path.read_text(encoding="utf-8").splitlines()
                records.extend(json.loads(line) for line in lines)
        return records

    def starts(self) -> dict[tuple[str, int], int]:
        """Return the number of starts of each task, by submission and index."""
        start_counts: dict[tuple[str, int], int] = {}
        for record in self.records():
            if record["event"] == "start":
                task = (record["submission"], record["index"])
                start_counts[task] = start_counts.get(task, 0) + 1
        return start_counts

    def request(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Send one request and return status and body, also of error responses."""
        data = None if body is None else json.dumps(body).encode()
        http_request = urllib.request.Request(
            url, data, {"Content-Type": "application/json"} | (headers or {})
        )
        http_request.method = method
        try:
            with urllib.request.urlopen(http_request, timeout=timeout_s) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            with error:
                return error.code, error.read()

    def _agent_names(self) -> list[str]:
        return [f"agent-{worker}" for worker in self.workers]

    def _record_path(self, worker: str) -> Path:
        return self.directory / f"upstream-{worker}.records"

    def _call_standin(
        self, name: str, method: str, resource: str, body: object
    ) -> dict:
        status, text = self.request(
            method, f"{self.urls[name]}/standin/{resource}", body
        )
        if status != 200:
            raise LaunchError(f"{name} refused {resource} {body}: {status} {text!r}")
        return json.loads(text)

    def _wait_until_condition(
        self,
        name: str,
        condition: Callable[[], bool],
        description: str,
        timeout_s: float,
    ) -> None:
        process = self[name]

        def is_settled() -> bool:
            return condition() or not process.alive

        try:
            wait_until(is_settled, timeout_s, f"{name} {description}")
        except LaunchError as error:
            raise LaunchError(f"{error}\n{process.tail()}") from error
        if not process.alive:
            status = process.exit_status
            raise LaunchError(f"{name} ended with {status}\n{process.tail()}")

    def _prepare_processes(self) -> None:
        """Choose all ports, write the settings and prepare each process."""
        names = [*self.entry_names, *self._agent_names()]
        upstreams = [f"upstream-{worker}" for worker in self.workers]
        ports = iter(free_ports(2 + 4 * len(names) + len(upstreams)))
        keyvalue_port = next(ports)
        for name in ["keyvalue", *names, *upstreams]:
            port = keyvalue_port if name == "keyvalue" else next(ports)
            self.urls[name] = f"http://127.0.0.1:{port}"
        for name in names:
            self.addresses[name] = f"tcp://127.0.0.1:{next(ports)}"
            self.listen_addresses[name] = self.addresses[name]
        self.operator_urls = [
            f"http://127.0.0.1:{next(ports)}" for _ in self.entry_names
        ]
        self._add("keyvalue", ["standins.keyvalue", "--port", str(keyvalue_port)])
        if self.network:
            self._prepare_network(names, ports)
        for number, name in enumerate(self.entry_names):
            path = self._write(name, "entry", self._entry_options(number, name))
            self._add(name, ["cactuswalk.commands.entry", "--settings", path])
        for worker in self.workers.values():
            self._prepare_worker(worker)

    def _prepare_network(self, names: list[str], ports: Iterator[int]) -> None:
        """Put a link in front of each process, at the address that others know."""
        self.urls["network"] = f"http://127.0.0.1:{next(ports)}"
        arguments = ["standins.network", "--port", port_of(self.urls["network"])]
        for name in names:
            self.listen_addresses[name] = f"tcp://127.0.0.1:{next(ports)}"
            link_ports = (
                port_of(self.addresses[name]),
                port_of(self.listen_addresses[name]),
            )
            arguments += ["--link", name, *link_ports]
        self._add("network", arguments)

    def _prepare_worker(self, worker: Worker) -> None:
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
                "listen": self.listen_addresses[name],
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
                "listen": self.listen_addresses[name],
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

    def _handle_sigterm(self) -> None:
        """Raise an exception on SIGTERM, so that the clean-up runs."""
        if threading.current_thread() is not threading.main_thread():
            return
        previous = signal.signal(signal.SIGTERM, _raise_exit)
        self.previous_handlers[signal.SIGTERM] = previous


def port_of(url: str) -> str:
    """Return the port of a URL or endpoint."""
    return url.rpartition(":")[2]


def sha256(text: str) -> str:
    """Return the SHA-256 digest of a token, as stored in the settings."""
    return hashlib.sha256(text.encode()).hexdigest()


def _raise_exit(number: int, _: object) -> None:
    raise SystemExit(128 + number)
