"""Long randomised runs of the reducers: ``make soak``.

Prints the seed first, so that a run can be repeated, and at the end the number of
scripts and of faults of each kind. If a script violates a guarantee, its minimised
form is printed and the exit status is 1.
"""

import collections
import secrets
import sys
import time

import click

from features.support.cellscript import CELL_SCRIPTS, play_cells
from features.support.runs import run_scripts
from features.support.script import SCRIPTS, play
from features.support.targeted import TARGETED, play_targeted

# Scripts per kind between two checks of the time limit.
BATCH_SCRIPTS = 200


class Tally:
    """Counts of the scripts, steps and outcomes so far."""

    def __init__(self) -> None:
        self.scripts = 0
        self.steps: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()

    def add(self, played) -> None:
        """Add the counts of one finished script."""
        self.scripts += 1
        self.steps.update(played.counts)
        for submission in played.bag.handed.values():
            if submission.reply is not None:
                self.outcomes[str(submission.reply.outcome)] += 1

    def format_lines(self) -> str:
        """Return the counts as lines of text."""
        steps = ", ".join(f"{name} {count}" for name, count in self.steps.items())
        outcomes = ", ".join(f"{name} {count}" for name, count in self.outcomes.items())
        return f"scripts {self.scripts}\nsteps: {steps}\ncallers were told: {outcomes}"


@click.command()
@click.option("--seconds", default=3600.0, show_default=True, help="How long to run.")
@click.option("--seed", type=int, default=None, help="Repeat a run by its seed.")
def main(seconds: float, seed: int | None) -> None:
    """Run random scripts of submissions and faults until time is up."""
    seed = secrets.randbits(32) if seed is None else seed
    click.echo(f"seed {seed}")
    tally, end = Tally(), time.monotonic() + seconds
    try:
        while time.monotonic() < end:
            run_scripts(SCRIPTS, play, seed, BATCH_SCRIPTS, tally.add)
            run_scripts(TARGETED, play_targeted, seed, BATCH_SCRIPTS, tally.add)
            run_scripts(CELL_SCRIPTS, play_cells, seed, BATCH_SCRIPTS, tally.add)
            seed += 1
    except Exception as error:
        click.echo(f"failed at seed {seed}: {error}\n{tally.format_lines()}")
        for note in getattr(error, "__notes__", []):
            click.echo(note)
        sys.exit(1)
    click.echo(f"{tally.format_lines()}\nviolations 0")


if __name__ == "__main__":
    main()
