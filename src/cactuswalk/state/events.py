"""Events: what a reducer is told; each is handled by one named function."""

import enum

import msgspec

from cactuswalk.messages import ConfigurationUpdate, Message
from cactuswalk.model import Announcement, Job

__all__ = [
    "Announced",
    "CallerQueried",
    "CallerCancelled",
    "CallerDisconnected",
    "CallerSubmitted",
    "ConfigurationChanged",
    "Event",
    "KeyRead",
    "KeySwapped",
    "ExplainRequested",
    "Received",
    "StopRequested",
    "SwapOutcome",
    "TaskUsage",
    "Tick",
    "UpstreamAnswered",
    "UpstreamOutcome",
    "UsageReported",
]


class Received(msgspec.Struct):
    """A message has come from the process at ``sender``."""

    sender: str
    message: Message


class Tick(msgspec.Struct):
    """Time has passed; sent every 50 ms by the runtime."""


class StopRequested(msgspec.Struct):
    """The process is to stop as planned: finish, hand over, leave."""


class CallerSubmitted(msgspec.Struct):
    """A caller has handed in a checked job at this entry.

    :param waiter: names the waiting HTTP request; the ``Reply`` repeats it.
    :param minted: the entry made the identifier itself.
    :param remaining_ms: until the caller's deadline.
    """

    waiter: str
    job: Job
    minted: bool
    remaining_ms: int


class CallerCancelled(msgspec.Struct):
    """A caller wants a submission stopped."""

    submission: str


class CallerQueried(msgspec.Struct):
    """A caller wants to know where a submission stands.

    :param request: names the question; the ``ReplyState`` repeats it.
    :param service: whose cells to ask; empty for all.
    """

    request: str
    submission: str
    service: str = ""


class ExplainRequested(msgspec.Struct):
    """An operator wants to know where a job could be placed."""

    request: str
    job: Job


class CallerDisconnected(msgspec.Struct):
    """The caller's connection is closed; nobody waits at ``waiter`` now."""

    waiter: str


class UpstreamOutcome(enum.StrEnum):
    """What a call to an upstream came to.

    ``NOT_SENT`` is certain: no byte of the request had left. ``UNCERTAIN`` is
    everything else that is no whole answer.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


class UpstreamAnswered(msgspec.Struct):
    """A call to the upstream has ended.

    :param status: HTTP status; 0 unless the outcome is ``answered``.
    """

    submission: str
    index: int
    attempt: int
    outcome: UpstreamOutcome
    status: int
    body: bytes
    elapsed_ms: int


class TaskUsage(msgspec.Struct):
    """What one task used when its upstream looked.

    :param checkpoints: the upstream can save it and go on later.
    """

    submission: str
    index: int
    attempt: int
    used_mb: int
    checkpoints: bool = False


class UsageReported(msgspec.Struct):
    """The upstream has reported what its tasks use; about a second old."""

    usages: list[TaskUsage]


class Announced(msgspec.Struct):
    """The upstream has announced itself, or withdrawn (None)."""

    announcement: Announcement | None


class KeyRead(msgspec.Struct):
    """A read has ended.

    :param known: False if the service gave no answer; then the rest is void.
    :param value: None if there is no such key.
    """

    key: str
    known: bool
    value: bytes | None
    revision: int


class SwapOutcome(enum.StrEnum):
    """What became of a swap; ``UNKNOWN`` may turn out to have applied later."""

    APPLIED = "applied"
    LOST = "lost"
    UNKNOWN = "unknown"


class KeySwapped(msgspec.Struct):
    """A swap has ended.

    :param revision: of the key after an applied swap.
    """

    key: str
    write_id: str
    outcome: SwapOutcome
    revision: int


class ConfigurationChanged(msgspec.Struct):
    """The key-value service's watch has brought changes."""

    update: ConfigurationUpdate


Event = (
    Received
    | Tick
    | StopRequested
    | CallerSubmitted
    | CallerCancelled
    | CallerQueried
    | CallerDisconnected
    | ExplainRequested
    | UpstreamAnswered
    | Announced
    | UsageReported
    | KeyRead
    | KeySwapped
    | ConfigurationChanged
)
