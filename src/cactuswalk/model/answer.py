"""Outcomes of tasks and jobs, and the reasons for refusals."""

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
    """Outcome of a request or a job, as reported to the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class TaskOutcome(enum.StrEnum):
    """Outcome of one task of a job."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskState(enum.StrEnum):
    """State of a task in an agent's record.

    ``DECLINED`` is a tombstone: that attempt will never start at this agent.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    DECLINED = "declined"


class RefusalCode(enum.StrEnum):
    """Reason for a refusal; the values are stable, since callers act on them."""

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
    """Why a caller gets no answer, and when to try again.

    :param code: the stable reason.
    :param message: a sentence with the values that led to the refusal.
    :param retry_after_ms: time after which a retry can succeed; None for never.
    """

    code: RefusalCode
    message: str
    retry_after_ms: int | None = None


class TaskResult(msgspec.Struct, array_like=True, gc=False):
    """The outcome of one task, with the upstream's response body if it is done.

    :param index: the task's position in its job, from 0.
    :param status: of the upstream's response; 0 if there was none or it is ignored.
    :param digest: of the body, computed on the upstream's host; a body that doesn't
        match it was truncated or mixed up and is never delivered.
    """

    index: int
    outcome: TaskOutcome
    status: int = 0
    body: bytes = b""
    digest: bytes = b""
    reason: str = ""

    @property
    def is_stopped_by_guard(self) -> bool:
        """Return whether the worker's guard stopped the task, which then has no status.

        Such a failure must not count against the worker: callers whose tasks exceed
        their declarations would otherwise get one healthy worker after another
        ejected.
        """
        return self.outcome is TaskOutcome.FAILED and not self.status
