"""The state of a cell's owner, and what all its parts use.

The parts: ``submissions`` (entries), ``flights`` (starts and results),
``peers`` (pings), ``standing`` (quorum), ``reporting`` (entries), ``roster`` (members,
copies) and ``recovery`` (after a takeover).
"""

import collections
import enum
import random

import msgspec

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.messages import CededSlots, Message, Record, Submit
from cactuswalk.messages.configuration import NodeStateCount
from cactuswalk.model import Announcement, CellRecord, Member
from cactuswalk.state.agent import AgentState
from cactuswalk.state.answered import Answered
from cactuswalk.state.configuration import ConfigurationSync
from cactuswalk.state.effects import Count, Effect, Log, Part, Send
from cactuswalk.state.ledger import Placement, TrackedJob
from cactuswalk.state.retention import RecordStore
from cactuswalk.state.standing import find_confirmed_since
from cactuswalk.state.timing import Timing

__all__ = [
    "Cession",
    "EntryView",
    "HeldSubmission",
    "OwnerState",
    "Peer",
    "Phase",
    "SharingState",
]

# The low bits of an attempt number count the owner's starts, the high bits are the
# epoch. At the target of 30 starts per second and worker in a cell of 64, 32 bits
# last 25 days in one epoch.
ATTEMPT_BITS = 32


class Phase(enum.Enum):
    """Whether an owner still collects records, or serves."""

    RECOVERING = enum.auto()
    SERVING = enum.auto()


class Peer(msgspec.Struct):
    """The owner's view of one member of the roster.

    :param confirmed_at: when the latest confirmed ping was sent.
    :param stamp_at: when its latest stamp was received.
    :param announcement: as its upstream gave it; ``in_force`` adds the labels
        that operators set.
    :param pinged: serial of the last ping; ``confirmed`` is that of the last
        confirmed one. ``unconfirmed_since`` is when the first ping after that was
        sent, ``pinged_at`` when the last was.
    :param roster_sent: write id of the record whose roster is sent with the pings
        since ``roster_since``; ``roster_known`` once one of them is confirmed.
    :param ahead: changes in force there beyond its revision ``configuration``.
    :param drained: operators keep new work away from it.
    :param placements: attempts placed there, by (submission, index).
    """

    member: Member
    announcement: Announcement | None = None
    pings: dict[int, float] = {}
    pinged: int = 0
    confirmed: int = 0
    unconfirmed_since: float = float("-inf")
    pinged_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    heard_at: float = float("-inf")
    stamp: int = 0
    stamp_at: float = float("-inf")
    ready: bool = False
    leaving: bool = False
    fenced: bool = False
    in_force: Announcement | None = None
    usable: bool = False
    drained: bool = False
    roster_sent: str = ""
    roster_since: int = 0
    roster_known: str = ""
    configuration: int = 0
    ahead: list[int] = []
    placements: dict[tuple[str, int], Placement] = {}


class EntryView(msgspec.Struct):
    """An entry that subscribes to reports.

    :param serial: serial of the list of workers that it holds or was sent last.
    :param held: the configuration's nodes as last sent to it, at ``told_at``.
    """

    subscribed_at: float
    serial: int = -1
    held: list[NodeStateCount] = []
    told_at: float = float("-inf")


class HeldSubmission(msgspec.Struct):
    """A submission held back until the owner has collected the records."""

    sender: str
    submit: Submit
    deadline: float


class Cession(msgspec.Struct):
    """Slots that are about to be ceded to another cell."""

    service: str
    to: str
    count: int
    from_ms: int


class ShareFit(msgspec.Struct):
    """How a cell's share fitted its workers when a lookup was last scheduled."""

    is_mismatched: bool
    workers: int


class SharingState(msgspec.Struct):
    """What the owner knows of its cell's share in each service, see sharing.py.

    :param workers: worker slots by service, last seen at ``seen_at``.
    :param partners: the other cells of each service.
    :param lookups: number of partners that were read, by service.
    :param taken_by: by cell, the last cession that its record shows as accepted.
    :param latest_birth_ms: latest birth of the keys that were submitted here.
    """

    workers: dict[str, int] = {}
    seen_at: dict[str, float] = {}
    partners: dict[str, list[str]] = {}
    lookups: dict[str, int] = {}
    next_at: dict[str, float] = {}
    wait: dict[str, float] = {}
    share_fit: dict[str, ShareFit] = {}
    founding: set[str] = set()
    taking: CededSlots | None = None
    cession: Cession | None = None
    taken_by: dict[str, int] = {}
    notify_at: float = float("-inf")
    latest_birth_ms: int = 0


class OwnerState(msgspec.Struct):
    """State of the owner of a cell.

    :param record: the cell's record as last confirmed by the service.
    :param pending: a record whose swap is in progress, None if there is none.
    :param agent: the agent in the same process; its records are this host's.
    :param open: the names of unanswered submissions, in order.
    :param ledger: unanswered submissions by name; ``answered`` has the others.
    :param kept: answered submissions, in the order in which they expire.
    :param sync: this process's copy of the configuration.
    :param hedged_services: services for which operators enabled hedged requests.
    :param quota_teams: teams whose quota the scheduler was given.
    :param recovered: records collected at the takeover and ended since.
    :param removed_incarnations: incarnations that were removed from the roster
        without a planned stop, by worker.
    :param backup: the member that keeps copies of the records that only this host
        has; ``backup_ready`` once it has confirmed all of them.
    :param backup_covers: departed members whose records are in the copies being
        sent; ``departed_covered`` once the copies are confirmed.
    :param with_bodies: answered submissions whose bodies are kept, oldest first.
    :param maximum_bytes: limit for kept submissions, and again for their bodies;
        ``kept_bytes`` and ``body_bytes`` are their sizes.
    :param wall_ms: wall clock less monotonic clock, for births of keys.
    :param known_since: everything submitted since then is in the ledger or in the
        records; about older submissions nothing can be concluded.
    :param founded_at: when this owner created the cell, if it did.
    :param confirmed_at: when a quorum was last found to confirm this owner.
    :param taken_over_at: when fencing was complete.
    :param old_owner_until: until then a quorum may confirm an earlier owner.
    :param quorum_confirmed_since: cached time since which the rosters
        ``quorum_record_ids`` have confirmed this owner.
    :param usable_as_of: inputs of the last computation of all workers' usability;
        its result holds until ``usable_until``, except for a member just heard.
    :param records_missing_until: until then a task without a record may have run
        at one of ``unrecorded_members``, whose records nobody has.
    :param cancelled: submissions cancelled before they arrived, and until when the
        cancellation is kept.
    """

    cell: str
    member: Member
    record: CellRecord
    revision: int
    timing: Timing
    generator: random.Random
    agent: AgentState
    scheduler: Scheduler
    sync: ConfigurationSync
    recovered: RecordStore
    phase: Phase = Phase.RECOVERING
    peers: dict[str, Peer] = {}
    ledger: dict[str, TrackedJob] = {}
    open: dict[str, None] = {}
    answered: dict[str, Answered] = {}
    kept: collections.deque[Answered] = msgspec.field(default_factory=collections.deque)
    with_bodies: collections.deque[Answered] = msgspec.field(
        default_factory=collections.deque
    )
    held: list[HeldSubmission] = []
    cancelled: dict[str, float] = {}
    entries: dict[str, EntryView] = {}
    quota_teams: set[str] = set()
    hedged_services: frozenset[str] = frozenset()
    attempts: int = 0
    ping_serial: int = 0
    pinged_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    reported_at: float = float("-inf")
    maximum_bytes: int = 0
    wall_ms: float = 0.0
    sharing: SharingState = msgspec.field(default_factory=SharingState)
    kept_bytes: int = 0
    body_bytes: int = 0
    known_since: float = float("-inf")
    founded_at: float = float("-inf")
    taken_over_at: float = 0.0
    records_missing_until: float = float("-inf")
    workers_serial: int = 0
    quorum_record_ids: tuple[str, ...] = ()
    quorum_confirmed_since: float = float("-inf")
    usable_as_of: tuple = ()
    usable_until: float = float("-inf")
    deposed: bool = False
    handing_over: bool = False
    # Roster and copies, see roster.py.
    pending: CellRecord | None = None
    swap_again_at: float = float("-inf")
    joining: dict[str, Member] = {}
    removed_incarnations: dict[str, str] = {}
    backup: Member | None = None
    backup_tokens: set[str] = set()
    backup_ready: bool = False
    backup_serial: int = 0
    backup_again_at: float = float("-inf")
    backup_covers: list[Member] = []
    departed_covered: list[Member] = []
    # Recovery, see recovery.py.
    parts: dict[str, dict[int, list[Record]]] = {}
    fenced_at: float | None = None
    old_owner_until: float = float("-inf")
    fence_sent_at: float = float("-inf")
    replaced: set[str] = set()
    earlier: CellRecord | None = None
    unrecorded_members: list[Member] = []
    # Returned at the end of each event.
    effects: list[Effect] = []

    def send(self, address: str, message: Message) -> None:
        """Add an effect that sends a message."""
        self.effects.append(Send(address, message))

    def count(self, name: str, by: int = 1) -> None:
        """Add an effect that increments a counter."""
        self.effects.append(Count(f"owner.{name}", by))

    def log(self, sentence: str, **fields: object) -> None:
        """Add an effect that writes a log line."""
        fields["cell"] = self.cell
        fields["epoch"] = self.record.epoch
        self.effects.append(Log(Part.OWNER, sentence, fields))

    def next_attempt(self) -> int:
        """Return a unique attempt number, above those of all earlier owners."""
        self.attempts += 1
        return (self.record.epoch << ATTEMPT_BITS) | self.attempts

    def rosters(self) -> list[list[Member]]:
        """Return the rosters that must each confirm this owner by a majority."""
        if self.pending is None:
            return [self.record.roster]
        return [self.record.roster, self.pending.roster]

    def roster_names(self) -> tuple[str, ...]:
        """Return the write ids of the records whose rosters are in force."""
        if self.pending is None:
            return (self.record.write_id,)
        return (self.record.write_id, self.pending.write_id)

    def can_start_tasks(self, now: float) -> bool:
        """Tell whether this owner may start tasks now."""
        return not self.handing_over and self.is_confirmed(now)

    def is_confirmed(self, now: float) -> bool:
        """Tell whether no other owner can be serving now."""
        if self.phase is not Phase.SERVING or self.deposed:
            return False
        names = self.roster_names()
        if names != self.quorum_record_ids or self._is_stale(now):
            # Confirmation times only increase, so the cached result stays valid
            # until it has expired or the rosters change.
            moments = {key: peer.confirmed_at for key, peer in self.peers.items()}
            self.quorum_record_ids = names
            self.quorum_confirmed_since = find_confirmed_since(self.rosters(), moments)
        return not self._is_stale(now)

    def _is_stale(self, now: float) -> bool:
        return now - self.quorum_confirmed_since > self.timing.confirm

    def find_peer(self, worker: str) -> Peer | None:
        """Return the member of a worker, None if there is none."""
        for peer in self.peers.values():
            if peer.member.worker == worker:
                return peer
        return None
