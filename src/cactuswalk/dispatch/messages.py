"""Messages between entries and agents, and among entries.

Any of them may be lost, repeated or late. A task's start is known by the life of
the entry that sent it and a sequence number that grows within that life.
"""

import enum

import msgspec

from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.dispatch.job import TaskKey
from cactuswalk.dispatch.membership import Member
from cactuswalk.frames import FrameCodec

__all__ = [
    "CapacityOffer",
    "CapacityRequest",
    "ConfigurationCopy",
    "ConfigurationRequest",
    "EntryStatus",
    "Envelope",
    "Keepalive",
    "MemberList",
    "Message",
    "Report",
    "Start",
    "StartEnded",
    "Stop",
    "TaskEnd",
    "decode",
    "encode",
]


class TaskEnd(enum.IntEnum):
    """How a start ended at its agent.

    DECLINED: it never ran. FAILED: it ran and failed. LOST: it ended with its
    worker or its lease, or never began. STOPPED: as asked.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LOST = 3
    DECLINED = 4


class Report(msgspec.Struct, array_like=True, tag=1):
    """An agent tells an entry of its worker.

    :param life: of the agent's process.
    :param entry_life: the receiver's, as the agent knows it.
    :param stamp: the agent's clock in milliseconds, to be returned by a pulse.
    :param seen: highest sequence of the receiver's starts that has arrived.
    :param held: the receiver's starts that are under way, or whose end the
        receiver has not noted yet.
    :param hears: whether the agent has heard the receiver lately.
    :param worker: identifier of the worker's life; empty while there is none.
    :param open: whether the worker takes new tasks.
    :param trial: it takes one task at a time, to see whether it is sound again.
    :param cpu: of the worker in all, in thousandths of a core.
    :param free_cpu: what is left of it.
    :param pace: its run times relative to the callers' estimates.
    :param members_seen: version of the receiver's members that has arrived.
    :param home: the receiver is one of the entries that this agent works with; any
        other is reported to only while it speaks to the agent.
    :param leaves_in_ms: tasks are taken that end within so long; 0 if any are.
    """

    incarnation: str
    entry_incarnation: str
    stamp: int
    last_sequence: int
    held: list[int]
    hears_entry: bool
    worker: str
    service: str
    data_centre: str
    labels: list[str]
    open: bool
    trial: bool
    cpu: int
    free_cpu: int
    free_memory_mb: int
    free_gpu: int
    pace: float
    acknowledged_members: int
    home: bool
    leaves_in_ms: int


class Keepalive(msgspec.Struct, array_like=True, tag=2):
    """An entry lets an agent go on, and returns its stamp.

    :param data_centre: the sender's; it hears of changes there sooner.
    :param noted: sequences whose ends have been taken note of.
    :param members: entries that the agent may work with; None if it has been told.
    :param members_version: of those; grows within a life of the sender.
    :param evacuations: the newest that the sender knows of.
    """

    incarnation: str
    agent_incarnation: str
    stamp: int
    data_centre: str
    acknowledged: list[int]
    members: list[Member] | None
    members_version: int
    evacuations: Evacuations


class Start(msgspec.Struct, array_like=True, tag=3):
    """Start a task, once, if this arrives while its stamp is fresh.

    :param may_move: its agent may give it back if its worker would keep it for long.
    """

    incarnation: str
    agent_incarnation: str
    stamp: int
    sequence: int
    worker: str
    key: TaskKey
    run: int
    spec: str
    cpu: int
    memory_mb: int
    gpu: int
    estimate_ms: int
    is_returnable: bool = True


class Stop(msgspec.Struct, array_like=True, tag=4):
    """Stop what a start began; it ends in ``Ended`` in any case."""

    incarnation: str
    sequence: int


class StartEnded(msgspec.Struct, array_like=True, tag=5):
    """A start has ended.

    :param run: the number under which the worker knew it.
    :param ran_ms: how long it ran; 0 where that is not known.
    """

    entry_incarnation: str
    sequence: int
    end: TaskEnd
    run: int
    ran_ms: int
    reason: str


class EntryStatus(msgspec.Struct, array_like=True, tag=6):
    """An entry tells another that it is there, and what it knows.

    :param version: of its configuration.
    :param members: digest of the entries that it knows, itself among them.
    :param free_cpu: what its home agents have free, in thousandths of a core.
    :param evacuations: the newest that the sender knows of.
    """

    incarnation: str
    version: int
    data_centre: str
    members: int
    free_cpu: int
    evacuations: Evacuations


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=7):
    """Ask another entry for its configuration."""

    version: int


class ConfigurationCopy(msgspec.Struct, array_like=True, tag=8):
    """The configuration as the platform holds it."""

    version: int
    value: bytes


class MemberList(msgspec.Struct, array_like=True, tag=9):
    """An entry tells another which entries it knows, itself among them."""

    members: list[Member]


class CapacityRequest(msgspec.Struct, array_like=True, tag=10):
    """An entry whose agents are full asks another for agents that have room.

    :param service: empty for agents of any, by one that hears none.
    :param cpu: of the task that waits, like the other sizes; 0 if none does.
    """

    service: str
    cpu: int
    memory_mb: int
    gpu: int


class CapacityOffer(msgspec.Struct, array_like=True, tag=11):
    """Addresses of agents that had room; empty if there were none."""

    agents: list[str]


Message = (
    Report
    | Keepalive
    | Start
    | Stop
    | StartEnded
    | EntryStatus
    | ConfigurationRequest
    | ConfigurationCopy
    | MemberList
    | CapacityRequest
    | CapacityOffer
)


class Envelope(msgspec.Struct, array_like=True):
    """One frame: the sender's address, and its messages in order."""

    sender: str
    messages: list[Message]


_codec = FrameCodec(Envelope)
encode = _codec.encode
decode = _codec.decode
