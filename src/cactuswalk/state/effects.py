"""Effects: what a reducer wants done, as data; the runtime does it."""

import msgspec

from cactuswalk.decisions.guard import GuardAction
from cactuswalk.messages import Explanation, JobState, Message
from cactuswalk.model import Outcome, Refusal, TaskResult, TaskSpec
from cactuswalk.observations import Count, Gauge, Log, Part

__all__ = [
    "CallUpstream",
    "Count",
    "Effect",
    "Gauge",
    "Log",
    "Part",
    "ReadKey",
    "Reply",
    "ReplyExplanation",
    "ReplyState",
    "Send",
    "ControlUpstream",
    "StopUpstream",
    "SwapKey",
]


class Send(msgspec.Struct, array_like=True):
    """Send a message to a process, by its address."""

    address: str
    message: Message


class CallUpstream(msgspec.Struct):
    """Call the upstream for a task; ends in an ``UpstreamAnswered`` event."""

    submission: str
    index: int
    attempt: int
    service: str
    task: TaskSpec
    timeout_ms: int


class StopUpstream(msgspec.Struct):
    """Ask the upstream to stop a task that has started."""

    submission: str
    index: int
    attempt: int


class ControlUpstream(msgspec.Struct):
    """Ask the upstream to throttle a running task, or to save it.

    :param factor: by which a throttled task is slowed; 1 lifts it.
    """

    submission: str
    index: int
    attempt: int
    action: GuardAction
    factor: float = 1.0


class Reply(msgspec.Struct):
    """Answer the callers who wait for a submission at this entry."""

    waiter: str
    submission: str
    outcome: Outcome
    results: list[TaskResult]
    refusal: Refusal | None


class ReplyState(msgspec.Struct):
    """Tell a caller where a submission stands; None if no owner answered."""

    request: str
    state: JobState | None


class ReplyExplanation(msgspec.Struct):
    """Tell an operator where a job could be placed, by cell."""

    request: str
    cells: list[Explanation]


class ReadKey(msgspec.Struct):
    """Read a key of the key-value service; ends in ``KeyRead``."""

    key: str


class SwapKey(msgspec.Struct):
    """Write a key if its revision is still the expected one.

    Ends in ``KeySwapped`` with the same ``write_id``, which is also in the
    value, so that the client can read back a write whose reply was lost.

    :param expected: revision of the key's last change; 0 for no key.
    """

    key: str
    expected: int
    value: bytes
    write_id: str


Effect = (
    Send
    | CallUpstream
    | StopUpstream
    | ControlUpstream
    | Reply
    | ReplyState
    | ReplyExplanation
    | ReadKey
    | SwapKey
    | Log
    | Count
    | Gauge
)
