"""How a job ends: with all its tasks, or early without starting the others."""

from cactuswalk.model import (
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
)
from cactuswalk.state.answers import give_answer
from cactuswalk.state.landing import remove_placement, stop_attempt
from cactuswalk.state.ledger import Stage, TrackedJob, end_task, is_settled
from cactuswalk.state.owner import OwnerState

__all__ = ["handle_task_end", "abort_job", "refusal_for"]

# Retry hint for callers after a lost worker or a failed upstream. A lost worker gets
# no work after one second.
RETRY_AFTER_LOSS_MS = 1000


def abort_job(
    state: OwnerState, tracked: TrackedJob, refusal: Refusal | None, now: float
) -> None:
    """Abort a job: end its unstarted tasks as not run and stop those that run."""
    if tracked.abort_reason is not None:
        return
    tracked.abort_reason = refusal or Refusal(RefusalCode.CANCELLED, "it was cancelled")
    tracked.settle_by = now + state.timing.settle
    name = tracked.job.submission
    state.scheduler.cancel(name, now)
    for index, task in enumerate(tracked.tasks):
        if task.stage in (Stage.QUEUED, Stage.WITNESSING):
            if task.placement is not None:
                remove_placement(state, task.placement.incarnation, name, index)
                state.scheduler.record_result(
                    name, index, task.placement.worker, False, 0, now
                )
            reason = "it was not started"
            end_task(tracked, TaskResult(index, TaskOutcome.NOT_RUN, reason=reason))
        elif task.stage is Stage.SENT:
            for place in (task.placement, task.hedge):
                if place is not None:
                    stop_attempt(state, name, index, place, now)
    if is_settled(tracked):
        give_answer(state, tracked, tracked.abort_reason, now)


def handle_task_end(
    state: OwnerState, tracked: TrackedJob, result: TaskResult, now: float
) -> None:
    """Answer the job after its last task, or abort it after a failed one."""
    if is_settled(tracked):
        refusal = tracked.abort_reason or refusal_for(result)
        give_answer(state, tracked, refusal, now)
        return
    if result.outcome is not TaskOutcome.DONE and tracked.abort_reason is None:
        abort_job(state, tracked, refusal_for(result), now)


def refusal_for(result: TaskResult) -> Refusal | None:
    """Return the refusal that a task's result causes for its job, None if done."""
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
