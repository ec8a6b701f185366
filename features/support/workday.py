"""Counts of what entries and agents do on a fixed day of the model."""

import collections

from cactuswalk.dispatch.effects import (
    PollWorker,
    Say,
    SendMessage,
    StartTask,
    StopTask,
)
from features.support.fleet import Fleet, queue
from features.support.shiftedload import WaveLoad

__all__ = ["count_work"]

ENTRIES = 12
WORKERS = 24
CENTRES = 3
SEED = 5
REST_SECONDS = 5.0
BUSY_SECONDS = 5.0
# Times the rate of ``WaveLoad`` for eighteen workers: some 45 starts a second an agent.
RATE = 2.4
CPU = 32_000


class CountingFleet(Fleet):
    """A fleet that counts events, effects and frames, by role and kind."""

    def __init__(self, *arguments, **options):
        self.counts = collections.Counter()
        self.receivers = set()
        super().__init__(*arguments, **options)

    def role_of(self, name):
        return "agent" if name in self.workers else "entry"

    def deliver(self, name, event):
        """Deliver an event; a frame carries all messages of one turn to a receiver."""
        self.receivers = set()
        super().deliver(name, event)
        self.counts[self.role_of(name), "events"] += 1
        self.counts[self.role_of(name), "frames sent"] += len(self.receivers)
        for receiver in self.receivers:
            self.counts[self.role_of(receiver), "frames received"] += 1

    def perform(self, name, state, effect):
        role = self.role_of(name)
        if isinstance(effect, SendMessage):
            self.receivers.add(effect.address)
            self.counts[role, f"message {type(effect.message).__name__}"] += 1
        elif isinstance(effect, (StartTask, StopTask, PollWorker)):
            self.counts[role, f"call {type(effect).__name__}"] += 1
        elif isinstance(effect, Say):
            self.counts[role, f"log line {effect.level}"] += 1
        super().perform(name, state, effect)


def count_work():
    """Return counts for each process and second, by period, role and kind."""
    queues = [queue("lookups", 0), queue("rebuilds", 2, 2), queue("checks", 1, 3)]
    fleet = CountingFleet(
        ENTRIES, WORKERS, SEED, cpu=CPU, queues=queues, centres=CENTRES
    )
    fleet.in_order = True
    fleet.run(4.0)
    table = {"at rest": count_period(fleet, REST_SECONDS)}
    load = WaveLoad(fleet, RATE, BUSY_SECONDS, SEED)
    table["busy"] = count_period(fleet, BUSY_SECONDS)
    assert sum(map(len, load.by_kind.values())) > 0
    return table


def count_period(fleet, seconds):
    fleet.counts.clear()
    fleet.run(seconds)
    processes = {"agent": WORKERS, "entry": ENTRIES}
    return {
        role: {
            kind: round(count / seconds / number, 2)
            for (counted, kind), count in sorted(fleet.counts.items())
            if counted == role
        }
        for role, number in processes.items()
    }
