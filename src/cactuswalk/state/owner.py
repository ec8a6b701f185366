"""The owner of a cell: its state, and what every part of it uses.

The parts: ``submissions`` (entries), ``flights`` (starts and results),
``peers`` (pings, standing), ``reporting`` (entries), ``roster`` (members, copies) and
``recovery`` (after a takeover).
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
from cactuswalk.state.ledger import Place, Tracked
from cactuswalk.state.retention import RecordBook
from cactuswalk.state.standing import confirmed_since
from cactuswalk.state.timing import Timing

__all__ = [
    "Cession",
    "EntryView",
    "Held",
    "OwnerState",
    "Peer",
    "Phase",
    "SharingState",
]

# The low bits of an attempt count the owner's starts; at the target's 30 starts
# a second and worker in a cell of 64, 32 bits last 25 days in one epoch. The
# epoch stands above them.
ATTEMPT_BITS = 32


class Phase(enum.Enum):
    """Whether an owner collects records still, or serves."""

    RECOVERING = enum.auto()
    SERVING = enum.auto()


class Peer(msgspec.Struct):
    """What the owner knows of one member of the roster.

    :param confirmed_at: when the last ping that it confirmed was sent.
    :param stamp_at: when its latest stamp came here.
    :param announcement: as its upstream gave it; ``in_force`` with the labels
        that operators gave it.
    :param pinged: serial of the last ping, ``confirmed`` of the last one that was
        confirmed; ``asked_since`` is when the first after it was sent, at
        ``pinged_at`` the last.
    :param roster_sent: write id of the record whose roster goes with the pings
        since ``roster_since``; ``roster_known`` once one of them is confirmed.
    :param ahead: changes in force there beyond its revision ``configuration``.
    :param drained: operators keep new work away from it.
    :param flights: attempts placed there, by (submission, index).
    """

    member: Member
    announcement: Announcement | None = None
    pings: dict[int, float] = {}
    pinged: int = 0
    confirmed: int = 0
    asked_since: float = float("-inf")
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
    flights: dict[tuple[str, int], Place] = {}


class EntryView(msgspec.Struct):
    """An entry that asks for reports.

    :param serial: of the workers' list that it holds, or was sent last.
    :param held: of the configuration, as it was told last, at ``told_at``.
    """

    subscribed_at: float
    serial: int = -1
    held: list[NodeStateCount] = []
    told_at: float = float("-inf")


class Held(msgspec.Struct):
    """A submission that waits until the owner has its records together."""

    sender: str
    submit: Submit
    deadline: float


class Cession(msgspec.Struct):
    """Slots that are about to be ceded to another cell."""

    service: str
    to: str
    count: int
    from_ms: int


class Fitted(msgspec.Struct):
    """How a cell's share fitted its workers when it last planned to look round."""

    badly_off: bool
    workers: int


class SharingState(msgspec.Struct):
    """What the owner knows of its cell's share in each service, see sharing.py.

    :param workers: worker slots by service, last seen at ``seen_at``.
    :param partners: the other cells of each service.
    :param turn: counts the partners that were looked at, by service.
    :param taken_by: by cell, the last cession that its record shows as taken.
    :param latest_birth_ms: of the keys that were submitted here.
    """

    workers: dict[str, int] = {}
    seen_at: dict[str, float] = {}
    partners: dict[str, list[str]] = {}
    turn: dict[str, int] = {}
    next_at: dict[str, float] = {}
    wait: dict[str, float] = {}
    fitted: dict[str, Fitted] = {}
    founding: set[str] = set()
    taking: CededSlots | None = None
    cession: Cession | None = None
    taken_by: dict[str, int] = {}
    push_at: float = float("-inf")
    latest_birth_ms: int = 0


class OwnerState(msgspec.Struct):
    """What the owner of a cell knows.

    :param record: the cell's record as it is known to stand in the service.
    :param pending: a record whose swap is under way, None if there is none.
    :param agent: the agent in the same process; its records are this host's.
    :param open: the submissions that are not answered yet, in order.
    :param ledger: those, by name; ``answered`` are the others.
    :param kept: answered ones, in the order in which they are forgotten.
    :param sync: this process's copy of the configuration.
    :param hedged_services: whose operators want stragglers overtaken.
    :param quota_teams: teams that the scheduler was given a quota for.
    :param recovered: records collected at the takeover and ended since.
    :param left: lives of workers that went off the roster unplanned, by worker.
    :param backup: the member that keeps copies of what only this host knows,
        ready once it has confirmed all of them.
    :param backup_covers: departed members whose records are in the copies that
        are under way; ``departed_covered`` once they are confirmed.
    :param with_bodies: answered ones whose bodies are kept, oldest first.
    :param maximum_bytes: for kept submissions, and again for their bodies;
        ``kept_bytes`` and ``body_bytes`` are what they take.
    :param wall_ms: wall clock less monotonic clock, for births of keys.
    :param known_since: everything that was submitted since then is in the ledger
        or in the records; of what is older nobody here can say.
    :param founded_at: when this owner began the cell, if it did.
    :param confirmed_at: when it was last seen to have standing.
    :param taken_over_at: when the fence was complete.
    :param old_owner_until: until then an earlier owner may have standing.
    :param standing_since: when the rosters ``standing_names`` had last confirmed
        this owner, as far as was looked.
    :param usable_as_of: what the workers' usability was last worked out for,
        all of them; it holds ``usable_until`` then, but for the one just heard.
    :param unsure_until: until then a task without a record may have run, at one
        of ``unsure_members``, whose records nobody has.
    :param cancelled: submissions cancelled before they came, and until when.
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
    recovered: RecordBook
    phase: Phase = Phase.RECOVERING
    peers: dict[str, Peer] = {}
    ledger: dict[str, Tracked] = {}
    open: dict[str, None] = {}
    answered: dict[str, Answered] = {}
    kept: collections.deque[Answered] = msgspec.field(default_factory=collections.deque)
    with_bodies: collections.deque[Answered] = msgspec.field(
        default_factory=collections.deque
    )
    held: list[Held] = []
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
    unsure_until: float = float("-inf")
    workers_serial: int = 0
    standing_names: tuple[str, ...] = ()
    standing_since: float = float("-inf")
    usable_as_of: tuple = ()
    usable_until: float = float("-inf")
    deposed: bool = False
    handing_over: bool = False
    # Roster and copies, see roster.py.
    pending: CellRecord | None = None
    swap_again_at: float = float("-inf")
    joining: dict[str, Member] = {}
    left: dict[str, str] = {}
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
    unsure_members: list[Member] = []
    # Handed back at the end of each event.
    effects: list[Effect] = []

    def send(self, address: str, message: Message) -> None:
        """Have a message sent."""
        self.effects.append(Send(address, message))

    def count(self, name: str, by: int = 1) -> None:
        """Have a counter raised."""
        self.effects.append(Count(f"owner.{name}", by))

    def log(self, sentence: str, **fields: object) -> None:
        """Have a log line written."""
        fields["cell"] = self.cell
        fields["epoch"] = self.record.epoch
        self.effects.append(Log(Part.OWNER, sentence, fields))

    def next_attempt(self) -> int:
        """Return a number for a start: unique, and above all earlier owners'."""
        self.attempts += 1
        return (self.record.epoch << ATTEMPT_BITS) | self.attempts

    def rosters(self) -> list[list[Member]]:
        """Return the rosters of which each has to confirm this owner."""
        if self.pending is None:
            return [self.record.roster]
        return [self.record.roster, self.pending.roster]

    def roster_names(self) -> tuple[str, ...]:
        """Return what names the rosters in force: each write has its own id."""
        if self.pending is None:
            return (self.record.write_id,)
        return (self.record.write_id, self.pending.write_id)

    def stands(self, now: float) -> bool:
        """Tell whether this owner may start tasks now."""
        return not self.handing_over and self.is_confirmed(now)

    def is_confirmed(self, now: float) -> bool:
        """Tell whether no other owner can be serving now."""
        if self.phase is not Phase.SERVING or self.deposed:
            return False
        names = self.roster_names()
        if names != self.standing_names or self._is_stale(now):
            # Looked over again only when what was found is not enough: members'
            # confirmations only ever grow younger, so it stays true meanwhile.
            moments = {key: peer.confirmed_at for key, peer in self.peers.items()}
            self.standing_names = names
            self.standing_since = confirmed_since(self.rosters(), moments)
        return not self._is_stale(now)

    def _is_stale(self, now: float) -> bool:
        return now - self.standing_since > self.timing.confirm

    def peer_of(self, worker: str) -> Peer | None:
        """Return the member that speaks for a worker, None if there is none."""
        for peer in self.peers.values():
            if peer.member.worker == worker:
                return peer
        return None
