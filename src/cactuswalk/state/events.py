"""Events that the reducers handle, each in one named function."""

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
    """A message from the process at ``sender`` was received."""

    sender: str
    message: Message


class Tick(msgspec.Struct):
    """The clock advanced; sent every 50 ms by the runtime."""


class StopRequested(msgspec.Struct):
    """A planned stop: finish the work, hand over and leave."""


class CallerSubmitted(msgspec.Struct):
    """A caller submitted a validated job at this entry.

    :param waiter: identifies the waiting HTTP request; repeated in the ``Reply``.
    :param minted: the entry made the identifier itself.
    :param remaining_ms: time until the caller's deadline.
    """

    waiter: str
    job: Job
    minted: bool
    remaining_ms: int


class CallerCancelled(msgspec.Struct):
    """A caller cancelled a submission."""

    submission: str


class CallerQueried(msgspec.Struct):
    """A caller queried the state of a submission.

    :param request: identifies the query; repeated in the ``ReplyState``.
    :param service: service whose cells to ask; empty for all cells.
    """

    request: str
    submission: str
    service: str = ""


class ExplainRequested(msgspec.Struct):
    """An operator asked where a job could be placed."""

    request: str
    job: Job


class CallerDisconnected(msgspec.Struct):
    """The caller's connection is closed; ``waiter`` no longer waits."""

    waiter: str


class UpstreamOutcome(enum.StrEnum):
    """The outcome of a call to an upstream.

    ``NOT_SENT`` is certain: no byte of the request was sent. ``UNCERTAIN`` is any
    other call without a complete answer.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


class UpstreamAnswered(msgspec.Struct):
    """A call to the upstream ended.

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
    """Memory use of one task, as measured by its upstream.

    :param checkpoints: the upstream can save the task and resume it later.
    """

    submission: str
    index: int
    attempt: int
    used_mb: int
    checkpoints: bool = False


class UsageReported(msgspec.Struct):
    """The upstream reported the memory use of its tasks about a second ago."""

    usages: list[TaskUsage]


class Announced(msgspec.Struct):
    """The upstream announced itself, or withdrew (None)."""

    announcement: Announcement | None


class KeyRead(msgspec.Struct):
    """A read of a key ended.

    :param known: False if the service did not answer; the other fields are then
        not valid.
    :param value: None if the key does not exist.
    """

    key: str
    known: bool
    value: bytes | None
    revision: int


class SwapOutcome(enum.StrEnum):
    """The outcome of a swap; an ``UNKNOWN`` one may have been or may yet be applied."""

    APPLIED = "applied"
    LOST = "lost"
    UNKNOWN = "unknown"


class KeySwapped(msgspec.Struct):
    """A swap ended.

    :param revision: revision of the key after an applied swap.
    """

    key: str
    write_id: str
    outcome: SwapOutcome
    revision: int


class ConfigurationChanged(msgspec.Struct):
    """The watch of the key-value service delivered changes."""

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
