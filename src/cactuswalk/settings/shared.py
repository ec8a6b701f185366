"""Settings sections that entries and agents have in common."""

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

# The platform's key-value service answers in milliseconds (brief). Two seconds are far
# longer than a slow answer and short compared with a lease.
DEFAULT_KEY_VALUE_TIMEOUT_MS = 2_000

DEFAULT_STATSD_PORT = 8125

LOG_LEVELS = ("debug", "info", "warning", "error")


class HttpSettings(msgspec.Struct):
    """Address of an HTTP server, with TLS if both paths are set.

    :param port: 0 lets the system choose a free port.
    """

    host: str
    port: int
    tls_certificate: str = ""
    tls_key: str = ""


class KeyValueSettings(msgspec.Struct):
    """Endpoints of the platform's key-value service, and the prefix of all keys."""

    endpoints: list[str]
    prefix: str
    timeout_ms: int


class CurveSettings(msgspec.Struct):
    """CURVE keys that encrypt messages between processes.

    :param allowed_keys: public keys of the processes that may connect.
    """

    public_key: str
    secret_key: str
    allowed_keys: list[str]


class StatsdSettings(msgspec.Struct):
    """The StatsD server, and the prefix of metric names."""

    host: str
    port: int
    prefix: str


class LogSettings(msgspec.Struct):
    """Log level and destination: ``stdout``, ``stderr`` or a file path."""

    level: str
    destination: str


def read_http(reader: Reader, section: str, host=ip_address) -> HttpSettings:
    """Read the section of an HTTP server."""
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
    """Read the section of the key-value service."""
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
    """Read the address to bind; empty if it is the announced address."""
    return reader.get("process", "listen", message_address, "")


def read_peers(reader: Reader) -> list[str]:
    """Read the peers that have the configuration if the service is unavailable."""
    reader.allow_section("peers")
    return reader.get("peers", "addresses", list_of(peer_address), [])


def read_curve(reader: Reader) -> CurveSettings | None:
    """Read the CURVE keys; None if messages are not encrypted."""
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
    """Read the StatsD server; None if no metrics are sent."""
    section = "statsd"
    if not reader.allow_section(section):
        return None
    return StatsdSettings(
        host=reader.get(section, "host", ip_address, "127.0.0.1"),
        port=reader.get(section, "port", integer(1, 65_535), DEFAULT_STATSD_PORT),
        prefix=reader.get(section, "prefix", non_empty_text, "cactuswalk"),
    )


def read_logs(reader: Reader) -> LogSettings:
    """Read the log level and destination."""
    section = "logs"
    reader.allow_section(section)
    return LogSettings(
        level=reader.get(section, "level", one_of(*LOG_LEVELS), "info"),
        destination=reader.get(section, "destination", non_empty_text, "stderr"),
    )
