"""Load for divided capacity: three kinds of job, with a burst of the long one."""

import collections
import random

from cactuswalk.dispatch.effects import Observe
from cactuswalk.dispatch.loadpolicy import LoadPolicy
from cactuswalk.dispatch.placement import RESERVED_SHARE
from features.support.fleet import Fleet, queue

__all__ = ["CALM", "BurstLoad", "CountingFleet", "division_fleet"]

WORKERS = 12
ENTRIES = 4
CPU = 64_000
TASK_CPU = 5_800

# Work that arrives, as a share of the workers' capacity.
CALM = 0.65

# By kind: share of the work in calm, tasks per job, seconds per task.
KINDS = {
    "wide": (0.16, 8, 0.12),
    "small": (0.38, 2, 0.4),
    "long": (0.46, 4, 1.8),
}

# Capacity that is free while jobs wait is sampled at this interval.
SAMPLE_SECONDS = 0.02


class CountingFleet(Fleet):
    """A fleet that also records what its processes observe.

    :ivar observed: number of observations by role ("agent" or "entry"), name and label.
    """

    def __init__(self, *args, **kwargs):
        self.observed = collections.Counter()
        super().__init__(*args, **kwargs)

    def perform(self, name, state, effect):
        if isinstance(effect, Observe):
            role = "agent" if name in self.workers else "entry"
            self.observed[role, effect.name, effect.label] += 1
            return
        super().perform(name, state, effect)


def division_fleet(seed, divides_room, entries=ENTRIES, workers=WORKERS):
    """Return entries of one data centre and workers, every third larger and faster."""
    queues = [queue("wide", 0), queue("small", 1), queue("long", 2, 2)]
    policy = LoadPolicy(divides_room=divides_room)
    fleet = CountingFleet(
        entries, workers, seed, CPU, queues=queues, centres=1, policy=policy
    )
    fleet.in_order = True
    for number, worker in enumerate(fleet.workers.values()):
        if number % 3 == 2:
            worker.cpu = CPU * 3 // 2
        worker.pace = 1 / 1.3 if number % 2 else 1.0
        fleet.announce(worker.name)
    return fleet


def capacity(fleet):
    """Return the number of usual tasks that the workers run per second of work."""
    return sum(worker.cpu / worker.pace for worker in fleet.workers.values()) / TASK_CPU


class BurstLoad:
    """Poisson arrivals at a share of the capacity; the long kind may rise beyond it.

    :ivar by_kind: the waiters of each kind's jobs.
    :ivar tasks: number of tasks of all jobs.
    :ivar free_shares: sampled shares of the capacity that waiting tasks could use.
    """

    def __init__(self, fleet, total, seconds, seed):
        self.fleet = fleet
        self.began = fleet.now
        self.until = fleet.now + seconds
        self.generator = random.Random(seed)
        self.number = self.tasks = 0
        self.by_kind = {name: [] for name in KINDS}
        self.rates = self._rates(total)
        self.free_shares = []
        self.sent_before = sum(fleet.sent.values())
        for name in KINDS:
            self._schedule(name)
        fleet.at(SAMPLE_SECONDS, self._sample)

    def _rates(self, total):
        """Return the jobs per second by kind; the long one has what exceeds calm."""
        room = capacity(self.fleet)
        rates = {}
        for name, (share, width, mean) in KINDS.items():
            work = share * CALM
            if name == "long":
                work += total - CALM
            rates[name] = work * room / width / mean
        return rates

    def _schedule(self, name):
        gap = self.generator.expovariate(self.rates[name])
        self.fleet.at(gap, lambda: self._arrive(name))

    def _arrive(self, name):
        if self.fleet.now >= self.until:
            return
        generator = self.generator
        _, width, mean = KINDS[name]
        self.number += 1
        tasks = round(generator.lognormvariate(-0.08, 0.4) * width)
        tasks = max(1, min(4 * width, tasks))
        seconds = mean * generator.lognormvariate(-0.08, 0.4)
        self.tasks += tasks
        waiter = self.fleet.submit(
            generator.choice(self.fleet.living()),
            f"{self.number:016x}",
            tasks,
            cpu=int(TASK_CPU * generator.lognormvariate(-0.02, 0.2)),
            seconds=seconds,
            wait=5 * seconds + 2,
            queue_name=name,
            estimate=seconds * generator.lognormvariate(0, 0.35),
        )
        self.by_kind[name].append(waiter)
        self._schedule(name)

    def _sample(self):
        fleet = self.fleet
        if fleet.now >= self.until:
            return
        # The first second fills the workers.
        if fleet.now - self.began > 1.0:
            share = self._free_share()
            if share is not None:
                self.free_shares.append(share)
        fleet.at(SAMPLE_SECONDS, self._sample)

    def _free_share(self):
        """Return the share of capacity that waiting tasks could use, or None."""
        least = self._least_waiting()
        if not least:
            return None
        free = total = 0
        for name, worker in self.fleet.workers.items():
            state = self.fleet.states[name]
            room = state.free_resources()[0]
            total += worker.cpu
            needed = [
                cpu + (int(RESERVED_SHARE * worker.cpu) if reserves else 0)
                for entry, (cpu, reserves) in least.items()
                if entry in state.entries
            ]
            if needed and room >= min(needed):
                free += room
        return free / total

    def _least_waiting(self):
        """Return the smallest waiting task by entry, and whether it reserves room."""
        least = {}
        now = self.fleet.now
        for name in self.fleet.living():
            state = self.fleet.states[name]
            urgent = min(state.urgent_priorities(now).values(), default=0)
            sizes = [
                (task.step.cpu, job.queue.priority > urgent)
                for job in state.queued.values()
                for task in job.waiting
            ]
            if sizes:
                least[name] = min(sizes)
        return least

    def _waits(self):
        """Return the sorted times from arrivals to the first run at a worker.

        An entry's own record counts starts that are declined.
        """
        first = {}
        for at, key, _, _ in self.fleet.starts:
            first.setdefault(key.job, at)
        return sorted(
            first[job] - at
            for at, _, _, job in self.fleet.arrivals.values()
            if job in first
        )

    def figures(self):
        """Return the figures that the setting is compared by."""
        fleet = self.fleet
        declined = sum(
            number
            for (role, name, _), number in fleet.observed.items()
            if (role, name) == ("agent", "declined")
        )
        waits = self._waits()
        sent = sum(fleet.sent.values()) - self.sent_before
        shares = self.free_shares
        return {
            "declined": declined / self.tasks,
            "first_start_95": waits[int(0.95 * len(waits))],
            "first_start_50": waits[len(waits) // 2],
            "messages": sent / self.tasks,
            "free": sum(shares) / len(shares) if shares else 0.0,
            **{
                name: sum(map(fleet.is_on_time, waiters)) / len(waiters)
                for name, waiters in self.by_kind.items()
            },
        }
