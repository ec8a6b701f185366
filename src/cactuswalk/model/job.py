"""Jobs and their tasks, as validated and admitted by an entry."""

import msgspec

__all__ = ["MAX_TASKS", "Job", "TaskSpec"]

# The target load contains jobs of up to 140 tasks.
MAX_TASKS = 140


class TaskSpec(msgspec.Struct, array_like=True, gc=False):
    """One task: the body sent to the upstream, and the resources the caller declares.

    :param duration_ms: declared run time; often far from the actual one.
    :param memory_mb: declared memory; 0 for undeclared.
    """

    body: bytes
    duration_ms: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Job(msgspec.Struct, array_like=True, gc=False):
    """A submission: one or more tasks that are answered or fail as a whole.

    A single request is a job of one task with ``request`` set; only such a
    request can be declared idempotent.

    :param submission: team and key, see ``format_submission_name``.
    :param fingerprint: digest of all that a resubmission must repeat.
    :param selector: selects the workers that may run it.
    :param key: specialised key (such as a depot or a kennel) that prefers a worker
        that has served it before; empty for none.
    :param created_ms: creation time of its identifier, wall clock in milliseconds.
    """

    submission: str
    fingerprint: bytes
    service: str
    team: str
    tasks: list[TaskSpec]
    caller: str = ""
    selector: str = ""
    key: str = ""
    idempotent: bool = False
    request: bool = False
    created_ms: int = 0
