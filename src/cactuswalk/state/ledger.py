"""The owner's state of each submission, and how its answer is composed."""

import enum

import msgspec

from cactuswalk.errors import InvariantError
from cactuswalk.messages import Answer
from cactuswalk.model import (
    Job,
    Outcome,
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
    compute_digest,
)

__all__ = [
    "Placement",
    "Stage",
    "Task",
    "TrackedJob",
    "make_answer",
    "count_body_bytes",
    "compose_results",
    "end_task",
    "find_failure",
    "is_superseded_attempt",
    "is_settled",
]

# Attempt numbers of one incarnation of an entry lie within this range, which is far
# more than it sends within P, after which a message is stale. Incarnations start at
# random numbers 40 bits apart, so that an attempt of a restarted entry isn't taken
# for an earlier one.
ATTEMPTS_PER_INCARNATION = 1 << 20
# Longer than a takeover, so that the retry reaches an owner that has the records.
RETRY_AFTER_RECOVERY_MS = 5000


class Stage(enum.Enum):
    """State of a task at the owner."""

    QUEUED = enum.auto()
    WITNESSING = enum.auto()
    SENT = enum.auto()
    ENDED = enum.auto()


class Placement(msgspec.Struct, array_like=True, gc=False):
    """Worker and time at which an attempt was placed.

    :param sent_ping: serial of the last ping sent before the start; a later
        pong that doesn't list the start shows that it is not running there.
    :param witness: incarnation of the witness, empty without one.
    :param unwanted: its result is not needed, and it was asked to stop.
    """

    worker: str
    incarnation: str
    attempt: int
    sent_ping: int
    sent_at: float
    witness: str = ""
    probed_at: float = 0.0
    unwanted: bool = False


class Task(msgspec.Struct, array_like=True, gc=False):
    """One task of a tracked submission.

    :param hedge: a second attempt in parallel to ``placement``, for idempotent
        requests only; the first answer wins.
    """

    stage: Stage = Stage.QUEUED
    placement: Placement | None = None
    hedge: Placement | None = None
    result: TaskResult | None = None


class TrackedJob(msgspec.Struct, array_like=True, gc=False):
    """A submission that this owner answers.

    :param waiters: latest attempt of each waiting entry, by its address.
    :param abort_reason: why the job ends before all tasks are done, if it does.
    :param settle_by: when an aborted job is answered with what is known by then.
    """

    job: Job
    deadline: float
    tasks: list[Task]
    tracked_at: float
    waiters: dict[str, int] = {}
    abort_reason: Refusal | None = None
    settle_by: float = 0.0
    answer: Answer | None = None


def end_task(tracked: TrackedJob, result: TaskResult) -> bool:
    """Store a task's result; tell whether it was the first.

    The first result is kept: a late or repeated one changes nothing.
    """
    task = tracked.tasks[result.index]
    if task.stage is Stage.ENDED:
        return False
    task.stage = Stage.ENDED
    task.result = result
    return True


def count_body_bytes(answer: Answer) -> int:
    """Return the total size in bytes of an answer's bodies."""
    return sum(len(result.body) for result in answer.results)


def is_settled(tracked: TrackedJob) -> bool:
    """Tell whether the outcome of every task is known."""
    return all(task.stage is Stage.ENDED for task in tracked.tasks)


def compose_results(
    tracked: TrackedJob, confirmed: bool
) -> tuple[Outcome, list[TaskResult]]:
    """Return the outcome of a submission and all its results, in order.

    A task that was sent and has no result counts as unknown: a time-out doesn't
    show that it did not run.

    :param confirmed: no other owner can be serving. If one can, it may run a task
        that this owner has not started, for a caller that resubmitted it.
    """
    results = [_current_result(index, task) for index, task in enumerate(tracked.tasks)]
    if not confirmed:
        results = [_downgrade_not_run(result) for result in results]
    outcomes = {result.outcome for result in results}
    if outcomes == {TaskOutcome.DONE}:
        return Outcome.ANSWERED, results
    if outcomes == {TaskOutcome.NOT_RUN}:
        return Outcome.NOT_RUN, results
    if outcomes & {TaskOutcome.DONE, TaskOutcome.FAILED}:
        return Outcome.FAILED, results
    return Outcome.UNKNOWN, results


def _current_result(index: int, task: Task) -> TaskResult:
    if task.result is not None:
        return task.result
    if task.stage is Stage.QUEUED:
        return TaskResult(index, TaskOutcome.NOT_RUN, reason="it was not started")
    return TaskResult(
        index, TaskOutcome.UNKNOWN, reason="it was sent to a worker and not settled"
    )


def _downgrade_not_run(result: TaskResult) -> TaskResult:
    if result.outcome is not TaskOutcome.NOT_RUN:
        return result
    reason = "its owner lost the cell, and another owner may have started it"
    return TaskResult(result.index, TaskOutcome.UNKNOWN, reason=reason)


def make_answer(
    tracked: TrackedJob, refusal: Refusal | None, confirmed: bool
) -> Answer:
    """Return the final answer, its attempt left to be set for each waiter.

    :raises InvariantError: if the answer would be partial, or would report "not
        run" for a submission with a task that was sent and has no result.
    """
    outcome, results = compose_results(tracked, confirmed)
    _assert_complete(tracked, outcome, results)
    # The results of a failed job give each task's outcome but no bodies: a partial
    # answer that looks usable is worse than none.
    if outcome is not Outcome.ANSWERED:
        results = [_without_body(result) for result in results]
    parts = [result.digest for result in results]
    return Answer(
        tracked.job.submission,
        0,
        tracked.job.fingerprint,
        outcome,
        results,
        None if outcome is Outcome.ANSWERED else refusal,
        compute_digest(tracked.job.fingerprint, *parts),
    )


def _without_body(result: TaskResult) -> TaskResult:
    return TaskResult(result.index, result.outcome, result.status, reason=result.reason)


def _assert_complete(
    tracked: TrackedJob, outcome: Outcome, results: list[TaskResult]
) -> None:
    name = tracked.job.submission
    in_order = [result.index for result in results] == list(range(len(tracked.tasks)))
    done = all(result.outcome is TaskOutcome.DONE for result in results)
    if not in_order or (outcome is Outcome.ANSWERED) != done:
        raise InvariantError(
            f"the answer to {name} would be partial",
            "Report this with the owner's log; no answer was sent.",
        )
    sent = any(task.stage in (Stage.SENT, Stage.WITNESSING) for task in tracked.tasks)
    if outcome is Outcome.NOT_RUN and sent:
        raise InvariantError(
            f"{name} would be answered as not run while one of its tasks may run",
            "Report this with the owner's log; no answer was sent.",
        )


def find_failure(tracked: TrackedJob) -> Refusal | None:
    """Return the refusal caused by the first failed task, None if none failed."""
    for task in tracked.tasks:
        if task.result is None or task.result.outcome is TaskOutcome.DONE:
            continue
        return Refusal(
            RefusalCode.RECORDS_LOST
            if task.result.outcome is TaskOutcome.UNKNOWN
            else RefusalCode.UPSTREAM_FAILED,
            f"task {task.result.index}: {task.result.reason}",
            RETRY_AFTER_RECOVERY_MS,
        )
    return None


def is_superseded_attempt(tracked: TrackedJob, sender: str, attempt: int) -> bool:
    """Tell whether an entry's attempt is no later than its latest known one.

    Messages may be reordered. An earlier attempt that arrives after a later one was
    refused would start tasks whose caller has been told that they won't run.
    """
    last = tracked.waiters.get(sender)
    return last is not None and 0 <= last - attempt < ATTEMPTS_PER_INCARNATION
