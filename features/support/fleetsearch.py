"""A search for tasks that run twice at once: random days of a chosen mix of faults.

Beside the faults of ``RandomDay`` it loses single kinds of calls, crashes workers by
their tasks, changes capacities, delivers messages of processes that are gone, reboots
hosts, has workers leave or refuse connections while they run, and has callers give up
on an entry that is paused, and come back elsewhere.
"""

import collections

from features.support.fleetscript import RESEND_SECONDS
from features.support.grownfaults import GrownFaults
from features.support.searchmixes import MIXES
from features.support.searchshapes import SHAPES

__all__ = ["SearchDay", "make_day", "play_days"]

# How long a caller waits beyond the time that it has told its entry.
PATIENCE_SECONDS = 0.5

# How soon a caller notices its answer.
LOOK_SECONDS = 0.005

# What tasks need, in mixes of all sizes.
NEEDS_MB = (64, 4_096, 12_288)


# How soon a caller that finds no entry tries again.
RETRY_SECONDS = 0.05


def play_days(first, last, mix, seconds, shape="small"):
    """Play days with consecutive seeds, and check that each keeps every guarantee."""
    days = []
    for seed in range(first, last + 1):
        day = make_day(seed, mix, shape)
        day.play(seconds)
        assert not day.is_broken(), f"seed {seed}: {day.summary()}"
        days.append(day)
    return days


def make_day(seed, mix, shape):
    """Return a day of a mix in a named shape, with load and faults in proportion."""
    chosen = SHAPES[shape]
    day = SearchDay(seed, mix, *chosen)
    day.job_gap /= chosen.load_factor()
    day.fault_gap /= chosen.fault_factor()
    return day


class SearchDay(GrownFaults):
    """A random day of a mix.

    Its callers come back to another entry after their connection has broken, or when
    they had no answer in their own time.
    """

    def __init__(self, seed, mix="all", entries=3, workers=5, centres=None):
        super().__init__(seed, entries, workers, centres)
        self.mix = MIXES[mix]
        self.fault_names = self.mix.faults
        self.fault_gap, self.job_gap = self.mix.gap, self.mix.job_gap
        self.usual_stop_seconds = self.mix.stop_seconds
        for worker in self.fleet.workers.values():
            worker.stop_seconds = self.usual_stop_seconds
            worker.drift, worker.guards = self.mix.drift, self.mix.guards
            if self.mix.sizes:
                worker.resize(gpu=4)
        self.fleet.read_callers_seconds = self.mix.read_callers
        self.open_calls = []
        if self.mix.again is not None:
            self.fleet.at(LOOK_SECONDS, self.look_at_answers)

    # Callers.

    def submit(self, identifier, tasks, seconds, avoid):
        fleet = self.fleet
        if set(fleet.entry_names) - {avoid} <= fleet.dead:
            job = identifier, tasks, seconds, avoid
            fleet.at(RETRY_SECONDS, lambda: self.submit(*job))
            return
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

    def choose_entry(self, alive):
        """Choose an entry, mostly in the data centre that has its turn."""
        if self.generator.random() < self.mix.skew:
            states, centres = self.fleet.states, self.fleet.centre_names()
            centre = centres[int(self.fleet.now) % len(centres)]
            near = [name for name in alive if states[name].data_centre == centre]
            alive = near or alive
        return super().choose_entry(alive)

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
            delay = 0.0
            if self.mix.read_after_cut:
                read_after = self.generator.uniform(*self.mix.read_after_cut)
                delay = healed_at - self.fleet.now + read_after
            self.fleet.at(delay, lambda: self.fleet.leave(call[1], call[0]))

    def break_connections(self, entry):
        """Have all callers of an entry notice that their connection has broken."""
        for call in self.calls:
            if call[1] == entry and call[5] and call[0] not in self.fleet.answers:
                self.leave(call)
                self.resend(call)

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
