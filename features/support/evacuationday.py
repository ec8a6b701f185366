"""Random days with evacuations of data centres among all other faults."""

import random

from features.support.fleetscript import RandomDay

__all__ = ["EvacuationDay"]

# How long after an evacuation tasks may still start in its data centre: processes that
# are frozen or partitioned take up to three seconds to learn of it.
MAX_START_DELAY_SECONDS = 4.0

MEAN_INTERVAL_SECONDS = 1.5
MAX_EVACUATION_SECONDS = 6.0


class EvacuationDay(RandomDay):
    """A random day of one seed.

    :ivar operator: random generator for the operator's decisions.
    :ivar spans: data centre, begin and end of each evacuation.
    :ivar late_starts: starts in a data centre too long after its evacuation.
    """

    def __init__(self, seed, entries=4, workers=6, centres=3):
        super().__init__(seed, entries, workers, centres)
        self.operator = random.Random(f"operator {seed}")
        self.spans = []
        self.late_starts = []

    def play(self, seconds):
        self.fleet.at(0.3, self.next_request)
        super().play(seconds)

    def next_request(self):
        fleet = self.fleet
        if fleet.now >= self.ends_at:
            return
        free = set(fleet.centre_names()) - fleet.evacuated
        if free:
            self.evacuate(self.operator.choice(sorted(free)))
        away = self.operator.randint(0, len(fleet.entry_names) - 1)
        fleet.cut_from_store = set(self.operator.sample(fleet.entry_names, away))
        for name in fleet.living():
            fleet.read_store(name)
        gap = self.operator.expovariate(1 / MEAN_INTERVAL_SECONDS)
        fleet.at(gap, self.next_request)

    def evacuate(self, centre):
        fleet = self.fleet
        fleet.evacuate(centre)
        began = fleet.now

        def take_back():
            self.spans.append((centre, began, fleet.now))
            fleet.take_back(centre)

        fleet.at(self.operator.uniform(0.1, MAX_EVACUATION_SECONDS), take_back)

    def judge(self):
        super().judge()
        for at, key, _, worker in self.fleet.starts:
            centre = self.fleet.workers[worker].data_centre
            for evacuated, began, ended in self.spans:
                late = began + MAX_START_DELAY_SECONDS < at < ended
                if evacuated == centre and late:
                    self.late_starts.append((at, key, worker, began))

    def is_broken(self):
        """Return whether the day has violated a guarantee."""
        return super().is_broken() or bool(self.late_starts)
