"""Long runs of racing swaps against the key-value stand-in under random faults.

The races are those of ``features/platform_swap.feature``, in virtual time, with
actions drawn from a seed that is printed::

    python -m tools.soak_platform --seconds 600 --seed 7

The last lines count actions, races, outcomes and violations. Each violation is
printed with its actions, and the exit status is then 1.
"""

import collections
import random
import sys
import time

import click

from cactuswalk.platform.keyvalue import KeyValueStore
from features.platform_race import ACTIONS, run_race

__all__ = ["main"]

# Long enough for three faults to overlap, short enough to read.
MAX_RACE_ACTIONS = 40


def draw_actions(generator: random.Random) -> list[tuple[str, int]]:
    """Return the actions of one random race."""
    length = generator.randint(1, MAX_RACE_ACTIONS)
    return [(generator.choice(ACTIONS), generator.randint(0, 2)) for _ in range(length)]


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="How long to run.")
@click.option("--seed", default=0, show_default=True, help="0 draws one.")
def main(seconds: float, seed: int) -> None:
    """Run races until time is up, and print the counts."""
    seed = seed or random.SystemRandom().getrandbits(32)
    generator = random.Random(seed)
    counts: collections.Counter[str] = collections.Counter()
    action_counts: collections.Counter[str] = collections.Counter()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        actions = draw_actions(generator)
        counts["races"] += 1
        action_counts.update(action for action, _ in actions)
        try:
            swaps = run_race(KeyValueStore, actions)
        except AssertionError as error:
            counts["violations"] += 1
            click.echo(f"violation: {error}\n  actions: {actions}")
            continue
        counts.update(swap.outcome.value for swap in swaps.values())
    names = ("races", "applied", "lost", "unknown", "violations")
    click.echo(
        "actions: "
        + ", ".join(f"{name} {n}" for name, n in sorted(action_counts.items()))
    )
    summary = ", ".join(f"{name} {counts[name]}" for name in names)
    click.echo(f"seed {seed}: {summary}")
    sys.exit(1 if counts["violations"] else 0)


if __name__ == "__main__":
    main()
