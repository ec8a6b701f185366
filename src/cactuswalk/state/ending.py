"""How a job ends: whole, or early with nothing more started."""

from cactuswalk.model import (
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
)
from cactuswalk.state.answers import give_answer
from cactuswalk.state.landing import land, stop_attempt
from cactuswalk.state.ledger import Stage, Tracked, end_task, is_settled
from cactuswalk.state.owner import OwnerState

__all__ = ["after_end", "begin_ending", "refusal_for"]

# Milliseconds after which a caller may well try again when a worker was lost or
# an upstream failed: a lost worker gets nothing more after one second.
RETRY_AFTER_LOSS_MS = 1000


def begin_ending(
    state: OwnerState, tracked: Tracked, refusal: Refusal | None, now: float
) -> None:
    """End a job that can't be answered: start nothing more, stop what runs."""
    if tracked.ending is not None:
        return
    tracked.ending = refusal or Refusal(RefusalCode.CANCELLED, "it was cancelled")
    tracked.settle_by = now + state.timing.settle
    name = tracked.job.submission
    state.scheduler.cancel(name, now)
    for index, task in enumerate(tracked.tasks):
        if task.stage in (Stage.QUEUED, Stage.WITNESSING):
            if task.place is not None:
                land(state, task.place.incarnation, name, index)
                state.scheduler.record_result(
                    name, index, task.place.worker, False, 0, now
                )
            reason = "it was not started"
            end_task(tracked, TaskResult(index, TaskOutcome.NOT_RUN, reason=reason))
        elif task.stage is Stage.SENT:
            for place in (task.place, task.hedge):
                if place is not None:
                    stop_attempt(state, name, index, place, now)
    if is_settled(tracked):
        give_answer(state, tracked, tracked.ending, now)


def after_end(
    state: OwnerState, tracked: Tracked, result: TaskResult, now: float
) -> None:
    """Answer the job if this was its last task, end it early if it failed."""
    if is_settled(tracked):
        refusal = tracked.ending or refusal_for(result)
        give_answer(state, tracked, refusal, now)
        return
    if result.outcome is not TaskOutcome.DONE and tracked.ending is None:
        begin_ending(state, tracked, refusal_for(result), now)


def refusal_for(result: TaskResult) -> Refusal | None:
    """Return the reason that a task's result gives its job for failing."""
    if result.outcome is TaskOutcome.DONE:
        return None
    if result.outcome is TaskOutcome.UNKNOWN:
        return Refusal(
            RefusalCode.WORKER_LOST,
            f"task {result.index}: {result.reason}",
            RETRY_AFTER_LOSS_MS,
        )
    return Refusal(
        RefusalCode.UPSTREAM_FAILED,
        f"task {result.index}: {result.reason}",
        RETRY_AFTER_LOSS_MS,
    )
