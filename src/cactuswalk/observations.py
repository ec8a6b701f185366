"""What a reducer wants to have seen from outside: log lines, counters, gauges."""

import enum

import msgspec

__all__ = ["Count", "Gauge", "Log", "Part"]


class Part(enum.StrEnum):
    """The parts that write log lines; each line opens with its part."""

    ENTRY = "entry"
    OWNER = "owner"
    AGENT = "agent"
    CELL = "cell"
    CONFIGURATION = "configuration"
    PROCESS = "process"


class Log(msgspec.Struct):
    """A log line: one short sentence, and the values that led to it."""

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
