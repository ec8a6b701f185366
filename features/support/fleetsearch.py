"""A search for tasks that run twice at once: random days of a chosen mix of faults.

Beside the faults of ``RandomDay`` it loses single kinds of calls, crashes workers by
their tasks, changes capacities, delivers messages of processes that are gone, reboots
hosts, has workers leave or refuse connections while they run, and has callers give up
on an entry that is paused, and come back elsewhere.
"""

import collections

from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from features.support.fleetscript import FAULTS, RESEND_SECONDS, RandomDay
from features.support.fleetworker import CallFaults

__all__ = ["MIXES", "SearchDay", "play_days"]

# How long a caller waits beyond the time that it has told its entry.
PATIENCE_SECONDS = 0.5

# How soon a caller notices its answer.
LOOK_SECONDS = 0.005

# What tasks need and workers have, in mixes of all sizes.
NEEDS_MB = (64, 4_096, 12_288)
CAPACITIES_MB = (8_192, 16_384, 32_768, 65_536)

CALLS = {"start": StartTask, "stop": StopTask, "poll": PollWorker}


class Mix:
    """A mix of faults, and what holds for the whole day.

    :ivar faults: names of faults; one that is named twice is twice as frequent.
    :ivar gap: mean seconds between faults.
    :ivar job_gap: mean seconds between jobs.
    :ivar stretch: factor by which tasks are longer than those of ``RandomDay``, so that
        some outlast the callers' pause before a second attempt.
    :ivar crashing_share: share of jobs whose first task crashes its worker.
    :ivar drift: fraction by which the workers' clocks are slow.
    :ivar guards: workers refuse what exceeds their capacity.
    :ivar read_callers: seconds after a freeze in which an entry learns whose connection
        has broken.
    :ivar sizes: some tasks need much memory, or an accelerator; each worker has four.
    :ivar again: seconds after which callers send a job again that was refused or not
        finished; None for never.
    """

    def __init__(
        self,
        faults,
        gap=0.4,
        job_gap=0.08,
        stretch=3.0,
        crashing_share=0.0,
        drift=0.0,
        guards=True,
        read_callers=0.002,
        again=None,
        sizes=False,
    ):
        self.faults = faults
        self.gap = gap
        self.job_gap = job_gap
        self.stretch = stretch
        self.crashing_share = crashing_share
        self.drift = drift
        self.guards = guards
        self.read_callers = read_callers
        self.again = again
        self.sizes = sizes


def play_days(first, last, mix, seconds):
    """Play days with consecutive seeds, and check that each keeps every guarantee."""
    days = []
    for seed in range(first, last + 1):
        day = SearchDay(seed, mix)
        day.play(seconds)
        assert not day.is_broken(), f"seed {seed}: {day.summary()}"
        days.append(day)
    return days


class SearchDay(RandomDay):
    """A random day of a mix.

    Its callers come back to another entry after their connection has broken, or when
    they had no answer in their own time.
    """

    def __init__(self, seed, mix="all", entries=3, workers=5, centres=None):
        super().__init__(seed, entries, workers, centres)
        self.mix = MIXES[mix]
        self.fault_names = self.mix.faults
        self.fault_gap, self.job_gap = self.mix.gap, self.mix.job_gap
        for worker in self.fleet.workers.values():
            worker.drift, worker.guards = self.mix.drift, self.mix.guards
            if self.mix.sizes:
                worker.resize(gpu=4)
        self.fleet.read_callers_seconds = self.mix.read_callers
        self.cut_until = {}
        self.open_calls = []
        if self.mix.again is not None:
            self.fleet.at(LOOK_SECONDS, self.look_at_answers)

    # Callers.

    def submit(self, identifier, tasks, seconds, avoid):
        if avoid is None and self.generator.random() < self.mix.crashing_share:
            down = self.generator.uniform(0.3, 3.0), self.generator.random() < 0.6
            self.fleet.crashing[identifier] = down
        if avoid is None:
            seconds *= self.mix.stretch
        before = len(self.calls)
        super().submit(identifier, tasks, seconds, avoid)
        self.open_calls += self.calls[before:]
        for call in self.calls[before:]:
            self.fleet.at(
                self.last_wait + PATIENCE_SECONDS, lambda call=call: self.give_up(call)
            )

    def needs(self, identifier):
        """Return what a job's tasks need, the same at each of its attempts."""
        if not self.mix.sizes:
            return {}
        number = int(identifier, 16)
        return {"memory_mb": NEEDS_MB[number % len(NEEDS_MB)], "gpu": number % 2}

    def give_up(self, call):
        fleet, entry = self.fleet, call[1]
        if not call[5] or call[0] in fleet.answers:
            return
        came_at = fleet.arrivals[call[0]][0]
        held_up = max(fleet.frozen.get(entry, 0.0), self.cut_until.get(entry, 0.0))
        if entry not in fleet.dead and held_up < came_at:
            self.unanswered.append(call[2])
        self.leave(call)
        self.resend(call)

    def look_at_answers(self):
        """Send jobs again that have been answered and not been completed."""
        fleet = self.fleet
        answered = [call for call in self.open_calls if call[0] in fleet.answers]
        self.open_calls = [call for call in self.open_calls if call not in answered]
        for waiter, entry, identifier, tasks, seconds, connected in answered:
            if connected and fleet.verdict(waiter) != "completed":
                job = identifier, tasks, seconds, entry
                fleet.at(self.mix.again, lambda job=job: self.submit(*job))
        if fleet.now < self.ends_at:
            fleet.at(LOOK_SECONDS, self.look_at_answers)

    def leave(self, call):
        """Have a caller go; an entry that is cut off learns it after the cut."""
        healed_at = self.cut_until.get(call[1], 0.0)
        if healed_at <= self.fleet.now:
            super().leave(call)
        elif call[5] and call[0] not in self.fleet.answers:
            call[5] = False
            delay = healed_at - self.fleet.now + self.generator.uniform(0.01, 0.5)
            self.fleet.at(delay, lambda: self.fleet.leave(call[1], call[0]))

    def break_connections(self, entry):
        """Have all callers of an entry notice that their connection has broken."""
        for call in self.calls:
            if call[1] == entry and call[5] and call[0] not in self.fleet.answers:
                self.leave(call)
                self.resend(call)

    # Faults.

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
        # A cut of an entry lasts for as long as its callers' leaving is held back.
        cut_off = {
            pair
            for pair in self.fleet.cuts
            if any(self.cut_until.get(name, 0.0) > self.fleet.now for name in pair)
        }
        super().heal()
        self.fleet.cuts |= cut_off
        self.fleet.held_up.clear()
        self.fleet.calls.pauses.clear()
        self.fleet.crashing.clear()
        for worker in self.fleet.workers.values():
            worker.refuses = not worker.up
            worker.resize(32_000, 65_536, 4 if self.mix.sizes else 0)
            worker.call_faults = {kind: CallFaults() for kind in CALLS.values()}

    # Verdict.

    def is_broken(self):
        """Return whether the day has violated a guarantee.

        A worker that guards its capacity may refuse starts.
        """
        fleet = self.fleet
        return bool(
            fleet.overlaps
            or fleet.unguarded_overloads
            or self.unanswered
            or self.false_refusals
        )

    def causes(self):
        """Count the overlaps by the log line that led to the second run."""
        counts = collections.Counter()
        for at, key, _, _ in self.fleet.overlaps:
            why = "another attempt"
            for said_at, name, line in reversed(self.fleet.lines):
                fields = line.fields
                if said_at > at or line.sentence != "a task runs again":
                    continue
                if (fields["job"], fields["index"]) == (key.job, key.index):
                    if at - said_at < RESEND_SECONDS:
                        why = f"{name[0]}: {fields['end']}, {fields['reason']}"
                    break
            counts[why] += 1
        return counts


CALL_LOSSES = tuple(
    f"{verb}_{kind}s" for verb in ("lose", "unconfirm") for kind in CALLS
)
CALLERS = ("break_callers", "freeze_entry_and_break", "cut_entry_and_break")
WORKERS = ("take_worker_down", "resize_worker", "crash_worker")
RESIZED = ("resize_worker", "resize_memory", "resize_accelerators", "crash_worker")
LATE = ("hold_up_agent", "hold_up_entry", "hold_up_and_restart", "hold_up_and_reboot")

# Mixes with few kinds isolate a cause, and "rest" leaves out what is known to break a
# guarantee. "depart" and "refuse" suppose that a worker runs
# on after it has announced its departure, or while its address refuses connections.
MIXES = {
    "starts": Mix(("lose_starts", "unconfirm_starts", "kill_entry", "kill_agent")),
    "stops": Mix(("lose_stops", "unconfirm_stops", "kill_entry", "break_callers")),
    "polls": Mix(("lose_polls", "unconfirm_polls", "kill_entry", "kill_agent")),
    "calls": Mix((*CALL_LOSSES, "kill_both", "break_callers")),
    "crashing": Mix(("take_worker_down",), crashing_share=0.05),
    "crashing-kills": Mix(
        ("take_worker_down", "crash_worker", "kill_agent", "kill_entry"),
        crashing_share=0.05,
    ),
    "capacity": Mix(("resize_worker", "crash_worker")),
    "capacity-unguarded": Mix(("resize_worker", "crash_worker"), guards=False),
    "capacity-sizes": Mix(RESIZED, sizes=True),
    "capacity-sizes-unguarded": Mix(RESIZED, guards=False, sizes=True),
    "restarts": Mix(("hold_up_and_restart", "hold_up_agent")),
    "reboots": Mix(("hold_up_and_reboot", "reboot_agent")),
    "entries-late": Mix(("hold_up_entry", "kill_entry", "hold_up_agent")),
    "callers-broken": Mix(("break_callers", "cut_entry_and_break")),
    "callers-paused": Mix(("freeze_entry_and_break",)),
    "callers-cut": Mix(("cut_entry_and_break",), gap=1.0),
    "callers-paused-late": Mix(("freeze_entry_and_break",), read_callers=0.05),
    "again-later": Mix(FAULTS, again=1.0),
    "again-at-once": Mix(("no_fault",), again=0.0),
    "paused": Mix(("freeze_entry", "freeze_agent")),
    "depart": Mix(("depart_worker",)),
    "refuse": Mix(("refuse_connections",)),
    "slow-clocks": Mix(
        ("cut_worker", "freeze_agent", "kill_both"), 1.5, job_gap=1.0, drift=0.02
    ),
    "paused-start": Mix(("pause_before_start",)),
    "standard": Mix(FAULTS),
    "standard-short": Mix(FAULTS, job_gap=0.03, stretch=1.0),
    "all": Mix(
        (*FAULTS, *CALL_LOSSES, *CALLERS, *WORKERS, *LATE, "reboot_agent"),
        gap=0.25,
        crashing_share=0.01,
    ),
    "all-light": Mix(
        (*FAULTS, *CALL_LOSSES, *CALLERS, *WORKERS, "reboot_agent"),
        job_gap=0.2,
        crashing_share=0.02,
    ),
    "rest": Mix(
        (
            *(name for name in FAULTS if not name.startswith("freeze_entry")),
            *(name for name in CALL_LOSSES if not name.endswith("stops")),
            *WORKERS,
            *("break_callers", "reboot_agent", "hold_up_and_restart"),
            *("hold_up_agent", "hold_up_entry"),
        ),
        gap=0.25,
        job_gap=0.12,
        crashing_share=0.02,
    ),
    "all-unguarded": Mix(
        (*FAULTS, *CALL_LOSSES, *WORKERS, "reboot_agent", "break_callers"),
        gap=0.25,
        guards=False,
        drift=0.02,
    ),
}
