"""Days on which some jobs crash the workers that start them, on a virtual clock.

Prints, over all days of a kind, what such jobs cost: workers crashed by each, sound
jobs answered as failed or late, and how long a poisoned job took to be given up.
"""

import statistics

import click

from features.support import fleet
from features.support.crashday import CrashDay

__all__ = ["main"]

KINDS = ("lookups", "rebuilds", "checks")


@click.command()
@click.option("--days", default=6, show_default=True, help="Seeds to play, from 1.")
@click.option("--chance", default=0.0, help="Share of workers that crash by chance.")
@click.option("--silent", is_flag=True, help="Workers that are down don't refuse.")
@click.option("--share", default=0.05, help="Share of the kind's jobs.")
@click.option("--after", default=0.002, help="Seconds from a start to the crash.")
def main(days: int, chance: float, silent: bool, share: float, after: float) -> None:
    """Play days for each kind of poisoned job."""
    fleet.CRASH_SECONDS = after
    for kind in KINDS:
        played = [
            CrashDay(seed, kind, share, not silent, chance).play()
            for seed in range(1, days + 1)
        ]
        click.echo(f"{kind}: {summarize(played)}")


def summarize(played: list[CrashDay]) -> str:
    """Return the figures of some days in one line."""
    crashes = [count for day in played for count in day.crashes()]
    seconds = [took for day in played for took in day.give_up_seconds()]
    sound = sum(len(day.sound()) for day in played)
    late = sum(len(day.late_sound_jobs()) for day in played)
    failed = sum(len(day.failed_sound_jobs()) for day in played)
    unanswered = sum(len(day.unanswered()) for day in played)
    overlaps = sum(len(day.fleet.overlaps) for day in played)
    mean = statistics.mean(crashes) if crashes else 0.0
    median = statistics.median(seconds) if seconds else 0.0
    return (
        f"poisoned {len(crashes)}, crashes each {mean:.2f}, "
        f"at most {max(crashes, default=0)}, given up {len(seconds)}, "
        f"in {median:.3f} s, at most {max(seconds, default=0.0):.3f} s; "
        f"sound {sound}, late {late}, failed {failed}; "
        f"unanswered {unanswered}, overlaps {overlaps}"
    )


if __name__ == "__main__":
    main()
