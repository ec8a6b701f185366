"""Logs by eliot: JSON lines, each a short sentence with a fixed prefix per part.

{"level": "info", "message": "owner: task 3 of a/b starts on w7: most free
slots", "part": "owner", "worker": "w7", ...}

A line is made where the decision is taken, and encoded and written some
milliseconds later, with all others of that time: the caller does not wait for it.
"""

import asyncio
import itertools
import logging
import select
import sys
import time
import uuid
from typing import TextIO

import eliot

from cactuswalk.errors import SettingsError
from cactuswalk.logfields import LINE_FIELDS
from cactuswalk.observations import Log, Part
from cactuswalk.settings import LogSettings

__all__ = ["Logs", "open_logs"]

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}

MESSAGE_TYPE = "cactuswalk"


# eliot's encoder takes 64-bit numbers; another one would lose its whole line.
MAX_INTEGER = (1 << 63) - 1

# How long a line may wait to be written: longer than an empty request's way
# through the path (3 to 5 ms, docs/measurements/path.md), so that its lines are
# written after its answer, and short enough that a killed process loses little.
WRITE_DELAY_SECONDS = 0.02

# Lines that may wait. A job of 140 tasks makes three for each of them in one or
# two turns of the loop; beyond that, memory goes before the time of a turn.
MAX_WAITING_LINES = 500

# Lines from here on are written at once, and what waits before them: a process
# that is about to end because of them must not take them along.
IMMEDIATE_LEVEL = LEVELS["warning"]


class Logs:
    """Where the log of one process goes.

    Outside a running loop, each line is written at once.

    :param process: the entry's or the worker's name, on every line.
    """

    def __init__(self, settings: LogSettings, process: str) -> None:
        self.level = LEVELS[settings.level]
        self.process = process
        self.stream, self.owns_stream = _open_destination(settings.destination)
        self.buffer = LineBuffer()
        self.destination = eliot.FileDestination(file=self.buffer)
        eliot.add_destinations(self.destination)
        self.logger = eliot.Logger()
        # An identifier drawn for each line costs more than encoding it.
        self.task_prefix = str(uuid.uuid4())[:24]
        self.serial = itertools.count()
        self.waiting: list[dict[str, object]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        # Lines that could not be written since the last time that this was said.
        self.dropped_lines = 0
        self.handler = LibraryHandler(self)
        logging.getLogger().addHandler(self.handler)

    def write(self, effect: Log, level: str = "info") -> None:
        """Write the line of a ``Log`` effect."""
        self.say(effect.part, effect.sentence, effect.fields, level)

    def say(
        self,
        part: Part,
        sentence: str,
        fields: dict[str, object] | None = None,
        level: str = "info",
    ) -> None:
        """Write one sentence of a part, with the values that led to it."""
        if LEVELS[level] < self.level:
            return
        line = {
            # A field of an effect must not replace one of the line itself.
            f"{name}_" if name in LINE_FIELDS else name: (
                value if type(value) is str else _to_json_value(value)
            )
            for name, value in (fields or {}).items()
        }
        self.enqueue(part.value, sentence, line, level)

    def enqueue(
        self, part: str, sentence: str, line: dict[str, object], level: str
    ) -> None:
        """Have a line written whose own fields are plain and free to use."""
        if self.closed:
            return
        line["message_type"] = MESSAGE_TYPE
        line["level"] = level
        line["part"] = part
        line["process"] = self.process
        line["message"] = f"{part}: {sentence}"
        line["timestamp"] = time.time()
        self.waiting.append(line)
        is_immediate = LEVELS.get(level, IMMEDIATE_LEVEL) >= IMMEDIATE_LEVEL
        if is_immediate or len(self.waiting) >= MAX_WAITING_LINES:
            self.flush()
        elif self.timer is None:
            self._flush_later()

    def flush(self) -> None:
        """Write what waits, in the order in which it was said."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting, self.waiting = self.waiting, []
        for line in waiting:
            line["task_uuid"] = f"{self.task_prefix}{next(self.serial):012x}"
            line["task_level"] = [1]
            self.logger.write(line)
        lines, self.buffer.lines = self.buffer.lines, []
        if lines:
            self._write_out("".join(lines))
        if self.dropped_lines and self._is_writable():
            dropped_lines, self.dropped_lines = self.dropped_lines, 0
            self.say(Part.PROCESS, "log lines were dropped", {"lines": dropped_lines})

    def close(self) -> None:
        """Write the rest, then no more, and close a file that this has opened."""
        if self.closed:
            return
        self.closed = True
        logging.getLogger().removeHandler(self.handler)
        self.flush()
        eliot.remove_destination(self.destination)
        if self.owns_stream:
            self.stream.close()

    def _flush_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self.timer = loop.call_later(WRITE_DELAY_SECONDS, self.flush)

    def _write_out(self, text: str) -> None:
        lines = text.splitlines(keepends=True)
        try:
            while lines and self._is_writable():
                chunk = _take_chunk(lines)
                self.stream.write(chunk)
                self.stream.flush()
        except (OSError, ValueError):
            # A full or closed destination must not end the process that serves.
            return
        # A reader that has stopped costs lines, not the time of callers.
        self.dropped_lines += len(lines)

    def _is_writable(self) -> bool:
        """Return whether a piece can be written without waiting."""
        try:
            descriptor = self.stream.fileno()
        except (OSError, ValueError):
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return bool(poll.poll(0))


def _take_chunk(lines: list[str]) -> str:
    """Take lines off the front that a pipe which is writable takes at once."""
    chunk = lines.pop(0)
    size = len(chunk)
    while lines and size + len(lines[0]) <= select.PIPE_BUF:
        size += len(lines[0])
        chunk += lines.pop(0)
    return chunk


class LineBuffer:
    """Takes encoded lines from eliot, which flushes after each, for one write."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, text: str | bytes) -> None:
        """Take a line; bytes are refused as a text file's would be."""
        if isinstance(text, bytes):
            raise TypeError("lines are text")
        self.lines.append(text)

    def flush(self) -> None:
        """Do nothing: the whole batch is written at once."""


def open_logs(settings: LogSettings, process: str) -> Logs:
    """Start the log of a process.

    :raises SettingsError: if its file can't be opened.
    """
    return Logs(settings, process)


def _open_destination(destination: str) -> tuple[TextIO, bool]:
    if destination == "stdout":
        return sys.stdout, False
    if destination == "stderr":
        return sys.stderr, False
    try:
        return open(destination, "a", encoding="utf-8"), True
    except OSError as error:
        raise SettingsError(
            f"[logs] destination = {destination}: {error.strerror}",
            "Give stdout, stderr or the path of a file that can be written.",
        ) from error


class LibraryHandler(logging.Handler):
    """Writes what libraries and the HTTP edges log as lines of their parts."""

    def __init__(self, logs: Logs) -> None:
        super().__init__(logging.WARNING)
        self.logs = logs

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        part = "http" if record.name.startswith("cactuswalk.") else "library"
        line: dict[str, object] = {"logger": record.name}
        self.logs.enqueue(part, self.format(record), line, record.levelname.lower())


def _to_json_value(value: object) -> object:
    """Return a value that JSON can hold; a log line must not fail its caller."""
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return str(value)
    if value is None or isinstance(value, (str, int, float)):
        return value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {str(key): _to_json_value(inner) for key, inner in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_to_json_value(inner) for inner in value]
    return str(value)
