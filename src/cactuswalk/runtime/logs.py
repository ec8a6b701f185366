"""Logs in eliot's format: JSON lines, each with a short message prefixed by its part.

{"level": "info", "message": "owner: task 3 of a/b starts on w7: most free
slots", "part": "owner", "worker": "w7", ...}

Lines are created where a decision is made, and encoded and written together some
milliseconds later, so that callers don't wait for them.
"""

import asyncio
import itertools
import logging
import select
import sys
import time
import uuid
from typing import Protocol, TextIO

from cactuswalk.errors import SettingsError
from cactuswalk.logfields import LINE_FIELDS
from cactuswalk.observations import Log, Part
from cactuswalk.settings.shared import LogSettings

__all__ = ["Logs", "open_logs"]

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}

MESSAGE_TYPE = "cactuswalk"


# The encoders accept 64-bit integers; a larger one would lose the whole line.
MAX_INTEGER = (1 << 63) - 1

# Types of most values, which are written as they are.
PLAIN_TYPES = frozenset((str, float, bool, type(None)))

# How long a line may wait to be written: longer than an empty request takes from end
# to end (3 to 5 ms, docs/measurements/path.md), so that its lines are written after
# its response, and short enough that a killed process loses few lines.
WRITE_DELAY_SECONDS = 0.02

# A job of 140 tasks logs three lines for each of them in one or two iterations of the
# event loop. With more lines, bounded memory matters more than a short iteration.
MAX_WAITING_LINES = 500

# Lines of this level and above are written at once, with all waiting lines before
# them: otherwise they would be lost if the process ends because of the error.
IMMEDIATE_LEVEL = LEVELS["warning"]


class Logs:
    """The log of one process.

    Without a running event loop, each line is written at once.

    :param process: the entry's or the worker's name, a field of every line.
    :param lines: encodes the lines.
    """

    def __init__(
        self, settings: LogSettings, process: str, lines: "EncodedLines"
    ) -> None:
        self.level = LEVELS[settings.level]
        self.process = process
        self.stream, self.owns_stream = _open_destination(settings.destination)
        self.lines = lines
        # A random identifier for each line would cost more than encoding the line.
        self.task_prefix = str(uuid.uuid4())[:24]
        self.serial = itertools.count()
        self.waiting: list[dict[str, object]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        # Lines not written since the last log line about dropped lines.
        self.dropped_lines = 0
        self.handler = LibraryHandler(self)
        logging.getLogger().addHandler(self.handler)

    def write(self, effect: Log, level: str = "info") -> None:
        """Write a ``Log`` effect."""
        self.say(effect.part, effect.sentence, effect.fields, level)

    def say(
        self,
        part: Part,
        sentence: str,
        fields: dict[str, object] | None = None,
        level: str = "info",
    ) -> None:
        """Write a line of a part, with the values that led to the decision."""
        if LEVELS[level] < self.level:
            return
        line = {
            # A field of an effect must not overwrite a field of the line itself.
            f"{name}_" if name in LINE_FIELDS else name: (
                value if type(value) in PLAIN_TYPES else _to_json_value(value)
            )
            for name, value in (fields or {}).items()
        }
        self.enqueue(part.value, sentence, line, level)

    def enqueue(
        self, part: str, sentence: str, line: dict[str, object], level: str
    ) -> None:
        """Queue a line for writing.

        :param line: JSON-compatible fields; the dictionary is modified.
        """
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
        """Write all waiting lines in order."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting, self.waiting = self.waiting, []
        for line in waiting:
            line["task_uuid"] = f"{self.task_prefix}{next(self.serial):012x}"
            line["task_level"] = [1]
            self.lines.add(line)
        lines = self.lines.take()
        if lines:
            self._write_out("".join(lines))
        if self.dropped_lines and self._is_writable():
            dropped_lines, self.dropped_lines = self.dropped_lines, 0
            self.say(Part.PROCESS, "log lines were dropped", {"lines": dropped_lines})

    def encode_with(self, lines: "EncodedLines") -> None:
        """Encode the lines that follow in another way."""
        self.flush()
        self.lines.close()
        self.lines = lines

    def close(self) -> None:
        """Write all waiting lines, stop logging, and close the file opened here."""
        if self.closed:
            return
        self.closed = True
        logging.getLogger().removeHandler(self.handler)
        self.flush()
        self.lines.close()
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
            # A full disk or a closed destination must not end the process.
            return
        # If the reader of a pipe hangs, lines are dropped rather than block callers.
        self.dropped_lines += len(lines)

    def _is_writable(self) -> bool:
        """Return whether a chunk can be written without blocking."""
        try:
            descriptor = self.stream.fileno()
        except (OSError, ValueError):
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return bool(poll.poll(0))


def _take_chunk(lines: list[str]) -> str:
    """Remove and return leading lines that fit into one non-blocking pipe write."""
    chunk = lines.pop(0)
    size = len(chunk)
    while lines and size + len(lines[0]) <= select.PIPE_BUF:
        size += len(lines[0])
        chunk += lines.pop(0)
    return chunk


class EncodedLines(Protocol):
    """Encodes log lines until they are taken."""

    def add(self, line: dict[str, object]) -> None:
        """Encode a line."""

    def take(self) -> list[str]:
        """Return the encoded lines, and collect anew."""

    def close(self) -> None:
        """Release what was registered."""


def open_logs(
    settings: LogSettings, process: str, lines: EncodedLines | None = None
) -> Logs:
    """Open the log of a process.

    :param lines: encodes the lines until others do; by default eliot does.
    :raises SettingsError: if its file can't be opened.
    """
    if lines is None:
        from cactuswalk.runtime.eliotlines import EliotLines

        lines = EliotLines()
    return Logs(settings, process, lines)


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
    """Writes records of the ``logging`` module as lines of "http" or "library"."""

    def __init__(self, logs: Logs) -> None:
        super().__init__(logging.WARNING)
        self.logs = logs

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        part = "http" if record.name.startswith("cactuswalk.") else "library"
        line: dict[str, object] = {"logger": record.name}
        self.logs.enqueue(part, self.format(record), line, record.levelname.lower())


def _to_json_value(value: object) -> object:
    """Convert a value to a JSON-compatible one; logging must not raise."""
    if isinstance(value, int):
        return value if -MAX_INTEGER <= value <= MAX_INTEGER else str(value)
    if value is None or isinstance(value, (str, float)):
        return value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {str(key): _to_json_value(inner) for key, inner in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_to_json_value(inner) for inner in value]
    return str(value)
