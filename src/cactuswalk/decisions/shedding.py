"""Refuse queued jobs as soon as their deadline can't be met any more.

Load pattern: an overload that admission did not foresee (run times turned out ten
times longer, workers went). Without this, tasks are started for callers who are
already gone, and those behind them become late in their turn.

Jobs are kept by the latest time at which their remaining tasks can start. A look
at the first costs nothing, so the refusal comes when it becomes true and not when
the task would have had its turn.
"""

import heapq

from cactuswalk.decisions.admission import HOPEFUL_PART
from cactuswalk.decisions.queueing import QueuedJob

__all__ = ["DeadlineQueue", "latest_start"]

# Entries of jobs that have left are dropped when they are this many and the
# majority, lest a cancelled wave keeps its bodies until its deadlines.
FEWEST_ENTRIES_TO_REBUILD = 64


def latest_start(queued: QueuedJob) -> float:
    """Return when a job's remaining tasks have to start at the latest."""
    return queued.deadline - HOPEFUL_PART * max(queued.expected)


class DeadlineQueue:
    """Queued jobs by their latest start."""

    __slots__ = ("entries", "serial")

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, QueuedJob]] = []
        self.serial = 0

    def add(self, queued: QueuedJob, live: int) -> None:
        """Watch a job.

        :param live: jobs that have tasks queued.
        """
        if len(self.entries) > max(FEWEST_ENTRIES_TO_REBUILD, 2 * live):
            self.entries = [entry for entry in self.entries if entry[2].queued]
            heapq.heapify(self.entries)
        self.serial += 1
        heapq.heappush(self.entries, (latest_start(queued), self.serial, queued))

    def take_hopeless(self, now: float) -> list[QueuedJob]:
        """Return the jobs whose queued tasks can't be answered in time."""
        hopeless = []
        while self.entries and self.entries[0][0] <= now:
            queued = heapq.heappop(self.entries)[2]
            if queued.queued:
                hopeless.append(queued)
        return hopeless
