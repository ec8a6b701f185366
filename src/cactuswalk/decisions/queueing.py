"""Queued jobs of one service that need the same kind of worker: a lane.

Load pattern: work for a few special workers (accelerators, one rack) among work
that any worker can do. In one queue, the first task that must wait for a special
worker would hold up all behind it, or each free slot would have to search the
whole queue. A lane is a queue of tasks that every worker treats alike, so that
only its first task has to be looked at.

Cancelling a job costs its own tasks: it is emptied where it stands, and its place
is dropped when it comes to the front.
"""

import collections
import math

import msgspec

from cactuswalk.decisions.fairness import Share
from cactuswalk.decisions.lazyheap import LazyHeap
from cactuswalk.decisions.tasks import QueuedTask
from cactuswalk.model import Job, TaskSpec

__all__ = ["Lane", "LaneKey", "QueuedJob", "lane_key"]


# Before every order and every level.
URGENT = -math.inf


class LaneKey(msgspec.Struct, frozen=True):
    """What decides which workers can take a task.

    :param memory_class: the power of two that the declared memory fits in, so
        that no two declarations make two lanes for nothing.
    :param long: the task is expected to hold its slot for long.
    """

    service: str
    selector: str
    memory_class: int
    accelerators: int
    long: bool


def lane_key(job: Job, spec: TaskSpec, long: bool) -> LaneKey:
    """Return the lane of a task."""
    memory_class = spec.memory_mb.bit_length()
    return LaneKey(job.service, job.selector, memory_class, spec.accelerators, long)


class QueuedJob(msgspec.Struct, eq=False):
    """A job that has tasks queued or running.

    :param order: its place among jobs that have the same claim; a number breaks
        ties, so that a declined task comes back to its old place.
    :param expected: run time of each task, in seconds.
    :param lanes: of its tasks, by index.
    :param predicted_wait: wait for its last slot as seen on admission, in seconds.
    :param dispatched: a task of it has been given to a worker.
    :param cancelled: what becomes of its tasks says nothing about workers.
    :param in_peak: it was admitted by the whole backlog, see ``overload``.
    :param urgent: it goes before all claims, see ``Lane.hurry``.
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
        """Return one of the job's tasks as the owner knows it."""
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
    """Teams, their callers and their jobs, each in its own order."""

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
        """Put tasks of a job in; ``front`` is for one that comes back."""
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
        """Return the queue of a team, a new one if it has none here."""
        team = self.by_name.get(share.name)
        if team is None:
            team = TeamQueue(share, LazyHeap(caller_key), {})
            self.by_name[share.name] = team
        return team

    def job_key(self, queued: QueuedJob) -> tuple | None:
        """Return the place of a job, None if it has no task left here."""
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
        """Return the place of the lane's first task, and its team.

        A team that runs as much as it may is set aside until one of its tasks
        has ended, so that it is not looked at again for each free slot.
        """
        while (found := self.teams.top()) is not None:
            if not found[1].share.is_at_limit:
                return found
            self.parked.add(found[1].share.name)
            self.teams.drop_first()
        return None

    def unpark(self, team: str) -> None:
        """Let a team that was set aside take part again."""
        if team in self.parked:
            self.parked.discard(team)
            queue = self.by_name.get(team)
            if queue is not None:
                self.teams.push(queue)

    def peek(self, team: TeamQueue) -> tuple[QueuedJob, int]:
        """Return the first task of the lane's first team."""
        _, caller = team.callers.top()
        _, queued = caller.jobs.top()
        return queued, self.peek_task(queued)

    def peek_task(self, queued: QueuedJob) -> int:
        """Return the first task that a job has here."""
        return queued.pending[self][0]

    def take(self, queued: QueuedJob, index: int) -> None:
        """Take the task that ``peek`` has returned out."""
        queued.pending[self].popleft()
        self.record_removal(queued, [index])

    def clear(self, queued: QueuedJob) -> list[int]:
        """Take all tasks of a job out and return their indexes."""
        waiting = list(queued.pending.pop(self, ()))
        self.record_removal(queued, waiting)
        return waiting

    def record_removal(self, queued: QueuedJob, indexes: list[int]) -> None:
        """Count tasks that have left the lane."""
        self.queued -= len(indexes)
        left = self.queued_seconds - sum(queued.expected[index] for index in indexes)
        self.queued_seconds = max(0.0, left) if self.queued else 0.0
        if not queued.pending.get(self):
            queued.pending.pop(self, None)

    def forget(self, team: Share, caller: Share) -> None:
        """Drop the queues of a caller and a team if they are empty here."""
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
    """Return the place of a caller in its team: its level, then its first job."""
    found = caller.jobs.top()
    if found is None:
        return None
    place = found[0]
    level = URGENT if place[0] == URGENT else caller.share.level
    return level, place


def team_key(team: TeamQueue) -> tuple | None:
    """Return the place of a team: its level, then its first caller's first job."""
    found = team.callers.top()
    if found is None:
        return None
    place = found[0][1]
    level = URGENT if place[0] == URGENT else team.share.level
    return level, place
