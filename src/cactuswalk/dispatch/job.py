"""Jobs of several sized tasks, as callers hand them in."""

import enum

import msgspec

__all__ = ["JobRequest", "JobVerdict", "Step", "TaskKey", "Worker"]


class Step(msgspec.Struct, frozen=True):
    """Tasks of one size.

    :param cpu: thousandths of a core, of each task.
    :param estimate_ms: the caller's rough estimate of a task's run time.
    :param after: numbers of the steps whose tasks must all be done first.
    :param label: that the worker must have; empty for none.
    :param rack: where the data lies; empty for anywhere.
    :param per_worker: at most this many tasks on one worker; 0 for no limit.
    """

    count: int
    cpu: int
    memory_mb: int
    gpu: int
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    per_worker: int = 0


class JobRequest(msgspec.Struct, frozen=True):
    """What a caller wants done.

    :param identifier: the caller's, 16 hexadecimal digits.
    :param spec: handed to the worker as it is.
    """

    identifier: str
    spec: str
    steps: tuple[Step, ...]


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Names a task: a job, and the task's place in it."""

    job: str
    step: int
    index: int


class Worker(msgspec.Struct, frozen=True):
    """A worker as it announces itself to its agent.

    :param identifier: of this life of the worker.
    :param cpu: thousandths of a core in all.
    :param draining: it takes no new tasks and leaves soon.
    :param leaves_in_ms: the least time left to a draining worker.
    :param sequence: grows with each announcement of one life.
    """

    identifier: str
    service: str
    data_centre: str
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    gpu: int
    draining: bool
    leaves_in_ms: int
    sequence: int


class JobVerdict(enum.StrEnum):
    """How a job ended, for its caller.

    NOT_RUN promises that no task has started; UNFINISHED does not.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNFINISHED = "unfinished"
