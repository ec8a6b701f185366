"""Messages between the owner of a cell and its agents.

Every message of an owner carries the cell's epoch. An agent rejects messages of
an epoch below the highest that it has seen.
"""

import msgspec

from cactuswalk.model.answer import TaskResult, TaskState
from cactuswalk.model.cell import Member
from cactuswalk.model.holding import Holding
from cactuswalk.model.job import TaskSpec
from cactuswalk.model.worker import Announcement

__all__ = [
    "ReplicateRecords",
    "RecordsReplicated",
    "SlotRequest",
    "CededSlots",
    "Declined",
    "Fence",
    "Fenced",
    "HandOver",
    "LastContactRequest",
    "LastContactReply",
    "Join",
    "Leave",
    "Ping",
    "Pong",
    "Probe",
    "Record",
    "Result",
    "Running",
    "SlotOffer",
    "Start",
    "Witness",
    "Witnessed",
]


class Record(msgspec.Struct, array_like=True, gc=False):
    """An agent's record of a task that it started or declined.

    :param total: number of tasks in the job, so that a new owner can tell whether
        it has the records of all of them.
    :param attempt: identifies the start: the owner's epoch in the high bits and a
        counter in the low bits, so that it also grows from owner to owner.
    :param incarnation: of the agent that started or declined the task.
    :param result: None until the task has ended.
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
    """An agent asks to be added to the cell's roster, or announces a change."""

    cell: str
    member: Member
    announcement: Announcement | None


class Leave(msgspec.Struct, array_like=True, tag=21):
    """An agent is stopping: it takes no new tasks, and its records are kept."""

    cell: str
    member: Member


class Ping(msgspec.Struct, array_like=True, tag=22):
    """The owner asks an agent to confirm its epoch.

    :param serial: repeated in the pong; the owner counts a confirmation from the
        time at which it sent the ping, never from the arrival of the pong.
    :param configuration: the configuration revision in force at the owner.
    :param announcement: serial of the agent's announcement that the owner has;
        an agent with a later one sends it again.
    :param owner: sent with ``roster`` until the agent has confirmed a ping that
        contained both; afterwards they are None and empty. With the roster in
        every ping, the bytes sent would grow with the square of the cell's size.
    """

    cell: str
    epoch: int
    owner: Member | None
    serial: int
    configuration: int
    announcement: int
    roster: list[Member]


class Pong(msgspec.Struct, array_like=True, tag=23):
    """An agent confirms the owner's epoch and reports what it is running.

    :param stamp: the agent's own monotonic clock in milliseconds; a start has to
        repeat a recent one.
    :param running: attempts that the agent is running, in ascending order and
        delta-encoded. An attempt takes nine bytes, a difference mostly one; eight
        attempts in full took half of the control traffic of a busy agent.
    :param announcement_serial: of the agent's latest announcement.
    :param ahead: configuration changes in force at the agent beyond its revision.
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

    :param incarnation: of the agent that the start is addressed to.
    :param stamp: from that agent's latest pong; the agent refuses an old one.
    :param remaining_ms: time until the deadline, counted from the stamp.
    :param idempotent: the task may run again although an earlier attempt has run.
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

    :param elapsed_ms: time from the call to the upstream until its answer.
    """

    cell: str
    incarnation: str
    submission: str
    index: int
    attempt: int
    result: TaskResult
    elapsed_ms: int


class Declined(msgspec.Struct, array_like=True, tag=26):
    """An attempt did not start in this incarnation of the agent, and never will."""

    cell: str
    incarnation: str
    epoch: int
    submission: str
    index: int
    attempt: int
    reason: str


class Probe(msgspec.Struct, array_like=True, tag=27):
    """Ask for the state of an attempt; one that never arrived is then declined.

    :param stop: also stop the attempt if it is running.
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


class LastContactRequest(msgspec.Struct, array_like=True, tag=29):
    """An agent that no longer hears its owner asks the others when they last did."""

    cell: str
    epoch: int


class LastContactReply(msgspec.Struct, array_like=True, tag=30):
    """How long ago the sender last heard from the owner of an epoch."""

    cell: str
    epoch: int
    member: Member
    silent_ms: int


class Fence(msgspec.Struct, array_like=True, tag=31):
    """A new owner fences off earlier epochs at an agent and asks for its records."""

    cell: str
    epoch: int
    owner: Member


class Fenced(msgspec.Struct, array_like=True, tag=32):
    """An agent has accepted the new epoch, and sends one part of its records.

    :param silent_ms: time between its last confirmation of an earlier owner, or
        its own start if it has confirmed none, and the fence.
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
    """Ask an agent to keep the record of a task that starts on the owner's host.

    Owner and worker share that host. Without a witness on another host, a failure of
    the host would lose both the start and its record, and whether the task ran would
    be unknown.
    """

    cell: str
    epoch: int
    incarnation: str
    stamp: int
    record: Record


class Witnessed(msgspec.Struct, array_like=True, tag=34):
    """The sender has stored the record of a start on the owner's host."""

    cell: str
    epoch: int
    incarnation: str
    submission: str
    index: int
    attempt: int


class ReplicateRecords(msgspec.Struct, array_like=True, tag=35):
    """Store copies of records, so that the failure of one host loses none."""

    cell: str
    epoch: int
    token: str
    records: list[Record]


class RecordsReplicated(msgspec.Struct, array_like=True, tag=36):
    """The sender has stored the records sent under ``token``."""

    cell: str
    incarnation: str
    token: str


class HandOver(msgspec.Struct, array_like=True, tag=37):
    """An owner that is stopping asks a member to take over the cell at once."""

    cell: str
    epoch: int


class SlotRequest(msgspec.Struct, array_like=True, tag=38):
    """The owner of a cell asks the owner of another for slots of a service.

    :param open_slots: open slots that the requesting cell holds.
    :param worker_slots: total task slots of its workers for the service.
    """

    cell: str
    service: str
    open_slots: int
    worker_slots: int


class CededSlots(msgspec.Struct, array_like=True, tag=39):
    """Slots ceded to the receiver's cell, as stored in the record of the ceding cell.

    :param cell_identity: name and identity of the ceding cell; the serials start
        again with each identity.
    """

    cell: str
    cell_identity: str
    holdings: list[Holding]


class SlotOffer(msgspec.Struct, array_like=True, tag=43):
    """A cell without workers for a service offers the slots that it holds."""

    cell: str
    service: str
