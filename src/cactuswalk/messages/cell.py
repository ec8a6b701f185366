"""Messages between the owner of a cell and its agents.

Every message of an owner carries the cell's epoch. An agent refuses the work
of an epoch below the highest it has seen.
"""

import msgspec

from cactuswalk.model.answer import TaskResult, TaskState
from cactuswalk.model.cell import Member
from cactuswalk.model.holding import Holding
from cactuswalk.model.job import TaskSpec
from cactuswalk.model.worker import Announcement

__all__ = [
    "Adopt",
    "Adopted",
    "AskShare",
    "Ceded",
    "Declined",
    "Fence",
    "Fenced",
    "HandOver",
    "Heard",
    "HeardReply",
    "Join",
    "Leave",
    "Ping",
    "Pong",
    "Probe",
    "Record",
    "Result",
    "Running",
    "Spare",
    "Start",
    "Witness",
    "Witnessed",
]


class Record(msgspec.Struct, array_like=True, gc=False):
    """What an agent keeps of a task that it started or declined.

    :param total: tasks in the job, so that a new owner can tell whether the
        records it holds are all of it.
    :param attempt: names the start: the owner's epoch in the high bits, a count
        in the low ones, so that it grows across owners too.
    :param incarnation: the life of the agent that it was started or declined by.
    :param result: set once the task has ended.
    """

    submission: str
    index: int
    total: int
    fingerprint: bytes
    attempt: int
    state: TaskState
    worker: str
    incarnation: str
    result: TaskResult | None = None


class Join(msgspec.Struct, array_like=True, tag=20):
    """An agent asks to be on the cell's roster, or announces a change."""

    cell: str
    member: Member
    announcement: Announcement | None


class Leave(msgspec.Struct, array_like=True, tag=21):
    """An agent is stopping: give it nothing new, keep its records for it."""

    cell: str
    member: Member


class Ping(msgspec.Struct, array_like=True, tag=22):
    """The owner asks an agent to confirm its epoch.

    :param serial: repeated in the pong; the owner counts its standing from
        when it sent the ping, never from when the pong came.
    :param configuration: the revision that the owner has in force.
    :param announcement: serial of the agent's announcement that the owner has;
        an agent with a later one sends it again.
    :param owner: with ``roster``, until the agent has confirmed a ping that
        carried them; None and empty after that. A roster in every ping would
        cost the owner bytes as the square of its cell's size.
    """

    cell: str
    epoch: int
    owner: Member | None
    serial: int
    configuration: int
    announcement: int
    roster: list[Member]


class Pong(msgspec.Struct, array_like=True, tag=23):
    """An agent confirms the owner's epoch, and says what it is doing.

    :param stamp: the agent's own monotonic clock in milliseconds; a start has
        to bring it back while it is young.
    :param running: attempts of the starts that it is running, each but the lowest
        as its distance from the one below. One is nine bytes, a distance mostly
        one; eight of them were half of a busy agent's control.
    :param announcement_serial: of its latest announcement.
    :param ahead: changes of the configuration in force beyond its revision.
    """

    cell: str
    epoch: int
    incarnation: str
    serial: int
    stamp: int
    running: list[int]
    configuration: int
    ready: bool
    announcement_serial: int
    ahead: list[int] = []


class Start(msgspec.Struct, array_like=True, tag=24, gc=False):
    """The owner starts a task at an agent.

    :param incarnation: the life of the agent that it is meant for.
    :param stamp: of that agent's latest pong; an old one is refused.
    :param remaining_ms: of the deadline, counted from the stamp.
    :param idempotent: a later attempt may run though an earlier one has.
    """

    cell: str
    epoch: int
    incarnation: str
    stamp: int
    submission: str
    fingerprint: bytes
    index: int
    total: int
    attempt: int
    service: str
    task: TaskSpec
    remaining_ms: int
    idempotent: bool


class Result(msgspec.Struct, array_like=True, tag=25, gc=False):
    """A task has ended at an agent.

    :param elapsed_ms: from the call to the upstream to its answer.
    """

    cell: str
    incarnation: str
    submission: str
    index: int
    attempt: int
    result: TaskResult
    elapsed_ms: int


class Declined(msgspec.Struct, array_like=True, tag=26):
    """An attempt did not start at this life of the agent, and never will."""

    cell: str
    incarnation: str
    epoch: int
    submission: str
    index: int
    attempt: int
    reason: str


class Probe(msgspec.Struct, array_like=True, tag=27):
    """Ask what became of an attempt; one that never came is then declined.

    :param stop: also stop it where it is running.
    """

    cell: str
    epoch: int
    incarnation: str
    submission: str
    index: int
    attempt: int
    stop: bool


class Running(msgspec.Struct, array_like=True, tag=28):
    """The probed attempt has started and has not ended."""

    cell: str
    incarnation: str
    submission: str
    index: int
    attempt: int


class Heard(msgspec.Struct, array_like=True, tag=29):
    """An agent that misses its owner asks the others whether they do too."""

    cell: str
    epoch: int


class HeardReply(msgspec.Struct, array_like=True, tag=30):
    """How long ago the replying agent heard from the owner of an epoch."""

    cell: str
    epoch: int
    member: Member
    silent_ms: int


class Fence(msgspec.Struct, array_like=True, tag=31):
    """A new owner ends the earlier epochs at an agent and asks for records."""

    cell: str
    epoch: int
    owner: Member


class Fenced(msgspec.Struct, array_like=True, tag=32):
    """An agent has taken the new epoch; here is a part of its records.

    :param silent_ms: since it last confirmed an earlier owner, when it was
        fenced; a process that has just started counts from its start.
    :param known_ms: how far back the records are complete.
    """

    cell: str
    epoch: int
    member: Member
    part: int
    parts: int
    records: list[Record]
    announcement: Announcement | None
    silent_ms: int
    known_ms: int


class Witness(msgspec.Struct, array_like=True, tag=33):
    """The owner is about to start a task beside itself: keep a record of it.

    Owner and worker share a host. Without a witness elsewhere, its death would
    take both the order and the record, and nobody could tell whether it ran.
    """

    cell: str
    epoch: int
    incarnation: str
    stamp: int
    record: Record


class Witnessed(msgspec.Struct, array_like=True, tag=34):
    """The record of a start beside the owner is kept here too."""

    cell: str
    epoch: int
    incarnation: str
    submission: str
    index: int
    attempt: int


class Adopt(msgspec.Struct, array_like=True, tag=35):
    """Keep copies of these records, so that one host's death loses none."""

    cell: str
    epoch: int
    token: str
    records: list[Record]


class Adopted(msgspec.Struct, array_like=True, tag=36):
    """The records sent under ``token`` are kept here too."""

    cell: str
    incarnation: str
    token: str


class HandOver(msgspec.Struct, array_like=True, tag=37):
    """A stopping owner asks a member to take the cell over at once."""

    cell: str
    epoch: int


class AskShare(msgspec.Struct, array_like=True, tag=38):
    """The owner of a cell asks another's for slots of a service.

    :param held: open slots that the asking cell has.
    :param workers: slots of its workers of the service.
    """

    cell: str
    service: str
    held: int
    workers: int


class Ceded(msgspec.Struct, array_like=True, tag=39):
    """Slots that were ceded to the receiver's cell, as the giver's record has them.

    :param life: of the giver; serials count anew in each.
    """

    cell: str
    life: str
    holdings: list[Holding]


class Spare(msgspec.Struct, array_like=True, tag=43):
    """A cell has slots of a service, but no workers: it wants to be asked."""

    cell: str
    service: str
