"""Effects that the reducers of entry and agent return to be carried out."""

import msgspec

from cactuswalk.dispatch.job import JobVerdict, TaskKey
from cactuswalk.dispatch.messages import Message

__all__ = [
    "Answer",
    "Effect",
    "Observe",
    "PollWorker",
    "ReadEntries",
    "ReadEvacuations",
    "Say",
    "SendMessage",
    "StartTask",
    "StopTask",
]


class SendMessage(msgspec.Struct):
    """Send a message to a process, by its address."""

    address: str
    message: Message


class Answer(msgspec.Struct):
    """Answer a caller with the verdict on its job.

    :param retry_after: delay in seconds before a retry, for a job that has not run.
    """

    waiter: int
    verdict: JobVerdict
    reason: str
    retry_after: float = 0.0


class StartTask(msgspec.Struct):
    """Have the worker start a task; results in ``StartAnswered``.

    :param lease_until: until when the worker may run all its tasks, on the agent's
        clock.
    """

    worker: str
    handle: int
    key: TaskKey
    run: int
    spec: str
    token: int
    lease_until: float


class StopTask(msgspec.Struct):
    """Have the worker stop a run or refuse its start; results in ``StopAnswered``."""

    worker: str
    handle: int
    key: TaskKey
    run: int
    token: int


class PollWorker(msgspec.Struct):
    """Renew the worker's lease and list its runs.

    Results in ``PollAnswered`` or ``PollFailed``.

    :param acknowledged: ends up to this number have been received; the worker may
        forget them.
    :param wait_ms: how long the answer may wait for a run to end.
    :param lease_until: new end of the lease on the agent's clock; 0 doesn't renew it.
    :param is_check: sent next to a waiting poll, without waiting.
    """

    worker: str
    token: int
    acknowledged: int
    wait_ms: int
    lease_until: float
    is_check: bool = False


class ReadEntries(msgspec.Struct):
    """Read the entries from the platform's store; results in ``EntriesRead``."""


class ReadEvacuations(msgspec.Struct):
    """Read the evacuations from the store; results in ``EvacuationsListed``."""


class Say(msgspec.Struct):
    """Write a log line: one short sentence, and the values that led to it."""

    sentence: str
    fields: dict[str, object]
    level: str = "info"


class Observe(msgspec.Struct):
    """Count an event, or record a duration in seconds under a name."""

    name: str
    label: str = ""
    seconds: float | None = None


Effect = (
    SendMessage
    | Answer
    | StartTask
    | StopTask
    | PollWorker
    | ReadEntries
    | ReadEvacuations
    | Say
    | Observe
)
