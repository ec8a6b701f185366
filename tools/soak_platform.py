"""Race swaps against the key-value stand-in under random faults, for long.

The races are those of ``features/platform_swap.feature``, in virtual time, with
acts drawn from a printed seed::

    python -m tools.soak_platform --seconds 600 --seed 7

The last line counts races, acts, what was told, and violations; the exit status
is 1 if there was one, and each is printed with its acts.
"""

import collections
import random
import sys
import time

import click

from cactuswalk.platform.keyvalue import KeyValueStore
from features.platform_race import ACTIONS, run_race

__all__ = ["main"]

# Long enough for three faults to overlap, short enough to be read.
LONGEST_RACE = 40


def draw(generator: random.Random) -> list[tuple[str, int]]:
    """Return the acts of one race."""
    length = generator.randint(1, LONGEST_RACE)
    return [(generator.choice(ACTIONS), generator.randint(0, 2)) for _ in range(length)]


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="How long to run.")
@click.option("--seed", default=0, show_default=True, help="0 draws one.")
def main(seconds: float, seed: int) -> None:
    """Run races until the time is over, and count."""
    seed = seed or random.SystemRandom().getrandbits(32)
    generator = random.Random(seed)
    counts: collections.Counter[str] = collections.Counter()
    acted: collections.Counter[str] = collections.Counter()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        acts = draw(generator)
        counts["races"] += 1
        acted.update(act for act, _ in acts)
        try:
            told = run_race(KeyValueStore, acts)
        except AssertionError as error:
            counts["violations"] += 1
            click.echo(f"violation: {error}\n  acts: {acts}")
            continue
        counts.update(swapped.outcome.value for swapped in told.values())
    names = ("races", "applied", "lost", "unknown", "violations")
    click.echo("acts: " + ", ".join(f"{name} {n}" for name, n in sorted(acted.items())))
    summary = ", ".join(f"{name} {counts[name]}" for name in names)
    click.echo(f"seed {seed}: {summary}")
    sys.exit(1 if counts["violations"] else 0)


if __name__ == "__main__":
    main()
