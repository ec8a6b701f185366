"""What the entry's and the agent's reducers want done."""

import msgspec

from cactuswalk.dispatch.job import JobVerdict, TaskKey
from cactuswalk.dispatch.messages import Message

__all__ = [
    "Answer",
    "AskEntries",
    "Effect",
    "Observe",
    "PollWorker",
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
    """Tell a caller how its job ended.

    :param retry_after: seconds, for a job that has not run.
    """

    waiter: int
    verdict: JobVerdict
    reason: str
    retry_after: float = 0.0


class StartTask(msgspec.Struct):
    """Have the worker start a task; ends in ``StartAnswered``.

    :param lease_seconds: for which the worker may run what it runs, from now.
    """

    worker: str
    handle: int
    key: TaskKey
    run: int
    spec: str
    token: int
    lease_seconds: float


class StopTask(msgspec.Struct):
    """Have the worker stop a run, or never begin it; ends in ``StopAnswered``."""

    worker: str
    handle: int
    key: TaskKey
    run: int
    token: int


class PollWorker(msgspec.Struct):
    """Renew the worker's lease and see what it runs; ends in ``PollAnswered``.

    :param noted: ends up to this number may be forgotten.
    :param wait_ms: how long the answer may wait for an end.
    :param is_check: made beside one that waits.
    """

    worker: str
    token: int
    noted: int
    wait_ms: int
    lease_seconds: float
    is_check: bool = False


class AskEntries(msgspec.Struct):
    """Read the entries' addresses from the platform; ends in ``EntriesRead``."""


class Say(msgspec.Struct):
    """A log line: one short sentence, and the values that led to it."""

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
    | AskEntries
    | Say
    | Observe
)
