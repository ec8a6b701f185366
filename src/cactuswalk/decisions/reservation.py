"""Reserve a worker for a task that needs a large part of it.

Load pattern: a task that declares most of a worker's memory among many small tasks.
Whenever some memory comes free, a small task takes it, and the large one waits until
its deadline although it is first in the queue.

When the first task of a lane has found no room for several run times, the worker with
the most free memory is reserved for it: nothing else is started there until the task
fits. At most one worker per service is reserved, which bounds the idle capacity.
"""

import msgspec

from cactuswalk.decisions.placement import Group, Worker
from cactuswalk.decisions.queueing import Lane, QueuedJob

__all__ = ["Reservation", "choose_worker_to_reserve", "is_reservation_due"]

# After this many mean run times without room, waiting is no coincidence: all tasks that
# ran at the start of the wait have ended, except for the longest.
MAX_RUN_TIMES_WITHOUT_ROOM = 4.0


class Reservation(msgspec.Struct, eq=False):
    """A worker that is reserved for a task."""

    worker: Worker
    lane: Lane
    queued: QueuedJob
    index: int

    @property
    def is_valid(self) -> bool:
        """Return whether the task still waits and the worker can still take it."""
        waiting = self.queued.pending.get(self.lane, ())
        return self.index in waiting and self.worker.usable_slots > 0


def is_reservation_due(queued: QueuedJob, mean: float, now: float) -> bool:
    """Return whether a task without room has waited long enough for a reservation."""
    return now - queued.queued_at > MAX_RUN_TIMES_WITHOUT_ROOM * mean


def choose_worker_to_reserve(
    group: Group, memory_mb: float, accelerators: int
) -> Worker | None:
    """Return the worker with the most free memory, None if none is large enough."""
    large_enough = [
        worker
        for worker in group.members.values()
        if worker.usable_slots > 0
        and accelerators <= worker.announcement.capacity.accelerators
        and memory_mb <= worker.announcement.capacity.memory_mb
    ]
    return max(large_enough, key=spare_memory_mb, default=None)


def spare_memory_mb(worker: Worker) -> float:
    """Return the memory of a worker that its tasks have not reserved."""
    return worker.announcement.capacity.memory_mb - worker.memory_mb
