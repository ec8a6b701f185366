"""An in-memory key-value service, and nodes joined by a simulated network."""

import types
import typing

from cactuswalk.http.operators_changes import ChangeWriter
from cactuswalk.http.operators_errors import ServiceUnavailableError
from cactuswalk.http.operators_store import ConfigurationFollower, ConfigurationKeys
from cactuswalk.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    Envelope,
    decode,
    encode,
)
from cactuswalk.state.configuration import ConfigurationSync, Replica
from cactuswalk.state.events import KeyRead, KeySwapped, SwapOutcome

# A round ends after some hundred deliveries; more indicate that nodes answer each
# other endlessly.
MAX_DELIVERIES = 3000


class FakeChange(typing.NamedTuple):
    key: str
    value: bytes
    mod_revision: int


class FakeChanges(typing.NamedTuple):
    is_snapshot: bool
    changes: list


@types.coroutine
def yield_to_test():
    """Suspend, so that the test chooses what happens next."""
    yield


class FakeService:
    """A store with compare-and-swap, one revision for all keys, and injected faults."""

    def __init__(self):
        self.revision = 0
        self.keys = {}
        self.log = []
        self.unavailable = False
        self.lose_reply = False
        self.lose_request = False

    async def read(self, key):
        await yield_to_test()
        if self.unavailable:
            return KeyRead(key, False, None, 0)
        value, revision = self.keys.get(key, (None, 0))
        return KeyRead(key, True, value, revision)

    async def swap(self, key, expected, value, write_id):
        await yield_to_test()
        if self.unavailable or self.lose_request:
            self.lose_request = False
            return KeySwapped(key, write_id, SwapOutcome.UNKNOWN, 0)
        if self.keys.get(key, (None, 0))[1] != expected:
            return KeySwapped(key, write_id, SwapOutcome.LOST, 0)
        self.put(key, value)
        if self.lose_reply:
            self.lose_reply = False
            return KeySwapped(key, write_id, SwapOutcome.UNKNOWN, 0)
        return KeySwapped(key, write_id, SwapOutcome.APPLIED, self.revision)

    async def list(self, prefix):
        await yield_to_test()
        if self.unavailable:
            raise ServiceUnavailableError("no answer", "Wait.")
        return self.revision, self.entries(prefix)

    def put(self, key, value):
        self.revision += 1
        self.keys[key] = (value, self.revision)
        self.log.append(FakeChange(key, value, self.revision))

    def entries(self, prefix):
        return [
            FakeChange(key, value, revision)
            for key, (value, revision) in sorted(self.keys.items())
            if key.startswith(prefix)
        ]

    def lose_data(self):
        """Lose all data and start again at revision 0."""
        self.revision, self.keys, self.log = 0, {}, []


def drive(coroutine):
    """Run a coroutine that awaits only these fakes until it returns."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as done:
        return done.value


class Node:
    """One process: its replica, the revisions observed at it, and its peers."""

    def __init__(self, cluster, name, make_replica):
        self.cluster = cluster
        self.name = name
        self.make_replica = make_replica
        self.peers = []
        self.agents = []
        self.start()

    def start(self):
        """Start with an empty state."""
        self.replica = self.make_replica()
        self.sync = ConfigurationSync(self.replica)
        self.observed_revisions = {}

    def handle(self, sender, message, now):
        if isinstance(message, ConfigurationOffer):
            return self.sync.on_offer(sender, message, now)
        if isinstance(message, ConfigurationRequest):
            return self.sync.on_request(sender, message)
        return self.publish(message, sender, now)

    def publish(self, update, sender="", now=0.0):
        before = self.replica.revision
        applied, sends = self.sync.on_update(sender, update, now)
        self.check_revisions_grow()
        if self.replica.revision > before or applied.objects:
            sends = sends + self.sync.make_offers(self.peers)
            sends = sends + self.sync.make_updates(before, self.agents)
        return sends

    def tick(self, now):
        return self.sync.tick(now)

    def make_offers(self):
        """Return the offers that are sent with pings and reports in each round."""
        return self.sync.make_offers(self.peers + self.agents)

    def check_revisions_grow(self):
        """Assert that no object has returned to an earlier revision."""
        for key, seen in self.observed_revisions.items():
            held = self.replica.objects[key].revision
            assert held >= seen, f"{self.name}: {key} from {seen} to {held}"
        self.observed_revisions = {
            key: stored.revision for key, stored in self.replica.objects.items()
        }


class Cluster:
    """Two entries that watch the service, owners below them, and agents below those."""

    def __init__(self, make_replica=Replica, owners=2, agents=2):
        self.service = FakeService()
        self.in_flight = []
        self.now = 0.0
        self.nodes = {}
        self.entries = [self.add(f"entry{i}", make_replica) for i in range(2)]
        self.followers = {}
        for number in range(owners):
            owner = self.add(f"owner{number}", make_replica)
            owner.peers = [entry.name for entry in self.entries]
            for entry in self.entries:
                entry.peers.append(owner.name)
            for index in range(agents):
                agent = self.add(f"agent{number}.{index}", make_replica)
                agent.peers = [owner.name]
                owner.agents.append(agent.name)
        self.keys = ConfigurationKeys(self.service)
        self.changes = [
            ChangeWriter(self.keys, entry.replica, self.publisher(entry))
            for entry in self.entries
        ]

    def add(self, name, make_replica):
        self.nodes[name] = Node(self, name, make_replica)
        return self.nodes[name]

    def publisher(self, entry):
        def publish(update):
            self.send(entry, entry.publish(update, now=self.now))

        return publish

    def send(self, node, sends):
        """Add messages to the network in their encoded form."""
        for send in sends:
            self.in_flight.append(
                (send.address, encode(Envelope(node.name, [send.message])))
            )

    def deliver(self, index, keep=False):
        """Deliver one message in flight; with ``keep`` it is delivered again later."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        address, frame = self.in_flight[index] if keep else self.in_flight.pop(index)
        envelope = decode(frame)
        node = self.nodes[address]
        for message in envelope.messages:
            self.send(node, node.handle(envelope.sender, message, self.now))

    def list(self, entry, snapshot=None):
        """Let an entry read all objects, as at the start of a watch."""
        follower = ConfigurationFollower(self.keys)
        revision, listed = snapshot or self.snapshot()
        self.followers[entry.name] = [follower, revision]
        self.publisher(entry)(follower.make_update(FakeChanges(True, listed)))

    def snapshot(self):
        return self.service.revision, self.service.entries(self.keys.prefix)

    def watch(self, entry, events=1):
        """Deliver the next events of an entry's watch; a new watch reads all first."""
        if self.service.unavailable:
            return
        if entry.name not in self.followers:
            self.list(entry)
            return
        follower, position = self.followers[entry.name]
        new_events = [
            event
            for event in self.service.log
            if event.mod_revision > position and event.key.startswith(self.keys.prefix)
        ][:events]
        if new_events:
            self.followers[entry.name][1] = new_events[-1].mod_revision
            self.publisher(entry)(follower.make_update(FakeChanges(False, new_events)))

    def restart(self, node):
        """Replace a process by one with an empty state."""
        node.start()
        self.followers.pop(node.name, None)
        if node in self.entries:
            index = self.entries.index(node)
            self.changes[index] = ChangeWriter(
                self.keys, node.replica, self.publisher(node)
            )

    def settle(self, rounds=8):
        """Exchange pings and reports without loss for some rounds."""
        for _ in range(rounds):
            self.now += 1.0
            for entry in self.entries:
                self.watch(entry, events=1000)
            for node in self.nodes.values():
                self.send(node, node.make_offers())
            for _ in range(MAX_DELIVERIES):
                self.deliver(0)
            assert not self.in_flight, "nodes answer each other endlessly"
