"""Play the load patterns of the ablation once, and print what was on time as JSON.

    python -m tools.ablation_play --seeds 5

Run as a process of its own, so that it plays the sources on its path.
"""

from collections.abc import Callable

import click
import msgspec

from features.support.fleetload import KINDS, WORTH, Load, users_fleet

__all__ = ["PATTERNS", "main"]

FIRST_SEED = 3
SECONDS = 6
# The longest jobs that come last have ended by then.
AFTER_SECONDS = 12


class Pattern(msgspec.Struct):
    """Arrivals at a rate, on a fleet with a fault.

    :param rate: times the usual load.
    """

    rate: float
    harm: Callable


def nothing(workers) -> None:
    """Leave all workers well."""


def fails(workers) -> None:
    """Let one worker fail whatever it starts."""
    workers[3].fails = True


def slow(workers) -> None:
    """Let two workers be seven times slower."""
    for worker in workers[1:3]:
        worker.pace = 7.0


def rather_slow(workers) -> None:
    """Let two workers be 2.6 times slower: not enough to be noticed as dragging."""
    for worker in workers[1:3]:
        worker.pace = 2.6


def stalls(workers) -> None:
    """Let one worker begin everything and finish nothing."""
    workers[5].stalls = True


def late(workers) -> None:
    """Let all workers carry out 6% of the calls four seconds late."""
    for worker in workers:
        worker.unanswered_share, worker.late = 0.06, 4.0


def mute(workers) -> None:
    """Let five workers lose 14% of their answers."""
    for worker in workers[:5]:
        worker.unconfirmed_share = 0.14


PATTERNS = {
    "usual": Pattern(1.0, nothing),
    "1.6 times": Pattern(1.6, nothing),
    "2.0 times": Pattern(2.0, nothing),
    "one fails all": Pattern(1.3, fails),
    "two slow": Pattern(1.0, slow),
    "two rather slow": Pattern(1.0, rather_slow),
    "one stalls": Pattern(1.0, stalls),
    "calls late": Pattern(1.0, late),
    "answers lost": Pattern(1.0, mute),
}


def play(pattern: Pattern, seed: int) -> float:
    """Return the worth that was on time, of all worth that was asked for."""
    fleet = users_fleet(seed)
    pattern.harm(list(fleet.workers.values()))
    load = Load(fleet, pattern.rate, SECONDS, seed)
    fleet.run(SECONDS + AFTER_SECONDS)
    counts = load.counts()
    earned = sum(WORTH[kind] * counts[kind][0] for kind in KINDS)
    return earned / sum(WORTH[kind] * counts[kind][1] for kind in KINDS)


@click.command()
@click.option("--seeds", default=5, show_default=True, help="Plays of each pattern.")
def main(seeds: int) -> None:
    """Print, for each pattern, the worth on time by seed."""
    shares = {
        name: [round(play(pattern, FIRST_SEED + n), 4) for n in range(seeds)]
        for name, pattern in PATTERNS.items()
    }
    click.echo(msgspec.json.encode(shares))


if __name__ == "__main__":
    main()
