"""What an entry knows: of cells, of submissions, of questions."""

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

# A caller that comes back after a takeover finds an owner.
RETRY_WITHOUT_OWNER_MS = 3000
# A takeover ends within this; until then a submission waits for its owner. Counted
# from when the owner fell silent: where half of a cell is gone for good, those who
# come later would wait for nothing, each up to its deadline.
MAX_OWNER_WAIT_SECONDS = 6.0


class CellView(msgspec.Struct):
    """What an entry knows of one cell.

    :param owner: address of its owner, empty while it is not known.
    :param holdings: which submissions fall to it, as far as is known here; an
        owner that doesn't hold one says so.
    :param retired: an operator has said that its hosts are gone for good.
    :param record_unreadable: the key-value service gave no answer when its record
        was last read; then no process can take the cell over either.
    :param stamp_at: when the owner's latest stamp came here.
    :param silent_since: since when its owner has been silent, None while it
        is heard.
    :param accepts_keys_at: from when on it takes keys that callers chose.
    :param subscribed_at: when it was last asked for a report; ``unanswered_since``
        the first time of those that nothing has answered.
    :param serial: of ``workers``, for its owner's epoch.
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

    :param attempts: every attempt sent, so that a late answer to one of them
        is recognised; all of one submission have the same answer.
    :param sent: whether it was sent to anybody who has not said that it does
        not hold it.
    :param hops: how often it was sent on since a cell was last chosen.
    :param moved_at: when it was sent on from a cell that doesn't hold it.
    """

    job: Job
    cell: str
    deadline: float
    submitted_at: float
    waiters: list[str] = []
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
    """A caller's question where a submission stands.

    :param owners: how many owners have yet to answer.
    """

    until: float
    owners: int


class PendingExplain(msgspec.Struct):
    """An operator's question where a job could be placed.

    :param owners: how many owners have yet to answer.
    """

    until: float
    owners: int
    cells: list[Explanation] = []


class EntryState(msgspec.Struct):
    """All that an entry knows.

    :param wall_ms: wall clock less monotonic clock; only ages of identifiers
        rest on it.
    :param attempt: number of the last submit sent; starts at random, so that a
        restarted entry at the same address does not repeat one.
    :param sync: this entry's copy of the configuration.
    :param peers: addresses of processes to learn the configuration from.
    :param held: by cell, what its nodes have in force, as its owner says.
    :param pending_queries: questions of callers that owners have not answered yet.
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
    """Return the attempt that was sent last."""
    return max(pending.attempts, default=0)


def outcome_if_unsent(minted: bool) -> Outcome:
    """Return what is true of a submission that this entry has sent to nobody.

    A caller's own key may have been submitted before, through another entry,
    and have run: then only an owner can say "not run".
    """
    return Outcome.NOT_RUN if minted else Outcome.UNKNOWN


def make_no_owner_refusal(view: CellView) -> Refusal:
    """Return the refusal of what has waited in vain for the owner of a cell."""
    return Refusal(
        RefusalCode.NO_OWNER,
        f"cell {view.cell} has had no owner for {MAX_OWNER_WAIT_SECONDS:.0f} s",
        RETRY_WITHOUT_OWNER_MS,
    )


def key_age_ms(state: EntryState, job: Job, now: float) -> float:
    """Return how long ago a submission's key was born, by this wall clock."""
    return now * 1000 + state.wall_ms - job.created_ms


def refuse_pending(
    state: EntryState, pending: Pending, outcome: Outcome, refusal: Refusal
) -> None:
    """Answer all who wait, without the owner's word."""
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
    """Answer one who waits without an answer to the submission."""
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
    """Have a log line written."""
    state.effects.append(Log(Part.ENTRY, sentence, fields))
