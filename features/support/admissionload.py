"""More load than there is room for, on a fleet whose entries share the workers."""

import random

from cactuswalk.dispatch.effects import Answer
from features.support.fleet import Fleet, queue
from features.support.shiftedload import CENTRES, CPU, ENTRIES, WORKERS

__all__ = ["KINDS", "LOAD_SECONDS", "SHAPES", "AdmissionLoad", "admission_fleet"]

# By kind: jobs per second, tasks per job, seconds per task; half of the work is the
# long kind's. ``room`` scales the rates to the workers.
KINDS = {
    "lookups": (28.0, 8, 0.12),
    "rebuilds": (11.0, 4, 1.8),
    "checks": (81.0, 2, 0.4),
}
TASK_CPU = 1_300

# By shape: the usual load in parts of the room, when the extra load begins and ends,
# by which factor the kinds are multiplied then, and whether a data centre is evacuated.
SHAPES = {
    "0.5": (0.5, 0, 0, {}, False),
    "0.8": (0.8, 0, 0, {}, False),
    "1.3": (1.3, 0, 0, {}, False),
    "1.6": (1.6, 0, 0, {}, False),
    "burst": (0.65, 2.0, 6.0, {"rebuilds": 3.15}, False),
    "evacuated": (0.85, 2.0, 6.0, {}, True),
    "subsided": (0.5, 0.0, 3.0, dict.fromkeys(KINDS, 3.2), False),
}
LOAD_SECONDS = 7.0


class AdmissionFleet(Fleet):
    """A fleet that notes at each refusal whether the job would have fitted.

    :ivar fitting: the waiters of refused jobs for whose tasks workers were free.
    :ivar widths: number of tasks, by job.
    :ivar when_refused: is called with the answer to each refused job.
    """

    def __init__(self, *arguments, **options):
        self.fitting = set()
        self.widths = {}
        self.when_refused = None
        super().__init__(*arguments, **options)

    def perform(self, name, state, effect):
        if isinstance(effect, Answer) and effect.verdict.value == "not_run":
            if self.would_fit(self.arrivals[effect.waiter][3]):
                self.fitting.add(effect.waiter)
            if self.when_refused is not None:
                self.when_refused(effect)
        super().perform(name, state, effect)

    def would_fit(self, job):
        cpu = self.sizes[job][0]
        room = 0
        for worker in self.workers.values():
            if worker.data_centre not in self.evacuated:
                used = sum(self.size_of(run.key)[0] for run in worker.runs.values())
                room += max(0, worker.cpu - used) // cpu
        return room >= self.widths[job]


def admission_fleet(seed, policy):
    """Return six entries and eighteen workers, every third larger and faster."""
    queues = [queue("lookups", 0), queue("rebuilds", 2, 2), queue("checks", 1, 3)]
    fleet = AdmissionFleet(
        ENTRIES, WORKERS, seed, queues=queues, centres=CENTRES, policy=policy
    )
    fleet.in_order = True
    for number, worker in enumerate(fleet.workers.values()):
        worker.cpu = CPU
        if number // CENTRES % 3 == 2:
            worker.cpu = CPU * 3 // 2
            worker.pace = 1 / 1.3
        fleet.announce(worker.name)
    return fleet


def room(fleet):
    """Return by what factor ``KINDS`` fill the workers."""
    work = sum(rate * tasks * seconds for rate, tasks, seconds in KINDS.values())
    speed = sum(worker.cpu / worker.pace for worker in fleet.workers.values())
    return speed / (work * TASK_CPU)


class AdmissionLoad:
    """Arrivals of the three kinds at all entries, by one of ``SHAPES``.

    :ivar jobs: waiter, kind, entry and worth of each job.
    :ivar retried: the waiters of jobs that have come back after a refusal.
    """

    def __init__(self, fleet, shape, seed):
        self.fleet = fleet
        usual, self.begins, self.ends, self.factors, evacuates = SHAPES[shape]
        self.rate = usual * room(fleet)
        self.began = fleet.now
        self.generator = random.Random(seed)
        self.number = 0
        self.jobs = []
        self.retried = set()
        if evacuates:
            fleet.at(self.begins, lambda: fleet.evacuate("d0"))
            fleet.at(self.ends, lambda: fleet.take_back("d0"))
        for name in KINDS:
            self.next_arrival(name)

    def next_arrival(self, name):
        peak = KINDS[name][0] * self.rate * self.factors.get(name, 1.0)
        self.fleet.at(self.generator.expovariate(peak), lambda: self.arrive(name))

    def arrive(self, name):
        passed = self.fleet.now - self.began
        if passed >= LOAD_SECONDS:
            return
        is_extra = self.begins <= passed < self.ends
        factor = self.factors.get(name, 1.0)
        if is_extra or self.generator.random() < 1 / factor:
            self.submit(name)
        self.next_arrival(name)

    def submit(self, name):
        generator = self.generator
        _, width, mean = KINDS[name]
        self.number += 1
        tasks = round(generator.lognormvariate(-0.08, 0.4) * width)
        tasks = max(1, min(4 * width, tasks))
        seconds = mean * generator.lognormvariate(-0.08, 0.4)
        # Identifiers as callers choose them, since the retries are spread by them.
        identifier = f"{generator.getrandbits(64):016x}"
        self.fleet.widths[identifier] = tasks
        entry = generator.choice(self.fleet.entry_names)
        waiter = self.fleet.submit(
            entry,
            identifier,
            tasks,
            cpu=int(TASK_CPU * generator.lognormvariate(-0.02, 0.2)),
            seconds=seconds,
            wait=max(1.5, 5 * seconds),
            queue_name=name,
            estimate=seconds * generator.lognormvariate(0, 0.35),
        )
        size = min(4.0, 0.3 + 0.7 * tasks * seconds / width / mean)
        self.jobs.append((waiter, name, entry, size))

    def come_back(self, refusal):
        """Submit a refused job once more, after the delay that its caller was told."""
        if refusal.waiter not in self.retried:
            self.fleet.at(refusal.retry_after, lambda: self.submit_again(refusal))

    def submit_again(self, refusal):
        fleet = self.fleet
        _, chosen, seconds, job = fleet.arrivals[refusal.waiter]
        waiter = fleet.submit(
            self.generator.choice(fleet.entry_names),
            job,
            fleet.widths[job],
            cpu=fleet.sizes[job][0],
            seconds=seconds,
            wait=max(1.5, 5 * seconds),
            queue_name=chosen.name,
        )
        self.retried.add(waiter)
