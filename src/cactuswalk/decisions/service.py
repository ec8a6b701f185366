"""The scheduler's state of one service: its queue, shares and estimates."""

import msgspec

from cactuswalk.decisions.admission import Backlog
from cactuswalk.decisions.budget import Budget, hedge_budget, retry_budget
from cactuswalk.decisions.estimation import DurationEstimate, SizeEstimate
from cactuswalk.decisions.fairness import (
    CALLER_STEP_SECONDS,
    TEAM_STEP_SECONDS,
    Share,
    ShareTree,
)
from cactuswalk.decisions.hedging import HighPercentile
from cactuswalk.decisions.longtasks import is_long, update_short_average
from cactuswalk.decisions.overload import Overload
from cactuswalk.decisions.queueing import Lane, LaneKey, QueuedJob, lane_key
from cactuswalk.decisions.reservation import Reservation
from cactuswalk.decisions.shedding import DeadlineQueue
from cactuswalk.decisions.waitmargin import WaitMargin
from cactuswalk.model import TaskSpec

__all__ = ["Service"]


def caller_shares() -> ShareTree:
    """Return the shares of one team's callers.

    A caller that becomes active starts one step ahead, and so passes its team's heavy
    callers at once.
    """
    return ShareTree(CALLER_STEP_SECONDS, head_start=1)


class Service(msgspec.Struct, eq=False):
    """The queue, shares and estimates of one service.

    :param callers: shares of each team's callers, by team.
    :param high_percentile: run time beyond which a request may be hedged.
    :param jobs_queued: number of jobs that have tasks queued.
    :param long_running: number of running long tasks.
    :param short_average: average number of slots that short tasks have recently held.
    :param reservation: the worker that is reserved for a large task, if any.
    """

    name: str
    teams: ShareTree
    callers: dict[str, ShareTree]
    deadlines: DeadlineQueue
    durations: DurationEstimate
    sizes: SizeEstimate
    high_percentile: HighPercentile
    retries: Budget
    hedges: Budget
    lanes: dict[LaneKey, Lane]
    margin: WaitMargin
    overload: Overload
    queued: int = 0
    queued_seconds: float = 0.0
    jobs_queued: int = 0
    running: int = 0
    long_running: int = 0
    short_average: float = 0.0
    reservation: Reservation | None = None

    @classmethod
    def empty(cls, name: str) -> "Service":
        """Return the initial state of a service."""
        return cls(
            name,
            ShareTree(TEAM_STEP_SECONDS),
            {},
            DeadlineQueue(),
            DurationEstimate(),
            SizeEstimate(),
            HighPercentile(),
            retry_budget(),
            hedge_budget(),
            {},
            WaitMargin(),
            Overload(),
        )

    def shares(self, team: str, caller: str) -> tuple[Share, Share]:
        """Return the shares of a team and of one of its callers."""
        callers = self.callers.get(team)
        if callers is None:
            callers = self.callers[team] = caller_shares()
        return self.teams.share(team), callers.share(caller)

    def lane(self, queued: QueuedJob, spec: TaskSpec, expected: float) -> Lane:
        """Return the lane of a task; create it if it is the first of its kind."""
        durations = self.durations
        long = durations.has_informative_declarations and is_long(
            expected, durations.mean
        )
        key = lane_key(queued.job, spec, long)
        known = self.lanes.get(key)
        if known is None:
            known = self.lanes[key] = Lane(key)
        return known

    def enqueue(
        self,
        queued: QueuedJob,
        lane: Lane,
        indexes: list[int],
        now: float,
        front: bool = False,
    ) -> None:
        """Queue some tasks of a job in one lane."""
        seconds = sum(queued.expected[index] for index in indexes)
        callers = self.callers[queued.team.name]
        self.teams.enqueue(queued.team, len(indexes), seconds, now)
        callers.enqueue(queued.caller, len(indexes), seconds, now)
        self.jobs_queued += queued.queued == 0
        queued.queued += len(indexes)
        self.queued += len(indexes)
        self.queued_seconds += seconds
        lane.add(queued, indexes, front)

    def record_removal(self, queued: QueuedJob, lane: Lane, indexes: list[int]) -> None:
        """Update the counts for tasks that were started, shed or cancelled."""
        seconds = sum(queued.expected[index] for index in indexes)
        queued.queued -= len(indexes)
        self.jobs_queued -= queued.queued == 0
        self.queued -= len(indexes)
        left = self.queued_seconds - seconds
        self.queued_seconds = max(0.0, left) if self.queued else 0.0
        if not self.queued:
            self.overload.record_empty_queue()
        self.callers[queued.team.name].dequeue(queued.caller, len(indexes), seconds)
        self.teams.dequeue(queued.team, len(indexes), seconds)
        lane.forget(queued.team, queued.caller)

    def sample_running(self) -> None:
        """Add a sample of the number of running short tasks."""
        short = self.running - self.long_running
        self.short_average = update_short_average(self.short_average, short)

    def record_start(
        self, queued: QueuedJob, lane: Lane, charged: float, now: float
    ) -> None:
        """Update the counts and charge the shares for a task that starts."""
        self.teams.record_start(queued.team, charged, now)
        self.callers[queued.team.name].record_start(queued.caller, charged, now)
        queued.running += 1
        queued.dispatched = True
        if queued.queued == 1:
            self.margin.record_start(now - queued.queued_at, queued.predicted_wait)
        lane.running += 1
        self.running += 1
        self.long_running += lane.key.long

    def record_end(
        self, queued: QueuedJob, lane: Lane, charged: float, used: float
    ) -> None:
        """Update the counts and correct the shares for a task that has ended."""
        queued.running -= 1
        lane.running -= 1
        self.running -= 1
        self.long_running -= lane.key.long
        self.callers[queued.team.name].record_end(queued.caller, charged, used)
        self.teams.record_end(queued.team, charged, used)
        if queued.team.quota.maximum_running is not None:
            for other in self.lanes.values():
                other.unpark(queued.team.name)

    def backlog(
        self,
        queued: QueuedJob,
        slots: int,
        free: int,
        constrained_wait: float,
        now: float,
    ) -> Backlog:
        """Return the backlog that a new job would join, see ``Backlog``.

        :param slots: slots that can take its tasks.
        :param free: how many of these are idle.
        :param constrained_wait: predicted wait in seconds for workers with the memory
            or accelerators that it needs.
        """
        team, caller = queued.team, queued.caller
        idle = free - self.queued >= len(queued.expected)
        return Backlog(
            slots=0 if idle else slots,
            total_seconds=self.queued_seconds,
            team_seconds=team.queued_seconds,
            caller_seconds=caller.queued_seconds,
            team_rate=team.drain_rate(now),
            guaranteed_team=self.teams.guaranteed_part(team),
            guaranteed_caller=self.callers[team.name].guaranteed_part(caller),
            maximum_running=team.quota.maximum_running,
            job_seconds=sum(queued.expected),
            longest_seconds=max(queued.expected),
            mean_seconds=self.durations.mean,
            constrained_wait=constrained_wait,
            margin=self.margin.factor,
            sustained=self.overload.sustained,
        )
