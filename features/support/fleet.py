"""Simulation of entries, agents and workers on a virtual clock and a faulty network.

It connects the real reducers by a heap of timed events and records what callers and
workers would observe, above all whether two runs of a task overlap.
"""

import collections
import heapq
import itertools
import random

from cactuswalk.dispatch import agent, entry
from cactuswalk.dispatch.agentevents import (
    Announced,
    EndedRow,
    EntriesRead,
    PollAnswered,
    PollFailed,
    Received as AgentReceived,
    RunEnd,
    RunningRow,
    StartAnswered,
    StartVerdict,
    StopAnswered,
    StopRequested as AgentStopRequested,
    Tick as AgentTick,
)
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import CALL_TIMEOUT_SECONDS
from cactuswalk.dispatch.effects import (
    Answer,
    PollWorker,
    ReadEntries,
    Say,
    SendMessage,
    StartTask,
    StopTask,
)
from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EvacuationsRead,
    JobArrived,
    Received,
    StopRequested,
    Tick,
    WaiterLeft,
)
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.dispatch.job import JobRequest, Step, Worker
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.routing import Queue, Queues

TICK = 0.05
MESSAGE_SECONDS = 0.0006
CALL_SECONDS = 0.001
HEARTBEAT_SECONDS = 1.5
STORE_SECONDS = 0.005
GRACE_SECONDS = 6.0
DRAIN_SECONDS = 1.0
MAXIMUM_LEASE_SECONDS = 1.0
STOP_SECONDS = 0.03

SERVICE = "plans"

# The job of scenarios that have only one.
JOB = "00000000000000aa"


def queue(name="checks", priority=0, attempts=4, stretch=1.6, allowance_ms=60):
    return Queue(
        name, "h", f"/{name}/", SERVICE, priority, attempts, stretch, allowance_ms
    )


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


class SimulatedWorker:
    """A worker whose runs need a lease, with faults that can be enabled.

    :ivar cut: no call reaches it.
    :ivar pace: factor by which run times are longer.
    :ivar fails: every run fails within a millisecond.
    :ivar stalls: runs never end.
    :ivar unanswered_share: share of calls that are lost and get no answer.
    :ivar late: seconds after which lost calls are executed all the same; 0 for never.
    :ivar unconfirmed_share: share of calls that are executed but get no answer.
    :ivar dropped_calls: types of calls that are all lost.
    """

    def __init__(self, fleet, name, cpu, data_centre, generator):
        self.fleet = fleet
        self.name = name
        self.cpu = cpu
        self.data_centre = data_centre
        self.generator = generator
        self.incarnation = 1
        self.up = True
        self.cut = False
        self.pace = 1.0
        self.fails = False
        self.stalls = False
        self.unanswered_share = 0.0
        self.late = 0.0
        self.unconfirmed_share = 0.0
        self.dropped_calls = ()
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
    def identifier(self):
        return f"{self.name}-{self.incarnation}"

    def announcement(self):
        self.sequence += 1
        return Worker(
            self.identifier,
            SERVICE,
            self.data_centre,
            ("a",),
            self.cpu,
            65_536,
            0,
            self.draining,
            self.leaves_in_ms,
            self.sequence,
        )

    def crash(self):
        for run in self.runs.values():
            self.fleet.record_run_end(run)
        self.incarnation += 1
        self.reset()

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

    def start(self, effect, sent_at, now):
        self.advance(now)
        if effect.worker != self.identifier:
            return StartVerdict.GONE
        if effect.token < self.token:
            return StartVerdict.FENCED
        self.token = effect.token
        deadline = min(effect.lease_until, now + MAXIMUM_LEASE_SECONDS)
        if deadline <= now:
            return StartVerdict.LATE
        self.lease_until = max(self.lease_until, deadline)
        key = effect.key
        if key in self.runs and self.runs[key].run == effect.run:
            return StartVerdict.STARTED
        if effect.run <= self.highest.get(key, 0):
            return StartVerdict.SUPERSEDED
        cpu, seconds = self.fleet.size_of(key)
        if sum(self.fleet.size_of(other)[0] for other in self.runs) + cpu > self.cpu:
            self.fleet.overloads += 1
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
        if effect.worker != self.identifier:
            return False
        self.highest[effect.key] = max(effect.run, self.highest.get(effect.key, 0))
        run = self.runs.get(effect.key)
        if run is not None and run.run <= effect.run:
            self.finish(run, RunEnd.STOPPED, now)
        return True

    def renew(self, effect, sent_at, now):
        self.advance(now)
        if effect.lease_until and effect.worker == self.identifier:
            until = min(effect.lease_until, now + MAXIMUM_LEASE_SECONDS)
            self.lease_until = max(self.lease_until, until)
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


class Fleet:
    """The processes, their clock, and the record of what they did.

    :ivar cuts: links that lose all messages, as pairs of sender and receiver.
    :ivar starts: time, task, run number and worker of each run.
    :ivar overlaps: time and task of each run that began while another one was live.
    :ivar overloads: number of starts that exceeded a worker's capacity.
    :ivar answers: time and effect of each answer, by waiter.
    :ivar arrivals: time, queue, run time and job of each submission, by waiter.
    """

    def __init__(
        self,
        entries=2,
        workers=4,
        seed=1,
        cpu=32_000,
        queues=None,
        centres=None,
        seeds=None,
    ):
        self.generator = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.serial = itertools.count()
        self.queues = queues or [queue()]
        self.centres = centres or entries
        self.states = {}
        self.dead = set()
        self.frozen = {}
        self.cuts = set()
        # A connection keeps messages in order. Random days don't rely on that, since a
        # connection that is broken and restored may not.
        self.in_order = False
        self.last_arrival = {}
        self.incarnations = itertools.count(1)
        self.sizes = {}
        self.live_runs = {}
        self.overlaps = []
        self.overloads = 0
        self.starts = []
        self.answers = {}
        self.lines = []
        self.arrivals = {}
        self.waiter = itertools.count(1)
        self.entry_names = [f"e{number}" for number in range(entries)]
        # Entries named in the settings, and entries listed by the store.
        self.seeds = seeds or self.entry_names
        self.listed_names = self.entry_names
        # Evacuations in the store, and the entries that can't reach the store.
        self.evacuated = set()
        self.store_revision = 1
        self.cut_from_store = set()
        # Number of messages by sender and type.
        self.sent = collections.Counter()
        self.workers = {}
        for number, name in enumerate(self.entry_names):
            self.start_entry(name, f"d{number % self.centres}")
        for number in range(workers):
            self.add_worker(f"a{number}", cpu, f"d{number % self.centres}")
        self.run(1.0)

    # Processes.

    def start_entry(self, name, data_centre):
        self.dead.discard(name)
        state = EntryState(
            name,
            f"l{next(self.incarnations)}",
            data_centre,
            list(self.seeds),
            1.5,
            GRACE_SECONDS,
        )
        self.states[name] = state
        self.deliver(name, ConfigurationRead(Queues(1, self.queues, 1 << 20)))
        self.at(0.0, lambda: self.tick(name, state))
        if self.store_revision > 1:
            self.read_store(name)

    def evacuate(self, centre):
        """Evacuate a data centre; entries that can reach the store learn of it."""
        self.evacuated.add(centre)
        self.write_store()

    def take_back(self, centre):
        self.evacuated.discard(centre)
        self.write_store()

    def write_store(self):
        self.store_revision += 1
        for name in self.living():
            self.read_store(name)

    def read_store(self, name):
        """Have an entry read the current state of the store, if it can reach it."""
        if name in self.cut_from_store:
            return
        known = Evacuations(self.store_revision, tuple(sorted(self.evacuated)))
        state = self.states[name]
        self.at(
            STORE_SECONDS,
            lambda: self.deliver_if_same(name, state, EvacuationsRead(known)),
        )

    def add_worker(self, name, cpu, data_centre):
        self.workers[name] = SimulatedWorker(
            self, name, cpu, data_centre, random.Random(self.generator.random())
        )
        self.start_agent(name)
        self.at(0.0, lambda: self.heartbeat(name))

    def start_agent(self, name):
        self.dead.discard(name)
        state = AgentState(
            f"l{next(self.incarnations)}",
            int(self.now * 1000) + 1,
            list(self.seeds),
            name,
            self.workers[name].data_centre,
            GRACE_SECONDS,
            DRAIN_SECONDS,
        )
        self.states[name] = state
        self.at(0.0, lambda: self.tick(name, state))

    def living(self):
        """Return the names of the entries that have not been killed."""
        return [name for name in self.entry_names if name not in self.dead]

    def centre_names(self):
        return sorted({worker.data_centre for worker in self.workers.values()})

    def kill(self, name):
        self.dead.add(name)

    def freeze(self, name, seconds):
        """Pause a process; events are queued until it resumes."""
        self.frozen[name] = self.now + seconds

    def tick(self, name, state):
        if self.states.get(name) is not state or name in self.dead:
            return
        self.deliver(name, AgentTick() if name in self.workers else Tick())
        self.at(TICK, lambda: self.tick(name, state))

    def heartbeat(self, name):
        worker = self.workers[name]
        if worker.up and name not in self.dead:
            self.announce(name)
            self.at(HEARTBEAT_SECONDS, lambda: self.heartbeat(name))
        else:
            self.at(0.1, lambda: self.heartbeat(name))

    def announce(self, name):
        """Make a worker send a heartbeat now."""
        self.deliver(name, Announced(self.workers[name].announcement()))

    # Time.

    def at(self, delay, action):
        heapq.heappush(self.events, (self.now + delay, next(self.serial), action))

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def deliver(self, name, event):
        state = self.states[name]
        if name in self.dead:
            return
        wakes = self.frozen.get(name, 0.0)
        if self.now < wakes:
            self.at(wakes - self.now, lambda: self.deliver_if_same(name, state, event))
            return
        role = agent if name in self.workers else entry
        for effect in role.reduce(state, event, self.now):
            self.perform(name, state, effect)

    def deliver_if_same(self, name, state, event):
        if self.states.get(name) is state:
            self.deliver(name, event)

    # Effects.

    def perform(self, name, state, effect):
        if isinstance(effect, SendMessage):
            self.send(name, effect.address, effect.message)
        elif isinstance(effect, Answer):
            self.answers[effect.waiter] = (self.now, effect)
        elif isinstance(effect, (StartTask, StopTask, PollWorker)):
            self.call(name, state, effect)
        elif isinstance(effect, ReadEntries):
            self.at(
                0.005,
                lambda: self.deliver_if_same(
                    name,
                    state,
                    EntriesRead(
                        [
                            Member(entry, self.states[entry].data_centre)
                            for entry in self.listed_names
                        ]
                    ),
                ),
            )
        elif isinstance(effect, Say):
            self.lines.append((self.now, name, effect))

    def send(self, sender, address, message):
        self.sent[sender, type(message).__name__] += 1
        if (sender, address) in self.cuts or address not in self.states:
            return
        state = self.states[address]
        received = AgentReceived if address in self.workers else Received
        delay = MESSAGE_SECONDS * self.generator.uniform(0.8, 1.5)
        if self.in_order:
            link = (sender, address)
            delay = max(delay, self.last_arrival.get(link, 0.0) - self.now)
            self.last_arrival[link] = self.now + delay
        self.at(
            delay,
            lambda: self.deliver_if_same(address, state, received(sender, message)),
        )

    def call(self, name, state, effect):
        worker = self.workers[name]
        sent_at = self.now
        lost = worker.generator.random() < worker.unanswered_share or isinstance(
            effect, worker.dropped_calls
        )
        if not worker.up or worker.cut or lost:
            if worker.up and lost and worker.late:
                self.at(worker.late, lambda: self.carry_out(worker, effect, sent_at))
            wait = getattr(effect, "wait_ms", 0) / 1000
            self.at(
                CALL_TIMEOUT_SECONDS + wait,
                lambda: self.deliver_if_same(name, state, make_unanswered(effect)),
            )
            return
        self.at(
            CALL_SECONDS / 2, lambda: self.arrive(name, state, worker, effect, sent_at)
        )

    def arrive(self, name, state, worker, effect, sent_at):
        event = self.carry_out(worker, effect, sent_at)
        if event is not None:
            if worker.generator.random() < worker.unconfirmed_share:
                event, after = make_unanswered(effect), CALL_TIMEOUT_SECONDS
                self.at(after, lambda: self.deliver_if_same(name, state, event))
                return
            self.at(CALL_SECONDS / 2, lambda: self.deliver_if_same(name, state, event))
            return
        deadline = self.now + effect.wait_ms / 1000
        self.wait_for_end(name, state, worker, effect, sent_at, deadline)

    def carry_out(self, worker, effect, sent_at):
        now = self.now
        if isinstance(effect, StartTask):
            verdict = worker.start(effect, sent_at, now)
            return StartAnswered(effect.worker, effect.handle, verdict)
        if isinstance(effect, StopTask):
            return StopAnswered(effect.worker, effect.handle, worker.stop(effect, now))
        if effect.worker != worker.identifier:
            return PollFailed(effect.worker, False, True, effect.is_check)
        if effect.token < worker.token:
            return PollFailed(effect.worker, True, False, effect.is_check)
        worker.token = effect.token
        worker.renew(effect, sent_at, now)
        if effect.wait_ms and not worker.ended:
            return None
        return make_poll_answered(effect, sent_at, *worker.rows(now))

    def wait_for_end(self, name, state, worker, effect, sent_at, deadline):
        worker.advance(self.now)
        gone = effect.worker != worker.identifier
        if gone or worker.ended or self.now >= deadline or worker.cut:
            event = PollFailed(effect.worker, False, gone, effect.is_check)
            if not gone and not worker.cut:
                event = make_poll_answered(effect, sent_at, *worker.rows(self.now))
            self.at(CALL_SECONDS / 2, lambda: self.deliver_if_same(name, state, event))
            return
        ends = [run.ends_at for run in worker.runs.values()]
        step = min([0.01, deadline - self.now, *(end - self.now for end in ends)])
        self.at(
            max(step, 0.0002),
            lambda: self.wait_for_end(name, state, worker, effect, sent_at, deadline),
        )

    # Records.

    def size_of(self, key):
        return self.sizes[key.job]

    def record_run_start(self, run, worker):
        self.starts.append((self.now, run.key, run.run, worker.name))
        other = self.live_runs.get(run.key)
        if other is not None:
            other[1].advance(self.now)
        if self.live_runs.get(run.key) is not None:
            self.overlaps.append((self.now, run.key))
        self.live_runs[run.key] = (run, worker)

    def record_run_end(self, run, at=None):
        live = self.live_runs.get(run.key)
        if live is not None and live[0] is run:
            del self.live_runs[run.key]

    # Callers.

    def submit(
        self,
        entry,
        identifier,
        tasks=1,
        cpu=3_000,
        seconds=0.2,
        wait=5.0,
        queue_name=None,
        estimate=None,
    ):
        """Submit a job; return the waiter that is its key in ``answers``."""
        waiter = next(self.waiter)
        self.sizes[identifier] = (cpu, seconds)
        estimate_ms = int((estimate or seconds) * 1000)
        request = JobRequest(
            identifier, "spec", (Step(tasks, cpu, 64, 0, estimate_ms),)
        )
        chosen = next(
            (item for item in self.queues if item.name == queue_name), self.queues[0]
        )
        self.arrivals[waiter] = (self.now, chosen, seconds, identifier)
        self.deliver(entry, JobArrived(waiter, chosen, request, wait))
        return waiter

    def leave(self, entry, waiter):
        self.deliver(entry, WaiterLeft(waiter, self.arrivals[waiter][3]))

    def terminate(self, name):
        event = AgentStopRequested() if name in self.workers else StopRequested()
        self.deliver(name, event)

    def verdict(self, waiter):
        return self.answers[waiter][1].verdict.value

    def took(self, waiter):
        return self.answers[waiter][0] - self.arrivals[waiter][0]

    def is_on_time(self, waiter):
        """Return whether a job was completed in time for its true run time."""
        if waiter not in self.answers or self.verdict(waiter) != "completed":
            return False
        _, chosen, seconds, _ = self.arrivals[waiter]
        return self.took(waiter) <= chosen.stretch * seconds + (
            chosen.allowance_ms / 1000
        )


def make_unanswered(effect):
    if isinstance(effect, StartTask):
        return StartAnswered(effect.worker, effect.handle, StartVerdict.UNKNOWN)
    if isinstance(effect, StopTask):
        return StopAnswered(effect.worker, effect.handle, False)
    return PollFailed(effect.worker, False, False, effect.is_check)


def make_poll_answered(effect, sent_at, running, ended):
    return PollAnswered(
        effect.worker, sent_at, running, ended, effect.acknowledged, effect.is_check
    )
