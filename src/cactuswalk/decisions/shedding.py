"""Shed queued jobs as soon as their deadline can't be met any more.

Load pattern: an overload that admission control did not foresee (run times became ten
times longer, or workers left). Without shedding, tasks are started for callers who have
given up, and the jobs behind them become late as well.

A job becomes urgent before that point: it was admitted because there are slots for it
in time, and shedding a job that has partly run wastes that work. Otherwise jobs that
the fair share or the job order passes over repeatedly would be shed although others
could have waited. Urgent jobs may exceed the fair share, but only by what was admitted.

Jobs are sorted by the latest time at which their remaining tasks can start. Checking
the first one is cheap, so the refusal is sent as soon as it becomes certain and not
when the task would have had its turn.
"""

import heapq

from cactuswalk.decisions.admission import MIN_RUN_TIME_PART
from cactuswalk.decisions.queueing import QueuedJob

__all__ = ["DeadlineQueue", "latest_start"]

# Entries of jobs that are no longer queued are dropped when there are more entries than
# this and they are the majority. Otherwise a wave of cancelled jobs would keep their
# bodies in memory until their deadlines.
MIN_ENTRIES_TO_REBUILD = 64


# A job becomes urgent when this part of its time is left before its latest start. The
# largest job has 140 tasks, which take about half a second of all slots of a current
# cell. So a fifth of a deadline of some seconds is enough in an overload, in which
# admission control keeps the queue short. In a peak the queue may be as long as the
# deadlines; 0.2 to 0.6 were tried, see docs/design/decisions/admission.md.
URGENT_PART = 0.2
PEAK_URGENT_PART = 0.4


def latest_start(queued: QueuedJob) -> float:
    """Return the latest time at which a job's remaining tasks can start."""
    return queued.deadline - MIN_RUN_TIME_PART * max(queued.expected)


class DeadlineQueue:
    """Queued jobs by deadline.

    ``early`` holds them by when they become urgent, ``late`` by their latest start.
    """

    __slots__ = ("early", "late", "serial")

    def __init__(self) -> None:
        self.early: list[tuple[float, int, QueuedJob]] = []
        self.late: list[tuple[float, int, QueuedJob]] = []
        self.serial = 0

    def add(self, queued: QueuedJob, live: int) -> None:
        """Add a job.

        :param live: number of jobs that have tasks queued.
        """
        if len(self.late) > max(MIN_ENTRIES_TO_REBUILD, 2 * live):
            self.early = drop_dequeued(self.early)
            self.late = drop_dequeued(self.late)
        self.serial += 1
        latest = latest_start(queued)
        part = PEAK_URGENT_PART if queued.in_peak else URGENT_PART
        urgent_at = latest - part * (queued.deadline - queued.queued_at)
        heapq.heappush(self.late, (latest, self.serial, queued))
        heapq.heappush(self.early, (urgent_at, self.serial, queued))

    def pop_urgent(self, now: float) -> list[QueuedJob]:
        """Remove and return the jobs that are urgent from now on."""
        return pop_due(self.early, now)

    def pop_unreachable(self, now: float) -> list[QueuedJob]:
        """Remove and return the jobs whose queued tasks can't be answered in time."""
        return pop_due(self.late, now)


def pop_due(entries: list[tuple[float, int, QueuedJob]], now: float) -> list[QueuedJob]:
    """Remove the due entries; return their jobs that have tasks queued.

    A job that a worker has declined has one entry for each return, and is returned
    once.
    """
    due: dict[QueuedJob, None] = {}
    while entries and entries[0][0] <= now:
        queued = heapq.heappop(entries)[2]
        if queued.queued:
            due[queued] = None
    return list(due)


def drop_dequeued(
    entries: list[tuple[float, int, QueuedJob]],
) -> list[tuple[float, int, QueuedJob]]:
    """Return the entries of jobs that have tasks queued, as a heap."""
    kept = [entry for entry in entries if entry[2].queued]
    heapq.heapify(kept)
    return kept
