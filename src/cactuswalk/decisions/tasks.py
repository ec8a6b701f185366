"""Input and output types of the scheduler."""

import msgspec

from cactuswalk.model import Job, Refusal, TaskSpec

__all__ = ["Assignment", "Explanation", "QueuedTask", "Shed"]


class QueuedTask(msgspec.Struct):
    """A task that waits for a worker.

    :param queued_at: on the owner's monotonic clock, in seconds.
    :param deadline: on the owner's monotonic clock, in seconds.
    """

    job: Job
    index: int
    queued_at: float
    deadline: float

    @property
    def spec(self) -> TaskSpec:
        """Return what the caller declared about the task."""
        return self.job.tasks[self.index]


class Assignment(msgspec.Struct):
    """Start this task on this worker now; ``reason`` is logged."""

    task: QueuedTask
    worker: str
    reason: str


class Shed(msgspec.Struct):
    """Refuse this queued task now: it can't be answered in time.

    It has not been sent to any worker since it was last queued.
    """

    task: QueuedTask
    refusal: Refusal


class Explanation(msgspec.Struct):
    """Whether and why a worker can or can't take a job; ``verdict`` is a sentence."""

    worker: str
    fits: bool
    verdict: str
