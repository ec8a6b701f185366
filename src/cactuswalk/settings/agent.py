"""Settings of ``cactuswalk-agent``."""

from pathlib import Path

import msgspec

from cactuswalk.settings.converters import (
    NAME_REMEDY,
    integer,
    is_name,
    loopback_address,
    message_address,
    name,
    one_of,
)
from cactuswalk.settings.reader import Reader
from cactuswalk.settings.retention import read_retention_seconds
from cactuswalk.settings.shared import (
    CurveSettings,
    HttpSettings,
    KeyValueSettings,
    LogSettings,
    StatsdSettings,
    read_curve,
    read_http,
    read_key_value,
    read_listen,
    read_logs,
    read_peers,
    read_statsd,
)

__all__ = ["AgentSettings", "load_agent"]

# An agent may take 64 MB (customer's limit). It takes 52 MB when idle, and an owner's
# answers of the last ten seconds up to 5 MB that must not be evicted
# (docs/measurements/path.md, docs/design/path.md). Half of this default is for
# records, about 5,000 of them.
DEFAULT_RETENTION_BYTES = 6 << 20

# An owner's confirmation and the stamp of a start are valid for this long; a takeover
# waits for twice that. If shorter, a pause of the host interrupts starts; if longer,
# the takeover from a failed owner is delayed.
DEFAULT_CONFIRM_PERIOD_MS = 1_000

# Four pings per confirm period: three in a row may be lost.
DEFAULT_PING_PERIOD_MS = 250

# An owner must stay confirmed if one ping is lost.
MIN_PINGS_PER_PERIOD = 3


class AgentSettings(msgspec.Struct):
    """Settings of an agent.

    :param address: where other processes send messages, ``tcp://ip:port``.
    :param listen: the address to bind, if it differs from ``address``; else empty.
    :param labels: labels of the worker; the upstream's announcement adds its own.
    :param http: loopback address at which the upstream announces itself.
    :param confirm_period_ms: P in docs/design/ownership.md.
    :param peers: addresses of entries, to get the configuration from, and the owner of
        the cell if the key-value service has lost that record.
    :param guard: whether the agent acts on tasks that exceed their declaration.
    """

    worker: str
    cell: str
    data_centre: str
    rack: str
    labels: dict[str, str]
    address: str
    listen: str
    http: HttpSettings
    retention_seconds: int
    retention_bytes: int
    confirm_period_ms: int
    ping_period_ms: int
    key_value: KeyValueSettings
    peers: list[str]
    curve: CurveSettings | None
    statsd: StatsdSettings | None
    logs: LogSettings
    guard: bool = True


def load_agent(path: str | Path) -> AgentSettings:
    """Load the settings of an agent.

    :raises InvalidSettingsError: lists every mistake in the file.
    """
    reader = Reader(path)
    settings = AgentSettings(
        worker=reader.get("process", "worker", name),
        cell=reader.get("process", "cell", name),
        data_centre=reader.get("process", "data_centre", name),
        rack=reader.get("process", "rack", name),
        labels=_read_labels(reader),
        address=reader.get("process", "address", message_address),
        listen=read_listen(reader),
        http=read_http(reader, "http", loopback_address),
        retention_seconds=read_retention_seconds(reader),
        retention_bytes=reader.get(
            "retention", "bytes", integer(1 << 16, 1 << 30), DEFAULT_RETENTION_BYTES
        ),
        confirm_period_ms=reader.get(
            "cell", "confirm_period_ms", integer(100, 60_000), DEFAULT_CONFIRM_PERIOD_MS
        ),
        ping_period_ms=reader.get(
            "cell", "ping_period_ms", integer(20, 20_000), DEFAULT_PING_PERIOD_MS
        ),
        key_value=read_key_value(reader),
        peers=read_peers(reader),
        curve=read_curve(reader),
        statsd=read_statsd(reader),
        logs=read_logs(reader),
        guard=reader.get("guard", "enabled", one_of("yes", "no"), "yes") == "yes",
    )
    _check_periods(reader, settings)
    reader.raise_if_invalid()
    return settings


def _read_labels(reader: Reader) -> dict[str, str]:
    labels = {}
    for key, value in reader.items("labels"):
        if not is_name(key) or not is_name(value):
            reader.add_mistake(
                "labels", key, value, "is not a valid label", NAME_REMEDY
            )
            continue
        labels[key] = value
    return labels


def _check_periods(reader: Reader, settings: AgentSettings) -> None:
    pings = settings.confirm_period_ms // settings.ping_period_ms
    if pings >= MIN_PINGS_PER_PERIOD:
        return
    max_period_ms = settings.confirm_period_ms // MIN_PINGS_PER_PERIOD
    reader.add_mistake(
        "cell",
        "ping_period_ms",
        str(settings.ping_period_ms),
        f"leaves fewer than {MIN_PINGS_PER_PERIOD} pings in a confirm period",
        f"Give at most {max_period_ms}, or raise confirm_period_ms.",
    )
