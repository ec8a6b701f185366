"""Faults of the search beside those of ``RandomDay``."""

from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from features.support.fleetscript import RandomDay
from features.support.fleetworker import CallFaults

__all__ = ["CALLS", "SearchFaults"]

CALLS = {"start": StartTask, "stop": StopTask, "poll": PollWorker}

# What workers have, in mixes of all sizes.
CAPACITIES_MB = (8_192, 16_384, 32_768, 65_536)


class SearchFaults(RandomDay):
    """Loses single kinds of calls, and has processes and workers go and come back.

    :ivar cut_until: by entry, until when it is cut off from its callers.
    """

    def __init__(self, seed, entries, workers, centres):
        super().__init__(seed, entries, workers, centres)
        self.cut_until = {}

    def no_fault(self):
        """Leave everything as it is."""

    def break_callers(self):
        self.break_connections(self.any_entry())

    def freeze_entry_and_break(self):
        name, seconds = self.any_entry(), self.generator.uniform(0.5, 4.0)
        self.fleet.freeze(name, seconds)
        self.fleet.at(
            self.generator.uniform(0.0, seconds), lambda: self.break_connections(name)
        )

    def cut_entry_and_break(self):
        entry = self.any_entry()
        others = [name for name in self.fleet.states if name != entry]
        seconds = self.span()
        pairs = {(entry, other) for other in others}
        pairs |= {(other, entry) for other in others}
        self.cut(pairs, seconds)
        self.cut_until[entry] = max(
            self.cut_until.get(entry, 0.0), self.fleet.now + seconds
        )
        self.break_connections(entry)

    def any_worker(self):
        return self.fleet.workers[self.any_agent()]

    def fault_calls(self, kind, faults):
        worker = self.any_worker()
        worker.call_faults[kind] = faults
        self.fleet.at(
            self.span(),
            lambda: worker.call_faults.__setitem__(kind, CallFaults()),
        )

    def lose(self, kind):
        share = self.generator.choice((0.3, 0.7, 1.0))
        late = self.generator.choice((0.0, 0.05, 0.3, 2.0))
        self.fault_calls(CALLS[kind], CallFaults(share, late))

    def lose_starts(self):
        self.lose("start")

    def lose_stops(self):
        self.lose("stop")

    def lose_polls(self):
        self.lose("poll")

    def unconfirm(self, kind):
        share = self.generator.choice((0.3, 0.7, 1.0))
        self.fault_calls(CALLS[kind], CallFaults(unconfirmed_share=share))

    def unconfirm_starts(self):
        self.unconfirm("start")

    def unconfirm_stops(self):
        self.unconfirm("stop")

    def unconfirm_polls(self):
        self.unconfirm("poll")

    def take_worker_down(self):
        refuses = self.generator.random() < 0.5
        self.any_worker().crash_for(self.span(), refuses)

    def resize_worker(self):
        self.any_worker().resize(self.generator.choice((6_000, 12_000, 24_000, 32_000)))

    def resize_memory(self):
        self.any_worker().resize(memory_mb=self.generator.choice(CAPACITIES_MB))

    def resize_accelerators(self):
        self.any_worker().resize(gpu=self.generator.choice((0, 1, 2, 4)))

    def depart_worker(self):
        runs_on = self.generator.uniform(0.02, 0.5)
        self.any_worker().depart(runs_on, self.span())

    def refuse_connections(self):
        worker = self.any_worker()
        worker.refuses = True
        self.fleet.at(self.span(), lambda: setattr(worker, "refuses", not worker.up))

    def reboot_agent(self):
        name = self.any_agent()
        if name not in self.fleet.dead:
            self.fleet.reboot(name, self.span())

    def hold_up(self, name, seconds):
        """Hold up what this incarnation of a process sends to some others."""
        others = self.fleet.workers
        if name in others:
            others = self.fleet.entry_names
        incarnation = self.fleet.states[name].incarnation
        for other in others:
            if self.generator.random() < 0.7:
                self.fleet.held_up[incarnation, other] = self.fleet.now + seconds

    def hold_up_agent(self):
        self.hold_up(self.any_agent(), self.span())

    def hold_up_entry(self):
        self.hold_up(self.any_entry(), self.span())

    def hold_up_and_kill(self, name, down):
        """Kill an agent some of whose messages arrive only after its successor's."""
        if name in self.fleet.dead:
            return False
        self.hold_up(name, down + self.generator.uniform(0.2, 3.0))
        return True

    def hold_up_and_restart(self):
        name, down = self.any_agent(), self.generator.uniform(0.1, 2.0)
        if self.hold_up_and_kill(name, down):
            delay = self.generator.uniform(0.05, 0.5)
            self.fleet.at(delay, lambda: self.restart_agent(name, down))

    def restart_agent(self, name, down):
        if name not in self.fleet.dead:
            self.fleet.kill(name)
            self.fleet.at(down, lambda: self.fleet.start_agent(name))

    def hold_up_and_reboot(self):
        name, down = self.any_agent(), self.generator.uniform(0.5, 3.0)
        if self.hold_up_and_kill(name, down):
            delay = self.generator.uniform(0.05, 0.5)
            self.fleet.at(delay, lambda: self.reboot_if_alive(name, down))

    def reboot_if_alive(self, name, down):
        if name not in self.fleet.dead:
            self.fleet.reboot(name, down)

    def pause_before_start(self):
        self.fleet.calls.pauses[self.any_agent()] = self.generator.uniform(0.3, 1.8)

    def heal(self):
        super().heal()
        self.cut_until.clear()
        self.fleet.held_up.clear()
        self.fleet.calls.pauses.clear()
        self.fleet.crashing.clear()
        for worker in self.fleet.workers.values():
            worker.refuses = not worker.up
            worker.resize(32_000, 65_536, 4 if self.mix.sizes else 0)
            worker.call_faults = {kind: CallFaults() for kind in CALLS.values()}
