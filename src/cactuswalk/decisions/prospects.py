"""Predict when there is capacity for all tasks of a job.

Load pattern: callers compete for too little capacity for seconds, above all in a burst
of the least urgent kind. A job that waits for a share of its slack before it is refused
costs its caller the time in which it could have gone elsewhere, and a job that gets
capacity for half of its tasks takes that capacity from one that could be on time.

The wait is predicted from the backlog that a job would stand behind and the rate at
which that backlog has been served while jobs waited. Each priority has a rate of its
own: what more urgent jobs take is missing from it. Entries of a data centre share their
workers, so the backlog is that of all of them, and what one entry was given counts by
its share of that backlog. Without a recent history nothing is predicted.
"""

import math

import msgspec

from cactuswalk.decisions.waitmargin import WaitMargin

__all__ = ["Demand", "Drain", "Prospect", "Prospects", "spread_pause"]

# Time constant of the drain rate: a change of load is followed within a second.
MEMORY_SECONDS = 0.5

# Nothing is predicted from a shorter time of waiting: the ends of a few tasks are then
# still random.
MIN_HISTORY_SECONDS = 0.15

# The margin starts from the unbiased prediction: the slack that an admitted job has
# beyond its latest start covers the deviations until the margin is learnt.
MIN_MARGIN = 1.0

# Longest predicted wait: no caller waits for a minute, and logs and metrics have no
# infinite numbers.
MAX_WAIT_SECONDS = 60.0

# A predicted wait below this tells nothing about the margin. Jobs of the shortest kind
# may wait for a twentieth of a second.
MIN_WAIT_TO_LEARN_SECONDS = 0.02


class Demand(msgspec.Struct, frozen=True):
    """What a job needs, and what it would stand behind, in thousandths of a core.

    :param cpu: of all its waiting tasks.
    :param ahead_cpu: of the entry's own tasks that are placed before.
    :param neighbours_cpu: of tasks that wait at entries with the same workers.
    :param free_cpu: free for its tasks at the known workers.
    :param elsewhere_cpu: free at workers of other data centres.
    """

    cpu: int
    ahead_cpu: int
    neighbours_cpu: int
    free_cpu: int
    elsewhere_cpu: int

    @property
    def missing_cpu(self) -> int:
        """Return the capacity that has to be freed before the job's last task starts.

        Neighbours' tasks count only if the job has to wait at all: what is free is
        taken by whoever sends first.
        """
        missing = self.ahead_cpu + self.cpu - self.free_cpu - self.elsewhere_cpu
        return missing + self.neighbours_cpu if missing > 0 else 0


class Prospect(msgspec.Struct, frozen=True):
    """When there is expected to be capacity for all tasks of a job.

    :param wait: seconds until then, without the margin.
    :param margin: factor by which waits have recently exceeded their prediction.
    :param rate: of the backlog's drain, in thousandths of a core per second.
    """

    demand: Demand
    wait: float
    margin: float
    rate: float

    def exceeds(self, seconds: float) -> bool:
        """Return whether the job would wait longer than it can."""
        return self.wait > 0 and self.wait * self.margin > seconds


class Drain(msgspec.Struct):
    """The rate at which the backlog of one priority has been served.

    :param at: up to when the sums are complete.
    :param waited: seconds in which jobs waited, forgotten exponentially like all sums.
    :param weight: the same, each second counted by the entry's share of the backlog.
    :param taken: thousandths of a core that waiting tasks of the entry were given.
    :param share: of the backlog that is the entry's since ``at``; 0 if it has none.
    """

    at: float
    waited: float = 0.0
    weight: float = 0.0
    taken: float = 0.0
    share: float = 0.0

    def advance(self, now: float) -> None:
        """Add the time since the last update to the sums."""
        kept = math.exp((self.at - now) / MEMORY_SECONDS)
        passed = MEMORY_SECONDS * (1 - kept)
        self.waited = self.waited * kept + passed * (self.share > 0)
        self.weight = self.weight * kept + passed * self.share
        self.taken *= kept
        self.at = now

    def rate(self, now: float) -> float | None:
        """Return the drain rate of the whole backlog, None without enough history."""
        self.advance(now)
        if self.waited < MIN_HISTORY_SECONDS:
            return None
        return self.taken / self.weight


class Prospects:
    """The drain rates and margins of an entry, by service and priority.

    :ivar has_backlog: something waited after the last placement round.
    """

    def __init__(self) -> None:
        self.has_backlog = False
        self.drains: dict[tuple[str, int], Drain] = {}
        self.margins: dict[tuple[str, int], WaitMargin] = {}

    def record_backlogs(
        self,
        own: dict[tuple[str, int], int],
        neighbours: dict[tuple[str, int], int],
        now: float,
    ) -> None:
        """Record what waits after a placement round, in thousandths of a core."""
        if not own and not self.has_backlog:
            # Sums of drains without a backlog only fade, which is made up for later.
            return
        self.has_backlog = bool(own)
        for key in own.keys() - self.drains.keys():
            self.drains[key] = Drain(now)
        for key, drain in self.drains.items():
            drain.advance(now)
            cpu = own.get(key, 0)
            drain.share = cpu / (cpu + neighbours.get(key, 0)) if cpu else 0.0

    def record_start(self, key: tuple[str, int], cpu: int, now: float) -> None:
        """Record that a task was given capacity, if jobs waited for it."""
        drain = self.drains.get(key)
        if drain is not None and drain.share:
            drain.advance(now)
            drain.taken += cpu

    def predict(
        self, key: tuple[str, int], demand: Demand, now: float
    ) -> Prospect | None:
        """Return a job's prospect, or None if there is not enough history."""
        margin = self.margin(key).factor
        missing = demand.missing_cpu
        if missing <= 0:
            return Prospect(demand, 0.0, margin, 0.0)
        drain = self.drains.get(key)
        rate = drain.rate(now) if drain else None
        if rate is None:
            return None
        wait = min(MAX_WAIT_SECONDS, missing / max(1.0, rate))
        return Prospect(demand, wait, margin, rate)

    def margin(self, key: tuple[str, int]) -> WaitMargin:
        """Return the margin of a service's priority."""
        margin = self.margins.get(key)
        if margin is None:
            margin = self.margins[key] = WaitMargin(
                MIN_MARGIN, MIN_MARGIN, MIN_WAIT_TO_LEARN_SECONDS
            )
        return margin


def spread_pause(identifier: str, least: float, drain_seconds: float) -> float:
    """Return the delay in seconds after which a refused caller should retry.

    Callers are spread over the time that the queue needs to drain, in whole seconds as
    the header has them. The spread follows from the job's identifier, so that a
    repeated refusal says the same.

    :param identifier: 16 hexadecimal digits.
    :param least: delay of the first ones, in seconds.
    """
    position = int(identifier[-4:], 16) / 0x10000
    return least + int(position * (1 + math.ceil(drain_seconds)))
