"""Second attempts at a request that its caller declared idempotent.

Covers retries after a failure or an unknown outcome, and hedged attempts beside
stragglers. Load pattern: a failing upstream. Without the scheduler's budgets for
both, retries would multiply its load just when it has the least capacity.
"""

from collections.abc import Callable

from cactuswalk.decisions.scheduler import QueuedTask
from cactuswalk.model import TaskResult
from cactuswalk.state.ledger import Placement, Stage, Task, TrackedJob
from cactuswalk.state.owner import OwnerState

__all__ = [
    "fall_back_to_other",
    "start_hedges",
    "is_current",
    "find_other_attempt",
    "requeue_request",
]


def is_current(task: Task, incarnation: str, attempt: int) -> bool:
    """Return whether the task waits for an attempt."""
    return any(
        place is not None
        and place.incarnation == incarnation
        and place.attempt == attempt
        for place in (task.placement, task.hedge)
    )


def find_other_attempt(task: Task, attempt: int) -> Placement | None:
    """Return the attempt that runs in parallel to this one, if any."""
    if task.hedge is None:
        return None
    return task.placement if task.hedge.attempt == attempt else task.hedge


def fall_back_to_other(task: Task, incarnation: str, attempt: int) -> bool:
    """Continue with the parallel attempt after the given one has failed.

    :return: False if there is no parallel attempt.
    """
    other = find_other_attempt(task, attempt)
    if other is None:
        return False
    task.placement, task.hedge = other, None
    return True


def requeue_request(
    state: OwnerState, tracked: TrackedJob, result: TaskResult, now: float
) -> bool:
    """Requeue a request that failed or whose outcome is unknown.

    :return: False if it may not run twice, or the retry budget is used up.
    """
    job = tracked.job
    if not (job.request and job.idempotent) or tracked.abort_reason is not None:
        return False
    queued = QueuedTask(job, result.index, now, tracked.deadline)
    if not state.scheduler.may_retry(queued, now):
        return False
    task = tracked.tasks[result.index]
    worker = task.placement.worker
    task.stage, task.placement = Stage.QUEUED, None
    state.count("start.retried")
    state.log(
        "retrying a request",
        submission=job.submission,
        worker=worker,
        reason=result.reason,
    )
    state.scheduler.requeue(queued, "", now)
    return True


def start_hedges(
    state: OwnerState,
    now: float,
    send_start: Callable[[OwnerState, TrackedJob, int, Placement, float], None],
) -> None:
    """Start second attempts of requests that take unusually long.

    Only for services where operators enable it: it shortens the longest waits to a
    third, but wastes three times as many messages as the goal allows
    (docs/design/decisions).
    """
    if not state.hedged_services:
        return
    for assignment in state.scheduler.start_hedges(now, state.hedged_services):
        queued = assignment.task
        tracked = state.ledger.get(queued.job.submission)
        peer = state.find_peer(assignment.worker)
        name = (queued.job.submission, queued.index)
        if (
            tracked is None
            or tracked.answer is not None
            or tracked.abort_reason is not None
        ):
            state.scheduler.record_result(*name, assignment.worker, False, 0, now)
            continue
        place = Placement(
            assignment.worker,
            peer.member.incarnation,
            state.next_attempt(),
            state.ping_serial,
            now,
        )
        tracked.tasks[queued.index].hedge = place
        peer.placements[name] = place
        state.count("start.hedged")
        state.log(
            "started a hedged attempt",
            submission=queued.job.submission,
            worker=assignment.worker,
            reason=assignment.reason,
        )
        send_start(state, tracked, queued.index, place, now)
