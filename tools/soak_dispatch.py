"""Random days of dispatch entries, agents and workers on a virtual clock.

Prints each seed that violates a guarantee, with its faults, and then exits with
status 1. A day of 12 s takes about half a second of processor time.
"""

import collections
import sys

import click

from features.support.fleetscript import RandomDay
from features.support.fleetsearch import SearchDay
from features.support.searchmixes import MIXES

__all__ = ["main"]

DAY_SECONDS = 12


@click.command()
@click.option("--first", default=1000, show_default=True, help="First seed.")
@click.option("--days", default=100, show_default=True, help="Seeds to play.")
@click.option("--entries", default=3, show_default=True, help="Entries.")
@click.option("--workers", default=5, show_default=True, help="Workers.")
@click.option(
    "--centres",
    default=0,
    help="Data centres; by default each entry has its own.",
)
@click.option(
    "--mix",
    type=click.Choice(list(MIXES)),
    help="Search with this mix of faults; by default the standard faults.",
)
@click.option(
    "--seconds", default=DAY_SECONDS, show_default=True, help="A day's length."
)
def main(
    first: int,
    days: int,
    entries: int,
    workers: int,
    centres: int,
    mix: str | None,
    seconds: int,
) -> None:
    """Play days with consecutive seeds; a seed repeats its day exactly."""
    violated_days = 0
    causes = collections.Counter()
    for seed in range(first, first + days):
        if mix is None:
            day = RandomDay(seed, entries, workers, centres or None)
        else:
            day = SearchDay(seed, mix, entries, workers, centres or None)
        day.play(seconds)
        if mix is not None:
            causes.update(day.causes())
        if day.is_broken():
            violated_days += 1
            click.echo(f"seed {seed}: {day.summary()}")
    for cause, overlaps in causes.most_common():
        click.echo(f"{overlaps} overlaps: {cause}")
    click.echo(f"{days} days, {violated_days} with a guarantee violated")
    sys.exit(1 if violated_days else 0)


if __name__ == "__main__":
    main()
