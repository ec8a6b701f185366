"""Random days of dispatch entries, agents and workers on a virtual clock.

Prints each seed that violates a guarantee, with its faults, and then exits with
status 1. A day of 12 s takes about half a second of processor time.
"""

import sys

import click

from features.support.fleetscript import RandomDay

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
def main(first: int, days: int, entries: int, workers: int, centres: int) -> None:
    """Play days with consecutive seeds; a seed repeats its day exactly."""
    violated_days = 0
    for seed in range(first, first + days):
        day = RandomDay(seed, entries, workers, centres or None)
        day.play(DAY_SECONDS)
        if day.is_broken():
            violated_days += 1
            click.echo(f"seed {seed}: {day.summary()}")
    click.echo(f"{days} days, {violated_days} with a guarantee violated")
    sys.exit(1 if violated_days else 0)


if __name__ == "__main__":
    main()
