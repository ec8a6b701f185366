"""More load than there is room for, and what each way of admission makes of it.

``python -m features.support.admissionload SHAPE SEEDS`` prints the figures with
``predict_admission`` off and on, as ``docs/design/predicted-admission.md`` has them.
"""

import random
import statistics
import sys

import msgspec

from cactuswalk.dispatch.effects import Answer
from cactuswalk.dispatch.loadpolicy import LoadPolicy
from features.support.fleet import Fleet, queue
from features.support.shiftedload import CENTRES, CPU, ENTRIES, WORKERS, WORTH

__all__ = ["SHAPES", "AdmissionLoad", "Figures", "admission_fleet", "play"]

# By kind: jobs per second, tasks per job, seconds per task; half of the work is the
# long kind's. ``room`` scales the rates to the workers.
KINDS = {
    "lookups": (28.0, 8, 0.12),
    "rebuilds": (11.0, 4, 1.8),
    "checks": (81.0, 2, 0.4),
}
TASK_CPU = 1_300
# What entries know of jobs and workers when the load has just begun is not judged.
SETTLE_SECONDS = 1.0

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


class Figures(msgspec.Struct):
    """What became of a load's jobs.

    :param at_once: part of the refused jobs that were answered within 30 ms.
    :param refused_later: part of the admitted jobs that were refused later.
    :param refused_fitting: refused jobs for whose tasks workers were free.
    :param by_entry: refused part of the jobs, by entry.
    :param on_time: part of the jobs that were on time, by kind.
    :param worth: served, in parts of what all jobs on time would be worth.
    :param refused_waits: seconds until each refusal.
    """

    jobs: int
    refused: int
    at_once: float
    refused_later: float
    refused_fitting: int
    late: int
    by_entry: dict[str, float]
    on_time: dict[str, float]
    worth: float
    refused_waits: list[float]

    @property
    def entry_ratio(self):
        """Return the largest refused part of an entry relative to the smallest."""
        least = min(self.by_entry.values())
        return max(self.by_entry.values()) / least if least else float("inf")


def play(shape, seed, policy, prepare=None):
    """Play a load; return the fleet, the load and the figures.

    :param prepare: is called with the fleet before the load begins, to break something.
    """
    fleet = admission_fleet(seed, policy)
    if prepare is not None:
        prepare(fleet)
    load = AdmissionLoad(fleet, shape, seed)
    fleet.run(LOAD_SECONDS + 8.0)
    return fleet, load, judge(fleet, load)


def judge(fleet, load):
    settled = load.began + SETTLE_SECONDS
    jobs = [job for job in load.jobs if fleet.arrivals[job[0]][0] >= settled]
    is_refused = {w: fleet.verdict(w) == "not_run" for w, *_ in jobs}
    refused = [w for w, *_ in jobs if is_refused[w]]
    waits = [fleet.took(w) for w in refused]
    admitted = len(jobs) - sum(wait == 0.0 for wait in waits)
    by_entry, on_time = {}, {}
    for name in fleet.entry_names:
        came = [w for w, _, entry, _ in jobs if entry == name]
        by_entry[name] = sum(map(is_refused.get, came)) / max(1, len(came))
    for kind in KINDS:
        came = [w for w, name, _, _ in jobs if name == kind]
        on_time[kind] = sum(map(fleet.is_on_time, came)) / len(came)
    earned = sum(size * worth_of(fleet, name, w) for w, name, _, size in jobs)
    owed = sum(size * WORTH[name][0] for _, name, _, size in jobs)
    late = sum(
        not fleet.is_on_time(w) and fleet.verdict(w) == "completed" for w, *_ in jobs
    )
    return Figures(
        len(jobs),
        len(refused),
        sum(wait <= 0.03 for wait in waits) / max(1, len(waits)),
        sum(wait > 0.0 for wait in waits) / max(1, admitted),
        len(fleet.fitting & set(refused)),
        late,
        by_entry,
        on_time,
        earned / owed,
        waits,
    )


def worth_of(fleet, name, waiter):
    if fleet.verdict(waiter) != "completed":
        return 0.0
    _, chosen, seconds, _ = fleet.arrivals[waiter]
    aim = chosen.stretch * seconds + chosen.allowance_ms / 1000
    took = fleet.took(waiter)
    if took <= aim:
        return WORTH[name][0]
    return WORTH[name][1] if took <= 3 * aim else 0.0


def main(shapes, seeds):
    for shape in shapes.split(","):
        for is_on in (False, True):
            policy = LoadPolicy(predicts_admission=is_on)
            results = [play(shape, seed, policy)[2] for seed in range(1, seeds + 1)]
            show(f"{shape} {'on' if is_on else 'off'}", results)


def show(title, results):
    """Print the means over the seeds."""

    def mean(get):
        return statistics.fmean(map(get, results))

    waits = [wait for result in results for wait in result.refused_waits]
    entries = results[0].by_entry
    by_entry = [mean(lambda r, e=e: r.by_entry[e]) for e in entries]
    print(
        f"{title:14} worth {mean(lambda r: r.worth):.4f}",
        f"refused {mean(lambda r: r.refused / r.jobs):.3f}",
        f"(fitting {mean(lambda r: r.refused_fitting / r.jobs):.3f})",
        f"median wait {statistics.median(waits) if waits else 0:.3f}",
        f"at once {mean(lambda r: r.at_once):.2f}",
        f"refused later {mean(lambda r: r.refused_later):.3f}",
        f"late {mean(lambda r: r.late / r.jobs):.3f}",
        f"by entry {min(by_entry):.3f}-{max(by_entry):.3f}",
        *(
            f"{kind} {mean(lambda r, k=kind: r.on_time[k]):.3f}"
            for kind in results[0].on_time
        ),
        flush=True,
    )


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
