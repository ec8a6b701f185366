"""Encoding of log lines without eliot, in the format that eliot writes.

For the start of the dispatch programs: after a power failure no task runs until they
have loaded, on half a core, and eliot takes a twentieth of that time.
"""

import json

import msgspec

__all__ = ["JsonLines"]


class JsonLines:
    """Encodes log lines until they are taken."""

    def __init__(self) -> None:
        self.encoder = msgspec.json.Encoder()
        self.lines: list[str] = []

    def add(self, line: dict[str, object]) -> None:
        """Encode a line; logging must not raise."""
        try:
            text = self.encoder.encode(line).decode()
        except (TypeError, ValueError):
            # A subclass of a built-in type, or text that isn't Unicode.
            text = json.dumps(line, default=str)
        self.lines.append(f"{text}\n")

    def take(self) -> list[str]:
        """Return the encoded lines, and collect anew."""
        lines, self.lines = self.lines, []
        return lines

    def close(self) -> None:
        """Do nothing: nothing is registered anywhere."""
