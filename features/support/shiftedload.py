"""Glenmorrow's current load: more long jobs, waves, and workers of two sizes."""

import math
import random

from features.support.fleet import Fleet, queue

__all__ = ["KINDS", "WORTH", "WaveLoad", "wave_fleet"]

# By kind, for 18 workers: jobs per second, tasks per job, seconds per task.
KINDS = {
    "lookups": (27.8, 8, 0.12),
    "rebuilds": (11.0, 4, 1.8),
    "checks": (81.0, 2, 0.4),
}
# Worth of a job of each kind to its caller, on time and late (the users' figures).
WORTH = {
    "lookups": (0.00485, 0.00097),
    "rebuilds": (0.0267, 0.00533),
    "checks": (0.00167, 0.000333),
}
WORKERS = 18
ENTRIES = 6
CENTRES = 3
CPU = 16_000
TASK_CPU = 1_300
SWING = 0.27
PERIOD_SECONDS = 11.0
PHASES = (0.94, 0.26, 0.2)
# A job is late, rather than worthless, up to this multiple of its time limit.
LATE_FACTOR = 3.0


def wave_fleet(seed):
    """Return six entries and eighteen workers, every third larger and faster."""
    queues = [queue("lookups", 0), queue("rebuilds", 2, 2), queue("checks", 1, 3)]
    fleet = Fleet(ENTRIES, WORKERS, seed, queues=queues, centres=CENTRES)
    fleet.in_order = True
    for number, worker in enumerate(fleet.workers.values()):
        if number // CENTRES % 3 == 2:
            worker.cpu = CPU * 3 // 2
            worker.pace = 1 / 1.3
        else:
            worker.cpu = CPU
        # Agents know the capacity before the load begins, as workers tell it at once.
        fleet.announce(worker.name)
    return fleet


class WaveLoad:
    """Arrivals of the three kinds, in waves that differ by data centre.

    :ivar by_kind: the waiters of each kind's jobs.
    """

    def __init__(self, fleet, rate, seconds, seed):
        self.fleet = fleet
        self.rate = rate
        self.began = fleet.now
        self.until = fleet.now + seconds
        self.generator = random.Random(seed)
        self.number = 0
        self.by_kind = {name: [] for name in KINDS}
        for name in KINDS:
            for centre in range(CENTRES):
                self.next_arrival(name, centre)

    def next_arrival(self, name, centre):
        """Schedule an arrival at the peak rate, which ``arrive`` thins out."""
        peak = KINDS[name][0] / CENTRES * self.rate * (1 + SWING)
        gap = self.generator.expovariate(peak)
        self.fleet.at(gap, lambda: self.arrive(name, centre))

    def arrive(self, name, centre):
        if self.fleet.now >= self.until:
            return
        passed = (self.fleet.now - self.began) / PERIOD_SECONDS + PHASES[centre]
        level = (1 + SWING * math.sin(2 * math.pi * passed)) / (1 + SWING)
        if self.generator.random() < level:
            self.submit(name, centre)
        self.next_arrival(name, centre)

    def submit(self, name, centre):
        generator = self.generator
        _, width, mean = KINDS[name]
        self.number += 1
        tasks = round(generator.lognormvariate(-0.08, 0.4) * width)
        seconds = mean * generator.lognormvariate(-0.08, 0.4)
        entries = self.fleet.entry_names[centre::CENTRES]
        waiter = self.fleet.submit(
            generator.choice(entries),
            f"{self.number:016x}",
            max(1, min(4 * width, tasks)),
            cpu=int(TASK_CPU * generator.lognormvariate(-0.02, 0.2)),
            seconds=seconds,
            wait=5 * seconds + 2,
            queue_name=name,
            estimate=seconds * generator.lognormvariate(0, 0.35),
        )
        self.by_kind[name].append((waiter, tasks * seconds / width / mean))

    def earned(self):
        """Return the earned and the possible worth, by kind; late jobs count."""
        table = {}
        for name, waiters in self.by_kind.items():
            earned = owed = 0.0
            for waiter, work in waiters:
                size = min(4.0, 0.3 + 0.7 * work)
                owed += size * WORTH[name][0]
                earned += size * self.worth_of(name, waiter)
            table[name] = (earned, owed)
        return table

    def worth_of(self, name, waiter):
        fleet = self.fleet
        if waiter not in fleet.answers or fleet.verdict(waiter) != "completed":
            return 0.0
        _, chosen, seconds, _ = fleet.arrivals[waiter]
        aim = chosen.stretch * seconds + chosen.allowance_ms / 1000
        took = fleet.took(waiter)
        if took <= aim:
            return WORTH[name][0]
        return WORTH[name][1] if took <= LATE_FACTOR * aim else 0.0
