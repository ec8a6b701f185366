"""Encoding of log lines with eliot."""

import eliot

__all__ = ["EliotLines"]


class EliotLines:
    """Encodes log lines until they are taken."""

    def __init__(self) -> None:
        self.buffer = LineBuffer()
        self.destination = eliot.FileDestination(file=self.buffer)
        eliot.add_destinations(self.destination)
        self.logger = eliot.Logger()

    def add(self, line: dict[str, object]) -> None:
        """Encode a line."""
        self.logger.write(line)

    def take(self) -> list[str]:
        """Return the encoded lines, and collect anew."""
        lines, self.buffer.lines = self.buffer.lines, []
        return lines

    def close(self) -> None:
        """Stop receiving eliot's lines."""
        eliot.remove_destination(self.destination)


class LineBuffer:
    """File-like buffer of encoded lines; eliot writes and flushes them one by one."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, text: str | bytes) -> None:
        """Append a line; raise TypeError for bytes, as a text file does."""
        if isinstance(text, bytes):
            raise TypeError("log lines must be str, not bytes")
        self.lines.append(text)

    def flush(self) -> None:
        """Do nothing: ``Logs.flush`` writes the buffered lines together."""
