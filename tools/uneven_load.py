"""What a setting changes under the load of uneven workers and demand.

The fixture's arrivals (features/support/unevenload.py) are played with the setting off
and on, for each rate and seed, and to the model of ``tools.ideal_queue``.

    python -m tools.uneven_load --rate 0.8 --rate 1.0 --seed 1 --seed 2
"""

import click

from cactuswalk.dispatch.loadpolicy import LoadPolicy
from features.support.unevenload import KINDS, Play
from tools.ideal_queue import shares_of_model

__all__ = ["main"]

SECONDS = 15.0
POLICIES = {"off": LoadPolicy(), "on": LoadPolicy(places_by_end=True)}


def row_of(rate: float, name: str, plays: list[Play]) -> str:
    """Return a line of the table: means over the seeds."""
    cells = [
        sum(play.on_time for play in plays),
        *(sum(play.shares[kind] for play in plays) for kind in KINDS),
        sum(play.worth for play in plays),
    ]
    parts = " | ".join(f"{cell / len(plays):.3f}" for cell in cells)
    kilobytes = sum(play.bytes_far for play in plays) / len(plays) / 1000
    return f"| {rate} | {name} | {parts} | {kilobytes:.0f} |"


def model_row(rate: float, plays: list[Play]) -> str:
    """Return the line of the best order with full knowledge, for the same arrivals."""
    total = 0.0
    for play in plays:
        shares = shares_of_model(play.fleet, play.load)
        counts = {kind: len(jobs) for kind, jobs in play.load.by_kind.items()}
        served = sum(shares[kind] * counts[kind] for kind in KINDS)
        total += served / sum(counts.values())
    return f"| {rate} | model | {total / len(plays):.3f} |" + " |" * (len(KINDS) + 2)


@click.command()
@click.option("--rate", "rates", type=float, multiple=True, default=(0.65, 0.8, 1, 1.2))
@click.option("--seed", "seeds", type=int, multiple=True, default=(1, 2))
def main(rates: tuple[float, ...], seeds: tuple[int, ...]) -> None:
    """Print a line for each rate and setting, and for the model."""
    click.echo(f"| load | setting | on time | {' | '.join(KINDS)} | work | kB far |")
    click.echo("|---" * (len(KINDS) + 5) + "|")
    for rate in rates:
        for name, policy in POLICIES.items():
            plays = [Play(seed, policy, rate, SECONDS) for seed in seeds]
            click.echo(row_of(rate, name, plays))
        click.echo(model_row(rate, plays))


if __name__ == "__main__":
    main()
