"""The users' three kinds of job, arriving at a multiple of their usual rate."""

import random

from features.support.fleet import Fleet, queue

__all__ = ["KINDS", "SEED", "WORTH", "Load", "users_fleet"]

# By kind, at the usual load: jobs per second, tasks per job, seconds per task.
KINDS = {
    "lookups": (17.2, 8, 0.12),
    "rebuilds": (3.12, 4, 1.8),
    "checks": (50.0, 2, 0.4),
}
# Worth of a job of each kind to its caller (the users' figures).
WORTH = {"lookups": 0.0291, "rebuilds": 0.16, "checks": 0.01}
PACES = (0.8, 1.0, 1.25)
SEED = 3


def users_fleet(seed=SEED):
    """Return four entries and eleven workers of three speeds and two sizes."""
    queues = [queue("lookups", 0), queue("rebuilds", 2, 2), queue("checks", 1)]
    fleet = Fleet(4, 11, seed, queues=queues)
    fleet.in_order = True
    for number, worker in enumerate(fleet.workers.values()):
        worker.cpu = 48_000 if number % 3 == 2 else 32_000
        worker.pace = PACES[(number + 1 - number % 2) % 3]
    return fleet


class Load:
    """Poisson arrivals of the three kinds, for some seconds.

    :ivar by_kind: the waiters of each kind's jobs.
    :ivar jobs: arrival time, kind, tasks, cpu and seconds of each job.
    """

    def __init__(self, fleet, rate, seconds, seed=SEED):
        self.fleet = fleet
        self.by_kind = {name: [] for name in KINDS}
        self.jobs = []
        self.rate = rate
        self.until = fleet.now + seconds
        self.generator = random.Random(seed)
        self.number = 0
        for name in KINDS:
            self.next_arrival(name)

    def counts(self):
        """Return the numbers of jobs on time and of all jobs, by kind."""
        return {
            name: (sum(map(self.fleet.is_on_time, waiters)), len(waiters))
            for name, waiters in self.by_kind.items()
        }

    def shares(self):
        """Return the share of jobs that were on time, by kind."""
        return {name: done / came for name, (done, came) in self.counts().items()}

    def next_arrival(self, name):
        gap = self.generator.expovariate(KINDS[name][0] * self.rate)
        self.fleet.at(gap, lambda: self.arrive(name))

    def arrive(self, name):
        if self.fleet.now >= self.until:
            return
        generator = self.generator
        _, width, mean = KINDS[name]
        self.number += 1
        tasks = round(generator.lognormvariate(0, 0.4) * width)
        seconds = mean * generator.lognormvariate(-0.08, 0.4)
        tasks = max(1, min(4 * width, tasks))
        entry = generator.choice(self.fleet.entry_names)
        cpu = int(3100 * generator.lognormvariate(0, 0.2))
        self.jobs.append((self.fleet.now, name, tasks, cpu, seconds))
        waiter = self.fleet.submit(
            entry,
            f"{self.number:016x}",
            tasks,
            cpu=cpu,
            seconds=seconds,
            wait=5 * seconds + 2,
            queue_name=name,
            estimate=seconds * generator.lognormvariate(0, 0.35),
        )
        self.by_kind[name].append(waiter)
        self.next_arrival(name)
