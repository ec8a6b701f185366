"""What happens to an agent, as data."""

import enum

import msgspec

from cactuswalk.dispatch.job import TaskKey, Worker
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import Message

__all__ = [
    "AgentEvent",
    "Announced",
    "Departed",
    "EndedRow",
    "EntriesRead",
    "PollAnswered",
    "PollFailed",
    "Received",
    "RunEnd",
    "RunningRow",
    "StartAnswered",
    "StartVerdict",
    "StopAnswered",
    "StopRequested",
    "Tick",
]


class StartVerdict(enum.Enum):
    """What a worker said to a start.

    SUPERSEDED: a run of the task with this number or a higher one ended there.
    FENCED: it has seen a higher token. LATE: the lease had passed.
    NO_ROOM, UNHEALTHY, INVALID: it has done nothing.
    GONE: another life of the worker answers, or nobody listens at its address.
    UNKNOWN: no answer; the start may yet be carried out.
    """

    STARTED = "started"
    SUPERSEDED = "superseded"
    FENCED = "fenced"
    LATE = "late"
    NO_ROOM = "no room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    GONE = "gone"
    UNKNOWN = "unknown"


class RunEnd(enum.Enum):
    """How a run ended, as the worker lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class RunningRow(msgspec.Struct):
    """A run that is under way.

    :param key: None for a task whose name is not of this product's making.
    :param percent: of its work that is done.
    """

    key: TaskKey | None
    name: str
    run: int
    percent: int


class EndedRow(msgspec.Struct):
    """A run that has ended; ``number`` grows within a life of the worker."""

    number: int
    key: TaskKey | None
    run: int
    end: RunEnd


class Announced(msgspec.Struct):
    """The worker has sent a heartbeat."""

    worker: Worker


class Departed(msgspec.Struct):
    """The worker says that it has gone."""

    identifier: str


class Received(msgspec.Struct):
    """A message from another process."""

    sender: str
    message: Message


class StartAnswered(msgspec.Struct):
    """What became of ``StartTask``."""

    worker: str
    handle: int
    verdict: StartVerdict


class StopAnswered(msgspec.Struct):
    """What became of ``StopTask``; ``done`` if the worker confirmed it."""

    worker: str
    handle: int
    done: bool


class PollAnswered(msgspec.Struct):
    """The worker answered a look that was sent at ``sent_at``.

    :param noted: the ends that the look allowed the worker to forget.
    :param is_check: it was made beside one that waits.
    """

    worker: str
    sent_at: float
    running: list[RunningRow]
    ended: list[EndedRow]
    noted: int = 0
    is_check: bool = False


class PollFailed(msgspec.Struct):
    """A look had no answer.

    :param fenced: the worker has seen a higher token than this agent's.
    :param gone: another life answers, or nobody listens at the address.
    :param is_check: it was made beside one that waits.
    """

    worker: str
    fenced: bool
    gone: bool
    is_check: bool = False


class EntriesRead(msgspec.Struct):
    """The entries as the platform has them; None without an answer."""

    members: list[Member] | None


class StopRequested(msgspec.Struct):
    """This process is to end."""


class Tick(msgspec.Struct):
    """Time has passed."""


AgentEvent = (
    Announced
    | Departed
    | Received
    | StartAnswered
    | StopAnswered
    | PollAnswered
    | PollFailed
    | EntriesRead
    | StopRequested
    | Tick
)
