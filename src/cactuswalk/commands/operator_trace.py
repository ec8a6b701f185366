"""``cactuswalk trace``: the story of one job from the logs of many processes."""

import json
from collections.abc import Iterator
from datetime import UTC, datetime

import click
import msgspec

from cactuswalk.commands.operator_context import reports_errors
from cactuswalk.errors import CactuswalkError
from cactuswalk.logfields import LINE_FIELDS

__all__ = ["trace"]

# Fields that each line has, whatever it tells.
COMMON_FIELDS = LINE_FIELDS | {"job"}


class NotTracedError(CactuswalkError):
    """No line of the logs tells of the job."""

    code = "not_found"
    exit_code = 3


class TracedLine(msgspec.Struct):
    """A log line about the job."""

    at: float
    process: str
    message: str
    fields: dict[str, object]

    def show(self) -> str:
        """Return the line as a person reads it."""
        time = datetime.fromtimestamp(self.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        told = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{time}  {self.process:<24} {self.message}  {told}".rstrip()


@click.command()
@click.argument("job")
@click.option(
    "--log",
    "logs",
    multiple=True,
    required=True,
    type=click.File("r", encoding="utf-8", errors="replace"),
    metavar="FILE",
    help="Log of a process; give it again for more, and - for standard input.",
)
@reports_errors
def trace(job, logs):
    """Tell the story of a JOB in order, each step with its reason.

    Reads the logs of entries and agents; needs no process to be running. Lines
    that are no log lines are passed over. docs/OPERATIONS.md shows how to read it.

    Example: cactuswalk trace 5c0e7a21d94b36f8 --log entry.log --log agent.log
    """
    lines = [line for log in logs for line in _lines_about(job, log)]
    if not lines:
        raise NotTracedError(
            f"no line tells of the job {job!r}",
            "Give the logs of all entries: one of them has answered it.",
        )
    for line in sorted(lines, key=lambda line: line.at):
        click.echo(line.show())


def _lines_about(job: str, log) -> Iterator[TracedLine]:
    for text in log:
        start = text.find("{")
        if start < 0 or job not in text:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # Another program's line, or one that was cut off by a kill.
            continue
        if not isinstance(line, dict) or line.get("job") != job:
            continue
        fields = {name: line[name] for name in line if name not in COMMON_FIELDS}
        yield TracedLine(
            line.get("timestamp", 0.0),
            line.get("process", ""),
            line.get("message", ""),
            fields,
        )
