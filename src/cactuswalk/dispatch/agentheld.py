"""State that an agent keeps for each accepted start and for each entry."""

import enum
import math

import msgspec

from cactuswalk.decisions.division import EntryShare
from cactuswalk.dispatch.bounds import UNHEARD_SECONDS
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import Start, StartEnded, TaskEnd

__all__ = ["EntryPeer", "HeldState", "HeldTask"]


class HeldState(enum.Enum):
    """State of an accepted start.

    UNCONFIRMED: the worker didn't answer the start; the task may run now or later.
    STOPPING: a stop is requested or due; the task may still run.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"


class HeldTask(msgspec.Struct):
    """An accepted start, which occupies capacity of the worker until it has ended.

    :param handle: the agent's own number for it.
    :param entry: address of the entry that sent it.
    :param run: run number under which the worker knows it.
    :param since: when the start was last sent or, once it runs, when that was learnt.
    :param expires_at: when the last lease that the worker can have for it expires, so
        that it has ended for certain; 0 while its state is not in doubt.
    :param must_end_by: when it must have ended although its entry is heard; infinite
        while that entry wants it to run (``agentleases``).
    :param is_listed: a poll of the worker's current incarnation has listed its run.
    :param previous_end: how it has ended unless the current incarnation runs it: its
        start was sent to the one before, which has ended. None if there was none.
    :param blamed: it is probably to blame if that incarnation has crashed.
    :param call_pending: a call to the worker on this start has no answer yet.
    :param token: fencing token of its last start call; a worker that has answered a
        poll with a higher one refuses that call if it arrives later.
    :param fenced_at: from when polls have a higher token; infinite while that start
        call has an answer, or is waited for.
    :param called_at: when it was accepted, or when a later call on it was sent or
        resolved; polls sent before then say nothing about that call.
    :param percent_at: when ``percent`` changed last.
    :param speed_sample: time and percent at which the current speed measurement began;
        ``speed`` is the last result in percent per second, 0 before the first.
    :param tries: number of start calls so far.
    :param stop_calls: number of stop calls so far; ``stop_asked_at`` is when the first
        was due.
    :param reason: why it is being stopped.
    """

    handle: int
    entry: str
    start: Start
    run: int
    state: HeldState
    since: float
    expires_at: float = 0.0
    must_end_by: float = math.inf
    is_listed: bool = False
    previous_end: TaskEnd | None = None
    blamed: bool = False
    call_pending: bool = False
    token: int = 0
    fenced_at: float = math.inf
    called_at: float = 0.0
    percent: int = 0
    percent_at: float = 0.0
    speed_sample: tuple[float, int] = (0.0, 0)
    speed: float = 0.0
    tries: int = 0
    stop_calls: int = 0
    stop_asked_at: float = 0.0
    reason: str = ""

    def log_fields(self) -> dict[str, object]:
        """Return the fields that identify its run in a log line."""
        key = self.start.key
        return {"job": key.job, "step": key.step, "index": key.index, "run": self.run}


class EntryPeer(msgspec.Struct):
    """An entry, as an agent knows it.

    :param echoed_stamp: latest of the agent's own stamps, in milliseconds, that this
        incarnation of the entry has returned.
    :param entry_stamp: its latest stamp that has arrived, which reports echo.
    :param last_sequence: highest sequence of its starts that has arrived.
    :param pending_ends: ends that it has not acknowledged, by sequence;
        ``end_sent_at`` has the time when each was sent last.
    :param dirty: a start has come or ended since the last report; ``outdated``: the
        worker or the agent has changed; ``urgent``: something that it waits for;
        ``freed``: one of its own starts has ended, and the capacity is divided.
    :param candidate: another incarnation that has sent a message, and has to return a
        later stamp before it counts as newer.
    :param reported_cpu: free capacity in the last report, in thousandths of a core.
    :param home: it is a home entry of this agent; other entries get reports only
        while they send messages to the agent.
    :param members: the entries that it listed last; ``members_version`` of that list.
    :param share: its backlog and its part of the free capacity.
    """

    address: str
    incarnation: str = ""
    echoed_stamp: int = -1
    entry_stamp: int = 0
    heard_at: float = 0.0
    last_sequence: int = 0
    pending_ends: dict[int, StartEnded] = msgspec.field(default_factory=dict)
    end_sent_at: dict[int, float] = msgspec.field(default_factory=dict)
    data_centre: str = ""
    reported_at: float = 0.0
    reported_cpu: int = 0
    dirty: bool = True
    outdated: bool = False
    urgent: bool = False
    freed: bool = False
    candidate: str = ""
    home: bool = False
    members: list[Member] = []
    members_version: int = 0
    share: EntryShare = msgspec.field(default_factory=EntryShare)

    def is_heard(self, now: float) -> bool:
        """Return whether it was heard recently, and so probably receives messages."""
        return now - self.heard_at < UNHEARD_SECONDS
