"""The scheduler that Cactuswalk began with: what callers get without decisions.

One queue, first come first served; the worker with the most free slots; refusal
only once the deadline has passed. It is the baseline of the comparisons.
"""

import collections

from cactuswalk.decisions.tasks import Assignment, QueuedTask, Shed
from cactuswalk.model import Announcement, Job, Refusal, RefusalCode

__all__ = ["PlainScheduler"]


class PlainScheduler:
    """Late binding and nothing else, with the interface of ``Scheduler``."""

    def __init__(self) -> None:
        self.queue: collections.deque[QueuedTask] = collections.deque()
        self.workers: dict[str, Announcement] = {}
        self.running: dict[str, set[tuple[str, int]]] = {}

    def set_worker(self, announcement: Announcement, usable: bool, now: float) -> None:
        """Add a worker or take a changed announcement of it."""
        self.workers[announcement.worker] = announcement
        self.running.setdefault(announcement.worker, set())

    def remove_worker(self, worker: str, now: float) -> None:
        """Forget a worker."""
        self.workers.pop(worker, None)
        self.running.pop(worker, None)

    def admit(self, job: Job, deadline: float, now: float) -> Refusal | None:
        """Queue every job."""
        for index in range(len(job.tasks)):
            self.queue.append(QueuedTask(job, index, now, deadline))
        return None

    def assign(self, now: float) -> list[Assignment | Shed]:
        """Start the first tasks of the queue while there are free slots."""
        decided: list[Assignment | Shed] = []
        while self.queue:
            task = self.queue[0]
            if now >= task.deadline:
                self.queue.popleft()
                refusal = Refusal(RefusalCode.DEADLINE_PASSED, "the deadline passed")
                decided.append(Shed(task, refusal))
                continue
            worker = max(self.workers, key=self.free, default=None)
            if worker is None or self.free(worker) < 1 or not self.fits(task):
                break
            self.queue.popleft()
            self.running[worker].add((task.job.submission, task.index))
            decided.append(Assignment(task, worker, "most free slots"))
        return decided

    def fits(self, task: QueuedTask) -> bool:
        """Return whether any worker has room for a task's declared memory."""
        return any(
            not worker.capacity.memory_mb
            or worker.capacity.memory_mb >= task.spec.memory_mb
            for worker in self.workers.values()
        )

    def free(self, worker: str) -> int:
        """Return the free slots of a worker."""
        return self.workers[worker].capacity.slots - len(self.running[worker])

    def record_result(
        self,
        submission: str,
        index: int,
        worker: str,
        succeeded: bool,
        elapsed_ms: int,
        now: float,
    ) -> None:
        """Free the slot."""
        if worker in self.running:
            self.running[worker].discard((submission, index))

    def cancel(self, submission: str, now: float) -> list[QueuedTask]:
        """Take the queued tasks of a submission out."""
        taken = [task for task in self.queue if task.job.submission == submission]
        if taken:
            self.queue = collections.deque(
                task for task in self.queue if task.job.submission != submission
            )
        return taken
