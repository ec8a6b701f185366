"""The reducers in a bag of messages, with a meter at each process.

Messages and bytes are those of the product's own codec, one message a frame;
the runtime puts all that one turn of its loop has for a receiver into one
frame, so real frames are fewer. Headers of ZeroMQ, TCP and IP are not counted.
"""

import collections
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from cactuswalk.messages import Envelope, encode
from cactuswalk.state.effects import ReadKey, Reply, Send, SwapKey
from cactuswalk.state.node import Node
from features.support.bag import Bag, is_settled

__all__ = [
    "REQUEST_PATH",
    "Meter",
    "MeteredBag",
    "Traffic",
    "allocated_by",
    "metered_cell",
    "processor_seconds",
]

# Messages that exist because a caller asked for something; all others are
# control, which the letter bounds for each node.
REQUEST_PATH = frozenset(
    {
        "Submit",
        "Answer",
        "Cancel",
        "Query",
        "JobState",
        "NotOwner",
        "Start",
        "Result",
        "Declined",
        "Probe",
        "Running",
        "Witness",
        "Witnessed",
    }
)


class Traffic(msgspec.Struct):
    """Messages and bytes, both ways."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count one message."""
        self.messages += 1
        self.bytes += size


class Meter(msgspec.Struct):
    """What one process has sent, received, asked and computed."""

    control: Traffic = msgspec.field(default_factory=Traffic)
    requests: Traffic = msgspec.field(default_factory=Traffic)
    keyvalue_calls: int = 0
    processor_s: float = 0.0

    def traffic(self, kind: str) -> Traffic:
        """Return where a kind of message is counted."""
        return self.requests if kind in REQUEST_PATH else self.control


class MeteredBag(Bag):
    """A bag whose processes are metered, each from when it was added."""

    def __init__(self, seed: int = 1, **fields) -> None:
        super().__init__(seed, **fields)
        self.meters: dict[str, Meter] = {}
        self.by_kind: dict[str, Traffic] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()

    def add_agent(self, worker: str, **fields):
        """Start a metered agent."""
        return self._metered(super().add_agent(worker, **fields))

    def add_entry(self, name: str):
        """Start a metered entry."""
        return self._metered(super().add_entry(name))

    def reset(self) -> None:
        """Set all meters to zero."""
        self.by_kind.clear()
        self.meters = {address: Meter() for address in self.meters}

    def owner_meter(self) -> Meter:
        """Return the owner's meter."""
        return self.meters[self.owner().address]

    def agent_meters(self) -> list[Meter]:
        """Return the meters of the agents that don't own the cell."""
        owner = self.owner().address
        return [
            self.meters[address]
            for address, process in self.processes.items()
            if isinstance(process.state, Node) and address != owner
        ]

    def entry_meters(self) -> list[Meter]:
        """Return the meters of the entries."""
        return [
            self.meters[address]
            for address, process in self.processes.items()
            if not isinstance(process.state, Node)
        ]

    def _metered(self, process):
        self.meters[process.address] = Meter()
        unmetered = process.handle

        def handle(event, now: float) -> list:
            began = time.thread_time()
            effects = unmetered(event, now)
            meter = self.meters[process.address]
            meter.processor_s += time.thread_time() - began
            return effects

        process.handle = handle
        return process

    def _perform(self, process, effect) -> None:
        if isinstance(effect, ReadKey | SwapKey):
            self.meters[process.address].keyvalue_calls += 1
        elif isinstance(effect, Reply):
            self.outcomes[effect.outcome] += 1
        super()._perform(process, effect)

    def _send(self, process, effect: Send) -> None:
        super()._send(process, effect)
        if effect.address == process.address:
            # The owner's own agent is in the same process: nothing is sent.
            return
        kind = type(effect.message).__name__
        size = len(encode(Envelope(process.address, [effect.message])))
        self.by_kind.setdefault(kind, Traffic()).add(size)
        for address in (process.address, effect.address):
            if address in self.meters:
                self.meters[address].traffic(kind).add(size)


def metered_cell(agents: int, entries: int = 2, seed: int = 1, **fields) -> MeteredBag:
    """Return a settled cell with its meters at zero."""
    bag = MeteredBag(seed, **fields)
    for number in range(entries):
        bag.add_entry(f"entry-{number}")
    for number in range(agents):
        bag.add_agent(f"worker-{number}")
        bag.run(0.1)
    if not bag.run_until(lambda: is_settled(bag, agents)):
        raise RuntimeError(f"a cell of {agents} did not settle")
    bag.reset()
    return bag


def processor_seconds(work: Callable[[], object]) -> float:
    """Return the processor time of a piece of work in this thread."""
    began = time.thread_time()
    work()
    return time.thread_time() - began


def allocated_by(build: Callable[[], object]) -> int:
    """Return the bytes that what ``build`` returns keeps allocated."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        after = tracemalloc.get_traced_memory()[0]
        del kept
        return after - before
    finally:
        tracemalloc.stop()
