"""Events that the agent's reducer handles."""

import enum
import math

import msgspec

from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.dispatch.job import TaskKey, Worker
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import Message

__all__ = [
    "AgentEvent",
    "Announced",
    "Departed",
    "EndedRow",
    "EntriesRead",
    "EvacuationsListed",
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
    """A worker's answer to a start.

    SUPERSEDED: a run of the task with this number or a higher one has ended there.
    FENCED: the worker has seen a higher token. LATE: the lease had expired.
    NO_ROOM, UNHEALTHY, INVALID: refused; nothing was started.
    GONE: another incarnation of the worker answers.
    UNREACHED: the connection was refused, so that the start was never sent.
    UNKNOWN: no answer; the start may still be carried out.
    """

    STARTED = "started"
    SUPERSEDED = "superseded"
    FENCED = "fenced"
    LATE = "late"
    NO_ROOM = "no room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    GONE = "gone"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


class RunEnd(enum.Enum):
    """How a run ended, as the worker lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class RunningRow(msgspec.Struct):
    """A run that the worker lists as running.

    :param key: None for a task whose name this project didn't generate.
    :param percent: part of its work that is done.
    """

    key: TaskKey | None
    name: str
    run: int
    percent: int


class EndedRow(msgspec.Struct):
    """A run that has ended; ``number`` increases within a worker's incarnation."""

    number: int
    key: TaskKey | None
    run: int
    end: RunEnd


class Announced(msgspec.Struct):
    """The worker has sent a heartbeat."""

    worker: Worker


class Departed(msgspec.Struct):
    """A worker has announced that it leaves, by its name alone."""

    name: str


class Received(msgspec.Struct):
    """A message from another process."""

    sender: str
    message: Message


class StartAnswered(msgspec.Struct):
    """Result of ``StartTask``."""

    worker: str
    handle: int
    verdict: StartVerdict


class StopAnswered(msgspec.Struct):
    """Result of ``StopTask``; ``done`` if the worker confirmed it."""

    worker: str
    handle: int
    done: bool


class PollAnswered(msgspec.Struct):
    """The worker answered a poll that was sent at ``sent_at``.

    :param acknowledged: highest number of the ends that the poll acknowledged; the
        worker may forget these.
    :param is_check: it was sent next to a waiting poll, and didn't wait.
    """

    worker: str
    sent_at: float
    running: list[RunningRow]
    ended: list[EndedRow]
    acknowledged: int = 0
    is_check: bool = False


class PollFailed(msgspec.Struct):
    """A poll failed.

    :param fenced: the worker has seen a higher token than this agent's.
    :param gone: another incarnation answers.
    :param is_check: it was sent next to a waiting poll, and didn't wait.
    :param refused: the connection was refused, by the host or by a network.
    :param answered_by: identifier of another incarnation of the worker, which has the
        same name and has answered; empty if none has.
    :param sent_at: when the poll was sent, on the agent's clock.
    """

    worker: str
    fenced: bool
    gone: bool
    is_check: bool = False
    refused: bool = False
    answered_by: str = ""
    sent_at: float = -math.inf


class EntriesRead(msgspec.Struct):
    """The entries that the platform's store lists; None if it didn't answer."""

    members: list[Member] | None


class EvacuationsListed(msgspec.Struct):
    """The evacuations that the platform's store lists; None if it didn't answer."""

    evacuations: Evacuations | None


class StopRequested(msgspec.Struct):
    """This process was asked to stop."""


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
    | EvacuationsListed
    | StopRequested
    | Tick
)
