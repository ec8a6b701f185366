"""Callers that compete for too little capacity: bursts of one kind, or of one queue."""

import random

from features.support.fleet import Fleet, queue

__all__ = ["KINDS", "BurstLoad", "ContendedPlay", "contended_fleet"]

# By kind: part of the work in normal load, tasks per job, seconds per task. Checks and
# audits are queues of the same priority.
KINDS = {
    "lookups": (0.16, 8, 0.12),
    "checks": (0.19, 2, 0.4),
    "audits": (0.19, 2, 0.4),
    "rebuilds": (0.46, 4, 1.8),
}
NORMAL = 0.7
ENTRIES = 5
WORKERS = 16
CENTRES = 4
CPU = 16_000
TASK_CPU = 1_550
PACES = (1.0, 1 / 1.3)
# Seconds of a play: normal load, the burst, and normal load again.
BURST_FROM = 4.0
BURST_UNTIL = 12.0
SECONDS = 14.0
AFTER_SECONDS = 9.0
LEAST_WAIT = 1.5
LATE_FACTOR = 3.0
LATE_WORTH = 0.2


def contended_fleet(seed, policy):
    """Return entries and workers of two speeds and two sizes."""
    queues = [
        queue("lookups", 0),
        queue("checks", 1, 3),
        queue("audits", 1, 3),
        queue("rebuilds", 2, 2),
    ]
    fleet = Fleet(ENTRIES, WORKERS, seed, queues=queues, centres=CENTRES, policy=policy)
    fleet.in_order = True
    for number, worker in enumerate(fleet.workers.values()):
        worker.cpu = CPU * 3 // 2 if number % 3 == 2 else CPU
        worker.pace = PACES[number // CENTRES % 2]
        fleet.announce(worker.name)
    fleet.run(1.0)
    return fleet


class BurstLoad:
    """Poisson arrivals, with a burst of one kind.

    :param burst_kind: of which more jobs come in the burst; empty for none.
    :param factor: times its usual rate.
    :ivar waiters: of all jobs, with their kind, tasks and seconds since the beginning.
    """

    def __init__(self, fleet, burst_kind, factor, seed):
        self.fleet = fleet
        self.burst_kind = burst_kind
        self.factor = factor
        self.began = fleet.now
        self.generator = random.Random(seed)
        self.waiters = []
        room = sum(worker.cpu / worker.pace for worker in fleet.workers.values())
        self.task_seconds = NORMAL * room / TASK_CPU
        for name in KINDS:
            self.next_arrival(name)

    def next_arrival(self, name):
        """Schedule an arrival at the highest rate, which ``arrive`` thins out."""
        share, width, mean = KINDS[name]
        rate = share * self.task_seconds / width / mean
        if name == self.burst_kind:
            rate *= self.factor
        self.fleet.at(self.generator.expovariate(rate), lambda: self.arrive(name))

    def arrive(self, name):
        passed = self.fleet.now - self.began
        if passed >= SECONDS:
            return
        in_burst = BURST_FROM <= passed < BURST_UNTIL
        level = 1.0
        if name == self.burst_kind and not in_burst:
            level = 1 / self.factor
        if self.generator.random() < level:
            self.submit(name, passed)
        self.next_arrival(name)

    def submit(self, name, passed):
        generator = self.generator
        _, width, mean = KINDS[name]
        tasks = round(generator.lognormvariate(-0.08, 0.4) * width)
        tasks = max(1, min(4 * width, tasks))
        seconds = mean * generator.lognormvariate(-0.08, 0.4)
        waiter = self.fleet.submit(
            generator.choice(self.fleet.entry_names),
            f"{len(self.waiters) + 1:016x}",
            tasks,
            cpu=int(TASK_CPU * generator.lognormvariate(-0.02, 0.2)),
            seconds=seconds,
            wait=max(LEAST_WAIT, 5 * seconds + 0.5),
            queue_name=name,
            estimate=seconds * generator.lognormvariate(0, 0.35),
        )
        self.waiters.append((waiter, name, tasks, passed))


class ContendedPlay:
    """The results of one load on a fleet of its own.

    :ivar shares: part of the jobs of the burst's time on time, by kind; ``counts``
        of these jobs.
    :ivar worth: part of the work of that time, late work at a fifth; ``served`` in
        seconds of tasks.
    :ivar largest: of each kind, the part of the largest tenth of its jobs on time.
    """

    def __init__(self, seed, policy, burst_kind="", factor=1.0):
        self.fleet = fleet = contended_fleet(seed, policy)
        load = BurstLoad(fleet, burst_kind, factor, seed)
        fleet.run(SECONDS + AFTER_SECONDS)
        jobs = [job for job in load.waiters if BURST_FROM <= job[3] < BURST_UNTIL]
        self.shares, self.counts, self.largest = {}, {}, {}
        for name in KINDS:
            chosen = sorted(
                (job for job in jobs if job[1] == name),
                key=lambda job: job[2] * fleet.arrivals[job[0]][2],
            )
            self.counts[name] = len(chosen)
            self.shares[name] = part_on_time(fleet, chosen)
            self.largest[name] = part_on_time(fleet, chosen[-len(chosen) // 10 :])
        works = [(work_of(fleet, job), value_of(fleet, job[0])) for job in jobs]
        self.served = sum(work * value for work, value in works)
        self.worth = self.served / sum(work for work, _ in works)


def part_on_time(fleet, jobs):
    """Return the part of some jobs that is on time."""
    return sum(fleet.is_on_time(job[0]) for job in jobs) / max(1, len(jobs))


def work_of(fleet, job):
    """Return a job's work, in seconds of tasks."""
    return job[2] * fleet.arrivals[job[0]][2]


def value_of(fleet, waiter):
    """Return 1 for a job on time, a fifth for a late one, and 0 for others."""
    if fleet.is_on_time(waiter):
        return 1.0
    if waiter not in fleet.answers or fleet.verdict(waiter) != "completed":
        return 0.0
    _, chosen, seconds, _ = fleet.arrivals[waiter]
    limit = chosen.stretch * seconds + chosen.allowance_ms / 1000
    return LATE_WORTH if fleet.took(waiter) <= LATE_FACTOR * limit else 0.0
