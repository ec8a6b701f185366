"""What one queue with perfect knowledge could serve, beside what the entries serve.

The fixture's arrivals (features/support/fleetload.py) are played to the entries and
agents, and then to a model: one pool of all workers' room at their mean speed, no
message, no failure, every run time known. The model starts whole jobs, without
taking any back, in the order that served most of the worth out of three. It is no
bound that could be reached: tasks fit its pool without gaps.

    python -m tools.ideal_queue --plot docs/measurements/load.png
"""

import heapq
from collections.abc import Callable
from pathlib import Path

import click
import msgspec
from matplotlib.figure import Figure

from features.support.fleetload import KINDS, WORTH, Load, users_fleet

__all__ = ["main"]

RATES = (1.0, 1.3, 1.6, 2.0, 2.5)
SEEDS = (3, 4, 5)
SECONDS = 8
# The longest jobs that come last have ended by then.
AFTER_SECONDS = 12

STRETCH = 1.6
ALLOWANCE_SECONDS = 0.06
SIZE_INCHES = (8, 4.5)


class Arrival(msgspec.Struct):
    """A job of the model; ``cpu`` of all its tasks, in thousandths of a core."""

    at: float
    kind: str
    cpu: int
    seconds: float
    aim: float

    @property
    def density(self) -> float:
        """Worth for a second of a core."""
        return WORTH[self.kind] / (self.cpu * self.seconds)

    @property
    def latest_start(self) -> float:
        """When it has to start to be on time."""
        return self.at + self.aim - self.seconds


ORDERS: list[Callable[[Arrival], float]] = [
    lambda job: -job.density,
    lambda job: job.latest_start,
    lambda job: job.at,
]


def shares_of_model(fleet, load: Load) -> dict[str, float]:
    """Return the share of each kind that the best order serves on time."""
    room = sum(worker.cpu for worker in fleet.workers.values())
    speed = sum(w.cpu / w.pace for w in fleet.workers.values()) / room
    jobs = [
        Arrival(
            at,
            kind,
            tasks * cpu,
            seconds / speed,
            STRETCH * seconds + ALLOWANCE_SECONDS,
        )
        for at, kind, tasks, cpu, seconds in load.jobs
    ]
    return max((serve(jobs, room, order) for order in ORDERS), key=worth_of)


def serve(jobs: list[Arrival], room: int, order: Callable) -> dict[str, float]:
    """Serve jobs in one order from one pool, and return the shares on time."""
    served = dict.fromkeys(KINDS, 0)
    waiting: list[Arrival] = []
    running: list[tuple[float, int]] = []
    coming = sorted(jobs, key=lambda job: job.at)[::-1]
    while coming or running:
        now = min(coming[-1].at if coming else 1e9, running[0][0] if running else 1e9)
        while coming and coming[-1].at <= now:
            waiting.append(coming.pop())
        while running and running[0][0] <= now:
            room += heapq.heappop(running)[1]
        waiting = sorted((job for job in waiting if job.latest_start >= now), key=order)
        left = []
        for job in waiting:
            if job.cpu > room:
                left.append(job)
                continue
            room -= job.cpu
            heapq.heappush(running, (now + job.seconds, job.cpu))
            served[job.kind] += 1
        waiting = left
    return {
        kind: count / sum(job.kind == kind for job in jobs)
        for kind, count in served.items()
    }


def worth_of(shares: dict[str, float]) -> float:
    """Return the part of the worth at the usual mix of kinds."""
    weights = {kind: WORTH[kind] * KINDS[kind][0] for kind in KINDS}
    earned = sum(weights[kind] * shares[kind] for kind in KINDS)
    return earned / sum(weights.values())


def play(rate: float) -> tuple[dict[str, float], dict[str, float]]:
    """Return the mean shares of the entries and of the model at one rate."""
    ours, ideal = [], []
    for seed in SEEDS:
        fleet = users_fleet(seed)
        load = Load(fleet, rate, SECONDS, seed)
        fleet.run(SECONDS + AFTER_SECONDS)
        ours.append(load.shares())
        ideal.append(shares_of_model(fleet, load))
    return mean(ours), mean(ideal)


def mean(shares: list[dict[str, float]]) -> dict[str, float]:
    """Return the means by kind."""
    return {kind: sum(one[kind] for one in shares) / len(shares) for kind in KINDS}


def draw(rows: list, path: Path) -> None:
    """Draw the worth and the worst kind over the load."""
    figure = Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    for column, name in ((1, "entries"), (2, "one ideal queue")):
        axes.plot(RATES, [worth_of(row[column]) for row in rows], label=name)
        worst = [min(row[column].values()) for row in rows]
        axes.plot(RATES, worst, linestyle="--", label=f"{name}, worst kind")
    axes.set_xlabel("times the usual load")
    axes.set_ylabel("part on time")
    axes.set_ylim(0, 1.02)
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=120)


@click.command()
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path))
def main(plot: Path | None) -> None:
    """Print a row for each load: entries, then the model."""
    rows = [(rate, *play(rate)) for rate in RATES]
    click.echo(f"| load | who | {' | '.join(KINDS)} | worth |")
    click.echo("|---" * (len(KINDS) + 3) + "|")
    for rate, ours, ideal in rows:
        for who, shares in (("entries", ours), ("model", ideal)):
            parts = " | ".join(f"{shares[kind]:.2f}" for kind in KINDS)
            click.echo(f"| {rate} | {who} | {parts} | {worth_of(shares):.3f} |")
    if plot is not None:
        draw(rows, plot)


if __name__ == "__main__":
    main()
