"""Markdown tables and histograms that the tools print and write."""

from pathlib import Path

from hdrh.histogram import HdrHistogram

__all__ = ["ROOT", "Histogram", "replace_block", "table"]

ROOT = Path(__file__).resolve().parent.parent

# Values are kept in thousandths, from one thousandth to an hour of seconds,
# with three significant digits.
SCALE = 1000
HIGHEST = 3600 * SCALE
DIGITS = 3

# Markdown takes a rule of fewer dashes for text.
NARROWEST = 3


class Histogram:
    """Positive numbers with three significant digits, in fixed memory."""

    __slots__ = ("inner",)

    def __init__(self) -> None:
        self.inner = HdrHistogram(1, HIGHEST, DIGITS)

    def add(self, value: float) -> None:
        """Record a value; one beyond the range counts as its end."""
        self.inner.record_value(min(HIGHEST, max(1, round(value * SCALE))))

    def at(self, percentile: float) -> float:
        """Return the value at a percentile, 0 for an empty histogram."""
        return self.inner.get_value_at_percentile(percentile) / SCALE

    @property
    def count(self) -> int:
        """Return how many values were recorded."""
        return self.inner.get_total_count()


def table(headers: list[str], rows: list[list[object]]) -> str:
    """Return a Markdown table; columns of numbers are set to the right."""
    texts = [[_text(cell) for cell in row] for row in rows]
    columns = list(zip(headers, *texts, strict=True))
    widths = [max(NARROWEST, *map(len, column)) for column in columns]
    right = [
        bool(rows) and all(isinstance(row[i], int | float) for row in rows)
        for i in range(len(headers))
    ]
    rule = [
        "-" * (width - 1) + (":" if number else "-")
        for width, number in zip(widths, right, strict=True)
    ]
    lines = [_line(headers, widths, right), _line(rule, widths, right)]
    lines.extend(_line(text, widths, right) for text in texts)
    return "\n".join(lines)


def replace_block(path: Path, name: str, text: str) -> None:
    """Put text between the markers of that name in a page.

    Tables that a tool writes stand among prose that people write; only what is
    between ``<!-- name -->`` and ``<!-- /name -->`` is replaced.
    """
    page = path.read_text(encoding="utf-8")
    opening, closing = f"<!-- {name} -->", f"<!-- /{name} -->"
    head, found, rest = page.partition(opening)
    _, closed, tail = rest.partition(closing)
    if not found or not closed:
        raise ValueError(f"{path.name} has no markers named {name}")
    path.write_text(
        f"{head}{opening}\n\n{text}\n\n{closing}{tail}",
        encoding="utf-8",
    )


def _text(cell: object) -> str:
    if not isinstance(cell, float):
        return str(cell)
    return f"{cell:.0f}" if abs(cell) >= 1000 else f"{cell:.3g}"


def _line(cells: list[str], widths: list[int], right: list[bool]) -> str:
    padded = [
        cell.rjust(width) if number else cell.ljust(width)
        for cell, width, number in zip(cells, widths, right, strict=True)
    ]
    return f"| {' | '.join(padded)} |"
