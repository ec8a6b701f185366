"""The configuration replica of each node, and its synchronisation with other nodes.

A replica is a set of changes: all up to ``revision``, and some later ones, ``ahead``.
Replicas only grow by union. Messages may therefore be lost, repeated or delayed, and
no source can revert a node: not a slow watch, a peer with an older replica, or a
service that has lost data.
"""

from collections.abc import Iterable

import msgspec

from cactuswalk.errors import InvariantError
from cactuswalk.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationUpdate,
    StoredObject,
)
from cactuswalk.messages.configuration import NodeStateCount
from cactuswalk.model import Announcement, matches, parse_selector, worker_labels
from cactuswalk.model.configuration import (
    OperatorObject,
    Service,
    WorkerEntry,
    decode_object,
    merge_labels,
)
from cactuswalk.state.effects import Send

__all__ = [
    "Applied",
    "NodesInForce",
    "Replica",
    "ConfigurationSync",
    "WorkerView",
    "count_in_force",
    "count_by_state",
    "holds",
    "view_worker",
]

# A lost request has to be repeated soon: with a wait of 0.5 s, the 99th percentile was
# 0.6 s at 1% lost frames and 2.2 s at 10% (tools/in_force.py). A full copy for the
# target of 8,300 workers has some megabytes and may take longer to arrive; the wait
# doubles, so that few copies of it are sent.
INITIAL_WAIT_SECONDS = 0.08
MAX_WAIT_SECONDS = 1.0


class Applied(msgspec.Struct):
    """The result of an update of a replica.

    :param objects: objects that changed, with their new values.
    :param gap: the update builds on changes that the replica does not hold.
    :param refused: number of objects that are older than this replica, or belong to
        another history.
    """

    objects: list[StoredObject]
    gap: bool = False
    refused: int = 0


class Replica:
    """The configuration objects by key, and the changes that they contain."""

    __slots__ = ("revision", "ahead", "objects")

    def __init__(self) -> None:
        self.revision = 0
        self.ahead: set[int] = set()
        self.objects: dict[str, StoredObject] = {}

    def get(self, kind: str, name: str) -> OperatorObject | None:
        """Return an object; None if it does not exist or was deleted."""
        stored = self.objects.get(f"{kind}/{name}")
        if stored is None or not stored.value:
            return None
        return decode_object(stored.value)

    def select(self, kind: str) -> list[OperatorObject]:
        """Return all objects of a kind, ordered by name."""
        prefix = f"{kind}/"
        return [
            decode_object(stored.value)
            for key, stored in sorted(self.objects.items())
            if stored.value and key.startswith(prefix)
        ]

    def holds(self, revision: int) -> bool:
        """Return whether a change is in force on this node."""
        return holds(self.revision, self.ahead, revision)

    def update(self, update: ConfigurationUpdate) -> Applied:
        """Apply the new objects of an update; none if it leaves a gap.

        A gap must not be skipped: the node would report that it holds everything up
        to the update's revision although it lacks an earlier change, and no node
        would send that change again.
        """
        if update.since > self.revision:
            return Applied([], gap=True)
        changed = []
        refused = 0
        for stored in update.objects:
            if self.is_newer(stored):
                self._replace(stored)
                changed.append(stored)
            elif stored != self.objects.get(stored.key):
                refused += 1
        self._advance(max(self.revision, update.revision), update.ahead)
        return Applied(changed, refused=refused)

    def is_newer(self, stored: StoredObject) -> bool:
        """Return whether an object holds a change that this replica lacks.

        An unknown object with a revision up to this replica's own can only come from
        a service that has lost data and restarted from a lower revision. If it were
        applied here, it would never reach other nodes, which have no reason to
        request it.
        """
        held = self.objects.get(stored.key)
        newest = max(self.revision, held.revision if held else 0)
        return stored.revision > newest

    def since(self, revision: int) -> ConfigurationUpdate:
        """Return all changes that a node with ``revision`` may lack."""
        start = min(revision, self.revision)
        objects = [one for one in self.objects.values() if one.revision > start]
        objects.sort(key=lambda one: one.revision)
        return ConfigurationUpdate(start, self.revision, objects, sorted(self.ahead))

    def offer(self) -> ConfigurationOffer:
        """Return what this node has in force."""
        return ConfigurationOffer(self.revision, sorted(self.ahead))

    def is_missing(self, revision: int, ahead: Iterable[int] = ()) -> bool:
        """Return whether a node with this state holds a change that this one lacks."""
        return revision > self.revision or not all(map(self.holds, ahead))

    def _replace(self, stored: StoredObject) -> None:
        """Put an object in force.

        The check is independent of ``is_newer``, so that a fault there stops the
        node before it acts on an older configuration.
        """
        held = self.objects.get(stored.key)
        if held is not None and stored.revision < held.revision:
            raise InvariantError(
                f"{stored.key} would revert from revision {held.revision} to "
                f"{stored.revision}",
                "Restart this process and report the fault with its log.",
            )
        self.objects[stored.key] = stored

    def _advance(self, revision: int, ahead: Iterable[int]) -> None:
        """Extend the set of changes held."""
        if revision < self.revision:
            raise InvariantError(
                f"the configuration would revert from revision {self.revision} "
                f"to {revision}",
                "Restart this process and report the fault with its log.",
            )
        self.revision = revision
        self.ahead = {one for one in self.ahead.union(ahead) if one > revision}


class ConfigurationSync:
    """Synchronises a replica with other nodes.

    An entry offers its changes to the owners, an owner sends them to its agents, and
    a node that learns that another one holds more requests it. Any message may be
    lost: the next ping or report triggers it again.
    """

    __slots__ = ("replica", "asked", "asked_of", "asked_at", "pause")

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        # The last request: revision, receiver, time, and the wait until it is repeated.
        self.asked = 0
        self.asked_of = ""
        self.asked_at = 0.0
        self.pause = 0.0

    def make_offers(self, addresses: Iterable[str]) -> list[Send]:
        """Return messages of a few bytes that offer this replica's state to nodes."""
        offer = self.replica.offer()
        return [Send(address, offer) for address in addresses]

    def offers_if_ahead(self, addresses: Iterable[str]) -> list[Send]:
        """Return the offers that have to accompany a ping or a pong.

        Pings and pongs carry only a revision. Changes ahead of it, whose order is
        unknown because the service failed first, would not get past the first node.
        """
        return self.make_offers(addresses) if self.replica.ahead else []

    def make_updates(self, before: int, addresses: Iterable[str]) -> list[Send]:
        """Return messages with all changes after the revision ``before``."""
        update = self.replica.since(before)
        return [Send(address, update) for address in addresses]

    def request_if_behind(
        self, sender: str, revision: int, now: float, ahead: Iterable[int] = ()
    ) -> list[Send]:
        """Return a request to another node if it holds more than this one.

        :param revision: what that node holds, according to a ping, pong or offer.
        """
        if not self.replica.is_missing(revision, ahead):
            return []
        wanted = max(revision, *ahead, 0) if ahead else revision
        if not self._may_ask(wanted, now):
            return []
        self.asked_of = sender
        return [Send(sender, ConfigurationRequest(self.replica.revision))]

    def tick(self, now: float) -> list[Send]:
        """Repeat a request without an answer.

        The next ping would repeat it too, but with one in ten frames lost, pings every
        250 ms put the 99th percentile above a second. After a few repetitions it
        waits for a ping, since the peer may be gone.
        """
        if self.replica.holds(self.asked) or self.pause >= MAX_WAIT_SECONDS:
            return []
        return self.request_if_behind(self.asked_of, self.asked, now)

    def on_offer(
        self, sender: str, offer: ConfigurationOffer, now: float
    ) -> list[Send]:
        """Request what the sender holds, or offer what it lacks.

        A node that lacks a change never answers with an offer: two nodes that each
        lack a change of the other's would exchange offers without end while both
        wait for an answer. A node offers once it has what it requested.
        """
        mine = self.replica
        if mine.is_missing(offer.revision, offer.ahead):
            return self.request_if_behind(sender, offer.revision, now, offer.ahead)
        behind = offer.revision < mine.revision or any(
            not holds(offer.revision, offer.ahead, one) for one in mine.ahead
        )
        return [Send(sender, mine.offer())] if behind else []

    def on_request(self, sender: str, request: ConfigurationRequest) -> list[Send]:
        """Answer a request, unless the answer would be empty.

        An empty answer would only cause another request.
        """
        mine = self.replica
        if request.revision >= mine.revision and not mine.ahead:
            return []
        return [Send(sender, mine.since(request.revision))]

    def on_update(
        self, sender: str, update: ConfigurationUpdate, now: float
    ) -> tuple[Applied, list[Send]]:
        """Apply an update; request the changes missing before it."""
        applied = self.replica.update(update)
        if not applied.gap:
            return applied, []
        return applied, self.request_if_behind(
            sender, update.revision, now, update.ahead
        )

    def _may_ask(self, wanted: int, now: float) -> bool:
        """Record a request, unless the answer to an earlier one may still arrive.

        An earlier request for less does not count: its answer would leave this node
        behind until the next ping.
        """
        if wanted > self.asked:
            self.pause = INITIAL_WAIT_SECONDS
        elif now - self.asked_at < self.pause:
            return False
        else:
            self.pause = min(2 * self.pause, MAX_WAIT_SECONDS)
        self.asked = wanted
        self.asked_at = now
        return True


class NodesInForce(msgspec.Struct):
    """The number of known nodes on which a revision is in force.

    :param lowest: revision up to which every node holds all changes.
    """

    revision: int
    nodes: int
    nodes_in_force: int
    lowest: int


def holds(revision: int, ahead: Iterable[int], change: int) -> bool:
    """Return whether a node with this state has a change in force."""
    return change <= revision or change in ahead


def count_by_state(states: Iterable[tuple[int, Iterable[int]]]) -> list[NodeStateCount]:
    """Count the nodes of a cell by the changes that they hold.

    An owner passes its own state and those in its agents' last pongs. The result is
    short, since nodes differ only while a change spreads.

    :param states: a revision and the changes ahead of it, for each node.
    """
    counts: dict[tuple[int, tuple[int, ...]], int] = {}
    for revision, ahead in states:
        state = (revision, tuple(sorted(ahead)))
        counts[state] = counts.get(state, 0) + 1
    return [
        NodeStateCount(revision, list(ahead), nodes)
        for (revision, ahead), nodes in sorted(counts.items())
    ]


def count_in_force(
    revision: int, cells: Iterable[list[NodeStateCount]]
) -> NodesInForce:
    """Count the nodes of all cells on which a revision is in force."""
    nodes = in_force = 0
    lowest: int | None = None
    for held in cells:
        for one in held:
            nodes += one.nodes
            if holds(one.revision, one.ahead, revision):
                in_force += one.nodes
            lowest = one.revision if lowest is None else min(lowest, one.revision)
    return NodesInForce(revision, nodes, in_force, lowest or 0)


class WorkerView(msgspec.Struct):
    """A worker as configured by operators.

    :param announcement: announcement with the operators' labels merged into it.
    :param may_serve: whether the service's selector matches the worker.
    :param reason: why it gets no work; empty if it gets work.
    """

    announcement: Announcement
    drained: bool
    may_serve: bool
    reason: str


def view_worker(replica: Replica, announcement: Announcement) -> WorkerView:
    """Apply the configuration in force to an announcement.

    A service or a worker without a configuration object is not restricted.
    """
    entry = replica.get("worker", announcement.worker)
    service = replica.get("service", announcement.service)
    drained = isinstance(entry, WorkerEntry) and entry.drained
    labels = merge_labels(announcement.labels, entry)
    merged = msgspec.structs.replace(announcement, labels=labels)
    selector = service.selector if isinstance(service, Service) else ""
    may_serve = matches(parse_selector(selector), worker_labels(merged))
    reason = ""
    if drained:
        reason = f"{announcement.worker} is drained"
    elif not may_serve:
        reason = f"its labels do not match {selector!r} of {announcement.service}"
    return WorkerView(merged, drained, may_serve, reason)
