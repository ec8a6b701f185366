"""Results, declines and losses of in-flight attempts, handled by the owner."""

import msgspec

from cactuswalk.decisions.scheduler import QueuedTask
from cactuswalk.messages import (
    Declined,
    Record,
    Result,
    Running,
)
from cactuswalk.model import (
    TaskOutcome,
    TaskResult,
    TaskState,
)
from cactuswalk.state import attempts
from cactuswalk.state.answers import give_answer
from cactuswalk.state.ending import handle_task_end
from cactuswalk.state.landing import (
    matches_attempt,
    remove_placement,
    stop_attempt,
    withdraw,
)
from cactuswalk.state.ledger import Stage, TrackedJob, end_task, is_settled
from cactuswalk.state.owner import OwnerState, Peer
from cactuswalk.state.retention import choose_newer

__all__ = ["abandon_flights", "on_declined", "on_result", "on_running"]


def on_result(state: OwnerState, sender: str, message: Result, now: float) -> None:
    """Record the result of a task that ended at an agent."""
    place = (message.submission, message.index)
    flight = remove_placement(state, message.incarnation, *place, message.attempt)
    if flight is not None:
        state.scheduler.record_result(
            *place,
            flight.worker,
            message.result.outcome is TaskOutcome.DONE,
            message.elapsed_ms,
            now,
            message.result.is_stopped_by_guard,
        )
    _update_recovered(state, message, now)
    tracked = state.ledger.get(message.submission)
    if tracked is None or tracked.answer is not None:
        state.count("result.late")
        return
    _record_end(
        state, tracked, message.incarnation, message.attempt, message.result, now
    )


def _record_end(
    state: OwnerState,
    tracked: TrackedJob,
    incarnation: str,
    attempt: int,
    result: TaskResult,
    now: float,
) -> None:
    """Record the end of an attempt; it ends the task unless another may answer it."""
    task = tracked.tasks[result.index]
    if not attempts.is_current(task, incarnation, attempt):
        # The result of an earlier attempt must not count for the current one.
        state.count("result.stale")
        return
    if result.outcome is not TaskOutcome.DONE:
        if attempts.fall_back_to_other(task, incarnation, attempt):
            return
        if attempts.requeue_request(state, tracked, result, now):
            return
    other = attempts.find_other_attempt(task, attempt)
    if end_task(tracked, result):
        if other is not None:
            stop_attempt(state, tracked.job.submission, result.index, other, now)
        handle_task_end(state, tracked, result, now)


def on_declined(state: OwnerState, sender: str, message: Declined, now: float) -> None:
    """Handle an agent's statement that an attempt has not started and never will."""
    if message.epoch > state.record.epoch:
        state.deposed = True
        return
    place = (message.submission, message.index)
    peer = state.peers.get(message.incarnation)
    flight = peer.placements.get(place) if peer is not None else None
    if flight is None or flight.attempt != message.attempt:
        # Only the incarnation of the agent that was sent the attempt can decline
        # it: a restarted agent does not know what ran before.
        state.count("decline.stale")
        return
    del peer.placements[place]
    state.count("start.declined")
    _decline_recovered(state, message, now)
    tracked = state.ledger.get(message.submission)
    open_task = tracked is not None and tracked.answer is None
    lives = (message.incarnation, message.attempt)
    if (
        not open_task
        or not attempts.is_current(tracked.tasks[message.index], *lives)
        or attempts.fall_back_to_other(tracked.tasks[message.index], *lives)
    ):
        state.scheduler.record_result(*place, flight.worker, False, 0, now)
        return
    if tracked.abort_reason is not None:
        state.scheduler.record_result(*place, flight.worker, False, 0, now)
        result = TaskResult(
            message.index, TaskOutcome.NOT_RUN, reason="it was not started"
        )
        if end_task(tracked, result) and is_settled(tracked):
            give_answer(state, tracked, tracked.abort_reason, now)
        return
    task = tracked.tasks[message.index]
    task.stage, task.placement = Stage.QUEUED, None
    queued = QueuedTask(tracked.job, message.index, now, tracked.deadline)
    state.scheduler.requeue(queued, flight.worker, now)


def on_running(state: OwnerState, sender: str, message: Running, now: float) -> None:
    """Count a probed attempt that is still running; its result follows."""
    state.count("probe.running")


def abandon_flights(state: OwnerState, peer: Peer, reason: str, now: float) -> None:
    """End the attempts placed at a lost member, which nobody can report on."""
    for submission, index in list(peer.placements):
        flight = peer.placements.pop((submission, index))
        state.scheduler.record_result(submission, index, flight.worker, False, 0, now)
        tracked = state.ledger.get(submission)
        if tracked is None or tracked.answer is not None:
            continue
        task = tracked.tasks[index]
        waits = task.stage is Stage.WITNESSING
        if waits and matches_attempt(
            task.placement, peer.member.incarnation, flight.attempt
        ):
            withdraw(state, tracked, index, now)
            continue
        result = TaskResult(index, TaskOutcome.UNKNOWN, reason=reason)
        lives = (peer.member.incarnation, flight.attempt)
        _record_end(state, tracked, *lives, result, now)


def _update_recovered(state: OwnerState, message: Result, now: float) -> None:
    """Update a recovered record, for a later resubmission."""
    record = state.recovered.get(message.submission, message.index)
    if record is None or record.attempt != message.attempt:
        return
    done = message.result.outcome is TaskOutcome.DONE
    ended = Record(
        record.submission,
        record.index,
        record.total,
        record.fingerprint,
        record.attempt,
        TaskState.DONE if done else TaskState.FAILED,
        record.worker,
        record.incarnation,
        message.result,
    )
    state.recovered.put(choose_newer(record, ended), now)


def _decline_recovered(state: OwnerState, message: Declined, now: float) -> None:
    """Mark a recovered record of an attempt that never started as declined.

    A witness keeps a record of a start that its owner may not have sent. Otherwise
    a resubmission would get "unknown" for a task that did not run.
    """
    record = state.recovered.get(message.submission, message.index)
    if record is not None and record.attempt == message.attempt:
        declined = msgspec.structs.replace(record, state=TaskState.DECLINED)
        state.recovered.put(declined, now)
