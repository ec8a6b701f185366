"""Outcomes of tasks and jobs, and the refusals that tell a caller the truth."""

import enum

import msgspec

__all__ = [
    "Outcome",
    "Refusal",
    "RefusalCode",
    "TaskOutcome",
    "TaskResult",
    "TaskState",
]


class Outcome(enum.StrEnum):
    """What became of a request or a job, as the caller is told."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class TaskOutcome(enum.StrEnum):
    """What became of one task of a job."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskState(enum.StrEnum):
    """Where a task stands in an agent's record of it.

    ``DECLINED`` is a tombstone: that attempt will never start at this agent.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    DECLINED = "declined"


class RefusalCode(enum.StrEnum):
    """Why something was refused; stable, since callers act on it."""

    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NEVER_FITS = "never_fits"
    NO_WORKER_NOW = "no_worker_now"
    UNKNOWN_SERVICE = "unknown_service"
    KEY_REUSED = "key_reused"
    TOO_OLD = "too_old_to_know"
    CANCELLED = "cancelled"
    NO_OWNER = "no_owner"
    STOPPING = "stopping"
    WORKER_LOST = "worker_lost"
    UPSTREAM_FAILED = "upstream_failed"
    TIMED_OUT = "timed_out"
    RECORDS_LOST = "records_lost"
    NOT_FOUND = "not_found"


class Refusal(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Why a caller gets no answer, and when to come back.

    :param code: the stable reason.
    :param message: a sentence with the values that led to it.
    :param retry_after_ms: when asking again is worth while; None for never.
    """

    code: RefusalCode
    message: str
    retry_after_ms: int | None = None


class TaskResult(msgspec.Struct, array_like=True, gc=False):
    """The outcome of one task, with the upstream's body where it is done.

    :param index: the task's place in its job, from 0.
    :param status: of the upstream; 0 where it gave none, or does not count.
    :param digest: of the body, taken beside the upstream; a body that no
        longer matches it was cut short or mixed up and is never delivered.
    """

    index: int
    outcome: TaskOutcome
    status: int = 0
    body: bytes = b""
    digest: bytes = b""
    reason: str = ""

    @property
    def guarded(self) -> bool:
        """Return whether its worker's guard stopped it: failed without a status.

        Callers whose tasks outgrow their declarations would else get one sound
        worker after the other ejected.
        """
        return self.outcome is TaskOutcome.FAILED and not self.status
