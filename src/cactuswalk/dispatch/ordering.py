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
    "SPARE_PART",
    "Fate",
    "chain_seconds",
    "fate",
    "retry_after",
    "serving_order",
]

# How much of the time that a job could spare it may spend waiting for room. Run
# times are known to 40%, and workers differ by a quarter: of jobs that are started
# at the last moment half are late, and have made the next ones late as well. Long
# queues of one priority also leave the next no room at all.
SPARE_PART = 0.4

# An answer has to be written and travel; after that the caller has left.
ANSWER_MARGIN_SECONDS = 0.02

# Callers that are refused come back no sooner: a burst lasts some seconds.
LEAST_RETRY_SECONDS = 1.0
MOST_RETRY_SECONDS = 10.0


class Fate(enum.Enum):
    """What is to become of a job that has not ended."""

    WAIT = "wait"
    REFUSE = "refuse"
    GIVE_UP = "give up"


def chain_seconds(request: JobRequest, seconds: list[float]) -> float:
    """Return how long the longest chain of steps takes.

    :param seconds: expected run time of a task, by step.
    """
    ends: list[float] = []
    for number, step in enumerate(request.steps):
        before = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(before + seconds[number])
    return max(ends, default=0.0)


def serving_order(jobs: list[JobState]) -> list[JobState]:
    """Return the jobs that wait for room, the one to serve first in front."""
    return sorted(
        jobs,
        key=lambda job: (job.queue.priority, not job.started, job.latest_start),
    )


def fate(job: JobState, now: float, meets_workers: bool) -> Fate:
    """Return whether a job goes on, is refused, or is given up.

    :param meets_workers: the workers are being met, so that room may come at once
        and not by the end of another job: what can still be on time waits for it.
    """
    if now >= job.give_up_at - ANSWER_MARGIN_SECONDS:
        return Fate.GIVE_UP if job.started else Fate.REFUSE
    latest = job.on_time_by - job.expected if meets_workers else job.latest_start
    if not job.started and now > latest:
        return Fate.REFUSE
    return Fate.WAIT


def retry_after(queued_seconds: float) -> float:
    """Return after how many seconds a refused caller may come back.

    :param queued_seconds: what waits, in seconds of all workers' time.
    """
    pause = math.ceil(LEAST_RETRY_SECONDS + queued_seconds)
    return float(min(MOST_RETRY_SECONDS, pause))
