"""Refuse queued jobs as soon as their deadline can't be met any more.

Load pattern: an overload that admission did not foresee (run times turned out ten
times longer, workers went). Without this, tasks are started for callers who are
already gone, and those behind them become late in their turn.

A job is hurried before it gets that far: it was admitted because there are slots for
it in time, and giving up one of which a part has run would waste what ran. Whom the
fair share or the jobs' order passes again and again would else be shed though others
could have waited. That may pass the fair share by what was admitted, no more.

Jobs are kept by the latest time at which their remaining tasks can start. A look
at the first costs nothing, so the refusal comes when it becomes true and not when
the task would have had its turn.
"""

import heapq

from cactuswalk.decisions.admission import MIN_RUN_TIME_PART
from cactuswalk.decisions.queueing import QueuedJob

__all__ = ["DeadlineQueue", "latest_start"]

# Entries of jobs that have left are dropped when they are this many and the
# majority, lest a cancelled wave keeps its bodies until its deadlines.
MIN_ENTRIES_TO_REBUILD = 64


# A job is hurried when this part of its time is left beyond the latest start. Of the
# brief's largest job on today's cells all 140 tasks need about half a second of all
# slots, so a fifth of a deadline of some seconds is enough in an overload, in which
# admission keeps the queue short. In a peak the queue may be as long as the deadlines;
# 0.2 to 0.6 were tried, see docs/design/decisions/admission.md.
URGENT_PART = 0.2
PEAK_URGENT_PART = 0.4


def latest_start(queued: QueuedJob) -> float:
    """Return when a job's remaining tasks have to start at the latest."""
    return queued.deadline - MIN_RUN_TIME_PART * max(queued.expected)


class DeadlineQueue:
    """Queued jobs by their latest start."""

    __slots__ = ("early", "late", "serial")

    def __init__(self) -> None:
        self.early: list[tuple[float, int, QueuedJob]] = []
        self.late: list[tuple[float, int, QueuedJob]] = []
        self.serial = 0

    def add(self, queued: QueuedJob, live: int) -> None:
        """Watch a job.

        :param live: jobs that have tasks queued.
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
        """Return the jobs that have to be hurried from now on."""
        return pop_due(self.early, now)

    def pop_unreachable(self, now: float) -> list[QueuedJob]:
        """Return the jobs whose queued tasks can't be answered in time."""
        return pop_due(self.late, now)


def pop_due(entries: list[tuple[float, int, QueuedJob]], now: float) -> list[QueuedJob]:
    """Take out the jobs whose time has come and that have tasks queued.

    A job that came back from a worker is in the heap once for each return, and is
    returned once.
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
