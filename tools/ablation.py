"""What each decision is worth: ``make ablation`` takes one away at a time.

Each mechanism is switched off by a change of the source in a copy of it, so that the
product has no switches for this. The same arrivals are played with it and without,
on the virtual clock; the table shows the difference of worth on time, in hundredths.

With ``--copy NAME DIRECTORY`` a copy of the checkout's sources without one mechanism
is left in a directory, to be played by other means.
"""

import os
import shutil
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec

from tools.sourcechange import ROOT, SourceChange

__all__ = ["MECHANISMS", "main"]

DISPATCH = "src/cactuswalk/dispatch"

# Below this many hundredths a difference of two means of five seeds is chance.
CHANCE = 1.0


MECHANISMS = [
    SourceChange(
        "room kept for the most urgent kind",
        f"{DISPATCH}/placement.py",
        "RESERVED_SHARE = 0.1",
        "RESERVED_SHARE = 0.0",
    ),
    SourceChange(
        "refusal when the latest start has passed",
        f"{DISPATCH}/ordering.py",
        "QUEUEING_SLACK_SHARE = 0.4",
        "QUEUEING_SLACK_SHARE = 50.0",
    ),
    SourceChange(
        "priorities in the order of serving",
        f"{DISPATCH}/ordering.py",
        "job.queue.priority,\n            not job.has_started,",
        "not job.has_started,",
    ),
    SourceChange(
        "jobs that have begun go first",
        f"{DISPATCH}/ordering.py",
        "not job.has_started,\n            job.queue.name in over_share,",
        "job.queue.name in over_share,",
    ),
    SourceChange(
        "trial of a worker that fails",
        f"{DISPATCH}/soundness.py",
        "FAILURES_BEFORE_TRIAL = 3",
        "FAILURES_BEFORE_TRIAL = 1_000_000",
    ),
    SourceChange(
        "the last attempt only where it is trusted",
        f"{DISPATCH}/placement.py",
        "if not task.failures or",
        "if True or not task.failures or",
    ),
    SourceChange(
        "tasks given back by a worker that drags",
        f"{DISPATCH}/soundness.py",
        "SLOWDOWN_FACTOR = 3.0",
        "SLOWDOWN_FACTOR = 1e9",
    ),
    SourceChange(
        "few tasks for a slow worker",
        f"{DISPATCH}/placement.py",
        "if view.report.pace > self.slow_pace and",
        "if False and",
    ),
    SourceChange(
        "faster workers first",
        f"{DISPATCH}/costs.py",
        "cost = pace",
        "cost = 1.0",
    ),
    SourceChange(
        "emptier workers first",
        f"{DISPATCH}/costs.py",
        "FULL_WORKER_WEIGHT = 0.4",
        "FULL_WORKER_WEIGHT = 1e6",
    ),
    SourceChange(
        "workers of the own data centre first",
        f"{DISPATCH}/costs.py",
        "REMOTE_FACTOR = 1.3",
        "REMOTE_FACTOR = 1.0",
    ),
    SourceChange(
        "tasks that stand still are stopped",
        f"{DISPATCH}/agentprogress.py",
        "STALL_SECONDS = 0.6",
        "STALL_SECONDS = 1e9",
    ),
    SourceChange(
        "a pause after a decline",
        f"{DISPATCH}/agentview.py",
        "DECLINED_PAUSE_SECONDS = 0.03",
        "DECLINED_PAUSE_SECONDS = 0.0",
    ),
    SourceChange(
        "a check of starts without an answer",
        f"{DISPATCH}/agentcalls.py",
        "if held.state is not HeldState.STARTING:\n        request_stop",
        "if True:\n        held.state = HeldState.UNCONFIRMED\n        request_stop",
    ),
    SourceChange(
        "a check after an unconfirmed start was stopped",
        f"{DISPATCH}/agentcalls.py",
        "state.check_requested |= held.state is HeldState.UNCONFIRMED",
        "pass",
    ),
    SourceChange(
        "short looks after one without an answer",
        f"{DISPATCH}/agentlooks.py",
        "SHORT_POLLS_SECONDS = 1.0",
        "SHORT_POLLS_SECONDS = 0.0",
    ),
    SourceChange(
        "calls given up after 30 ms, not 50",
        f"{DISPATCH}/bounds.py",
        "CALL_TIMEOUT_SECONDS = 0.03",
        "CALL_TIMEOUT_SECONDS = 0.05",
    ),
    SourceChange(
        "estimates that begin with the first declaration",
        f"{DISPATCH}/entryjobs.py",
        "DurationEstimate.for_uniform_tasks(declared_ms)",
        "DurationEstimate()",
    ),
    SourceChange(
        "estimates that learn from ends",
        f"{DISPATCH}/entryplacing.py",
        "    state.estimates[job.queue.name].observe(task.step.estimate_ms, longest)\n",
        "",
    ),
]


def played(mechanism: SourceChange | None, seeds: int) -> dict[str, list[float]]:
    """Return the worth on time by pattern and seed, without a mechanism."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        shutil.copytree(ROOT / "src", directory / "src")
        if mechanism is not None:
            mechanism.apply(directory)
        command = [sys.executable, "-m", "tools.ablation_play", "--seeds", str(seeds)]
        environment = os.environ | {"PYTHONPATH": f"{directory / 'src'}:{ROOT}"}
        done = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, check=True
        )
    return msgspec.json.decode(done.stdout)


def difference(with_it: list[float], without: list[float]) -> str:
    """Return what a mechanism adds, in hundredths, with the spread of the seeds."""
    pairs = zip(with_it, without, strict=True)
    gains = [100 * (one - other) for one, other in pairs]
    mean = statistics.mean(gains)
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    shown = f"{mean:+.1f} ± {spread:.1f}"
    return f"**{shown}**" if abs(mean) >= max(CHANCE, spread) else shown


def find(name: str) -> SourceChange:
    """Return a mechanism by its name."""
    for mechanism in MECHANISMS:
        if mechanism.name == name:
            return mechanism
    names = ", ".join(mechanism.name for mechanism in MECHANISMS)
    raise click.BadParameter(f"no mechanism '{name}'; choose one of: {names}")


@click.command()
@click.option("--seeds", default=5, show_default=True, help="Plays of each pattern.")
@click.option("--parallel", default=3, show_default=True, help="Processes at a time.")
@click.option(
    "--copy",
    nargs=2,
    metavar="NAME DIRECTORY",
    help="Only take a mechanism away from the sources below a directory.",
)
def main(seeds: int, parallel: int, copy: tuple[str, str] | None) -> None:
    """Print what each decision adds to the worth on time."""
    if copy:
        find(copy[0]).apply(Path(copy[1]))
        return
    with ThreadPoolExecutor(parallel) as pool:
        results = list(pool.map(lambda one: played(one, seeds), [None, *MECHANISMS]))
    whole, *others = results
    click.echo("| taken away | " + " | ".join(whole) + " |")
    click.echo("|---|" + "---|" * len(whole))
    means = [f"{100 * statistics.mean(shares):.1f}" for shares in whole.values()]
    click.echo("| (nothing) | " + " | ".join(means) + " |")
    for mechanism, result in zip(MECHANISMS, others, strict=True):
        cells = [difference(whole[name], result[name]) for name in whole]
        click.echo(f"| {mechanism.name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
