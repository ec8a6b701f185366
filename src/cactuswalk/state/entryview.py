"""The state of an entry: cells, pending submissions and pending queries."""

import random

import msgspec

from cactuswalk.messages import CellReport, Explanation
from cactuswalk.messages.configuration import NodeStateCount
from cactuswalk.model import (
    Announcement,
    Holding,
    Job,
    Outcome,
    Refusal,
    RefusalCode,
)
from cactuswalk.state.configuration import ConfigurationSync
from cactuswalk.state.effects import (
    Count,
    Effect,
    Log,
    Part,
    Reply,
)
from cactuswalk.state.timing import Timing

__all__ = [
    "MAX_OWNER_WAIT_SECONDS",
    "RETRY_WITHOUT_OWNER_MS",
    "PendingStateQuery",
    "CellView",
    "EntryState",
    "Pending",
    "PendingExplain",
    "key_age_ms",
    "refuse_pending",
    "last_attempt",
    "log",
    "make_no_owner_refusal",
    "outcome_if_unsent",
    "refuse_waiter",
]

# Long enough for a takeover to end, so that a caller that retries finds an owner.
RETRY_WITHOUT_OWNER_MS = 3000
# A takeover ends within this time; until then a submission waits for its owner. It is
# counted from when the owner became silent, not from the submission: when half of a
# cell is permanently lost, later submissions would each wait until their deadline.
MAX_OWNER_WAIT_SECONDS = 6.0


class CellView(msgspec.Struct):
    """An entry's view of one cell.

    :param owner: address of its owner, empty while unknown.
    :param holdings: which submissions belong to the cell, as far as known here; an
        owner reports one that it does not hold.
    :param retired: an operator has declared its hosts permanently lost.
    :param record_unreadable: the key-value service gave no answer when its record
        was last read; then no process can take the cell over either.
    :param stamp_at: when the owner's latest stamp was received.
    :param silent_since: since when its owner has been silent, None if it is not.
    :param accepts_keys_at: when it starts to accept keys that callers chose.
    :param subscribed_at: when a report was last requested; ``unanswered_since`` is
        when the first request without a reply was sent.
    :param serial: version of ``workers`` within its owner's epoch.
    """

    cell: str
    services: set[str] = set()
    owner: str = ""
    epoch: int = 0
    stamp: int = 0
    stamp_at: float = float("-inf")
    subscribed_at: float = float("-inf")
    unanswered_since: float = float("inf")
    read_at: float = float("-inf")
    silent_since: float | None = None
    accepts_keys_at: float = float("-inf")
    serial: int = 0
    workers: list[Announcement] = []
    report: CellReport | None = None
    holdings: list[Holding] = []
    revision: int = 0
    record_unreadable: bool = False
    retired: bool = False


class Pending(msgspec.Struct):
    """A submission that callers wait for at this entry.

    :param joined_deadlines: of the waiters that joined later, by waiter.
    :param attempts: every attempt sent, so that a late answer to one of them is
        recognised; all attempts of a submission have the same answer.
    :param sent: whether it was sent to a process that has not denied holding it.
    :param last_sign_at: when it was last sent, queried or reported on.
    :param query_after: time without a sign of it after which its owner is queried.
    :param minted: this entry made the identifier.
    :param hops: number of forwards since a cell was last chosen.
    :param moved_at: when it was forwarded from a cell that does not hold it.
    """

    job: Job
    cell: str
    deadline: float
    submitted_at: float
    waiters: list[str] = []
    joined_deadlines: dict[str, float] = {}
    attempts: set[int] = set()
    sent: bool = False
    sent_epoch: int = 0
    last_sign_at: float = 0.0
    query_after: float = 0.0
    minted: bool = False
    hops: int = 0
    moved_at: float = float("-inf")
    cancelled: bool = False


class PendingStateQuery(msgspec.Struct):
    """A caller's query for the state of a submission.

    :param owners: number of owners that have not replied yet.
    """

    until: float
    owners: int


class PendingExplain(msgspec.Struct):
    """An operator's query where a job could be placed.

    :param owners: number of owners that have not replied yet.
    """

    until: float
    owners: int
    cells: list[Explanation] = []


class EntryState(msgspec.Struct):
    """State of an entry.

    :param wall_ms: wall clock minus monotonic clock; used only for ages of keys.
    :param attempt: number of the last submit sent. Starts at a random number, so
        that a restarted entry at the same address does not reuse one.
    :param sync: this entry's copy of the configuration.
    :param peers: addresses of processes to exchange the configuration with.
    :param held: what the nodes of each cell have in force, as its owner reports.
    :param pending_queries: callers' queries that owners have not answered yet.
    """

    address: str
    timing: Timing
    generator: random.Random
    wall_ms: float
    sync: ConfigurationSync
    peers: list[str] = []
    cells: dict[str, CellView] = {}
    pending: dict[str, Pending] = {}
    pending_queries: dict[str, PendingStateQuery] = {}
    pending_explains: dict[str, PendingExplain] = {}
    attempt: int = 0
    stopping: bool = False
    held: dict[str, list[NodeStateCount]] = {}
    offered_at: float = float("-inf")
    effects: list[Effect] = []


def last_attempt(pending: Pending) -> int:
    """Return the number of the last attempt sent."""
    return max(pending.attempts, default=0)


def outcome_if_unsent(minted: bool) -> Outcome:
    """Return the outcome of a submission that this entry has not sent.

    A key that the caller chose may have been submitted through another entry and
    have run; for it only an owner can say "not run".
    """
    return Outcome.NOT_RUN if minted else Outcome.UNKNOWN


def make_no_owner_refusal(view: CellView) -> Refusal:
    """Return the refusal for a cell that has had no owner for too long."""
    return Refusal(
        RefusalCode.NO_OWNER,
        f"cell {view.cell} has had no owner for {MAX_OWNER_WAIT_SECONDS:.0f} s",
        RETRY_WITHOUT_OWNER_MS,
    )


def key_age_ms(state: EntryState, job: Job, now: float) -> float:
    """Return the age of a submission's key by this process's wall clock."""
    return now * 1000 + state.wall_ms - job.created_ms


def refuse_pending(
    state: EntryState, pending: Pending, outcome: Outcome, refusal: Refusal
) -> None:
    """Refuse a submission to all its waiters, without an answer of the owner."""
    del state.pending[pending.job.submission]
    for waiter in pending.waiters:
        refuse_waiter(state, waiter, pending.job.submission, outcome, refusal)


def refuse_waiter(
    state: EntryState,
    waiter: str,
    submission: str,
    outcome: Outcome,
    refusal: Refusal,
) -> None:
    """Reply to one waiter with a refusal instead of an answer."""
    log(
        state,
        "refused a caller",
        submission=submission,
        outcome=str(outcome),
        reason=refusal.message,
    )
    state.effects.append(Count(f"entry.outcome.{outcome}"))
    state.effects.append(Reply(waiter, submission, outcome, [], refusal))


def log(state: EntryState, sentence: str, **fields: object) -> None:
    """Add a log line to the effects."""
    state.effects.append(Log(Part.ENTRY, sentence, fields))
