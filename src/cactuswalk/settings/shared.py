"""Sections that entries and agents have in common."""

import msgspec

from cactuswalk.settings.converters import (
    existing_file,
    integer,
    ip_address,
    list_of,
    message_address,
    non_empty_text,
    one_of,
    peer_address,
    url,
    z85_key,
)
from cactuswalk.settings.reader import Reader

__all__ = [
    "CurveSettings",
    "HttpSettings",
    "KeyValueSettings",
    "LogSettings",
    "StatsdSettings",
    "read_curve",
    "read_http",
    "read_key_value",
    "read_listen",
    "read_logs",
    "read_peers",
    "read_statsd",
]

# The platform's service answers in milliseconds (brief). Two seconds is long
# past a slow answer and short against a lease.
DEFAULT_KEY_VALUE_TIMEOUT_MS = 2_000

DEFAULT_STATSD_PORT = 8125

LOG_LEVELS = ("debug", "info", "warning", "error")


class HttpSettings(msgspec.Struct):
    """Where a process listens for HTTP, with TLS if both paths are set.

    :param port: 0 lets the system choose one.
    """

    host: str
    port: int
    tls_certificate: str = ""
    tls_key: str = ""


class KeyValueSettings(msgspec.Struct):
    """How the platform's key-value service is reached."""

    endpoints: list[str]
    prefix: str
    timeout_ms: int


class CurveSettings(msgspec.Struct):
    """Keys that encrypt the messages between processes.

    :param allowed_keys: public keys of the processes that may connect.
    """

    public_key: str
    secret_key: str
    allowed_keys: list[str]


class StatsdSettings(msgspec.Struct):
    """Where metrics go."""

    host: str
    port: int
    prefix: str


class LogSettings(msgspec.Struct):
    """What is logged, and where to: ``stdout``, ``stderr`` or a path."""

    level: str
    destination: str


def read_http(reader: Reader, section: str, host=ip_address) -> HttpSettings:
    """Read where to listen."""
    settings = HttpSettings(
        host=reader.get(section, "host", host, "127.0.0.1"),
        port=reader.get(section, "port", integer(0, 65_535)),
        tls_certificate=reader.get(section, "tls_certificate", existing_file, ""),
        tls_key=reader.get(section, "tls_key", existing_file, ""),
    )
    missing = None
    if settings.tls_certificate and not settings.tls_key:
        missing = "tls_key"
    if settings.tls_key and not settings.tls_certificate:
        missing = "tls_certificate"
    if missing and not reader.parser.has_option(section, missing):
        remedy = "Give both TLS paths or neither."
        reader.add_mistake(section, missing, "", "is missing", remedy)
    return settings


def read_key_value(reader: Reader) -> KeyValueSettings:
    """Read how to reach the key-value service."""
    section = "key_value"
    endpoints = reader.get(section, "endpoints", list_of(url))
    if endpoints == []:
        remedy = "Give at least one http://IP:PORT."
        reader.add_mistake(section, "endpoints", "", "is empty", remedy)
    return KeyValueSettings(
        endpoints=endpoints,
        prefix=reader.get(section, "prefix", non_empty_text, "/cactuswalk/"),
        timeout_ms=reader.get(
            section, "timeout_ms", integer(50, 60_000), DEFAULT_KEY_VALUE_TIMEOUT_MS
        ),
    )


def read_listen(reader: Reader) -> str:
    """Read where messages arrive, empty for the address that peers are told."""
    return reader.get("process", "listen", message_address, "")


def read_peers(reader: Reader) -> list[str]:
    """Read whom to ask for the configuration while the service is away."""
    reader.allow_section("peers")
    return reader.get("peers", "addresses", list_of(peer_address), [])


def read_curve(reader: Reader) -> CurveSettings | None:
    """Read the keys between processes; None where messages are not encrypted."""
    section = "curve"
    if not reader.allow_section(section):
        return None
    public_key = reader.get(section, "public_key", z85_key)
    return CurveSettings(
        public_key=public_key,
        secret_key=reader.get(section, "secret_key", z85_key, secret=True),
        allowed_keys=reader.get(
            section, "allowed_keys", list_of(z85_key), [public_key]
        ),
    )


def read_statsd(reader: Reader) -> StatsdSettings | None:
    """Read where metrics go; None for nowhere."""
    section = "statsd"
    if not reader.allow_section(section):
        return None
    return StatsdSettings(
        host=reader.get(section, "host", ip_address, "127.0.0.1"),
        port=reader.get(section, "port", integer(1, 65_535), DEFAULT_STATSD_PORT),
        prefix=reader.get(section, "prefix", non_empty_text, "cactuswalk"),
    )


def read_logs(reader: Reader) -> LogSettings:
    """Read what is logged and where to."""
    section = "logs"
    reader.allow_section(section)
    return LogSettings(
        level=reader.get(section, "level", one_of(*LOG_LEVELS), "info"),
        destination=reader.get(section, "destination", non_empty_text, "stderr"),
    )
