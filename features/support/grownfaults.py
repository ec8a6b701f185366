"""Faults that matter where many entries share agents, or where much fails at once."""

import math

from features.support.fleet import TURN_SECONDS
from features.support.fleetworker import CallFaults
from features.support.searchfaults import CALLS, SearchFaults

__all__ = ["GrownFaults"]

# Longer than an agent's patience with a silent home entry, and than its memory of
# another one.
SHORTEST_SILENCE_SECONDS, LONGEST_SILENCE_SECONDS = 1.4, 3.0

# Mean time between two late turns of an event loop, and the time in which what has come
# during a turn is handled.
LAG_GAP_SECONDS = 0.15
MOMENT_SECONDS = 0.0001

# How late an order may be carried out.
EARLIEST_ORDER_SECONDS, LATEST_ORDER_SECONDS = 2.0, 12.0


class GrownFaults(SearchFaults):
    """Changes home sets, and has workers, whole fleets and event loops fail.

    :ivar usual_stop_seconds: how long a run of a well worker goes on after its stop.
    :ivar lagging_until: by process, until when its event loop is late now and then.
    """

    def __init__(self, seed, entries, workers, centres):
        super().__init__(seed, entries, workers, centres)
        self.usual_stop_seconds = 0.0
        self.lagging_until = {}

    # Home sets that change.

    def silence(self):
        return self.generator.uniform(SHORTEST_SILENCE_SECONDS, LONGEST_SILENCE_SECONDS)

    def silence_entry(self):
        """Freeze an entry, or cut it off from its agents."""
        entry = self.any_entry()
        if self.generator.random() < 0.5:
            self.fleet.freeze(entry, self.silence())
        else:
            self.cut(self.some_links(entry, 1.0), self.silence())

    def silence_links(self):
        """Cut the links of an entry with some agents."""
        self.cut(self.some_links(self.any_entry(), 0.5), self.silence())

    def some_links(self, entry, share):
        """Return links of an entry with a share of the agents, perhaps one way."""
        ways = self.generator.choice(((0, 1), (0,), (1,)))
        links = set()
        for agent in self.fleet.workers:
            if self.generator.random() < share:
                links |= {((entry, agent), (agent, entry))[way] for way in ways}
        return links

    def restart_entry(self):
        self.replace_entry(self.generator.uniform(0.05, 0.5))

    def take_entry_away(self):
        self.replace_entry(self.generator.uniform(2.0, 6.0))

    def take_entry_away_for_long(self):
        """Take an entry away, perhaps until agents and entries have forgotten it."""
        self.replace_entry(self.generator.uniform(8.0, 25.0))

    def replace_entry(self, seconds):
        name = self.any_entry()
        if name not in self.fleet.dead:
            self.end_entry(name)
            self.start_entry_after(name, seconds)

    # Ill workers.

    def stall_worker(self):
        """Have the runs of a worker stand still, and those that it starts."""
        worker = self.any_worker()
        worker.advance(self.fleet.now)
        for run in worker.runs.values():
            run.slow_down(self.fleet.now, 1e6)
        worker.stalls = True
        self.fleet.at(self.span(), lambda: setattr(worker, "stalls", False))

    def delay_stops(self):
        worker = self.any_worker()
        worker.stop_seconds = self.generator.choice((0.06, 0.3, 1.0, math.inf))
        worker.forgets_stops = self.generator.random() < 0.5
        self.fleet.at(self.span(), lambda: self.make_well(worker))

    def stall_and_delay_stops(self):
        worker = self.any_worker()
        worker.stalls, worker.stop_seconds = True, math.inf
        self.fleet.at(self.span(), lambda: self.make_well(worker))

    def make_well(self, worker):
        worker.stalls, worker.forgets_stops = False, False
        worker.stop_seconds = self.usual_stop_seconds

    # All at once.

    def kill_all(self):
        """Kill all processes at once; workers go on."""
        self.kill_many(list(self.fleet.states))

    def kill_centre(self):
        centre = self.generator.choice(self.fleet.centre_names())
        states = self.fleet.states.items()
        self.kill_many([name for name, state in states if state.data_centre == centre])

    def kill_many(self, names):
        for name in names:
            if name not in self.fleet.dead:
                self.kill_one(name, self.generator.uniform(0.02, 2.5))

    def kill_one(self, name, down):
        fleet = self.fleet
        if name in fleet.workers:
            fleet.kill(name)
            fleet.at(down, lambda: fleet.start_agent(name))
        else:
            self.end_entry(name)
            self.start_entry_after(name, down)

    def power_off_all(self):
        """Power all hosts off at once, but those of some workers."""
        fleet = self.fleet
        for name in list(fleet.states):
            if name in fleet.dead:
                continue
            down = self.generator.uniform(0.5, 2.5)
            if name in fleet.workers and self.generator.random() < 0.5:
                fleet.reboot(name, down)
                continue
            self.kill_one(name, down)
            if name not in fleet.workers:
                fleet.clock_offsets[name] = -fleet.now

    # Orders that are carried out late.

    def delay_orders(self):
        worker = self.any_worker()
        late = self.generator.uniform(EARLIEST_ORDER_SECONDS, LATEST_ORDER_SECONDS)
        share = self.generator.choice((0.3, 0.7))
        kinds = [CALLS["start"]]
        if self.generator.random() < 0.3:
            kinds += [CALLS["stop"], CALLS["poll"]]
        for kind in kinds:
            worker.call_faults[kind] = CallFaults(share, late)
        self.fleet.at(self.span(), lambda: self.end_call_faults(worker))
        return worker

    def end_call_faults(self, worker):
        worker.call_faults = {kind: CallFaults() for kind in CALLS.values()}

    def delay_orders_and_restart(self):
        name = self.delay_orders().name
        delay = self.generator.uniform(0.05, 0.6)
        down = self.generator.uniform(0.02, 1.0)
        self.fleet.at(delay, lambda: self.restart_agent(name, down))

    # Event loops that are late.

    def slow_loops(self):
        """Have the event loops of some processes be late now and then."""
        names = list(self.fleet.states)
        for name in self.generator.sample(names, self.generator.randint(1, 5)):
            until = self.fleet.now + self.span()
            is_lagging = self.fleet.now < self.lagging_until.get(name, 0.0)
            self.lagging_until[name] = until
            if self.generator.random() < 0.5:
                self.fleet.calls.late_sends.add(name)
            if not is_lagging:
                self.lag(name)

    def starve(self):
        """Have each turn of the event loops of some processes be late."""
        names = list(self.fleet.states)
        for name in self.generator.sample(names, self.generator.randint(1, 5)):
            self.starve_one(name)

    def starve_one(self, name):
        if self.fleet.now >= self.lagging_until.get(name, 0.0):
            self.fleet.starved.add(name)
            self.lagging_until[name] = self.fleet.now + self.span()
            self.lag(name)

    def starve_and_break(self):
        """Starve an entry and some agents, and have its callers go elsewhere."""
        entry = self.any_entry()
        self.starve_one(entry)
        share = self.generator.choice((0.0, 0.5, 1.0))
        for name in self.fleet.workers:
            if self.generator.random() < share:
                self.starve_one(name)
        delay = self.generator.uniform(0.1, 1.5)
        self.fleet.at(delay, lambda: self.break_connections(entry))

    def lag(self, name):
        if self.fleet.now >= self.lagging_until.get(name, 0.0):
            self.end_lag(name)
            return
        seconds = self.generator.uniform(*TURN_SECONDS)
        self.fleet.freeze(name, seconds)
        pause = MOMENT_SECONDS
        if name not in self.fleet.starved:
            pause = self.generator.expovariate(1 / LAG_GAP_SECONDS)
        self.fleet.at(seconds + pause, lambda: self.lag(name))

    def end_lag(self, name):
        self.fleet.calls.late_sends.discard(name)
        self.fleet.starved.discard(name)
        self.fleet.read_callers(name)

    def heal(self):
        super().heal()
        for name in self.lagging_until:
            self.end_lag(name)
        self.lagging_until.clear()
        for worker in self.fleet.workers.values():
            self.make_well(worker)
