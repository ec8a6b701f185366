"""Simulated worker: runs of tasks under a lease, with faults that can be enabled."""

import math
import operator

from cactuswalk.dispatch.agentevents import (
    EndedRow,
    RunEnd,
    RunningRow,
    StartVerdict,
)
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.dispatch.incarnations import join_incarnation, split_incarnation
from cactuswalk.dispatch.job import Worker

__all__ = ["CALL_SECONDS", "SERVICE", "Run", "SimulatedWorker"]

SERVICE = "plans"
CALL_SECONDS = 0.001
MAXIMUM_LEASE_SECONDS = 1.0

# A smaller capacity counts from here on: by then a heartbeat has shown it.
CAPACITY_KNOWN_SECONDS = 2.0


class Run:
    """A run of a task at a worker."""

    def __init__(self, key, run, began, seconds, fails):
        self.key = key
        self.run = run
        self.began = began
        self.ends_at = began + seconds
        self.seconds = seconds
        self.fails = fails
        self.slow_at = None
        self.slow_factor = 1.0

    def slow_down(self, now, factor):
        """Make the rest of the run slower by a factor."""
        self.slow_at, self.slow_factor = now, factor
        self.ends_at = now + (self.ends_at - now) * factor

    def percent(self, now):
        """Return the progress in percent."""
        worked = now - self.began
        if self.slow_at is not None:
            worked = self.slow_at - self.began + (now - self.slow_at) / self.slow_factor
        return min(99, int(100 * worked / self.seconds))


class CallFaults:
    """Faults of one kind of call to a worker.

    :ivar lost_share: share that is lost and gets no answer.
    :ivar late: seconds after which lost calls are executed all the same; 0 for never.
    :ivar unconfirmed_share: share that is executed but gets no answer.
    """

    def __init__(self, lost_share=0.0, late=0.0, unconfirmed_share=0.0):
        self.lost_share = lost_share
        self.late = late
        self.unconfirmed_share = unconfirmed_share


class SimulatedWorker:
    """A worker whose runs need a lease, with faults that can be enabled.

    :ivar born: Unix time of its start in milliseconds, which it reports; None if it
        belongs to an earlier version of the platform, and restarts under another name.
    :ivar service: that it belongs to.
    :ivar up: it runs; if not, calls get no answer.
    :ivar refuses: connections are refused: it is down, or a cut rejects them.
    :ivar announces: it sends heartbeats.
    :ivar cut: no call reaches it.
    :ivar pace: factor by which run times are longer.
    :ivar fails: every run fails within a millisecond.
    :ivar stalls: runs never end.
    :ivar stop_seconds: how long a run goes on after a stop was answered; infinite for
        to its end.
    :ivar forgets_stops: a stop leaves no trace if its start has not arrived yet.
    :ivar unanswered_share: share of calls that are lost and get no answer.
    :ivar late: seconds after which lost calls are executed all the same; 0 for never.
    :ivar unconfirmed_share: share of calls that are executed but get no answer.
    :ivar dropped_calls: types of calls that are all lost.
    :ivar call_faults: further faults, by type of call.
    :ivar guards: it refuses starts that exceed its capacity, else it starts anything.
    :ivar drift: fraction by which its clock is slow.
    """

    def __init__(self, fleet, name, cpu, data_centre, generator):
        self.fleet = fleet
        self.name = name
        self.cpu = cpu
        self.data_centre = data_centre
        self.labels = ("a",)
        self.generator = generator
        self.incarnation = 1
        self.born = None
        self.service = SERVICE
        self.clock_began = 0.0
        self.up = True
        self.refuses = False
        self.announces = True
        self.cut = False
        self.pace = 1.0
        self.fails = False
        self.stalls = False
        self.stop_seconds = 0.0
        self.forgets_stops = False
        self.unanswered_share = 0.0
        self.late = 0.0
        self.unconfirmed_share = 0.0
        self.dropped_calls = ()
        self.call_faults = {
            kind: CallFaults() for kind in (StartTask, StopTask, PollWorker)
        }
        self.guards = True
        self.drift = 0.0
        self.memory_mb = 65_536
        self.gpu = 0
        self.larger = self.capacity()
        self.shrunk_at = -math.inf
        self.back_at = -math.inf
        self.draining = False
        self.leaves_in_ms = 0
        self.sequence = 0
        self.reset()

    def reset(self):
        self.runs = {}
        self.ended = []
        self.number = 0
        self.highest = {}
        self.lease_until = -1.0
        self.token = 0

    @property
    def announced_name(self):
        return f"{self.name}-{self.incarnation}"

    @property
    def identifier(self):
        return join_incarnation(self.announced_name, self.born)

    def is_called_by(self, effect):
        """Return whether a call names it: a call names no incarnation."""
        return split_incarnation(effect.worker)[0] == self.announced_name

    def report_born(self):
        """Report its start from now on, and restart under its name."""
        self.born = int(self.fleet.now * 1000)

    def announcement(self):
        self.sequence += 1
        return Worker(
            self.identifier,
            self.service,
            self.data_centre,
            self.labels,
            *self.capacity(),
            self.draining,
            self.leaves_in_ms,
            self.sequence,
        )

    def crash(self):
        for run in self.runs.values():
            self.fleet.record_run_end(run)
        if self.born is None:
            self.incarnation += 1
        else:
            self.born = max(self.born + 1, int(self.fleet.now * 1000))
            self.sequence = 0
            self.clock_began = self.fleet.now
        self.reset()

    def crash_for(self, seconds, refuses):
        """Crash, and come back as a new incarnation after some seconds."""
        self.crash()
        self.up, self.refuses = False, refuses
        back_at = self.fleet.now + seconds
        self.back_at = max(self.back_at, back_at)
        self.fleet.at(seconds, lambda: self.come_back(back_at))

    def come_back(self, back_at):
        """Come back, unless a later crash takes longer."""
        if not self.up and back_at >= self.back_at:
            self.up, self.refuses, self.announces = True, False, True
            self.fleet.announce(self.name)

    def depart(self, runs_on, away):
        """Announce the departure, run on for a while, and return later."""
        self.announces = False
        self.fleet.announce_departure(self.name)
        self.fleet.at(runs_on, lambda: self.crash_for(away, True))

    def capacity(self):
        """Return the processors, memory and accelerators that it has."""
        return self.cpu, self.memory_mb, self.gpu

    def resize(self, cpu=None, memory_mb=None, gpu=None):
        """Change the capacity; the next heartbeat shows it."""
        before = self.capacity()
        self.cpu = self.cpu if cpu is None else cpu
        self.memory_mb = self.memory_mb if memory_mb is None else memory_mb
        self.gpu = self.gpu if gpu is None else gpu
        self.larger = tuple(map(max, before, self.capacity()))
        self.shrunk_at = self.fleet.now

    def judged_capacity(self):
        """Return the capacity that its agent can know of."""
        judged = self.capacity()
        known = self.fleet.states[self.name].worker
        if known is not None:
            judged = map(max, judged, (known.cpu, known.memory_mb, known.gpu))
        if self.fleet.now - self.shrunk_at < CAPACITY_KNOWN_SECONDS:
            judged = map(max, judged, self.larger)
        return tuple(judged)

    def used_with(self, key):
        """Return what its runs and a further task use."""
        needs = [self.fleet.needs_of(other) for other in (*self.runs, key)]
        return tuple(map(sum, zip(*needs, strict=True)))

    # Its clock, and the deadlines that a client computes for it.

    def clock(self, now):
        return (now - self.clock_began) * (1 - self.drift)

    def lease_end(self, deadline, now):
        """Return when a lease ends.

        :param deadline: on this worker's clock, as its client has converted it.
        """
        deadline = min(deadline, self.clock(now) + MAXIMUM_LEASE_SECONDS)
        return self.clock_began + deadline / (1 - self.drift)

    # Runs.

    def advance(self, now):
        """End the runs that are complete by now, or whose lease has expired."""
        for run in sorted(self.runs.values(), key=lambda run: run.ends_at):
            end = min(run.ends_at, self.lease_until)
            if end <= now:
                how = RunEnd.LAPSED
                if run.ends_at <= self.lease_until:
                    how = RunEnd.FAILED if run.fails else RunEnd.DONE
                self.finish(run, how, end)

    def finish(self, run, how, at):
        del self.runs[run.key]
        self.number += 1
        self.ended.append(EndedRow(self.number, run.key, run.run, how))
        self.highest[run.key] = max(run.run, self.highest.get(run.key, 0))
        self.fleet.record_run_end(run, at)

    def start(self, effect, deadline, now):
        self.advance(now)
        if not self.is_called_by(effect):
            return StartVerdict.GONE
        if effect.token < self.token:
            return StartVerdict.FENCED
        self.token = effect.token
        until = self.lease_end(deadline, now)
        if until <= now:
            return StartVerdict.LATE
        self.lease_until = max(self.lease_until, until)
        key = effect.key
        if key in self.runs and self.runs[key].run == effect.run:
            return StartVerdict.STARTED
        if effect.run <= self.highest.get(key, 0):
            return StartVerdict.SUPERSEDED
        _, seconds = self.fleet.size_of(key)
        used = self.used_with(key)
        if any(map(operator.gt, used, self.judged_capacity())):
            self.fleet.record_overload(self)
        if any(map(operator.gt, used, self.capacity())) and self.guards:
            return StartVerdict.NO_ROOM
        took = 0.001 if self.fails else seconds * self.pace
        if self.stalls:
            took = 1e9
        run = Run(key, effect.run, now, took, self.fails)
        self.runs[key] = run
        self.fleet.record_run_start(run, self)
        return StartVerdict.STARTED

    def stop(self, effect, now):
        self.advance(now)
        if not self.is_called_by(effect):
            return False
        run = self.runs.get(effect.key)
        if run is None and self.forgets_stops:
            return True
        self.highest[effect.key] = max(effect.run, self.highest.get(effect.key, 0))
        if run is not None and run.run <= effect.run:
            self.end_stopped(run, now)
        return True

    def end_stopped(self, run, now):
        """End a run that is stopped; an ill worker takes its time."""
        if not self.stop_seconds:
            self.finish(run, RunEnd.STOPPED, now)
        elif self.stop_seconds < math.inf:
            self.fleet.at(self.stop_seconds, lambda: self.end_if_running(run))

    def end_if_running(self, run):
        self.advance(self.fleet.now)
        if self.runs.get(run.key) is run:
            self.finish(run, RunEnd.STOPPED, self.fleet.now)

    def renew(self, effect, deadline, now):
        self.advance(now)
        if deadline and self.is_called_by(effect):
            self.lease_until = max(self.lease_until, self.lease_end(deadline, now))
        self.ended = [row for row in self.ended if row.number > effect.acknowledged]

    def rows(self, now):
        running = [
            RunningRow(
                run.key,
                "",
                run.run,
                run.percent(now),
            )
            for run in self.runs.values()
        ]
        return running, list(self.ended)
