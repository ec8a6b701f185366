"""Keep a worker free for a task that needs much of it.

Load pattern: a task that declares most of a worker's memory among many small ones.
Whenever some memory comes free, a small task takes it, and the large one waits until
its deadline though it is first in the queue.

A task that has been first and has found no room for some run times gets the worker
with the most room: nothing else is started there until the task fits. One worker a
service at a time, so that at most that much lies idle.
"""

import msgspec

from cactuswalk.decisions.placement import Group, Worker
from cactuswalk.decisions.queueing import Lane, QueuedJob

__all__ = ["Reservation", "best_worker", "is_due"]

# Waiting for this many mean run times without room is no bad luck any more: all that
# ran when it began has ended but for the longest tasks.
RUN_TIMES_WITHOUT_ROOM = 4.0


class Reservation(msgspec.Struct, eq=False):
    """A worker that is kept for a task."""

    worker: Worker
    lane: Lane
    queued: QueuedJob
    index: int

    @property
    def holds(self) -> bool:
        """Return whether the task still waits and the worker can still take it."""
        waiting = self.queued.pending.get(self.lane, ())
        return self.index in waiting and self.worker.usable_slots > 0


def is_due(queued: QueuedJob, mean: float, now: float) -> bool:
    """Return whether a task that finds no room has waited long enough."""
    return now - queued.queued_at > RUN_TIMES_WITHOUT_ROOM * mean


def best_worker(group: Group, memory_mb: float, accelerators: int) -> Worker | None:
    """Return the worker that will soonest have room, None if none is large enough."""
    large_enough = [
        worker
        for worker in group.members.values()
        if worker.usable_slots > 0
        and accelerators <= worker.announcement.capacity.accelerators
        and memory_mb <= worker.announcement.capacity.memory_mb
    ]
    return max(large_enough, key=spare_memory_mb, default=None)


def spare_memory_mb(worker: Worker) -> float:
    """Return the memory of a worker that is not reserved by its tasks."""
    return worker.announcement.capacity.memory_mb - worker.memory_mb
