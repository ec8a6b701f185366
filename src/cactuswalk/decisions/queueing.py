"""Lanes: queues of the tasks of one service that need the same kind of worker.

Load pattern: work for a few special workers (accelerators, one rack) among work that
any worker can do. In a single queue the first task that waits for a special worker
would block all tasks behind it, or each free slot would require a search of the whole
queue. A worker treats all tasks of a lane alike, so only the first one has to be
checked.

Cancelling a job costs time in proportion to its own tasks: its tasks are removed, and
its heap entry is dropped when it reaches the top.
"""

import collections
import math

import msgspec

from cactuswalk.decisions.fairness import Share
from cactuswalk.decisions.lazyheap import LazyHeap
from cactuswalk.decisions.tasks import QueuedTask
from cactuswalk.model import Job, TaskSpec

__all__ = ["Lane", "LaneKey", "QueuedJob", "lane_key"]


# Sorts before every order key and every level.
URGENT = -math.inf


class LaneKey(msgspec.Struct, frozen=True):
    """The properties that determine which workers can take a task.

    :param memory_class: bit length of the declared memory, so that similar declarations
        share a lane.
    :param long: the task is expected to hold its slot for long.
    """

    service: str
    selector: str
    memory_class: int
    accelerators: int
    long: bool


def lane_key(job: Job, spec: TaskSpec, long: bool) -> LaneKey:
    """Return the lane key of a task."""
    memory_class = spec.memory_mb.bit_length()
    return LaneKey(job.service, job.selector, memory_class, spec.accelerators, long)


class QueuedJob(msgspec.Struct, eq=False):
    """A job that has tasks queued or running.

    :param order: its sort key among jobs with the same fair-share level; a serial
        number breaks ties, so that a declined task returns to its place.
    :param expected: expected run time of each task, in seconds.
    :param lanes: the lane of each task, by index.
    :param pending: indexes of the queued tasks, by lane.
    :param predicted_wait: wait for its last slot as predicted on admission, in seconds.
    :param queued: number of queued tasks.
    :param running: number of running tasks.
    :param dispatched: a task of it has been assigned to a worker.
    :param urgent: it goes before all other jobs, see ``Lane.move_to_front``.
    :param in_peak: it was admitted by the whole backlog, see ``overload``.
    :param cancelled: failures of its tasks don't count against workers.
    """

    job: Job
    queued_at: float
    deadline: float
    order: tuple[float, int]
    team: Share
    caller: Share
    expected: list[float]
    lanes: list["Lane"]
    pending: dict["Lane", collections.deque[int]]
    predicted_wait: float = 0.0
    queued: int = 0
    running: int = 0
    dispatched: bool = False
    urgent: bool = False
    in_peak: bool = True
    cancelled: bool = False

    def task(self, index: int) -> QueuedTask:
        """Return one of the job's tasks in the owner's terms."""
        return QueuedTask(self.job, index, self.queued_at, self.deadline)


class CallerQueue(msgspec.Struct, eq=False):
    """The jobs of one caller in a lane."""

    share: Share
    jobs: LazyHeap[QueuedJob]


class TeamQueue(msgspec.Struct, eq=False):
    """The callers of one team in a lane."""

    share: Share
    callers: LazyHeap[CallerQueue]
    by_name: dict[str, CallerQueue]


class Lane:
    """A queue of teams, their callers and their jobs, each level with its own order.

    Teams in ``parked`` are at their limit of running tasks.
    """

    __slots__ = (
        "by_name",
        "key",
        "parked",
        "queued",
        "queued_seconds",
        "running",
        "teams",
    )

    def __init__(self, key: LaneKey) -> None:
        self.key = key
        self.teams: LazyHeap[TeamQueue] = LazyHeap(team_key)
        self.by_name: dict[str, TeamQueue] = {}
        self.parked: set[str] = set()
        self.queued = 0
        self.queued_seconds = 0.0
        self.running = 0

    def add(self, queued: QueuedJob, indexes: list[int], front: bool = False) -> None:
        """Queue tasks of a job.

        :param front: put them before the job's other tasks, for a task that was
            declined.
        """
        waiting = queued.pending.setdefault(self, collections.deque())
        if front:
            waiting.extendleft(reversed(indexes))
        else:
            waiting.extend(indexes)
        self.queued += len(indexes)
        self.queued_seconds += sum(queued.expected[index] for index in indexes)
        team = self.team_queue(queued.team)
        caller = team.by_name.get(queued.caller.name)
        if caller is None:
            caller = CallerQueue(queued.caller, LazyHeap(self.job_key))
            team.by_name[queued.caller.name] = caller
        caller.jobs.push(queued)
        team.callers.push(caller)
        self.teams.push(team)

    def team_queue(self, share: Share) -> TeamQueue:
        """Return the queue of a team; create it if it has none here."""
        team = self.by_name.get(share.name)
        if team is None:
            team = TeamQueue(share, LazyHeap(caller_key), {})
            self.by_name[share.name] = team
        return team

    def job_key(self, queued: QueuedJob) -> tuple | None:
        """Return the sort key of a job, None if it has no task left here."""
        if not queued.pending.get(self):
            return None
        return (URGENT, queued.order[1]) if queued.urgent else queued.order

    def move_to_front(self, queued: QueuedJob) -> None:
        """Move the tasks of a job that is marked urgent before all others."""
        team = self.by_name[queued.team.name]
        caller = team.by_name[queued.caller.name]
        caller.jobs.push(queued)
        team.callers.push(caller)
        self.teams.push(team)

    def first(self) -> tuple[tuple, TeamQueue] | None:
        """Return the sort key of the lane's first task, and its team.

        A team at its limit of running tasks is set aside until one of its tasks has
        ended, so that it isn't checked again for each free slot.
        """
        while (found := self.teams.top()) is not None:
            if not found[1].share.is_at_limit:
                return found
            self.parked.add(found[1].share.name)
            self.teams.drop_first()
        return None

    def unpark(self, team: str) -> None:
        """Put a team back that was set aside at its limit."""
        if team in self.parked:
            self.parked.discard(team)
            queue = self.by_name.get(team)
            if queue is not None:
                self.teams.push(queue)

    def peek(self, team: TeamQueue) -> tuple[QueuedJob, int]:
        """Return the first task of a team: its job and its index."""
        _, caller = team.callers.top()
        _, queued = caller.jobs.top()
        return queued, self.peek_task(queued)

    def peek_task(self, queued: QueuedJob) -> int:
        """Return the index of the first task that a job has here."""
        return queued.pending[self][0]

    def take(self, queued: QueuedJob, index: int) -> None:
        """Remove the task that ``peek`` has returned."""
        queued.pending[self].popleft()
        self.record_removal(queued, [index])

    def clear(self, queued: QueuedJob) -> list[int]:
        """Remove all tasks of a job and return their indexes."""
        waiting = list(queued.pending.pop(self, ()))
        self.record_removal(queued, waiting)
        return waiting

    def record_removal(self, queued: QueuedJob, indexes: list[int]) -> None:
        """Update the counts for tasks that have left the lane."""
        self.queued -= len(indexes)
        left = self.queued_seconds - sum(queued.expected[index] for index in indexes)
        self.queued_seconds = max(0.0, left) if self.queued else 0.0
        if not queued.pending.get(self):
            queued.pending.pop(self, None)

    def forget(self, team: Share, caller: Share) -> None:
        """Delete the queues of a caller and a team if they are empty here."""
        known = self.by_name.get(team.name)
        if known is None:
            return
        queue = known.by_name.get(caller.name)
        if queue is not None and caller_key(queue) is None:
            del known.by_name[caller.name]
        if team_key(known) is None:
            del self.by_name[team.name]
            self.parked.discard(team.name)


def caller_key(caller: CallerQueue) -> tuple | None:
    """Return the sort key of a caller: its level, then its first job."""
    found = caller.jobs.top()
    if found is None:
        return None
    place = found[0]
    level = URGENT if place[0] == URGENT else caller.share.level
    return level, place


def team_key(team: TeamQueue) -> tuple | None:
    """Return the sort key of a team: its level, then its first caller's first job."""
    found = team.callers.top()
    if found is None:
        return None
    place = found[0][1]
    level = URGENT if place[0] == URGENT else team.share.level
    return level, place
