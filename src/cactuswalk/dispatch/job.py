"""Jobs of tasks with declared sizes, as callers submit them."""

import enum

import msgspec

__all__ = ["JobRequest", "JobVerdict", "Step", "TaskKey", "Worker"]


class Step(msgspec.Struct, frozen=True):
    """A number of tasks of the same size.

    :param count: number of tasks.
    :param cpu: of each task, in thousandths of a core.
    :param estimate_ms: the caller's rough estimate of a task's run time.
    :param after: indexes of the steps whose tasks must all be done first.
    :param label: required of the worker; empty for none.
    :param rack: where the data is stored; empty for no preference.
    :param per_worker: maximum number of the step's tasks on one worker; 0 for no limit.
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
    """A job as its caller submits it.

    :param identifier: chosen by the caller, 16 hexadecimal digits.
    :param spec: passed to the worker unchanged.
    """

    identifier: str
    spec: str
    steps: tuple[Step, ...]


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a task by its job, step and index in the step."""

    job: str
    step: int
    index: int


class Worker(msgspec.Struct, frozen=True):
    """A worker as it announces itself to its agent.

    :param identifier: of this incarnation of the worker.
    :param cpu: total, in thousandths of a core.
    :param draining: the worker takes no new tasks and will stop soon.
    :param leaves_in_ms: lower bound of the time left to a draining worker.
    :param sequence: grows with each announcement of an incarnation.
    :param clock_ms: its clock when it announced itself; None if it didn't say.
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
    clock_ms: float | None = None


class JobVerdict(enum.StrEnum):
    """How a job ended, as its caller is told.

    NOT_RUN guarantees that no task has started; UNFINISHED does not.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNFINISHED = "unfinished"
