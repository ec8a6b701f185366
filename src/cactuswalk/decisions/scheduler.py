"""Bind queued tasks to workers as late as possible, within one cell.

The owner's reducer talks to this module only; it composes the others. Nothing
here sends, reads a clock or knows an address.
"""

import collections

import msgspec

from cactuswalk.model import Announcement, Job, Refusal, RefusalCode, TaskSpec

__all__ = ["Assignment", "Explanation", "QueuedTask", "Scheduler", "Shed"]


class QueuedTask(msgspec.Struct):
    """A task that waits for a worker.

    :param deadline: on the owner's monotonic clock, in seconds.
    """

    job: Job
    index: int
    queued_at: float
    deadline: float

    @property
    def spec(self) -> TaskSpec:
        """Return what the caller declared of the task."""
        return self.job.tasks[self.index]


class Assignment(msgspec.Struct):
    """Start this task on this worker now; ``reason`` goes to the log."""

    task: QueuedTask
    worker: str
    reason: str


class Shed(msgspec.Struct):
    """Refuse this queued task now: it can't be answered in time."""

    task: QueuedTask
    refusal: Refusal


class Explanation(msgspec.Struct):
    """Why a worker can or can't take a job; ``verdict`` is a sentence."""

    worker: str
    fits: bool
    verdict: str


class WorkerState(msgspec.Struct):
    """What the scheduler knows of a worker."""

    announcement: Announcement
    usable: bool
    running: set[tuple[str, int]]


class Scheduler:
    """Queue, choose and shed for the workers of one cell."""

    def __init__(self) -> None:
        self.queue: collections.deque[QueuedTask] = collections.deque()
        self.workers: dict[str, WorkerState] = {}

    def set_worker(self, announcement: Announcement, usable: bool, now: float) -> None:
        """Add a worker or take a changed announcement of it."""
        known = self.workers.get(announcement.worker)
        running = known.running if known else set()
        self.workers[announcement.worker] = WorkerState(announcement, usable, running)

    def remove_worker(self, worker: str, now: float) -> None:
        """Forget a worker; what runs there is the owner's to settle."""
        self.workers.pop(worker, None)

    def admit(self, job: Job, deadline: float, now: float) -> Refusal | None:
        """Take a whole job into the queue, or say why none of it is taken."""
        if not any(
            worker.announcement.service == job.service
            for worker in self.workers.values()
        ):
            return Refusal(
                RefusalCode.NO_WORKER_NOW,
                f"no worker serves {job.service} now",
                1000,
            )
        for index in range(len(job.tasks)):
            self.queue.append(QueuedTask(job, index, now, deadline))
        return None

    def requeue(self, task: QueuedTask, worker: str, now: float) -> None:
        """Put back a task that its worker has declined, at the front."""
        self._release(task.job.submission, task.index, worker)
        self.queue.appendleft(task)

    def occupy(self, submission: str, index: int, worker: str, now: float) -> None:
        """Count a task that an earlier owner started on a worker."""
        known = self.workers.get(worker)
        if known is not None:
            known.running.add((submission, index))

    def assign(self, now: float) -> list[Assignment | Shed]:
        """Return all that can be started or must be refused now."""
        decided: list[Assignment | Shed] = []
        waiting: collections.deque[QueuedTask] = collections.deque()
        while self.queue:
            task = self.queue.popleft()
            if now >= task.deadline:
                refusal = Refusal(
                    RefusalCode.DEADLINE_PASSED, "the deadline passed in the queue"
                )
                decided.append(Shed(task, refusal))
                continue
            worker = self._choose(task)
            if worker is None:
                waiting.append(task)
                continue
            worker.running.add((task.job.submission, task.index))
            name = worker.announcement.worker
            decided.append(Assignment(task, name, "most free slots"))
        self.queue = waiting
        return decided

    def finished(
        self,
        submission: str,
        index: int,
        worker: str,
        succeeded: bool,
        elapsed_ms: int,
        now: float,
    ) -> None:
        """Free what a task held on a worker, and learn from how it ended."""
        self._release(submission, index, worker)

    def cancel(self, submission: str, now: float) -> list[QueuedTask]:
        """Take the queued tasks of a submission out and return them."""
        taken = [task for task in self.queue if task.job.submission == submission]
        self.queue = collections.deque(
            task for task in self.queue if task.job.submission != submission
        )
        return taken

    def free_slots(self) -> dict[str, int]:
        """Return the free slots per service."""
        free: dict[str, int] = {}
        for worker in self.workers.values():
            service = worker.announcement.service
            free[service] = free.get(service, 0) + _free(worker)
        return free

    def queued(self) -> dict[str, int]:
        """Return the queued tasks per service."""
        return dict(collections.Counter(task.job.service for task in self.queue))

    def explain(self, job: Job, now: float) -> list[Explanation]:
        """Say of each worker whether it could take the job, and why not."""
        return [
            Explanation(name, worker.announcement.service == job.service, "service")
            for name, worker in sorted(self.workers.items())
        ]

    def _choose(self, task: QueuedTask) -> WorkerState | None:
        candidates = [
            worker
            for worker in self.workers.values()
            if worker.announcement.service == task.job.service and _free(worker) > 0
        ]
        return max(candidates, key=_free, default=None)

    def _release(self, submission: str, index: int, worker: str) -> None:
        known = self.workers.get(worker)
        if known is not None:
            known.running.discard((submission, index))


def _free(worker: WorkerState) -> int:
    """Return the slots of a worker that can take a task now."""
    if not worker.usable or not worker.announcement.ready:
        return 0
    return worker.announcement.capacity.slots - len(worker.running)
