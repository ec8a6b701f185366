"""Workers of two speeds, and demand of the data centres in waves out of step."""

import collections
import math
import random

import msgspec

from cactuswalk.dispatch.loadpolicy import DEFAULT_LOAD_POLICY
from features.support.fleet import Fleet, queue

__all__ = ["CENTRES", "FAST_PACE", "KINDS", "Play", "UnevenLoad", "uneven_fleet"]

# By kind: part of the work, tasks per job, seconds per task.
KINDS = {
    "lookups": (0.16, 8, 0.12),
    "checks": (0.38, 2, 0.4),
    "rebuilds": (0.46, 4, 1.8),
}
ENTRIES = 6
WORKERS = 16
CENTRES = 4
CPU = 16_000
TASK_CPU = 1_550
# Run times relative to the estimate: a quarter at 0.55 of the nominal speed, the others
# at 1.2.
SLOW_PACE = 1 / 0.55
FAST_PACE = 1 / 1.2
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0
SWING = 0.55
PERIOD_SECONDS = 15.0
# Shorter than this no caller waits, in seconds.
LEAST_WAIT = 1.5
# Late jobs count a fifth, up to this multiple of their time limit.
LATE_FACTOR = 3.0
LATE_WORTH = 0.2
# Most runs have ended so long after the last arrival, in seconds; a straggler's long
# run of more than that counts as not on time.
AFTER_SECONDS = 9.0


class MeteredFleet(Fleet):
    """A fleet that counts the bytes between data centres.

    :ivar bytes_far: encoded messages to processes in other data centres.
    """

    def __init__(self, *arguments, **options):
        self.bytes_far = 0
        super().__init__(*arguments, **options)

    def send(self, sender, address, message):
        states = self.states
        if address in states and (
            states[sender].data_centre != states[address].data_centre
        ):
            self.bytes_far += len(msgspec.msgpack.encode(message))
        super().send(sender, address, message)


def uneven_fleet(seed, policy=DEFAULT_LOAD_POLICY):
    """Return entries and workers in four data centres, one slow worker in each."""
    queues = [queue("lookups", 0), queue("checks", 1, 3), queue("rebuilds", 2, 2)]
    fleet = MeteredFleet(
        ENTRIES, WORKERS, seed, queues=queues, centres=CENTRES, policy=policy
    )
    fleet.in_order = True
    for number, worker in enumerate(fleet.workers.values()):
        worker.cpu = CPU * 3 // 2 if number % 3 == 2 else CPU
        # One of the four workers of each data centre is slow.
        row, centre = divmod(number, CENTRES)
        worker.pace = SLOW_PACE if row == centre else FAST_PACE
        fleet.announce(worker.name)
    return fleet


class UnevenLoad:
    """Arrivals of three kinds at a multiple of the workers' room.

    :ivar by_kind: the waiters of each kind's jobs.
    :ivar jobs: arrival time, kind, tasks, cpu and seconds of each job.
    """

    def __init__(self, fleet, rate, seconds, seed, swing=SWING):
        self.fleet = fleet
        self.swing = swing
        self.began = fleet.now
        self.until = fleet.now + seconds
        self.generator = random.Random(seed)
        self.number = 0
        self.by_kind = {name: [] for name in KINDS}
        self.jobs = []
        self.centres = {}
        room = sum(worker.cpu / worker.pace for worker in fleet.workers.values())
        self.task_seconds = rate * room / TASK_CPU
        for name in KINDS:
            for centre in range(CENTRES):
                self.next_arrival(name, centre)

    def next_arrival(self, name, centre):
        """Schedule an arrival at the peak rate, which ``arrive`` thins out."""
        share, width, mean = KINDS[name]
        mean *= 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
        peak = share * self.task_seconds / width / mean / CENTRES * (1 + self.swing)
        gap = self.generator.expovariate(peak)
        self.fleet.at(gap, lambda: self.arrive(name, centre))

    def arrive(self, name, centre):
        if self.fleet.now >= self.until:
            return
        passed = (self.fleet.now - self.began) / PERIOD_SECONDS + centre / CENTRES
        level = (1 + self.swing * math.sin(2 * math.pi * passed)) / (1 + self.swing)
        if self.generator.random() < level:
            self.submit(name, centre)
        self.next_arrival(name, centre)

    def submit(self, name, centre):
        generator = self.generator
        _, width, mean = KINDS[name]
        self.number += 1
        tasks = round(generator.lognormvariate(-0.08, 0.4) * width)
        tasks = max(1, min(4 * width, tasks))
        usual = mean * generator.lognormvariate(-0.08, 0.4)
        is_straggler = generator.random() < STRAGGLER_SHARE
        seconds = usual * (STRAGGLER_FACTOR if is_straggler else 1.0)
        cpu = int(TASK_CPU * generator.lognormvariate(-0.02, 0.2))
        self.jobs.append((self.fleet.now, name, tasks, cpu, seconds))
        waiter = self.fleet.submit(
            generator.choice(self.fleet.entry_names[centre::CENTRES]),
            f"{self.number:016x}",
            tasks,
            cpu=cpu,
            seconds=seconds,
            wait=max(LEAST_WAIT, 5 * seconds + 0.5),
            queue_name=name,
            estimate=usual * generator.lognormvariate(0, 0.35),
        )
        self.by_kind[name].append(waiter)
        self.centres[waiter] = centre

    def kind_by_identifier(self):
        """Return the kind of each job."""
        return {
            self.fleet.arrivals[waiter][3]: name
            for name, waiters in self.by_kind.items()
            for waiter in waiters
        }

    def share_from(self, counts):
        """Return the part of the jobs on time, of those that a function selects.

        :param counts: called with a job's arrival time and its data centre.
        """
        chosen = [
            waiter
            for waiters in self.by_kind.values()
            for waiter in waiters
            if counts(self.fleet.arrivals[waiter][0], self.centres[waiter])
        ]
        return sum(map(self.fleet.is_on_time, chosen)) / len(chosen)

    def counts(self):
        """Return the numbers of jobs on time and of all jobs, by kind."""
        return {
            name: (sum(map(self.fleet.is_on_time, waiters)), len(waiters))
            for name, waiters in self.by_kind.items()
        }

    def worth(self):
        """Return the part of the work that was served, late work at a fifth."""
        earned = owed = 0.0
        for waiters in self.by_kind.values():
            for waiter in waiters:
                size = self.work_of(waiter)
                owed += size
                earned += size * self.value_of(waiter)
        return earned / owed

    def work_of(self, waiter):
        """Return a job's work, with stragglers at most as three seconds a task."""
        _, _, seconds, identifier = self.fleet.arrivals[waiter]
        tasks = self.jobs[int(identifier, 16) - 1][2]
        return tasks * min(3.0, seconds)

    def value_of(self, waiter):
        """Return 1 for a job on time, a fifth for a late one, and 0 for others."""
        fleet = self.fleet
        if fleet.is_on_time(waiter):
            return 1.0
        if waiter not in fleet.answers or fleet.verdict(waiter) != "completed":
            return 0.0
        _, chosen, seconds, _ = fleet.arrivals[waiter]
        limit = chosen.stretch * seconds + chosen.allowance_ms / 1000
        return LATE_WORTH if fleet.took(waiter) <= LATE_FACTOR * limit else 0.0


class Play:
    """The results of one load on a fleet of its own.

    :ivar on_time: part of the jobs; ``shares`` by kind.
    :ivar worth: part of the work.
    :ivar slow_starts: starts at slow workers, by kind.
    """

    def __init__(self, seed, policy, rate, seconds):
        self.fleet = fleet = uneven_fleet(seed, policy)
        fleet.run(1.0)
        before = fleet.bytes_far
        self.load = load = UnevenLoad(fleet, rate, seconds, seed)
        fleet.run(seconds + AFTER_SECONDS)
        counts = load.counts()
        self.shares = {name: done / came for name, (done, came) in counts.items()}
        self.on_time = sum(done for done, _ in counts.values()) / len(load.jobs)
        self.worth = load.worth()
        self.bytes_far = fleet.bytes_far - before
        self.overlaps, self.overloads = fleet.overlaps, fleet.overloads
        kinds = load.kind_by_identifier()
        self.slow_starts = collections.Counter(
            kinds[key.job]
            for _, key, _, worker in fleet.starts
            if fleet.workers[worker].pace > 1
        )
