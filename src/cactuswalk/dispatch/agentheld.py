"""What an agent keeps of the starts that it was given."""

import enum

import msgspec

from cactuswalk.dispatch.bounds import UNHEARD_SECONDS
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import Ended, Start

__all__ = ["EntryPeer", "HeldState", "HeldTask"]


class HeldState(enum.Enum):
    """Where a start stands.

    DOUBTFUL: the worker didn't answer; it may run, or begin to.
    STOPPING: it is to be stopped; it may still run.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "doubtful"
    STOPPING = "stopping"


class HeldTask(msgspec.Struct):
    """A start whose room is taken at the worker.

    :param handle: the agent's own number for it.
    :param gone_at: when it has ended for certain, if nothing is heard: the last
        lease that the worker could have for it has passed. 0 until there is doubt.
    :param call_under_way: a call of the worker on this start has no answer yet.
    :param stop_confirmed: the worker has confirmed its stop.
    :param speed_from: since when its speed is being measured, and at what percent;
        ``speed`` is the last one, in percent a second, 0 before there is one.
    """

    handle: int
    entry: str
    start: Start
    run: int
    state: HeldState
    since: float
    expires_at: float = 0.0
    call_pending: bool = False
    stop_confirmed: bool = False
    called_at: float = 0.0
    percent: int = 0
    percent_at: float = 0.0
    speed_sample: tuple[float, int] = (0.0, 0)
    speed: float = 0.0
    tries: int = 0
    reason: str = ""

    def log_fields(self) -> dict[str, object]:
        """Return the fields that name its run in a log line."""
        key = self.start.key
        return {"job": key.job, "step": key.step, "index": key.index, "run": self.run}


class EntryPeer(msgspec.Struct):
    """An entry, as an agent knows it.

    :param echoed: latest of the agent's own stamps, in milliseconds, that this
        life of the entry has returned.
    :param ends: by sequence, what it has not noted yet; with the time of the
        last telling.
    :param dirty: something has changed since the last report; ``urgent``:
        something that it waits for.
    :param home: this agent works with it; others are reported to only while they
        speak to the agent.
    :param members: the entries that it told of last, and the version of that.
    """

    address: str
    incarnation: str = ""
    echoed_stamp: int = -1
    heard_at: float = 0.0
    last_sequence: int = 0
    pending_ends: dict[int, Ended] = msgspec.field(default_factory=dict)
    end_sent_at: dict[int, float] = msgspec.field(default_factory=dict)
    data_centre: str = ""
    reported_at: float = 0.0
    dirty: bool = True
    urgent: bool = False
    past_incarnations: set[str] = msgspec.field(default_factory=set)
    home: bool = False
    members: list[Member] = []
    members_version: int = 0

    def is_heard(self, now: float) -> bool:
        """Return whether it has been heard lately, and is likely to hear."""
        return now - self.heard_at < UNHEARD_SECONDS
