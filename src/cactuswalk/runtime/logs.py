"""Logs by eliot: JSON lines, each a short sentence with a fixed prefix per part.

{"level": "info", "message": "owner: task 3 of a/b starts on w7: most free
slots", "part": "owner", "worker": "w7", ...}
"""

import logging
import sys
from typing import TextIO

import eliot

from cactuswalk.errors import SettingsError
from cactuswalk.settings import LogSettings
from cactuswalk.state.effects import Log, Part

__all__ = ["Logs", "open_logs"]

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}

MESSAGE_TYPE = "cactuswalk"

# Fields that each line has of its own; one of an effect must not replace them.
RESERVED_FIELDS = frozenset(
    {
        "level",
        "message",
        "message_type",
        "part",
        "process",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)

# eliot's encoder takes 64-bit numbers; another one would lose its whole line.
LARGEST_INTEGER = (1 << 63) - 1


class Logs:
    """Where the log of one process goes.

    :param process: the entry's or the worker's name, on every line.
    """

    def __init__(self, settings: LogSettings, process: str) -> None:
        self.level = LEVELS[settings.level]
        self.process = process
        self.stream, self.opened = _open_destination(settings.destination)
        self.destination = eliot.FileDestination(file=self.stream)
        eliot.add_destinations(self.destination)
        self.handler = LibraryHandler(process)
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
        own = {
            f"{name}_" if name in RESERVED_FIELDS else name: _plain(value)
            for name, value in (fields or {}).items()
        }
        eliot.log_message(
            message_type=MESSAGE_TYPE,
            level=level,
            part=part.value,
            process=self.process,
            message=f"{part.value}: {sentence}",
            **own,
        )

    def close(self) -> None:
        """Write no more, and close a file that this has opened."""
        logging.getLogger().removeHandler(self.handler)
        eliot.remove_destination(self.destination)
        self.stream.flush()
        if self.opened:
            self.stream.close()


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
        return open(destination, "a", encoding="utf-8", buffering=1), True
    except OSError as error:
        raise SettingsError(
            f"[logs] destination = {destination}: {error.strerror}",
            "Give stdout, stderr or the path of a file that can be written.",
        ) from error


class LibraryHandler(logging.Handler):
    """Writes what libraries and the HTTP edges log as lines of their parts."""

    def __init__(self, process: str) -> None:
        super().__init__(logging.WARNING)
        self.process = process

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        part = "http" if record.name.startswith("cactuswalk.") else "library"
        eliot.log_message(
            message_type=MESSAGE_TYPE,
            level=record.levelname.lower(),
            part=part,
            process=self.process,
            message=f"{part}: {self.format(record)}",
            logger=record.name,
        )


def _plain(value: object) -> object:
    """Return a value that JSON can hold; a log line must not fail its caller."""
    if isinstance(value, int) and abs(value) > LARGEST_INTEGER:
        return str(value)
    if value is None or isinstance(value, (str, int, float)):
        return value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {str(key): _plain(inner) for key, inner in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_plain(inner) for inner in value]
    return str(value)
