"""Effects that make a reducer observable: log lines, counters and gauges."""

import enum

import msgspec

__all__ = ["Count", "Gauge", "Log", "Part"]


class Part(enum.StrEnum):
    """Parts of the system that write log lines; the part prefixes each message."""

    ENTRY = "entry"
    OWNER = "owner"
    AGENT = "agent"
    CELL = "cell"
    CONFIGURATION = "configuration"
    PROCESS = "process"


class Log(msgspec.Struct):
    """A log line: a short message, and the values that led to it."""

    part: Part
    sentence: str
    fields: dict[str, object]


class Count(msgspec.Struct):
    """Add to a counter."""

    name: str
    by: int = 1


class Gauge(msgspec.Struct):
    """Set a gauge."""

    name: str
    value: float
