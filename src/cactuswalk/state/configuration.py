"""The copy of the configuration that each node holds, and how it spreads.

A copy is a set of changes: all up to ``revision``, and some later ones,
``ahead``. Copies only ever grow by union, so messages may be lost, repeated or
late, and no source can take a node back: not a slow watch, a peer with an
older copy, or a service that has lost data.
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

# A lost request has to be repeated soon: waiting 0.5 s put the 99th percentile
# at 0.6 s with 1% of frames lost, and at 2.2 s with 10% (tools/in_force.py). A
# whole copy for the target's 8,300 workers is some megabytes and may be on its
# way for longer; so the pause doubles, and few copies of it are sent.
INITIAL_WAIT_SECONDS = 0.08
MAX_WAIT_SECONDS = 1.0


class Applied(msgspec.Struct):
    """What an update did to a replica.

    :param objects: those that have changed, with their new values.
    :param gap: the update builds on changes that the replica does not hold.
    :param refused: objects that are older than this copy, or of another history.
    """

    objects: list[StoredObject]
    gap: bool = False
    refused: int = 0


class Replica:
    """The objects of the configuration by key, and the changes they contain."""

    __slots__ = ("revision", "ahead", "objects")

    def __init__(self) -> None:
        self.revision = 0
        self.ahead: set[int] = set()
        self.objects: dict[str, StoredObject] = {}

    def get(self, kind: str, name: str) -> OperatorObject | None:
        """Return an object, None if there is none or it was deleted."""
        stored = self.objects.get(f"{kind}/{name}")
        if stored is None or not stored.value:
            return None
        return decode_object(stored.value)

    def select(self, kind: str) -> list[OperatorObject]:
        """Return all objects of a kind by name."""
        prefix = f"{kind}/"
        return [
            decode_object(stored.value)
            for key, stored in sorted(self.objects.items())
            if stored.value and key.startswith(prefix)
        ]

    def holds(self, revision: int) -> bool:
        """Return whether a change is in force here."""
        return holds(self.revision, self.ahead, revision)

    def update(self, update: ConfigurationUpdate) -> Applied:
        """Take what is new in an update; none of it if it leaves a gap.

        A gap must not be passed over: the node would say that it holds all up
        to the update's revision while an earlier change never reached it, and
        nobody would send that change again.
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
        """Return whether an object holds a change that this copy lacks.

        An unknown object of a revision up to this copy's own can only come
        from a service that has lost data and counts from a lower revision
        again. Taken over here, it would never reach the nodes that rightly
        see no reason to ask for it.
        """
        held = self.objects.get(stored.key)
        newest = max(self.revision, held.revision if held else 0)
        return stored.revision > newest

    def since(self, revision: int) -> ConfigurationUpdate:
        """Return all that a node which holds ``revision`` may lack."""
        start = min(revision, self.revision)
        objects = [one for one in self.objects.values() if one.revision > start]
        objects.sort(key=lambda one: one.revision)
        return ConfigurationUpdate(start, self.revision, objects, sorted(self.ahead))

    def offer(self) -> ConfigurationOffer:
        """Return what this node has in force."""
        return ConfigurationOffer(self.revision, sorted(self.ahead))

    def is_missing(self, revision: int, ahead: Iterable[int] = ()) -> bool:
        """Return whether another node holds a change that this one lacks."""
        return revision > self.revision or not all(map(self.holds, ahead))

    def _replace(self, stored: StoredObject) -> None:
        """Put an object in force.

        The check stands apart from the one that decides, so that a fault in
        that one stops the node before it acts on an older configuration.
        """
        held = self.objects.get(stored.key)
        if held is not None and stored.revision < held.revision:
            raise InvariantError(
                f"{stored.key} would go back from revision {held.revision} to "
                f"{stored.revision}",
                "Restart this process and report the fault with its log.",
            )
        self.objects[stored.key] = stored

    def _advance(self, revision: int, ahead: Iterable[int]) -> None:
        """Add changes to those that are held."""
        if revision < self.revision:
            raise InvariantError(
                f"the configuration would go back from revision {self.revision} "
                f"to {revision}",
                "Restart this process and report the fault with its log.",
            )
        self.revision = revision
        self.ahead = {one for one in self.ahead.union(ahead) if one > revision}


class ConfigurationSync:
    """A replica's conversation with other nodes.

    An entry offers what it holds to the owners, an owner sends it to its
    agents, and whoever learns that another node holds more asks for it. Every
    message may be lost: each is caused again by the next ping or report.
    """

    __slots__ = ("replica", "asked", "asked_of", "asked_at", "pause")

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        # The revision that was last asked for, of whom, and when to ask again.
        self.asked = 0
        self.asked_of = ""
        self.asked_at = 0.0
        self.pause = 0.0

    def make_offers(self, addresses: Iterable[str]) -> list[Send]:
        """Tell nodes what is in force here, in a few bytes each."""
        offer = self.replica.offer()
        return [Send(address, offer) for address in addresses]

    def offers_if_ahead(self, addresses: Iterable[str]) -> list[Send]:
        """Return what has to go with a ping or a pong.

        These carry one revision. Changes ahead of it, whose place the service
        went away too early to tell, would otherwise stop at the first node.
        """
        return self.make_offers(addresses) if self.replica.ahead else []

    def make_updates(self, before: int, addresses: Iterable[str]) -> list[Send]:
        """Send all changes after the revision ``before`` to nodes."""
        update = self.replica.since(before)
        return [Send(address, update) for address in addresses]

    def request_if_behind(
        self, sender: str, revision: int, now: float, ahead: Iterable[int] = ()
    ) -> list[Send]:
        """Answer to what another node holds, as a ping or a report says.

        :return: a request if it holds more.
        """
        if not self.replica.is_missing(revision, ahead):
            return []
        wanted = max(revision, *ahead, 0) if ahead else revision
        if not self._may_ask(wanted, now):
            return []
        self.asked_of = sender
        return [Send(sender, ConfigurationRequest(self.replica.revision))]

    def tick(self, now: float) -> list[Send]:
        """Repeat a request whose answer has not come.

        The next ping would cause it too, but with one frame in ten lost, pings
        every 250 ms put the 99th percentile above a second. What is not
        answered in a few tries waits for a ping: the peer may be gone.
        """
        if self.replica.holds(self.asked) or self.pause >= MAX_WAIT_SECONDS:
            return []
        return self.request_if_behind(self.asked_of, self.asked, now)

    def on_offer(
        self, sender: str, offer: ConfigurationOffer, now: float
    ) -> list[Send]:
        """Ask for what the sender holds, or offer what it lacks.

        A node that lacks something itself never answers with an offer: two that
        each lack a change of the other's would answer one another's offers
        without end while both wait for an answer. The one that gets what it
        asked for offers then.
        """
        mine = self.replica
        if mine.is_missing(offer.revision, offer.ahead):
            return self.request_if_behind(sender, offer.revision, now, offer.ahead)
        behind = offer.revision < mine.revision or any(
            not holds(offer.revision, offer.ahead, one) for one in mine.ahead
        )
        return [Send(sender, mine.offer())] if behind else []

    def on_request(self, sender: str, request: ConfigurationRequest) -> list[Send]:
        """Answer a request; an empty answer would only cause another one."""
        mine = self.replica
        if request.revision >= mine.revision and not mine.ahead:
            return []
        return [Send(sender, mine.since(request.revision))]

    def on_update(
        self, sender: str, update: ConfigurationUpdate, now: float
    ) -> tuple[Applied, list[Send]]:
        """Apply an update; ask for what it builds on where that is missing."""
        applied = self.replica.update(update)
        if not applied.gap:
            return applied, []
        return applied, self.request_if_behind(
            sender, update.revision, now, update.ahead
        )

    def _may_ask(self, wanted: int, now: float) -> bool:
        """Note a request, unless the answer to an earlier one may be coming.

        A request for less does not count: its answer would leave this node
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
    """On how many of the known nodes a revision is in force.

    :param lowest: revision up to which every node holds all.
    """

    revision: int
    nodes: int
    nodes_in_force: int
    lowest: int


def holds(revision: int, ahead: Iterable[int], change: int) -> bool:
    """Return whether a node with this state has a change in force."""
    return change <= revision or change in ahead


def count_by_state(states: Iterable[tuple[int, Iterable[int]]]) -> list[NodeStateCount]:
    """Count the nodes of a cell by what they hold.

    An owner folds its own state and its agents' last pongs; the result stays
    short, since nodes differ only while a change is on its way.

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


def count_in_force(revision: int, cells: Iterable[list[NodeStateCount]]) -> NodesInForce:
    """Add up over cells on how many nodes a revision is in force."""
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
    """A worker as operators have configured it.

    :param announcement: with the operators' labels over the announced ones.
    :param may_serve: the service's selector lets this worker serve it.
    :param reason: why it gets no work, empty where it does.
    """

    announcement: Announcement
    drained: bool
    may_serve: bool
    reason: str


def view_worker(replica: Replica, announcement: Announcement) -> WorkerView:
    """Return what the configuration in force makes of an announcement.

    A service or a worker without an object is not limited by operators.
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
