"""All hosts lose power under the users' load and start again together."""

import collections
import random

from cactuswalk.dispatch.agentevents import EntriesRead
from cactuswalk.dispatch.effects import Answer, ReadEntries
from cactuswalk.dispatch.job import JobVerdict
from features.support.fleet import BOOT_SECONDS, Fleet, queue
from features.support.shiftedload import (
    CENTRES,
    CPU,
    ENTRIES,
    LATE_FACTOR,
    WORKERS,
    WaveLoad,
)

__all__ = ["OutageDay", "OutageFleet"]

# Rate of the waves at which 0.65 of the workers' capacity is used, by their speeds.
USUAL_RATE = 1.11
# Before the power fails, while the workers fill up.
WARM_SECONDS = 3.0
OFF_SECONDS = 1.0
# When processes are up, in seconds after the power is back.
ENTRY_UP_SECONDS = (0.02, 0.5)
AGENT_UP_SECONDS = (0.3, 0.5)
# Jobs that arrive later than this after the power is back should be on time.
SERVED_AFTER_SECONDS = 0.3
# Within this time after the power is back jobs are counted.
COUNTED_SECONDS = 2.5
STORE_TIMEOUT_SECONDS = 1.0
# Until the last counted job has ended or is useless.
DRAIN_SECONDS = 9.0


class OutageFleet(Fleet):
    """A fleet whose callers go to entries that are up, as the balancer sends them.

    :ivar unconfigured: entries that have not read the configuration yet.
    :ivar store_back_at: until when the store answers nobody.
    :ivar turned_away: number of jobs that came when no entry served.
    :ivar blind_refusals: seconds that jobs had waited which were refused while their
        entry knew no worker, by waiter.
    """

    def __init__(self, seed, policy, entries=ENTRIES, workers=WORKERS):
        self.unconfigured = set()
        self.store_back_at = 0.0
        self.turned_away = 0
        self.blind_refusals = {}
        self.failures = 0
        queues = [queue("lookups", 0), queue("rebuilds", 2, 2), queue("checks", 1, 3)]
        super().__init__(
            entries, workers, seed, queues=queues, centres=CENTRES, policy=policy
        )
        self.balancer = random.Random(seed)
        self.in_order = True
        for number, worker in enumerate(self.workers.values()):
            worker.cpu = CPU * 3 // 2 if number // CENTRES % 3 == 2 else CPU
            worker.pace = 1 / 1.3 if worker.cpu > CPU else 1.0
            self.announce(worker.name)

    def submit(self, entry, *arguments, **options):
        serving = [name for name in self.living() if name not in self.unconfigured]
        if not serving:
            self.turned_away += 1
            return next(self.waiter)
        if entry not in serving:
            entry = self.balancer.choice(serving)
        return super().submit(entry, *arguments, **options)

    def perform(self, name, state, effect):
        if isinstance(effect, ReadEntries) and self.now < self.store_back_at:
            self.at(
                STORE_TIMEOUT_SECONDS,
                lambda: self.deliver_if_same(name, state, EntriesRead(None)),
            )
            return
        super().perform(name, state, effect)
        is_refusal = isinstance(effect, Answer) and effect.verdict is JobVerdict.NOT_RUN
        if is_refusal and state.recovery.knows_no_worker():
            self.blind_refusals[effect.waiter] = self.took(effect.waiter)

    def cut_power(self):
        """Power all hosts off."""
        self.failures += 1
        for name in self.states:
            self.kill(name)
        for worker in self.workers.values():
            worker.crash()
            worker.up = False

    def start_all(self, late_agents=(), late_seconds=0.0):
        """Start all hosts; some agents' hosts come back later."""
        for name in self.entry_names:
            after = self.balancer.uniform(*ENTRY_UP_SECONDS)
            self.boot_after(after, self.boot_entry, name)
        for name in self.workers:
            after = self.balancer.uniform(*AGENT_UP_SECONDS)
            if name in late_agents:
                after += late_seconds
            self.boot_after(after, self.boot_agent, name)

    def boot_after(self, seconds, boot, name):
        """Boot a host after some seconds, unless the power fails again before."""
        failures = self.failures
        self.at(seconds, lambda: boot(name) if failures == self.failures else None)

    def boot_entry(self, name):
        self.clock_offsets[name] = BOOT_SECONDS - self.now
        self.start_entry(name, self.states[name].data_centre)
        if self.now < self.store_back_at:
            self.unconfigured.add(name)
            self.at(
                self.store_back_at - self.now, lambda: self.unconfigured.discard(name)
            )

    def boot_agent(self, name):
        self.workers[name].up = True
        self.boot(name)


class OutageDay:
    """A power failure under the usual load.

    :ivar back_at: when the power was back the last time.
    """

    def __init__(self, seed, policy, entries=ENTRIES, workers=WORKERS):
        self.fleet = OutageFleet(seed, policy, entries, workers)
        rate = USUAL_RATE * workers / WORKERS
        self.load = WaveLoad(self.fleet, rate, 60.0, seed)
        self.back_at = 0.0

    def play(self, late_share=0.0, late_seconds=0.0, again_after=0.0, store_down=0.0):
        """Play the failure, and its variants.

        :param late_share: of the hosts that come back ``late_seconds`` later.
        :param again_after: seconds after which the power fails again; 0 for never.
        :param store_down: seconds from when the power is back for which the store
            answers nobody.
        """
        fleet = self.fleet
        fleet.run(WARM_SECONDS)
        self.fail(late_share, late_seconds, store_down)
        if again_after:
            fleet.run(again_after)
            self.fail(late_share, late_seconds, store_down)
        fleet.run(COUNTED_SECONDS)
        self.load.until = fleet.now
        fleet.run(DRAIN_SECONDS)

    def fail(self, late_share, late_seconds, store_down):
        fleet = self.fleet
        fleet.cut_power()
        fleet.run(OFF_SECONDS)
        names = list(fleet.workers)
        late = names[: round(late_share * len(names))]
        self.back_at = fleet.now
        fleet.store_back_at = fleet.now + store_down
        fleet.start_all(late, late_seconds)

    def counts(self, first, last):
        """Return how the jobs ended that arrived in a time after the power was back."""
        ends = collections.Counter()
        for waiters in self.load.by_kind.values():
            for waiter, _ in waiters:
                if waiter not in self.fleet.arrivals:
                    continue
                after = self.fleet.arrivals[waiter][0] - self.back_at
                if first <= after < last:
                    ends[self.end_of(waiter)] += 1
        return ends

    def outage(self):
        """Return how the jobs ended that came before agents could be known."""
        return self.counts(0.0, SERVED_AFTER_SECONDS)

    def served(self):
        """Return how the jobs ended that should be on time."""
        return self.counts(SERVED_AFTER_SECONDS, COUNTED_SECONDS)

    def useful_blind_refusals(self):
        """Return the refused jobs that might have ended usefully.

        They were refused while their entry knew no worker, and a start then would have
        ended within the time in which their answers were worth something.
        """
        return [
            waiter
            for waiter, waited in self.fleet.blind_refusals.items()
            if waited + self.fleet.arrivals[waiter][2] <= self.useless_after(waiter)
        ]

    def useless_after(self, waiter):
        """Return after how many seconds a job's answer is worth nothing."""
        _, chosen, seconds, _ = self.fleet.arrivals[waiter]
        limit = chosen.stretch * seconds + chosen.allowance_ms / 1000
        return LATE_FACTOR * limit

    def end_of(self, waiter):
        fleet = self.fleet
        if waiter not in fleet.answers:
            return "none"
        if fleet.verdict(waiter) != "completed":
            return fleet.verdict(waiter)
        if fleet.is_on_time(waiter):
            return "on time"
        is_useful = fleet.took(waiter) <= self.useless_after(waiter)
        return "late" if is_useful else "useless"
