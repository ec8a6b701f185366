"""Measure the time from a change's acceptance to its force on the last node.

All nodes are in this one process: real replicas, real messages and their
codec, real time; the network is a delay and a chance of loss, the key-value
service a delayed watch. It shows what the protocol costs, not what sockets and
busy hosts add. Run: ``python -m tools.in_force --nodes 11 --loss 0.01``.
"""

import argparse
import asyncio
import json
import random
import time
import tracemalloc

import numpy
import uvloop

from cactuswalk.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationUpdate,
    Envelope,
    Ping,
    StoredObject,
    decode,
    encode,
)
from cactuswalk.model import Member
from cactuswalk.model.configuration import WorkerEntry, encode_object, object_key
from cactuswalk.state.configuration import ConfigurationSync, Replica
from cactuswalk.state.effects import Send

# docs/CAPACITY.md: a cell is some tens of workers.
CELL_SIZE = 30
ENTRIES = 3
# The brief: 0.5 ms one way between data centres.
LATENCY_SECONDS = 0.0005
# As the runtime sends ticks to reducers.
TICK_SECONDS = 0.05
# How finely the time is taken.
POLL_SECONDS = 0.001
# Changes come at any moment between two pings.
PAUSE_SECONDS = 0.1


class Node:
    """One process's replica and its conversation."""

    __slots__ = ("name", "sync", "peers", "agents")

    def __init__(self, name: str) -> None:
        self.name = name
        self.sync = ConfigurationSync(Replica())
        self.peers: list[str] = []
        self.agents: list[str] = []


class Network:
    """Nodes, and frames between them that take time and may be lost."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.generator = random.Random(1)
        self.nodes: dict[str, Node] = {}
        self.frames = 0
        self.bytes = 0
        self.entries = [self.add(f"entry{i}") for i in range(ENTRIES)]
        self.owners: list[Node] = []
        for number in range(arguments.nodes):
            node = self.add(f"agent{number}")
            if number % CELL_SIZE == 0:
                self.owners.append(node)
                node.peers = [entry.name for entry in self.entries]
            else:
                self.owners[-1].agents.append(node.name)
        for entry in self.entries:
            entry.peers = [owner.name for owner in self.owners]

    def add(self, name: str) -> Node:
        """Add a node."""
        self.nodes[name] = Node(name)
        return self.nodes[name]

    def send(self, sender: Node, sends: list, counted: bool = True) -> None:
        """Put messages on their way; those that flow anyway are not counted."""
        loop = asyncio.get_running_loop()
        for one in sends:
            frame = encode(Envelope(sender.name, [one.message]))
            self.frames += counted
            self.bytes += counted * len(frame)
            if self.generator.random() >= self.arguments.loss:
                delay = LATENCY_SECONDS * (1 + self.generator.random())
                loop.call_later(delay, self.deliver, one.address, frame)

    def deliver(self, address: str, frame: bytes) -> None:
        """Hand a frame to its receiver."""
        node = self.nodes[address]
        envelope = decode(frame)
        for message in envelope.messages:
            self.send(node, self.take(node, envelope.sender, message))

    def take(self, node: Node, sender: str, message: object) -> list:
        """Let a node handle a message and return what it sends."""
        now = time.monotonic()
        if isinstance(message, Ping):
            return node.sync.request_if_behind(sender, message.configuration, now)
        if isinstance(message, ConfigurationOffer):
            return node.sync.on_offer(sender, message, now)
        if isinstance(message, ConfigurationRequest):
            return node.sync.on_request(sender, message)
        return self.publish(node, sender, message)

    def publish(self, node: Node, sender: str, update: ConfigurationUpdate) -> list:
        """Apply an update and pass it on."""
        before = node.sync.replica.revision
        applied, sends = node.sync.on_update(sender, update, time.monotonic())
        if applied.objects:
            sends += node.sync.make_offers(node.peers)
            sends += node.sync.make_updates(before, node.agents)
        return sends

    def tick(self) -> None:
        """Send what flows anyway: pings to agents, reports to entries."""
        for owner in self.owners:
            ping = self.ping(owner)
            self.send(owner, [Send(agent, ping) for agent in owner.agents], False)
            self.send(owner, owner.sync.offers_if_ahead(owner.agents))
            self.send(owner, owner.sync.make_offers(owner.peers), False)

    def ping(self, owner: Node) -> Ping:
        """Return the owner's ping."""
        member = Member(owner.name, "", owner.name)
        return Ping("cell", 1, member, 1, owner.sync.replica.revision, 0, [])

    def accept(self, revision: int) -> ConfigurationUpdate:
        """Accept a change at the first entry; the others hear by their watch."""
        name = f"w{self.generator.randrange(1000)}"
        value = encode_object(WorkerEntry(name=name, labels={"n": str(revision)}))
        stored = StoredObject(f"worker/{name}", revision, value)
        first = self.entries[0]
        held = first.sync.replica.revision
        own = ConfigurationUpdate(held, held, [stored], [revision])
        self.send(first, self.publish(first, "", own))
        update = ConfigurationUpdate(revision - 1, revision, [stored])
        if not self.arguments.service_goes_away:
            self.watch_brings(update)
        return update

    def watch_brings(self, update: ConfigurationUpdate) -> None:
        """Let the watches of all entries bring a change."""
        loop = asyncio.get_running_loop()
        for entry in self.entries:
            loop.call_later(LATENCY_SECONDS, self.watched, entry, update)

    def watched(self, entry: Node, update: ConfigurationUpdate) -> None:
        """Bring a watch's change to an entry."""
        self.send(entry, self.publish(entry, "", update))

    def missing(self, revision: int) -> int:
        """Return on how many nodes a revision is not in force."""
        return sum(
            not node.sync.replica.holds(revision) for node in self.nodes.values()
        )


async def keep_ticking(network: Network) -> None:
    """Let pings and reports flow at their period, and retries in between."""
    loop = asyncio.get_running_loop()
    ping_at = loop.time()
    while True:
        if loop.time() >= ping_at:
            ping_at += network.arguments.period
            network.tick()
        for node in network.nodes.values():
            network.send(node, node.sync.tick(time.monotonic()))
        await asyncio.sleep(TICK_SECONDS)


async def wait_in_force(network: Network, revision: int) -> bool:
    """Wait until a revision is in force everywhere; False if it takes 5 s."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + 5.0
    while network.missing(revision):
        if loop.time() > deadline:
            return False
        await asyncio.sleep(POLL_SECONDS)
    return True


async def measure(arguments: argparse.Namespace) -> dict[str, object]:
    """Make changes one after another and return the times in milliseconds."""
    network = Network(arguments)
    ticking = asyncio.create_task(keep_ticking(network))
    times = []
    not_in_time = 0
    for revision in range(1, arguments.changes + 1):
        started = time.monotonic()
        update = network.accept(revision)
        in_time = await wait_in_force(network, revision)
        times.append((time.monotonic() - started) * 1000)
        not_in_time += not in_time
        if ticking.done():
            ticking.result()
        if arguments.service_goes_away:
            network.watch_brings(update)
        await asyncio.sleep(network.generator.random() * PAUSE_SECONDS)
    ticking.cancel()
    p50, p99, highest = numpy.percentile(times, (50, 99, 100))
    return {
        "nodes": arguments.nodes + ENTRIES,
        "loss": arguments.loss,
        "service_goes_away": arguments.service_goes_away,
        "changes": arguments.changes,
        "p50_ms": round(p50, 1),
        "p99_ms": round(p99, 1),
        "max_ms": round(highest, 1),
        "not_within_5_s": not_in_time,
        "frames_a_change": round(network.frames / arguments.changes, 1),
        "bytes_a_change": round(network.bytes / arguments.changes),
    }


def measure_whole(workers: int) -> dict[str, object]:
    """Return what a whole copy of the configuration costs a node."""
    tracemalloc.start()
    source = Replica()
    labels = {"tier": "gold", "owner": "route-planning", "trial": "no"}
    for number in range(workers):
        value = WorkerEntry(name=f"inverness-rack{number % 99}-{number}", labels=labels)
        stored = StoredObject(object_key(value), number + 1, encode_object(value))
        source.update(ConfigurationUpdate(number, number + 1, [stored]))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    frame = encode(Envelope("owner", [source.since(0)]))
    sent = time.process_time()
    copy = Replica()
    copy.update(decode(frame).messages[0])
    taken = time.process_time()
    return {
        "workers": workers,
        "memory_mb": round(held / 1e6, 2),
        "frame_bytes": len(frame),
        "sender_ms": round((sent - started) * 1000, 1),
        "receiver_ms": round((taken - sent) * 1000, 1),
    }


def main() -> None:
    """Measure once and print the result as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, default=11, help="workers' agents")
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--loss", type=float, default=0.0, help="of frames, 0 to 1")
    parser.add_argument("--period", type=float, default=0.25, help="of pings, seconds")
    parser.add_argument("--service-goes-away", action="store_true")
    parser.add_argument("--whole", type=int, help="cost of a copy with N workers")
    arguments = parser.parse_args()
    if arguments.whole:
        print(json.dumps(measure_whole(arguments.whole)))
        return
    print(json.dumps(uvloop.run(measure(arguments))))


if __name__ == "__main__":
    main()
