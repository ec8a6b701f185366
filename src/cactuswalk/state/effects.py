"""Effects that reducers request as data and the runtime carries out."""

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
    """Send a message to the process at an address."""

    address: str
    message: Message


class CallUpstream(msgspec.Struct):
    """Call the upstream for a task; completes with ``UpstreamAnswered``."""

    submission: str
    index: int
    attempt: int
    service: str
    task: TaskSpec
    timeout_ms: int


class StopUpstream(msgspec.Struct):
    """Ask the upstream to stop a started task."""

    submission: str
    index: int
    attempt: int


class ControlUpstream(msgspec.Struct):
    """Ask the upstream to throttle a running task, or to checkpoint it.

    :param factor: slowdown of a throttled task; 1 lifts the throttle.
    """

    submission: str
    index: int
    attempt: int
    action: GuardAction
    factor: float = 1.0


class Reply(msgspec.Struct):
    """Answer a caller that waits for a submission at this entry."""

    waiter: str
    submission: str
    outcome: Outcome
    results: list[TaskResult]
    refusal: Refusal | None


class ReplyState(msgspec.Struct):
    """Answer a caller's query for a submission; None if no owner replied."""

    request: str
    state: JobState | None


class ReplyExplanation(msgspec.Struct):
    """Answer an operator's query where a job could be placed, by cell."""

    request: str
    cells: list[Explanation]


class ReadKey(msgspec.Struct):
    """Read a key of the key-value service; completes with ``KeyRead``."""

    key: str


class SwapKey(msgspec.Struct):
    """Write a key if its revision is still the expected one.

    Completes with ``KeySwapped`` and the same ``write_id``. The value contains it
    too, so that the client can recognise its own write after a lost reply.

    :param expected: revision of the key's last change; 0 if it must not exist.
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
