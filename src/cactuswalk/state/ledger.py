"""What an owner keeps of each submission, and how its answer is put together."""

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
    "Place",
    "Stage",
    "Task",
    "Tracked",
    "answer_of",
    "body_bytes_of",
    "compose",
    "end_task",
    "first_failed",
    "is_past_try",
    "is_settled",
]

# Attempts of one life of an entry lie within this: far more than it sends within P,
# after which a message is stale. Lives begin at random, 40 bits apart, so that a
# restarted entry's try is not taken for an earlier one.
ATTEMPTS_OF_A_LIFE = 1 << 20
# Longer than a takeover, so that the next try finds an owner that knows.
RETRY_AFTER_RECOVERY_MS = 5000


class Stage(enum.Enum):
    """Where a task stands at the owner."""

    QUEUED = enum.auto()
    WITNESSING = enum.auto()
    SENT = enum.auto()
    ENDED = enum.auto()


class Place(msgspec.Struct, array_like=True, gc=False):
    """Where and when an attempt was placed.

    :param sent_ping: serial of the last ping sent before the start; a later
        pong that doesn't list the start shows that it is not running there.
    :param witness: incarnation of the witness, empty without one.
    :param unwanted: its end is no use to anybody, and it was asked to stop.
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

    :param hedge: a second attempt that runs beside ``place``, of an idempotent
        request only; the first answer stands.
    """

    stage: Stage = Stage.QUEUED
    place: Place | None = None
    hedge: Place | None = None
    result: TaskResult | None = None


class Tracked(msgspec.Struct, array_like=True, gc=False):
    """A submission that this owner answers.

    :param waiters: attempt of each entry that waits, by its address.
    :param ending: why the job ends before all tasks are done, if it does.
    :param settle_by: when an ending job is answered with what is known.
    """

    job: Job
    deadline: float
    tasks: list[Task]
    tracked_at: float
    waiters: dict[str, int] = {}
    ending: Refusal | None = None
    settle_by: float = 0.0
    answer: Answer | None = None


def end_task(tracked: Tracked, result: TaskResult) -> bool:
    """Take a task's result; tell whether it was news.

    The first result stands: a late or repeated one changes nothing.
    """
    task = tracked.tasks[result.index]
    if task.stage is Stage.ENDED:
        return False
    task.stage = Stage.ENDED
    task.result = result
    return True


def body_bytes_of(answer: Answer) -> int:
    """Return how many bytes the bodies of an answer take."""
    return sum(len(result.body) for result in answer.results)


def is_settled(tracked: Tracked) -> bool:
    """Tell whether the outcome of every task is known."""
    return all(task.stage is Stage.ENDED for task in tracked.tasks)


def compose(tracked: Tracked, confirmed: bool) -> tuple[Outcome, list[TaskResult]]:
    """Return the outcome of a submission and its results, whole and in order.

    A task that was sent and is not settled counts as unknown: a time-out is no
    evidence that it did not run.

    :param confirmed: no other owner can be serving. If one can, a task that
        this owner has not started may run there, for a caller who came again.
    """
    results = [_result_now(index, task) for index, task in enumerate(tracked.tasks)]
    if not confirmed:
        results = [_doubted(result) for result in results]
    outcomes = {result.outcome for result in results}
    if outcomes == {TaskOutcome.DONE}:
        return Outcome.ANSWERED, results
    if outcomes == {TaskOutcome.NOT_RUN}:
        return Outcome.NOT_RUN, results
    if outcomes & {TaskOutcome.DONE, TaskOutcome.FAILED}:
        return Outcome.FAILED, results
    return Outcome.UNKNOWN, results


def _result_now(index: int, task: Task) -> TaskResult:
    if task.result is not None:
        return task.result
    if task.stage is Stage.QUEUED:
        return TaskResult(index, TaskOutcome.NOT_RUN, reason="it was not started")
    return TaskResult(
        index, TaskOutcome.UNKNOWN, reason="it was sent to a worker and not settled"
    )


def _doubted(result: TaskResult) -> TaskResult:
    if result.outcome is not TaskOutcome.NOT_RUN:
        return result
    reason = "its owner lost its cell, and another may have started it"
    return TaskResult(result.index, TaskOutcome.UNKNOWN, reason=reason)


def answer_of(tracked: Tracked, refusal: Refusal | None, confirmed: bool) -> Answer:
    """Return the final answer, its attempt left to be set for each waiter.

    :raises InvariantError: if the answer would be partial, or would say "not
        run" of a submission of which a task was sent and not settled.
    """
    outcome, results = compose(tracked, confirmed)
    _assert_whole(tracked, outcome, results)
    # A failed job's results say what became of each task, but no bodies: a
    # partial answer that looks usable is worse than none.
    if outcome is not Outcome.ANSWERED:
        results = [_without_answer(result) for result in results]
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


def _without_answer(result: TaskResult) -> TaskResult:
    return TaskResult(result.index, result.outcome, result.status, reason=result.reason)


def _assert_whole(
    tracked: Tracked, outcome: Outcome, results: list[TaskResult]
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
            f"{name} would be told not run while a task of it may run",
            "Report this with the owner's log; no answer was sent.",
        )


def first_failed(tracked: Tracked) -> Refusal | None:
    """Return why the job fails because of a task that failed, None if none did."""
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


def is_past_try(tracked: Tracked, sender: str, attempt: int) -> bool:
    """Tell whether a try of an entry is no later than the last that came from it.

    Messages overtake each other. An earlier one that came after a later was refused
    would start what its caller has been told will not run.
    """
    last = tracked.waiters.get(sender)
    return last is not None and 0 <= last - attempt < ATTEMPTS_OF_A_LIFE
