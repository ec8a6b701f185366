"""The real reducers, joined by a bag of messages and a virtual clock.

A fixture, not a simulator of a cluster: messages wait in a heap until their
time, and a test decides what is lost, late, repeated or cut.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from cactuswalk.messages import Envelope, decode, encode
from cactuswalk.model import (
    Announcement,
    Capacity,
    Job,
    Member,
    TaskSpec,
    compute_digest,
    generate_identifier,
)
from cactuswalk.state.effects import (
    CallUpstream,
    Log,
    ReadKey,
    Reply,
    Send,
    StopUpstream,
    SwapKey,
)
from cactuswalk.state.entry import EntryState, handle_entry, new_entry
from cactuswalk.state.events import (
    Announced,
    CallerCancelled,
    CallerSubmitted,
    KeyRead,
    KeySwapped,
    Received,
    StopRequested,
    SwapOutcome,
    Tick,
    UpstreamAnswered,
    UpstreamOutcome,
)
from cactuswalk.state.node import Node, handle, new_node
from cactuswalk.state.timing import Timing

CELL = "cell"
TICK = 0.05
# Wall clock in milliseconds at virtual time 0; any day will do.
WALL_MS = 1_700_000_000_000
# What an upstream answers of a task that it was asked to stop.
STOPPED = 503
MAXIMUM_BYTES = 16 * 1024 * 1024


class Process:
    """One process: its reducer, and whether it is frozen, cut or dead."""

    def __init__(self, name: str, address: str, state: Node | EntryState) -> None:
        self.name = name
        self.address = address
        self.state = state
        self.alive = True
        self.frozen_until = 0.0
        self.waiting: list = []
        # Seconds of its own clock in one of virtual time, since it was started.
        self.rate = 1.0
        self.started_at = 0.0

    def clock(self, now: float) -> float:
        """Return what this process's monotonic clock shows."""
        if self.rate == 1.0:
            return now
        return self.started_at + (now - self.started_at) * self.rate

    def handle(self, event, now: float) -> list:
        now = self.clock(now)
        if isinstance(self.state, Node):
            return handle(self.state, event, now)
        return handle_entry(self.state, event, now)


class KeyValueFake:
    """The key-value service: values, one revision, and switches for faults."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.down = False
        self.lose_replies = 0
        self.delay = 0.003
        self.calls = 0
        # Addresses whose client refuses it, as one whose revisions went back.
        self.refused_by: set[str] = set()

    def read(self, effect: ReadKey) -> KeyRead:
        self.calls += 1
        if self.down:
            return KeyRead(effect.key, False, None, 0)
        value, revision = self.values.get(effect.key, (None, 0))
        return KeyRead(effect.key, True, value, revision)

    def swap(self, effect: SwapKey) -> KeySwapped:
        self.calls += 1
        assert effect.write_id.encode() in effect.value, "it could not be settled"
        if self.down:
            return KeySwapped(effect.key, effect.write_id, SwapOutcome.UNKNOWN, 0)
        _, revision = self.values.get(effect.key, (None, 0))
        if revision != effect.expected:
            return KeySwapped(effect.key, effect.write_id, SwapOutcome.LOST, 0)
        self.revision += 1
        self.values[effect.key] = (effect.value, self.revision)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return KeySwapped(effect.key, effect.write_id, SwapOutcome.UNKNOWN, 0)
        return KeySwapped(
            effect.key, effect.write_id, SwapOutcome.APPLIED, self.revision
        )


class Began:
    """One start, as the upstream saw it."""

    def __init__(self, submission: str, index: int, at: float, worker: str) -> None:
        self.submission = submission
        self.index = index
        self.at = at
        self.worker = worker


class Handed:
    """One submission by a caller, and the reply to it."""

    def __init__(self, waiter: str, job: Job, entry: Process, at: float) -> None:
        self.waiter = waiter
        self.job = job
        self.entry = entry
        self.at = at
        self.reply: Reply | None = None
        self.replied_at = float("inf")
        # When the word that the reply passes on left its author.
        self.decided_at = float("inf")


class Upstream:
    """An upstream's own record of starts: the judge of what ran."""

    def __init__(self) -> None:
        self.starts: list[Began] = []
        self.outcome = UpstreamOutcome.ANSWERED
        self.status = 200
        # Wishes to stop; one that takes none runs each task to its own end.
        self.stopped: list[StopUpstream] = []
        self.takes_stops = False
        # Seconds that each call takes longer than its task.
        self.hangs = 0.0


class Bag:
    """Processes, messages under way, and the virtual clock."""

    def __init__(
        self, seed: int = 1, timing: Timing | None = None, drift: float = 0.0
    ) -> None:
        self.generator = random.Random(seed)
        # The clock of each agent runs faster or slower by up to this part.
        self.drift = drift
        self.drifts = random.Random(seed)
        self.timing = timing or Timing()
        self.now = 100.0
        self.serial = itertools.count()
        self.heap: list = []
        self.processes: dict[str, Process] = {}
        self.key_value = KeyValueFake()
        self.upstreams: dict[str, Upstream] = {}
        self.handed: dict[str, Handed] = {}
        self.logs: list[tuple[float, str, Log]] = []
        self.sent: dict[str, int] = {}
        # A test may set these: which links are cut, and what befalls a message.
        self.cut: set[tuple[str, str]] = set()
        self.fate: Callable[[str, str, object], list[float]] = lambda *_: [0.0005]
        # Told of each moment: ("taken" | "sent" | "performed", process, what,
        # delays of the message under way); returns those delays, or others.
        self.watch: Callable | None = None
        self.word_at = 0.0

    # Processes

    def add_agent(
        self,
        worker: str,
        slots: int = 8,
        service: str = "routes",
        cell: str = CELL,
        wall_ms: float = WALL_MS,
    ):
        """Start an agent, a new life if the worker has had one."""
        address = f"tcp://{worker}"
        member = Member(worker, f"{self.generator.getrandbits(32):08x}", address)
        generator = random.Random(self.generator.getrandbits(64))
        entries = [
            process.address
            for process in self.processes.values()
            if isinstance(process.state, EntryState)
        ]
        node = new_node(
            *(cell, member, self.timing, generator, MAXIMUM_BYTES, self.now),
            wall_ms=wall_ms,
            entries=entries,
        )
        process = Process(worker, address, node)
        process.started_at = self.now
        process.rate = 1.0 + self.drift * self.drifts.uniform(-1, 1)
        self.processes[address] = process
        self.upstreams.setdefault(worker, Upstream())
        announcement = Announcement(
            worker, service, "inverness", "rack-1", {}, Capacity(slots)
        )
        self._at(0.0, address, Announced(announcement))
        self._at(self.generator.random() * TICK, address, Tick())
        return process

    def add_entry(self, name: str, cells: Sequence[str] = (CELL,)):
        address = f"tcp://{name}"
        state = new_entry(
            address,
            list(cells),
            self.timing,
            random.Random(self.generator.getrandbits(64)),
            WALL_MS,
        )
        process = Process(name, address, state)
        self.processes[address] = process
        self._at(0.0, address, Tick())
        return process

    def kill(self, name: str) -> None:
        self.processes[f"tcp://{name}"].alive = False

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a process as SIGSTOP does; what comes meanwhile waits."""
        self.processes[f"tcp://{name}"].frozen_until = self.now + seconds

    def cut_off(self, name: str, both: bool = True) -> None:
        """Cut what a process sends, and what it is sent."""
        for address in self.processes:
            self.cut.add((f"tcp://{name}", address))
            if both:
                self.cut.add((address, f"tcp://{name}"))

    def deafen(self, name: str) -> None:
        """Cut what a process is sent by others; what it sends arrives."""
        own = f"tcp://{name}"
        self.cut |= {(other, own) for other in self.processes if other != own}

    def stop(self, name: str) -> None:
        self._at(0.0, f"tcp://{name}", StopRequested())

    def owner(self, cell: str = CELL) -> Process | None:
        """Return the process that serves a cell with the highest epoch."""
        best = None
        for process in self.processes.values():
            node = process.state
            if not process.alive or not isinstance(node, Node) or not node.owner:
                continue
            if node.cell != cell:
                continue
            epoch = node.owner.record.epoch
            if best is None or epoch > best.state.owner.record.epoch:
                best = process
        return best

    # Callers

    def job(self, key: str | None = None, tasks: int = 1, **fields) -> Job:
        created_ms = int(WALL_MS + self.now * 1000)
        key = key or generate_identifier(created_ms, self.generator)
        bodies = [f"{key}:{index}".encode() for index in range(tasks)]
        return Job(
            f"team/{key}",
            compute_digest(*bodies),
            fields.pop("service", "routes"),
            "team",
            [TaskSpec(body, fields.get("duration_ms", 0)) for body in bodies],
            request=fields.pop("request", tasks == 1),
            idempotent=fields.pop("idempotent", False),
            created_ms=fields.pop("created_ms", created_ms),
        )

    def submit(
        self,
        entry: str,
        job: Job,
        remaining_ms: int = 5000,
        minted: bool = False,
    ) -> Handed:
        """Submit a job at an entry; the reply appears in what is returned."""
        waiter = f"waiter-{len(self.handed)}"
        process = self.processes[f"tcp://{entry}"]
        handed = Handed(waiter, job, process, self.now)
        self.handed[waiter] = handed
        event = CallerSubmitted(waiter, job, minted, remaining_ms)
        self._at(0.0, f"tcp://{entry}", event)
        return handed

    def cancel(self, entry: str, job: Job) -> None:
        self._at(0.0, f"tcp://{entry}", CallerCancelled(job.submission))

    def starts(self) -> list[Began]:
        """Return every start that any upstream has recorded."""
        return [one for upstream in self.upstreams.values() for one in upstream.starts]

    # Time

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            at, _, address, life, event = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            self._deliver(address, life, event)
        self.now = end

    def run_until(self, ready: Callable[[], bool], limit: float = 30.0) -> bool:
        end = self.now + limit
        while not ready():
            if self.now >= end:
                return False
            self.run(0.05)
        return True

    def _at(self, after: float, address: str, event) -> None:
        process = self.processes[address]
        heapq.heappush(
            self.heap,
            (self.now + after, next(self.serial), address, process, event),
        )

    def _deliver(self, address: str, life: Process, event) -> None:
        process = self.processes.get(address)
        self.word_at = self.now
        if isinstance(event, tuple):
            frame, self.word_at = event
            envelope = decode(frame)
            event = Received(envelope.sender, envelope.messages[0])
            life = process
        if process is None or not process.alive or life is not process:
            return
        if self.now < process.frozen_until:
            # Woken, it finds everything that came meanwhile, and one tick.
            heapq.heappush(
                self.heap,
                (process.frozen_until, next(self.serial), address, life, event),
            )
            return
        if isinstance(event, Tick):
            if isinstance(process.state, Node) and process.state.stopped:
                process.alive = False
                return
            self._at(TICK, address, event)
        effects = process.handle(event, self.now)
        for effect in effects:
            self._perform(process, effect)
        what = event.message if isinstance(event, Received) else event
        self._tell("taken", process, what, [])

    def _tell(self, kind: str, process: Process, what, delays: list) -> list:
        if self.watch is None:
            return delays
        return self.watch(kind, process, what, delays)

    def _perform(self, process: Process, effect) -> None:
        if isinstance(effect, Send):
            self._send(process, effect)
        elif isinstance(effect, CallUpstream):
            self._call(process, effect)
            self._tell("performed", process, effect, [])
        elif isinstance(effect, ReadKey):
            event = self.key_value.read(effect)
            if process.address in self.key_value.refused_by:
                event = KeyRead(effect.key, False, None, 0)
            self._at(self.key_value.delay, process.address, event)
        elif isinstance(effect, SwapKey):
            if process.address in self.key_value.refused_by:
                unknown = SwapOutcome.UNKNOWN
                event = KeySwapped(effect.key, effect.write_id, unknown, 0)
            else:
                event = self.key_value.swap(effect)
            self._at(self.key_value.delay, process.address, event)
            self._tell("performed", process, effect, [])
        elif isinstance(effect, Reply):
            handed = self.handed[effect.waiter]
            assert handed.reply is None, f"{effect.waiter} is answered twice"
            handed.reply, handed.replied_at = effect, self.now
            handed.decided_at = self.word_at
        elif isinstance(effect, Log):
            self.logs.append((self.now, process.name, effect))
        elif isinstance(effect, StopUpstream):
            self._stop(process, effect)

    def _stop(self, process: Process, effect: StopUpstream) -> None:
        """Hand an upstream the wish to stop a task."""
        upstream = self.upstreams[process.name]
        upstream.stopped.append(effect)
        if not upstream.takes_stops:
            return
        place = (effect.submission, effect.index, effect.attempt)
        outcome = UpstreamOutcome.ANSWERED
        event = UpstreamAnswered(*place, outcome, STOPPED, b"", 0)
        self._at(0.0, process.address, event)

    def _send(self, process: Process, effect: Send) -> None:
        kind = type(effect.message).__name__
        self.sent[kind] = self.sent.get(kind, 0) + 1
        if effect.address not in self.processes:
            return
        if (process.address, effect.address) in self.cut:
            return
        frame = encode(Envelope(process.address, [effect.message]))
        delays = self.fate(process.address, effect.address, effect.message)
        delays = self._tell("sent", process, effect.message, delays)
        for delay in delays:
            self._at(delay, effect.address, (frame, self.now))

    def _call(self, process: Process, effect: CallUpstream) -> None:
        upstream = self.upstreams[process.name]
        outcome, status = upstream.outcome, upstream.status
        if outcome is not UpstreamOutcome.NOT_SENT:
            began = Began(effect.submission, effect.index, self.now, process.name)
            upstream.starts.append(began)
        seconds = max(effect.task.duration_ms, 1) / 1000 + upstream.hangs
        body = b"answer to " + effect.task.body
        event = UpstreamAnswered(
            effect.submission,
            effect.index,
            effect.attempt,
            outcome,
            status if outcome is UpstreamOutcome.ANSWERED else 0,
            body if outcome is UpstreamOutcome.ANSWERED else b"",
            int(seconds * 1000),
        )
        self._at(seconds, process.address, event)


def small_cell(agents: int = 5, entries: int = 2, seed: int = 1, **fields) -> Bag:
    """Return a cell that has found its owner and whose entries know it."""
    bag = Bag(seed, **fields)
    for number in range(entries):
        bag.add_entry(f"entry-{number}")
    for number in range(agents):
        bag.add_agent(f"worker-{number}")
        bag.run(0.1)
    assert bag.run_until(lambda: is_settled(bag, agents)), "the cell did not settle"
    # In the first seconds of a cell, keys that callers chose are too old to know.
    bag.run(bag.timing.clock_margin + bag.timing.entry_margin)
    return bag


def is_settled(bag: Bag, agents: int) -> bool:
    owner = bag.owner()
    if owner is None:
        return False
    state = owner.state.owner
    usable = sum(peer.usable for peer in state.peers.values())
    entries = [
        process.state
        for process in bag.processes.values()
        if isinstance(process.state, EntryState)
    ]
    known = all(
        entry.cells[CELL].epoch == state.record.epoch
        and entry.cells[CELL].report
        and sum(entry.cells[CELL].report.free_slots.values()) > 0
        for entry in entries
    )
    known = known and state.record.holdings
    return usable == agents and known and (agents == 1 or state.record.backed_up)
