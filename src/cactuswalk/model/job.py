"""Jobs and their tasks, as an entry has checked and admitted them."""

import msgspec

__all__ = ["MAXIMUM_TASKS", "Job", "TaskSpec"]

# The brief's target: jobs of up to 140 tasks.
MAXIMUM_TASKS = 140


class TaskSpec(msgspec.Struct, array_like=True, gc=False):
    """One task: what the upstream gets, and what the caller declares of it.

    :param duration_ms: declared run time; often far from the truth.
    :param memory_mb: declared memory; 0 for undeclared.
    """

    body: bytes
    duration_ms: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Job(msgspec.Struct, array_like=True, gc=False):
    """A submission: one or more tasks that are answered together or failed.

    A single request is a job of one task with ``request`` set; only such a
    request can be declared idempotent.

    :param submission: team and key, see ``submission_name``.
    :param fingerprint: digest of all that a resubmission must repeat.
    :param selector: which workers may run it, in the selector grammar.
    :param key: specialised key (a depot, a kennel) that prefers a worker which
        has served it before; empty for none.
    :param born_ms: wall clock of its first submission, from its identifier.
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
    born_ms: int = 0
