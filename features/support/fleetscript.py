"""Random days of a fleet: jobs arrive all the time while random faults occur."""

import random

from features.support.fleet import SERVICE, Fleet, queue

__all__ = ["RandomDay", "SERVICE"]

JOB_GAP_SECONDS = 0.03
FAULT_GAP_SECONDS = 0.4
RESEND_SECONDS = 1.3
LONGEST_WAIT_SECONDS = 4.0


class RandomDay:
    """A run of the fleet with jobs and faults drawn from one seed.

    :ivar calls: waiter, entry, job, tasks, seconds and whether the caller is connected.
    :ivar unanswered: jobs whose caller stayed connected and got no answer.
    :ivar false_refusals: jobs that were refused as not run although a task had run.
    """

    def __init__(self, seed, entries=3, workers=5, centres=None):
        self.generator = random.Random(seed)
        queues = [queue("checks"), queue("lookups", stretch=2.0, attempts=2)]
        self.fleet = Fleet(entries, workers, seed, queues=queues, centres=centres)
        self.jobs = 0
        self.calls = []
        self.faults = []
        self.ends_at = 0.0
        self.unanswered = []
        self.false_refusals = []
        self.fault_names = FAULTS
        self.fault_gap, self.job_gap = FAULT_GAP_SECONDS, JOB_GAP_SECONDS
        self.last_wait = 0.0
        self.healed_at = {}

    def play(self, seconds):
        fleet = self.fleet
        self.ends_at = fleet.now + seconds
        fleet.at(0.0, self.next_job)
        fleet.at(0.5, self.next_fault)
        fleet.run(seconds)
        self.heal()
        fleet.run(LONGEST_WAIT_SECONDS + 8.0)
        self.judge()

    def next_job(self):
        fleet, generator = self.fleet, self.generator
        if fleet.now >= self.ends_at:
            return
        self.jobs += 1
        self.submit(
            f"{self.jobs:016x}",
            generator.randint(1, 6),
            generator.uniform(0.05, 1.2),
            None,
        )
        fleet.at(generator.expovariate(1 / self.job_gap), self.next_job)

    def submit(self, identifier, tasks, seconds, avoid):
        alive = [
            name
            for name in self.fleet.entry_names
            if name not in self.fleet.dead and name != avoid
        ]
        if not alive:
            return
        entry = self.choose_entry(alive)
        wait = self.generator.uniform(0.8, LONGEST_WAIT_SECONDS)
        self.last_wait = wait
        waiter = self.fleet.submit(
            entry,
            identifier,
            tasks,
            seconds=seconds,
            wait=wait,
            queue_name=self.generator.choice(("checks", "lookups")),
            **self.needs(identifier),
        )
        self.calls.append([waiter, entry, identifier, tasks, seconds, True])
        if self.generator.random() < 0.05:
            self.fleet.at(
                self.generator.uniform(0.01, 0.5), lambda: self.leave(self.calls[-1])
            )

    def choose_entry(self, alive):
        return self.generator.choice(alive)

    def needs(self, identifier):
        """Return what a job's tasks need beside processors."""
        return {}

    def leave(self, call):
        if call[5] and call[0] not in self.fleet.answers:
            call[5] = False
            self.fleet.leave(call[1], call[0])

    def next_fault(self):
        if self.fleet.now >= self.ends_at:
            return
        name = self.generator.choice(self.fault_names)
        self.faults.append((round(self.fleet.now, 3), name))
        getattr(self, name)()
        gap = self.generator.expovariate(1 / self.fault_gap)
        self.fleet.at(gap, self.next_fault)

    # Faults.

    def any_entry(self):
        return self.generator.choice(self.fleet.entry_names)

    def any_agent(self):
        return self.generator.choice(list(self.fleet.workers))

    def span(self):
        return self.generator.uniform(0.2, 3.0)

    def kill_entry(self):
        fleet, name = self.fleet, self.any_entry()
        if name in fleet.dead:
            return
        self.end_entry(name)
        self.start_entry_after(name, self.span())

    def end_entry(self, name):
        """Kill an entry, and have its callers come back elsewhere."""
        self.fleet.kill(name)
        for call in self.calls:
            if call[1] == name and call[5] and call[0] not in self.fleet.answers:
                call[5] = False
                self.resend(call)

    def start_entry_after(self, name, seconds):
        centre = self.fleet.states[name].data_centre
        self.fleet.at(seconds, lambda: self.fleet.start_entry(name, centre))

    def resend(self, call):
        _, entry, identifier, tasks, seconds, _ = call
        if self.fleet.now + RESEND_SECONDS < self.ends_at:
            self.fleet.at(
                RESEND_SECONDS, lambda: self.submit(identifier, tasks, seconds, entry)
            )

    def kill_agent(self):
        fleet, name = self.fleet, self.any_agent()
        if name not in fleet.dead:
            fleet.kill(name)
            fleet.at(self.span(), lambda: fleet.start_agent(name))

    def kill_both(self):
        self.kill_entry()
        self.kill_agent()

    def crash_worker(self):
        self.fleet.workers[self.any_agent()].crash()

    def freeze_entry(self):
        self.fleet.freeze(self.any_entry(), self.span())

    def freeze_agent(self):
        self.fleet.freeze(self.any_agent(), self.span())

    def cut_one_way(self):
        pair = self.any_entry(), self.any_agent()
        if self.generator.random() < 0.5:
            pair = pair[::-1]
        self.cut({pair}, self.span())

    def cut_entry(self):
        entry = self.any_entry()
        self.cut(
            {(entry, agent) for agent in self.fleet.workers}
            | {(agent, entry) for agent in self.fleet.workers},
            self.span(),
        )

    def cut(self, pairs, seconds):
        """Cut links; one that is cut again meanwhile stays cut for the longer time."""
        fleet = self.fleet
        fleet.cuts |= pairs
        for pair in pairs:
            healed_at = self.healed_at.get(pair, 0.0)
            self.healed_at[pair] = max(healed_at, fleet.now + seconds)
        fleet.at(seconds, lambda: self.end_cuts(pairs))

    def end_cuts(self, pairs):
        now = self.fleet.now
        self.fleet.cuts -= {pair for pair in pairs if self.healed_at[pair] <= now}

    def cut_worker(self):
        worker = self.fleet.workers[self.any_agent()]
        worker.cut = True
        self.fleet.at(self.span(), lambda: setattr(worker, "cut", False))

    def lose_calls(self):
        worker = self.fleet.workers[self.any_agent()]
        worker.unanswered_share, worker.late = (
            0.4,
            self.generator.choice((0.0, 0.3, 2.0)),
        )
        self.fleet.at(self.span(), lambda: setattr(worker, "unanswered_share", 0.0))

    def slow_worker(self):
        worker = self.fleet.workers[self.any_agent()]
        worker.pace = 6.0
        self.fleet.at(self.span(), lambda: setattr(worker, "pace", 1.0))

    def fail_worker(self):
        worker = self.fleet.workers[self.any_agent()]
        worker.fails = True
        self.fleet.at(self.span(), lambda: setattr(worker, "fails", False))

    def drain_worker(self):
        worker = self.fleet.workers[self.any_agent()]
        worker.draining = True
        self.fleet.at(self.span(), lambda: setattr(worker, "draining", False))

    def heal(self):
        fleet = self.fleet
        fleet.cuts.clear()
        for worker in fleet.workers.values():
            worker.cut = worker.fails = worker.draining = False
            worker.unanswered_share, worker.pace = 0.0, 1.0

    # Verdict.

    def judge(self):
        first_start = {}
        for at, key, _, _ in self.fleet.starts:
            first_start.setdefault(key.job, at)
        said_run = {}
        for waiter, _, identifier, *_, connected in self.calls:
            answer = self.fleet.answers.get(waiter)
            if answer is None:
                if connected:
                    self.unanswered.append(identifier)
                continue
            said_run.setdefault(identifier, []).append(answer)
        tries = {}
        for call in self.calls:
            tries[call[2]] = tries.get(call[2], 0) + 1
        for identifier, answers in said_run.items():
            refused = [
                at for at, effect in answers if effect.verdict.value == "not_run"
            ]
            if len(refused) == tries[identifier] and identifier in first_start:
                self.false_refusals.append(identifier)

    def is_broken(self):
        """Return whether the day has violated a guarantee."""
        fleet = self.fleet
        return bool(
            fleet.overlaps or fleet.overloads or self.unanswered or self.false_refusals
        )

    def summary(self):
        fleet = self.fleet
        return (
            f"jobs {self.jobs}, answers {len(fleet.answers)}, "
            f"starts {len(fleet.starts)}, overlaps {fleet.overlaps[:3]}, "
            f"overloads {fleet.overloads}, "
            f"unanswered {self.unanswered[:3]}, "
            f"false refusals {self.false_refusals[:3]}, "
            f"faults {self.faults}"
        )


FAULTS = (
    "kill_entry",
    "kill_agent",
    "kill_both",
    "crash_worker",
    "freeze_entry",
    "freeze_agent",
    "cut_one_way",
    "cut_entry",
    "cut_worker",
    "lose_calls",
    "slow_worker",
    "fail_worker",
    "drain_worker",
)
