"""Messages between entries and agents, and among entries.

Any of them may be lost, repeated or late. A start is identified by the incarnation of
the entry that sent it and a sequence number that grows within that incarnation. An
incarnation is one run of a process.
"""

import enum

import msgspec

from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.dispatch.job import TaskKey
from cactuswalk.dispatch.membership import Member
from cactuswalk.frames import FrameCodec

__all__ = [
    "AttemptEnded",
    "CapacityOffer",
    "CapacityRequest",
    "ConfigurationCopy",
    "ConfigurationRequest",
    "EndAttempt",
    "EntryStatus",
    "Envelope",
    "Keepalive",
    "MemberList",
    "Message",
    "QueuedWork",
    "Report",
    "Start",
    "StartEnded",
    "Stop",
    "TaskCrash",
    "TaskEnd",
    "decode",
    "encode",
]


class TaskEnd(enum.IntEnum):
    """How a start ended at its agent.

    DECLINED: the task never ran. FAILED: it ran and failed. LOST: it ended with its
    worker or its lease, or its start never arrived. STOPPED: it was stopped, or has not
    started and can't start any more. CRASHED: its worker has crashed, or was silent
    until its lease expired.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LOST = 3
    DECLINED = 4
    CRASHED = 5


class Report(msgspec.Struct, array_like=True, tag=1):
    """An agent reports the state of its worker to an entry.

    :param incarnation: of the agent's process.
    :param entry_incarnation: the receiver's, as the agent knows it.
    :param stamp: the agent's clock in milliseconds, which a keepalive echoes.
    :param last_sequence: highest sequence of the receiver's starts that has arrived.
    :param held: sequences of the receiver's starts that are in progress, or whose end
        the receiver has not acknowledged yet.
    :param hears_entry: whether the agent has heard the receiver recently.
    :param worker: identifier of the worker's incarnation; empty while there is none.
    :param open: whether the worker takes new tasks.
    :param trial: it takes one task at a time, to check whether it is healthy again.
    :param cpu: of the worker in total, in thousandths of a core.
    :param free_cpu: the part of it that is free.
    :param pace: its run times relative to the callers' estimates.
    :param acknowledged_members: version of the receiver's members that has arrived.
    :param home: the receiver is a home entry of this agent; other entries get reports
        only while they send to the agent.
    :param leaves_in_ms: only tasks that end within this time are taken; 0 for no limit.
    :param entry_stamp: the receiver's latest stamp that has arrived; 0 for none.
    :param has_suspect: it has a task that is suspected of crashing workers, and takes
        no second one.
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
    entry_stamp: int = 0
    has_suspect: bool = False


class Keepalive(msgspec.Struct, array_like=True, tag=2):
    """An entry renews its lease at an agent, and echoes the agent's stamp.

    :param data_centre: the sender's; entries there get the agent's changes sooner.
    :param acknowledged: sequences of starts whose ends were received.
    :param members: entries that the agent may work with; None if it has the list.
    :param members_version: of the list; grows within an incarnation of the sender.
    :param evacuations: the newest that the sender knows of.
    :param entry_stamp: the sender's clock in milliseconds, which a report echoes.
    :param stopped: sequences of starts that the sender wants stopped, as in ``Stop``.
    :param reaches_store: the platform's store has answered the sender recently.
    :param waiting_cpu: size of the tasks that wait for a worker at the sender, in
        thousandths of a core.
    """

    incarnation: str
    agent_incarnation: str
    stamp: int
    data_centre: str
    acknowledged: list[int]
    members: list[Member] | None
    members_version: int
    evacuations: Evacuations
    entry_stamp: int = 0
    stopped: list[int] = []
    reaches_store: bool = True
    waiting_cpu: int = 0


class Start(msgspec.Struct, array_like=True, tag=3):
    """Start a task, at most once, if this arrives while its stamp is fresh.

    :param is_returnable: the agent may return the task if its worker would take long.
    :param is_suspect: a worker has crashed under the task; two such tasks must not
        share a worker.
    :param waiting_cpu: as in ``Keepalive``, after the sender's placement round.
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
    is_suspect: bool = False
    waiting_cpu: int = 0


class Stop(msgspec.Struct, array_like=True, tag=4):
    """Stop the task of a start; ``StartEnded`` follows.

    Another incarnation of the agent than the one that got the start ignores it: it
    doesn't know whether that one has accepted the start.
    """

    incarnation: str
    sequence: int
    agent_incarnation: str


class StartEnded(msgspec.Struct, array_like=True, tag=5):
    """A start has ended.

    :param run: the task's run number at the worker.
    :param ran_ms: how long it ran; 0 if unknown.
    :param blamed: of the runs on a crashed worker, it is a probable cause of the crash.
    """

    entry_incarnation: str
    sequence: int
    end: TaskEnd
    run: int
    ran_ms: int
    reason: str
    blamed: bool = False


class TaskCrash(msgspec.Struct, array_like=True):
    """A worker has crashed under a task.

    :param agent: address of the worker's agent.
    :param worker: its incarnation.
    :param blamed: the task was a probable cause of the crash.
    """

    key: TaskKey
    agent: str
    worker: str
    blamed: bool


class QueuedWork(msgspec.Struct, array_like=True, frozen=True):
    """Tasks of one priority that wait for a worker at an entry.

    :param cpu: of all of them, in thousandths of a core.
    :param work: the same times their expected run times, in core-milliseconds.
    """

    priority: int
    cpu: int
    work: int
    service: str = ""


class EntryStatus(msgspec.Struct, array_like=True, tag=6):
    """An entry tells another that it is alive, and the versions of what it knows.

    :param version: of its configuration.
    :param members: digest of the entries that it knows, itself included.
    :param free_cpu: of its home agents, in thousandths of a core.
    :param evacuations: the newest that the sender knows of.
    :param jobs: identifiers of jobs of which tasks may run for the sender.
    :param crashes: of workers under the tasks of its jobs.
    :param queued: what waits at the sender, by service and priority.
    """

    incarnation: str
    version: int
    data_centre: str
    members: int
    free_cpu: int
    evacuations: Evacuations
    jobs: list[str] = []
    crashes: list[TaskCrash] = []
    queued: list[QueuedWork] = []


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=7):
    """Ask another entry for its configuration."""

    version: int


class ConfigurationCopy(msgspec.Struct, array_like=True, tag=8):
    """The configuration as stored on the platform."""

    version: int
    value: bytes


class MemberList(msgspec.Struct, array_like=True, tag=9):
    """The entries that the sender knows, itself included."""

    members: list[Member]


class CapacityRequest(msgspec.Struct, array_like=True, tag=10):
    """An entry whose agents are full asks another for agents with free capacity.

    :param service: empty for agents of any service, if the sender hears of no agent.
    :param cpu: of the waiting task, like the other sizes; 0 if none waits.
    """

    service: str
    cpu: int
    memory_mb: int
    gpu: int


class CapacityOffer(msgspec.Struct, array_like=True, tag=11):
    """Addresses of agents with free capacity; empty if there are none."""

    agents: list[str]


class EndAttempt(msgspec.Struct, array_like=True, tag=12):
    """Ask an entry to end its attempt at a job that the sender has now.

    :param stamp: the sender's clock in milliseconds, which the answer returns.
    """

    job: str
    stamp: int


class AttemptEnded(msgspec.Struct, array_like=True, tag=13):
    """The sender runs nothing of a job any more.

    :param stamp: from the request.
    """

    job: str
    stamp: int


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
    | EndAttempt
    | AttemptEnded
)


class Envelope(msgspec.Struct, array_like=True):
    """One frame: the sender's address, and its messages in order."""

    sender: str
    messages: list[Message]


_codec = FrameCodec(Envelope)
encode = _codec.encode
decode = _codec.decode
