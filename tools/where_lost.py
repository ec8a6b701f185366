"""Where answers lost their use: jobs that were late, refused or given up, from logs.

Reads the log lines of entries, each alone or after a time and a process's name, and
prints a table: by kind of loss and reason, and by when the jobs were answered.

    python -m tools.where_lost day.log --window 2
"""

import collections
import re
from collections.abc import Iterator
from pathlib import Path

import click
import msgspec

__all__ = ["main"]

LINE = re.compile(r"^\s*(?:(-?\d+\.\d+)\s+\S+\s+)?(\{.*\})\s*$")
ANSWERED = "entry: a job is answered"
REFUSED = "entry: refuses a job"

# A last task that was placed later than this part of what its job could spare had
# waited for room; run times are known to 40%, so less than that tells nothing.
WAITED_PART = 0.4

# A job is on time within this many times its own run time (the users' figure). An
# entry reckons with what it expected; by what the last task ran it may have had more.
STRETCH = 1.6

# A last task that ran for so many times what was expected ran on a slow worker: far
# more than declarations are off.
SLOW_FACTOR = 3.0


class Line(msgspec.Struct):
    """What a log line says of a job's answer, as the entry writes it."""

    message: str
    timestamp: float
    queue: str = ""
    verdict: str = "not_run"
    reason: str = ""
    took: float = 0.0
    aim: float = 0.0
    expected: float = 0.0
    lost: int = 0
    workers: int = -1
    open_workers: int = -1
    last_placed: float = 0.0
    last_ran: float = 0.0
    last_run: int = 1


_decoder = msgspec.json.Decoder(Line)


def read_answers(path: Path) -> Iterator[tuple[float, Line]]:
    """Yield each answer of a log with its time, in seconds."""
    with path.open(errors="replace") as lines:
        for text in lines:
            match = LINE.match(text)
            if match is None:
                continue
            try:
                line = _decoder.decode(match[2])
            except msgspec.MsgspecError:
                # A line that was cut when its process was killed.
                continue
            if line.message in (ANSWERED, REFUSED):
                yield float(match[1] or line.timestamp), line


def judge(line: Line) -> tuple[str, str]:
    """Return what became of a job, and why."""
    if line.verdict == "completed":
        return _judge_completed(line)
    if line.verdict == "not_run":
        return "refused", _why_refused(line)
    return line.verdict, line.reason


def _judge_completed(line: Line) -> tuple[str, str]:
    if line.took <= line.aim:
        return "on time", ""
    own_aim = line.aim + STRETCH * (line.last_ran - line.expected)
    if line.last_ran > SLOW_FACTOR * line.expected:
        return "late", "its last task ran far longer than expected"
    if line.took <= own_aim:
        return "on time", "by its own run time, longer than expected"
    return "late", _why_late(line)


def _why_late(line: Line) -> str:
    if line.last_run > 1 or line.lost:
        return "a run of it was lost or failed"
    if line.last_placed > WAITED_PART * (line.aim - line.expected):
        return "it waited for room"
    return "by little"


def _why_refused(line: Line) -> str:
    if line.workers == 0:
        return "no worker was known"
    if line.open_workers == 0:
        return "no worker was open"
    return line.reason


@click.command()
@click.argument("log", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--window", default=2.0, show_default=True, help="Seconds of a row.")
def main(log: Path, window: float) -> None:
    """Print where the answers of a log lost their use."""
    reasons = collections.Counter()
    windows: dict[float, collections.Counter] = {}
    for at, line in read_answers(log):
        verdict, reason = judge(line)
        reasons[verdict, line.queue, reason] += 1
        row = windows.setdefault(at // window * window, collections.Counter())
        row[verdict] += 1
    click.echo("| jobs | became | queue | why |\n|---|---|---|---|")
    for (verdict, queue, reason), count in reasons.most_common():
        click.echo(f"| {count} | {verdict} | {queue} | {reason} |")
    verdicts = sorted({verdict for row in windows.values() for verdict in row})
    click.echo("\n| from second | " + " | ".join(verdicts) + " |")
    click.echo("|---|" + "---|" * len(verdicts))
    for start, row in sorted(windows.items()):
        if set(row) != {"on time"}:
            cells = " | ".join(str(row[verdict]) for verdict in verdicts)
            click.echo(f"| {start:.0f} | {cells} |")


if __name__ == "__main__":
    main()
