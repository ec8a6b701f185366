"""A load some of whose jobs crash the workers that start them."""

import random

from features.support.fleet import Fleet, queue
from features.support.fleetload import PACES, Load

__all__ = ["CrashDay", "crashed_starts"]

# A worker that a task has crashed is down for this long.
DOWN_SECONDS = 4.5


def crashed_starts(fleet, job):
    """Return the times at which a task that crashes its workers was started."""
    return [at for at, key, _, _ in fleet.starts if key.job == job and not key.index]


class CrashDay:
    """Six seconds of the users' load; during three, one kind has poisoned jobs.

    :param share: share of the kind's jobs whose first task crashes its workers.
    :param refuses: a worker that is down refuses connections, else it is silent.
    :param chance: share of the workers that crash at once, by no task.
    """

    def __init__(self, seed, kind="lookups", share=0.05, refuses=True, chance=0.0):
        queues = [queue("lookups", 0), queue("rebuilds", 2, 2), queue("checks", 1)]
        self.fleet = Fleet(4, 24, seed, queues=queues)
        self.fleet.in_order = True
        for number, worker in enumerate(self.fleet.workers.values()):
            worker.pace = PACES[number % 3]
        self.generator = random.Random(seed)
        self.kind, self.share, self.refuses = kind, share, refuses
        self.poisoned = {}
        self.submit_sound, self.fleet.submit = self.fleet.submit, self.submit
        self.began = self.fleet.now
        self.load = Load(self.fleet, 1.0, 6.0, seed)
        if chance:
            for at in (2.0, 3.5):
                self.fleet.at(at, lambda: self.crash_by_chance(chance))

    def submit(self, entry, identifier, *arguments, **options):
        waiter_kind = options["queue_name"]
        in_time = 1.0 <= self.fleet.now - self.began < 4.0
        poisoned = waiter_kind == self.kind and in_time
        if poisoned and self.generator.random() < self.share:
            self.fleet.crashing[identifier] = (DOWN_SECONDS, self.refuses)
        waiter = self.submit_sound(entry, identifier, *arguments, **options)
        if identifier in self.fleet.crashing:
            self.poisoned[identifier] = waiter
        return waiter

    def crash_by_chance(self, share):
        for worker in self.fleet.workers.values():
            if worker.up and self.generator.random() < share:
                worker.crash_for(DOWN_SECONDS, self.refuses)

    def play(self):
        self.fleet.run(24.0)
        return self

    # Results.

    def crashes(self):
        """Return how many workers each poisoned job has crashed."""
        return [len(crashed_starts(self.fleet, job)) for job in self.poisoned]

    def give_up_seconds(self):
        """Return how long the poisoned jobs took that were answered as failed."""
        waiters = self.poisoned.values()
        return [
            self.fleet.took(waiter)
            for waiter in waiters
            if self.verdict(waiter) == "failed"
        ]

    def verdict(self, waiter):
        answer = self.fleet.answers.get(waiter)
        return "" if answer is None else answer[1].verdict.value

    def sound(self):
        """Return the waiters of the jobs that crash no worker."""
        poisoned = set(self.poisoned.values())
        return [waiter for waiter in self.fleet.arrivals if waiter not in poisoned]

    def failed_sound_jobs(self):
        return [waiter for waiter in self.sound() if self.verdict(waiter) == "failed"]

    def late_sound_jobs(self):
        return [waiter for waiter in self.sound() if not self.fleet.is_on_time(waiter)]

    def unanswered(self):
        arrivals = self.fleet.arrivals
        return [waiter for waiter in arrivals if waiter not in self.fleet.answers]
