"""Who is served first, and who is refused, when there is not room for all.

Load pattern: in a burst more work comes than the workers can do; short lookups
that have a seventh of a second to spare wait behind rebuilds that have more than
one. Served in order of arrival, most of both are late and none is of full use.

The operators' priorities come first; within one, jobs that have begun, then by the
latest time at which they should start to be on time. One
that has missed it is refused at once while none of its tasks has started: the room
goes to jobs that can still be on time, and the caller learns the truth when it can
still act on it.
"""

import enum
import math

from cactuswalk.dispatch.job import JobRequest
from cactuswalk.dispatch.jobstate import JobState

__all__ = [
    "QUEUEING_SLACK_SHARE",
    "JobAction",
    "choose_action",
    "critical_path_seconds",
    "retry_after_seconds",
    "sort_by_urgency",
]

# How much of the time that a job could spare it may spend waiting for room. Run
# times are known to 40%, and workers differ by a quarter: of jobs that are started
# at the last moment half are late, and have made the next ones late as well. Long
# queues of one priority also leave the next no room at all.
QUEUEING_SLACK_SHARE = 0.4

# An answer has to be written and travel; after that the caller has left.
ANSWER_MARGIN_SECONDS = 0.02

# Callers that are refused come back no sooner: a burst lasts some seconds.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 10.0


class JobAction(enum.Enum):
    """What is to become of a job that has not ended."""

    WAIT = "wait"
    REFUSE = "refuse"
    GIVE_UP = "give up"


def critical_path_seconds(request: JobRequest, seconds: list[float]) -> float:
    """Return how long the longest chain of steps takes.

    :param seconds: expected run time of a task, by step.
    """
    ends: list[float] = []
    for number, step in enumerate(request.steps):
        before = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(before + seconds[number])
    return max(ends, default=0.0)


def sort_by_urgency(jobs: list[JobState]) -> list[JobState]:
    """Return the jobs that wait for room, the one to serve first in front."""
    return sorted(
        jobs,
        key=lambda job: (job.queue.priority, not job.has_started, job.latest_start_at),
    )


def choose_action(job: JobState, now: float, is_discovering_workers: bool) -> JobAction:
    """Return whether a job goes on, is refused, or is given up.

    :param meets_workers: the workers are being met, so that room may come at once
        and not by the end of another job: what can still be on time waits for it.
    """
    if now >= job.give_up_at - ANSWER_MARGIN_SECONDS:
        return JobAction.GIVE_UP if job.has_started else JobAction.REFUSE
    latest = (
        job.due_at - job.expected_seconds
        if is_discovering_workers
        else job.latest_start_at
    )
    if not job.has_started and now > latest:
        return JobAction.REFUSE
    return JobAction.WAIT


def retry_after_seconds(queued_seconds: float) -> float:
    """Return after how many seconds a refused caller may come back.

    :param queued_seconds: what waits, in seconds of all workers' time.
    """
    pause = math.ceil(MIN_RETRY_SECONDS + queued_seconds)
    return float(min(MAX_RETRY_SECONDS, pause))
