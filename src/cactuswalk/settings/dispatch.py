"""Settings of ``cactuswalk-dispatch-entry`` and ``cactuswalk-dispatch-agent``.

deploy/entry.ini and deploy/agent.ini are templates of these settings, for platforms
that fill in templates.
"""

from pathlib import Path

import msgspec

from cactuswalk.dispatch.loadpolicy import LoadPolicy
from cactuswalk.settings.converters import (
    integer,
    list_of,
    name,
    non_empty_text,
    switch,
)
from cactuswalk.settings.reader import Reader, RejectedValueError
from cactuswalk.settings.shared import (
    LogSettings,
    StatsdSettings,
    read_logs,
    read_statsd,
)

__all__ = [
    "DispatchAgentSettings",
    "DispatchEntrySettings",
    "Endpoint",
    "load_dispatch_agent",
    "load_dispatch_entry",
]

MAX_GRACE_SECONDS = 86_400
MAX_DRAIN_MS = 600_000
MAX_FAR_FACTOR = 100.0


class Endpoint(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as in a settings file."""
        return f"{self.host}:{self.port}"


class DispatchSettings(msgspec.Struct, kw_only=True):
    """Settings that entries and agents have in common.

    :param messages: the address at which this process receives messages.
    :param seeds: message addresses of some entries, from which the others are found.
    :param grace_seconds: time that a planned stop may take.
    :param policy: the decisions under load that are in force.
    """

    name: str
    data_centre: str
    metrics: Endpoint
    messages: Endpoint
    seeds: list[str]
    store: Endpoint
    grace_seconds: float
    policy: LoadPolicy
    statsd: StatsdSettings | None
    logs: LogSettings


class DispatchEntrySettings(DispatchSettings, kw_only=True):
    """Settings of an entry.

    :param callers: address of the callers' HTTP interface.
    :param readiness: address of the balancer's readiness checks.
    :param far_factor: how many times longer a task takes outside its data's rack.
    """

    callers: Endpoint
    readiness: Endpoint
    far_factor: float


class DispatchAgentSettings(DispatchSettings, kw_only=True):
    """Settings of an agent.

    :param announcements: address at which the worker on this host sends heartbeats.
    :param worker: address at which that worker accepts calls.
    :param service: the service that the worker belongs to.
    :param drain_seconds: how long a worker that reports draining may get tasks.
    """

    announcements: Endpoint
    worker: Endpoint
    service: str
    drain_seconds: float


def load_dispatch_entry(path: str | Path) -> DispatchEntrySettings:
    """Load the settings of an entry.

    :raises InvalidSettingsError: lists every mistake in the file.
    """
    reader = Reader(path)
    settings = DispatchEntrySettings(
        callers=reader.get("callers", "address", endpoint),
        readiness=reader.get("readiness", "address", endpoint),
        far_factor=reader.get("bounds", "far_factor", decimal(1, MAX_FAR_FACTOR), 1.0),
        **_read_common(reader),
    )
    reader.raise_if_invalid()
    return settings


def load_dispatch_agent(path: str | Path) -> DispatchAgentSettings:
    """Load the settings of an agent.

    :raises InvalidSettingsError: lists every mistake in the file.
    """
    reader = Reader(path)
    settings = DispatchAgentSettings(
        announcements=reader.get("announcements", "address", endpoint),
        worker=reader.get("worker", "address", endpoint),
        service=reader.get("worker", "service", non_empty_text),
        drain_seconds=reader.get("bounds", "drain_ms", decimal(0, MAX_DRAIN_MS), 0.0)
        / 1000,
        **_read_common(reader),
    )
    reader.raise_if_invalid()
    return settings


def _read_common(reader: Reader) -> dict[str, object]:
    """Read the fields of ``DispatchSettings``."""
    messages = _read_messages(reader)
    return {
        "name": reader.get("process", "name", name),
        "data_centre": reader.get("process", "data_centre", name),
        "metrics": reader.get("metrics", "address", endpoint),
        "messages": messages,
        "seeds": _read_seeds(reader, messages.port),
        "store": reader.get("store", "address", endpoint),
        "grace_seconds": reader.get(
            "bounds", "grace_seconds", decimal(1, MAX_GRACE_SECONDS)
        ),
        "policy": _read_policy(reader),
        "statsd": read_statsd(reader),
        "logs": read_logs(reader),
    }


def _read_policy(reader: Reader) -> LoadPolicy:
    """Read the optional section of decisions under load; each is off by default."""
    return LoadPolicy(
        divides_room=reader.get("load", "divide_room", switch, False),
        predicts_admission=reader.get("load", "predict_admission", switch, False),
        measures_headroom=reader.get("load", "measure_headroom", switch, False),
        serves_late=reader.get("load", "serve_late", switch, False),
        shares_evacuated=reader.get("load", "share_evacuated", switch, False),
        places_by_end=reader.get("load", "place_by_end", switch, False),
    )


def endpoint(raw: str) -> Endpoint:
    """Accept ``ip:port``."""
    host, _, port = raw.rpartition(":")
    if not host or not port.isdigit():
        raise RejectedValueError(
            "is not an address", "Write IP:PORT, such as 10.1.0.4:8161."
        )
    return Endpoint(host, int(port))


def decimal(minimum: float, maximum: float):
    """Return a converter for numbers in a range, bounds included."""

    def convert(raw: str) -> float:
        remedy = f"Give a number from {minimum} to {maximum}."
        try:
            value = float(raw)
        except ValueError:
            raise RejectedValueError("is not a number", remedy) from None
        if not minimum <= value <= maximum:
            raise RejectedValueError("is out of range", remedy)
        return value

    return convert


def _read_messages(reader: Reader) -> Endpoint:
    """Read the message address; its port is the first of the listed ports."""
    host = reader.get("messages", "host", non_empty_text, "")
    ports = reader.get("messages", "ports", list_of(integer(1, 65_535)), [0])
    return Endpoint(host, ports[0])


def _read_seeds(reader: Reader, port: int) -> list[str]:
    """Read the seeds' hosts; all entries use this process's message port."""
    seeds = reader.get("messages", "seeds", list_of(endpoint), [])
    return [message_url(Endpoint(seed.host, port)) for seed in seeds]


def message_url(address: Endpoint) -> str:
    """Return the ZeroMQ URL of a message address."""
    return f"tcp://{address}"
