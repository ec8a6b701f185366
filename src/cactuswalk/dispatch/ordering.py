"""The order in which jobs get capacity, and when a job is refused.

Load pattern: a burst brings more work than the workers can do, and short lookups
with a seventh of a second of slack queue behind rebuilds with more than a second.
In order of arrival most of both would be late.

Jobs are sorted by the operators' priority, then started jobs before others, then by
the latest start that still meets the due time. A job that has missed its latest start
is refused at once if none of its tasks has started: the capacity goes to jobs that
can still be on time, and the caller can still react. Where late jobs are kept
(``decisions.recovery``), they come after all others.
"""

import enum
import math
from collections.abc import Container

import msgspec

from cactuswalk.decisions.recovery import (
    can_be_on_time,
    can_be_useful,
    useful_until,
)
from cactuswalk.dispatch.job import JobRequest
from cactuswalk.dispatch.jobstate import JobState
from cactuswalk.dispatch.routing import Queue

__all__ = [
    "ANSWER_MARGIN_SECONDS",
    "QUEUEING_SLACK_SHARE",
    "JobAction",
    "TimeLimits",
    "choose_action",
    "compute_time_limits",
    "critical_path_seconds",
    "is_out_of_time",
    "is_still_useful",
    "mark_late_jobs",
    "retry_after_seconds",
    "sort_by_urgency",
]

# Share of its slack that a job may spend waiting for capacity. Estimates of run times
# are off by 40% and workers' speeds differ by a quarter: of jobs that start at the last
# moment half are late and delay the next ones. Long queues of one priority also starve
# the next priority.
QUEUEING_SLACK_SHARE = 0.4

# Time to write and transmit an answer before the caller times out.
ANSWER_MARGIN_SECONDS = 0.02

# Bounds of the delay that refused callers are asked for: a burst lasts some seconds.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 10.0


class JobAction(enum.Enum):
    """What to do with a job that has not ended."""

    WAIT = "wait"
    REFUSE = "refuse"
    GIVE_UP = "give up"


class TimeLimits(msgspec.Struct, frozen=True):
    """Until when a job may wait to be started, and until when its answer is on time."""

    latest_start_at: float
    due_at: float


def compute_time_limits(
    queue: Queue, expected_seconds: float, arrived_at: float
) -> TimeLimits:
    """Return a job's time limits under its queue's target.

    :param expected_seconds: run time of its longest chain of steps.
    """
    aim = queue.stretch * expected_seconds + queue.allowance_ms / 1000
    slack = aim - expected_seconds
    return TimeLimits(arrived_at + slack * QUEUEING_SLACK_SHARE, arrived_at + aim)


def critical_path_seconds(request: JobRequest, seconds: list[float]) -> float:
    """Return the run time of the longest chain of dependent steps.

    :param seconds: expected run time of a task, by step.
    """
    ends: list[float] = []
    for number, step in enumerate(request.steps):
        before = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(before + seconds[number])
    return max(ends, default=0.0)


def sort_by_urgency(
    jobs: list[JobState], over_share: Container[str] = ()
) -> list[JobState]:
    """Return the jobs that wait for capacity, the most urgent first.

    :param over_share: queues whose jobs come after others of the same priority.
    """
    return sorted(
        jobs,
        key=lambda job: (
            job.is_late,
            job.queue.priority,
            not job.has_started,
            job.queue.name in over_share,
            job.latest_start_at,
        ),
    )


def mark_late_jobs(jobs: list[JobState], now: float) -> None:
    """Note which jobs can't be on time any more and have not started."""
    for job in jobs:
        if not job.has_started:
            job.is_late = not can_be_on_time(job.due_at, job.expected_seconds, now)


def is_still_useful(job: JobState, now: float) -> bool:
    """Return whether a job that starts now may end while its answer is useful."""
    return can_be_useful(_useful_until(job), job.expected_seconds, now)


def _useful_until(job: JobState) -> float:
    give_up_at = job.give_up_at - ANSWER_MARGIN_SECONDS
    return useful_until(job.arrived_at, job.due_at, give_up_at)


def is_out_of_time(job: JobState, now: float) -> bool:
    """Return whether a job's caller stops waiting before an answer can arrive."""
    return now >= job.give_up_at - ANSWER_MARGIN_SECONDS


def choose_action(
    job: JobState,
    now: float,
    is_discovering_workers: bool,
    keeps_late_jobs: bool = False,
) -> JobAction:
    """Return whether a job keeps waiting, is refused, or is given up.

    :param is_discovering_workers: the entry has just begun to hear of workers, so
        capacity may appear without another job ending. A job then waits for as long as
        it can still be on time.
    :param keeps_late_jobs: a job that can't be on time any more waits for as long as
        its answer can still be useful.
    """
    if is_out_of_time(job, now):
        return JobAction.GIVE_UP if job.has_started else JobAction.REFUSE
    latest = (
        job.due_at - job.expected_seconds
        if is_discovering_workers
        else job.latest_start_at
    )
    if job.has_started or now <= latest:
        return JobAction.WAIT
    if keeps_late_jobs and is_still_useful(job, now):
        return JobAction.WAIT
    return JobAction.REFUSE


def retry_after_seconds(queued_seconds: float) -> float:
    """Return after how many seconds a refused caller should retry.

    :param queued_seconds: the queued work, in seconds of all workers' time.
    """
    pause = math.ceil(MIN_RETRY_SECONDS + queued_seconds)
    return float(min(MAX_RETRY_SECONDS, pause))
