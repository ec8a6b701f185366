"""``cactuswalk trace``: the events of one job, from the logs of all processes."""

import json
from collections.abc import Iterator
from datetime import UTC, datetime

import click
import msgspec

from cactuswalk.commands.operator_context import handle_errors
from cactuswalk.errors import CactuswalkError
from cactuswalk.logfields import LINE_FIELDS

__all__ = ["trace"]

# Fields of every log line, which are not shown as details.
COMMON_FIELDS = LINE_FIELDS | {"job"}


class JobNotFoundError(CactuswalkError):
    """No line of the logs contains the job."""

    code = "not_found"
    exit_code = 3


class TracedLine(msgspec.Struct):
    """A log line about the job."""

    at: float
    process: str
    message: str
    fields: dict[str, object]

    def show(self) -> str:
        """Return the line in a readable format."""
        time = datetime.fromtimestamp(self.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{time}  {self.process:<24} {self.message}  {details}".rstrip()


@click.command()
@click.argument("job")
@click.option(
    "--log",
    "logs",
    multiple=True,
    required=True,
    type=click.File("r", encoding="utf-8", errors="replace"),
    metavar="FILE",
    help="Log of a process; repeat it for more; - for standard input.",
)
@handle_errors
def trace(job, logs):
    """Show the events of a JOB in order, each with its reason.

    Reads the logs of entries and agents; no process has to be running. Lines that
    are not log lines are skipped. docs/OPERATIONS.md explains the output.

    Example: cactuswalk trace 5c0e7a21d94b36f8 --log entry.log --log agent.log
    """
    lines = [line for log in logs for line in _read_job_lines(job, log)]
    if not lines:
        raise JobNotFoundError(
            f"no log line contains the job {job!r}",
            "Give the logs of all entries, one of which has answered the job.",
        )
    for line in sorted(lines, key=lambda line: line.at):
        click.echo(line.show())


def _read_job_lines(job: str, log) -> Iterator[TracedLine]:
    for text in log:
        start = text.find("{")
        if start < 0 or job not in text:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A line of another program, or one truncated when the process was killed.
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
