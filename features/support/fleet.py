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
    Departed,
    EntriesRead,
    Received as AgentReceived,
    StopRequested as AgentStopRequested,
    Tick as AgentTick,
)
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import (
    Answer,
    PollWorker,
    ReadEntries,
    ReadEvacuations,
    Say,
    SendMessage,
    StartTask,
    StopTask,
)
from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    JobArrived,
    Received,
    StopRequested,
    Tick,
    WaiterLeft,
)
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.job import JobRequest, Step
from cactuswalk.dispatch.loadpolicy import DEFAULT_LOAD_POLICY
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.routing import Queue, Queues
from features.support.fleetcalls import WorkerCalls
from features.support.fleetstore import STORE_SECONDS, FleetStore
from features.support.fleetworker import SERVICE, Run, SimulatedWorker

__all__ = [
    "JOB",
    "SERVICE",
    "TURN_SECONDS",
    "Fleet",
    "Run",
    "SimulatedWorker",
    "queue",
]

TICK = 0.05
MESSAGE_SECONDS = 0.0006
HEARTBEAT_SECONDS = 1.5
GRACE_SECONDS = 6.0
BOOT_SECONDS = 0.5
CRASH_SECONDS = 0.002
# Length of a turn of the event loop in a starved process.
TURN_SECONDS = (0.05, 0.25)
# Turns of the event loop after the one that finds a disconnection.
READ_TURNS = 2
DRAIN_SECONDS = 1.0

# The job of scenarios that have only one.
JOB = "00000000000000aa"


def queue(name="checks", priority=0, attempts=4, stretch=1.6, allowance_ms=60):
    return Queue(
        name, "h", f"/{name}/", SERVICE, priority, attempts, stretch, allowance_ms
    )


class Fleet(FleetStore):
    """The processes, their clock, and the record of what they did.

    :ivar cuts: links that lose all messages, as pairs of sender and receiver.
    :ivar dropped_messages: types of messages that are all lost.
    :ivar starts: time, task, run number and worker of each run.
    :ivar overlaps: time and task of each run that began while another one was live,
        with the other's worker and its own.
    :ivar overloads: number of starts that exceeded a worker's capacity.
    :ivar unguarded_overloads: the same at workers that start anything.
    :ivar read_callers_seconds: how long after a freeze an entry learns which callers
        have gone.
    :ivar starved: processes of which each turn of the event loop is late. Entries learn
        in the third turn which callers have gone, and messages leave in the next one.
    :ivar unread: disconnections of callers that an entry reads in a later turn.
    :ivar clock_offsets: by process, its clock minus the fleet's.
    :ivar held_up: when held messages arrive, by sender's incarnation and receiver.
    :ivar crashing: by job that crashes its workers, how long they are down, and
        whether they refuse connections meanwhile.
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
        policy=DEFAULT_LOAD_POLICY,
    ):
        super().__init__()
        self.policy = policy
        self.generator = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.serial = itertools.count()
        self.queues = queues or [queue()]
        self.centres = centres or entries
        self.states = {}
        self.dead = set()
        self.frozen = {}
        self.backlogs = {}
        self.read_callers_seconds = 0.002
        self.cuts = set()
        self.dropped_messages = ()
        # A connection keeps messages in order. Random days don't rely on that, since a
        # connection that is broken and restored may not.
        self.in_order = False
        self.last_arrival = {}
        self.incarnations = itertools.count(1)
        self.sizes = {}
        self.needs = {}
        self.live_runs = {}
        self.overlaps = []
        self.overloads = 0
        self.unguarded_overloads = 0
        self.starved = set()
        self.unread = {}
        self.clock_offsets = {}
        self.held_up = {}
        self.crashing = {}
        self.calls = WorkerCalls(self)
        self.starts = []
        self.answers = {}
        self.lines = []
        self.arrivals = {}
        self.waiter = itertools.count(1)
        self.entry_names = [f"e{number}" for number in range(entries)]
        # Entries named in the settings, and entries listed by the store.
        self.seeds = seeds or self.entry_names
        self.listed_names = self.entry_names
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
        state.policy = self.policy
        state.handled_at = self.clock(name)
        self.states[name] = state
        self.deliver(name, ConfigurationRead(Queues(1, self.queues, 1 << 20)))
        self.at(0.0, lambda: self.tick(name, state))
        self.at(STORE_SECONDS, lambda: self.answer_watch(name, state))
        if self.store_revision > 1:
            self.read_store(name)

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
        state.policy = self.policy
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
        if self.now >= self.frozen.get(name, 0.0):
            self.backlogs[name] = []
            self.at(seconds, lambda: self.wake(name))
        self.frozen[name] = max(self.frozen.get(name, 0.0), self.now + seconds)

    def wake(self, name):
        """Deliver what came during a freeze, broken connections of callers last."""
        if self.now < self.frozen[name]:
            self.at(self.frozen[name] - self.now, lambda: self.wake(name))
            return
        self.read_callers(name)
        for state, event in self.backlogs.pop(name):
            delay = 0.0
            if isinstance(event, WaiterLeft):
                delay = self.read_callers_seconds
                if name in self.starved:
                    self.unread.setdefault(name, []).append([READ_TURNS, state, event])
                    continue
            self.at(delay, lambda s=state, e=event: self.deliver_if_same(name, s, e))

    def read_callers(self, name):
        """Have an entry learn of the callers whose disconnections are read by now."""
        unread = self.unread.pop(name, [])
        for item in unread:
            item[0] -= 1
            if not item[0] or name not in self.starved:
                self.deliver_if_same(name, item[1], item[2])
            else:
                self.unread.setdefault(name, []).append(item)

    def tick(self, name, state):
        if self.states.get(name) is not state or name in self.dead:
            return
        self.deliver(name, AgentTick() if name in self.workers else Tick())
        self.at(TICK, lambda: self.tick(name, state))

    def heartbeat(self, name):
        worker = self.workers[name]
        if worker.up and worker.announces and name not in self.dead:
            self.announce(name)
            self.at(HEARTBEAT_SECONDS, lambda: self.heartbeat(name))
        else:
            self.at(0.1, lambda: self.heartbeat(name))

    def announce(self, name):
        """Make a worker send a heartbeat now."""
        worker = self.workers[name]
        clock_ms = int(worker.clock(self.now) * 1000)
        self.calls.record_clock(name, worker.identifier, clock_ms)
        self.deliver(name, Announced(worker.announcement()))

    def announce_departure(self, name):
        self.deliver(name, Departed(self.workers[name].announced_name))

    def reboot(self, name, seconds):
        """Reboot an agent's host: its clock begins anew, and its worker ends."""
        self.kill(name)
        self.workers[name].crash_for(seconds, False)
        self.at(seconds, lambda: self.boot(name))

    def boot(self, name):
        self.clock_offsets[name] = BOOT_SECONDS - self.now
        self.start_agent(name)

    # Time.

    def clock(self, name):
        """Return what a process reads on its host's clock."""
        return self.now + self.clock_offsets.get(name, 0.0)

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
        if self.now < self.frozen.get(name, 0.0):
            self.backlogs[name].append((state, event))
            return
        role = agent if name in self.workers else entry
        for effect in role.reduce(state, event, self.clock(name)):
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
            self.calls.call(name, state, effect)
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
        elif isinstance(effect, ReadEvacuations):
            self.store_reads[name] += 1
            self.list_evacuations(name, state)
        elif isinstance(effect, Say):
            self.lines.append((self.now, name, effect))

    def send(self, sender, address, message):
        self.sent[sender, type(message).__name__] += 1
        if (sender, address) in self.cuts or address not in self.states:
            return
        if isinstance(message, self.dropped_messages):
            return
        state = self.states[address]
        received = AgentReceived if address in self.workers else Received
        delay = MESSAGE_SECONDS * self.generator.uniform(0.8, 1.5)
        if sender in self.starved:
            delay += self.generator.uniform(*TURN_SECONDS)
        if self.in_order:
            link = (sender, address)
            delay = max(delay, self.last_arrival.get(link, 0.0) - self.now)
            self.last_arrival[link] = self.now + delay
        held_until = self.held_up.get((self.states[sender].incarnation, address), 0.0)
        delay = max(delay, held_until - self.now)
        self.at(
            delay,
            lambda: self.deliver_if_same(address, state, received(sender, message)),
        )

    # Records.

    def size_of(self, key):
        return self.sizes[key.job]

    def needs_of(self, key):
        """Return the processors, memory and accelerators that a task needs."""
        return self.needs[key.job]

    def record_run_start(self, run, worker):
        self.starts.append((self.now, run.key, run.run, worker.name))
        other = self.live_runs.get(run.key)
        if other is not None:
            other[1].advance(self.now)
        if self.live_runs.get(run.key) is not None:
            self.overlaps.append((self.now, run.key, other[1].name, worker.name))
        self.live_runs[run.key] = (run, worker)
        if run.key.job in self.crashing and not run.key.index:
            self.at(CRASH_SECONDS, lambda: self.crash_by(run, worker))

    def crash_by(self, run, worker):
        """Crash a worker by a run that is still there."""
        if worker.runs.get(run.key) is run and run.key.job in self.crashing:
            worker.crash_for(*self.crashing[run.key.job])

    def record_overload(self, worker):
        self.overloads += 1
        if not worker.guards:
            self.unguarded_overloads += 1

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
        memory_mb=64,
        gpu=0,
    ):
        """Submit a job; return the waiter that is its key in ``answers``."""
        waiter = next(self.waiter)
        self.sizes[identifier] = (cpu, seconds)
        self.needs[identifier] = (cpu, memory_mb, gpu)
        estimate_ms = int((estimate or seconds) * 1000)
        request = JobRequest(
            identifier, "spec", (Step(tasks, cpu, memory_mb, gpu, estimate_ms),)
        )
        chosen = next(
            (item for item in self.queues if item.name == queue_name), self.queues[0]
        )
        self.arrivals[waiter] = (self.now, chosen, seconds, identifier)
        self.deliver(entry, JobArrived(waiter, chosen, request, wait))
        return waiter

    def leave(self, entry, waiter):
        """Tell an entry that a caller has gone; a frozen one reads that last."""
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
