"""Arrivals as the brief describes them, the same for every policy."""

import bisect
import math
import random

import msgspec

__all__ = ["DEPLOYMENTS", "Deployment", "Request", "arrivals", "ordinary_shares"]

# The brief: most tasks last from 50 ms to a second, a few last several seconds.
SHORTEST_SECONDS = 0.05
LONGEST_SECONDS = 8.0

# A peak that rises to this part above the mean in the middle of the run and falls
# to as much below at its ends; and bursts of twice the rate, a second in twenty.
PEAK_PART = 0.2
BURST_RATE = 2.0
BURST_EVERY_SECONDS = 20.0
BURST_SECONDS = 1.0

# How far a declared run time is from the truth: the deviation of its logarithm.
# At 1.0 one in three is wrong by more than 2.7 times.
DECLARED_DEVIATION = 1.0

# Patience of callers: a driver at the gate, and a depot that rebuilds its routes.
SINGLE_DEADLINE_SECONDS = 5.0
JOB_DEADLINE_SECONDS = 15.0

# A few teams send most of it: team n sends exp(-n/2) of the first one's part.
TEAMS = 8
TEAM_DECAY = 0.5
CALLERS_PER_TEAM = 50


class Deployment(msgspec.Struct, frozen=True):
    """One of today's two users.

    :param sizes: ranges of tasks in a job, with the part of jobs in each.
    :param median_seconds: of the run times, which are log-normal.
    """

    name: str
    workers: int
    slots: int
    data_centres: int
    sizes: tuple[tuple[float, int, int], ...]
    median_seconds: float
    deviation: float

    @property
    def total_slots(self) -> int:
        """Return the slots of all workers."""
        return self.workers * self.slots


DEPLOYMENTS = {
    "glenmorrow": Deployment(
        "glenmorrow",
        11,
        8,
        3,
        ((0.60, 1, 1), (0.30, 2, 10), (0.09, 11, 40), (0.01, 41, 140)),
        0.18,
        0.8,
    ),
    "labuta-unita": Deployment(
        "labuta-unita",
        11,
        8,
        4,
        ((0.85, 1, 1), (0.12, 2, 5), (0.025, 6, 40), (0.005, 41, 140)),
        0.12,
        0.9,
    ),
}


class Request(msgspec.Struct, eq=False):
    """A job that a caller sends, and what it will turn out to take.

    :param arrival: intended send time in seconds.
    :param own: true run times in seconds.
    :param declared_ms: what the caller says of them.
    """

    number: int
    arrival: float
    team: str
    caller: str
    own: list[float]
    declared_ms: list[int]
    deadline: float
    key: str = ""
    selector: str = ""
    idempotent: bool = False
    memory_mb: int = 0


def arrivals(
    deployment: Deployment, load: float, seconds: float, seed: int
) -> list[Request]:
    """Return requests whose work is ``load`` times the slots over the time."""
    generator = random.Random(seed)
    jobs = []
    work = 0.0
    wanted = load * deployment.total_slots * seconds
    while work < wanted:
        own = run_times(deployment, generator)
        work += sum(own)
        jobs.append(own)
    times = sorted(arrival_times(len(jobs), seconds, generator))
    return [
        make_request(number, time, own, generator)
        for number, (time, own) in enumerate(zip(times, jobs, strict=True))
    ]


def run_times(deployment: Deployment, generator: random.Random) -> list[float]:
    """Return the run times of one job's tasks."""
    parts = [part for part, _, _ in deployment.sizes]
    _, least, most = generator.choices(deployment.sizes, parts)[0]
    mean = math.log(deployment.median_seconds)
    return [
        min(
            LONGEST_SECONDS,
            max(
                SHORTEST_SECONDS,
                generator.lognormvariate(mean, deployment.deviation),
            ),
        )
        for _ in range(generator.randint(least, most))
    ]


def arrival_times(count: int, seconds: float, generator: random.Random) -> list[float]:
    """Return times drawn by the rate of the peak and the bursts."""
    steps = 1000
    rates = [rate(seconds * step / steps, seconds) for step in range(steps)]
    cumulative = [0.0]
    for value in rates:
        cumulative.append(cumulative[-1] + value)
    times = []
    for _ in range(count):
        drawn = generator.random() * cumulative[-1]
        step = bisect.bisect_right(cumulative, drawn) - 1
        times.append(seconds * (step + generator.random()) / steps)
    return times


def rate(time: float, seconds: float) -> float:
    """Return the rate at a time relative to the mean."""
    peak = 1 - PEAK_PART * math.cos(2 * math.pi * time / seconds)
    in_burst = time % BURST_EVERY_SECONDS > BURST_EVERY_SECONDS - BURST_SECONDS
    return peak * (BURST_RATE if in_burst else 1.0)


def make_request(
    number: int, time: float, own: list[float], generator: random.Random
) -> Request:
    """Return a request of some team and caller; a few teams send most of it."""
    team = min(TEAMS - 1, int(generator.expovariate(TEAM_DECAY)))
    caller = generator.randrange(CALLERS_PER_TEAM)
    declared = [
        max(1, int(1000 * value * generator.lognormvariate(0, DECLARED_DEVIATION)))
        for value in own
    ]
    patience = SINGLE_DEADLINE_SECONDS if len(own) == 1 else JOB_DEADLINE_SECONDS
    return Request(
        number,
        time,
        f"team{team}",
        f"caller{caller}",
        own,
        declared,
        time + patience,
        idempotent=generator.random() < 0.7,
    )


def ordinary_shares() -> dict[str, float]:
    """Return the part of the requests that each team sends."""
    above = [math.exp(-TEAM_DECAY * team) for team in range(TEAMS)] + [0.0]
    return {f"team{team}": above[team] - above[team + 1] for team in range(TEAMS)}
