"""Handling of the worker's announcements and of its answers to polls."""

from cactuswalk.dispatch.agentcalls import raise_token, request_stop
from cactuswalk.dispatch.agentevents import (
    Announced,
    PollAnswered,
    PollFailed,
    RunEnd,
)
from cactuswalk.dispatch.agentgone import (
    drop_worker,
    presume_gone,
    record_reachable,
)
from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentincarnations import (
    adopt_worker,
    announce_worker,
    end_unstarted,
    follow_announced,
    follow_unannounced,
)
from cactuswalk.dispatch.agentleases import has_lapsed
from cactuswalk.dispatch.agentleaving import record_draining, stop_unfinishable_runs
from cactuswalk.dispatch.agentprogress import record_progress, stop_runs_if_slow
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import worker_lapse_seconds
from cactuswalk.dispatch.effects import (
    PollWorker,
    StopTask,
)
from cactuswalk.dispatch.incarnations import is_later
from cactuswalk.dispatch.job import Worker
from cactuswalk.dispatch.messages import TaskEnd

__all__ = [
    "handle_heartbeat",
    "handle_poll_answer",
    "handle_poll_failure",
]

# Delay after a failed poll, so that a worker that refuses calls isn't polled in a
# tight loop. Ends that occur meanwhile are noticed that much later.
POLL_RETRY_SECONDS = 0.01

# A worker that answers no poll for this long, three polls, is given no new tasks.
UNREACHABLE_SECONDS = 0.3


def handle_heartbeat(state: AgentState, event: Announced, now: float) -> None:
    """Handle a heartbeat of the worker."""
    worker = event.worker
    if state.is_current(worker.identifier):
        _handle_current_heartbeat(state, worker, now)
        return
    is_outdated = state.incarnations.is_outdated(worker.identifier)
    if is_outdated and state.worker is not None:
        # The polls of the current one show whether this one runs in its place.
        state.say("ignored an earlier incarnation", worker=worker.identifier)
        return
    if state.worker is None and not is_outdated:
        adopt_worker(state, worker, now)
        return
    if not is_outdated and is_later(worker.identifier, state.worker.identifier):
        follow_announced(state, worker, now)
        return
    # This may be a delayed heartbeat of an earlier incarnation, which must not end the
    # runs of the current one: the other incarnation has to answer a poll first, which
    # renews no lease, since what runs there, and for which entry, isn't known.
    state.candidate, state.candidate_at = worker, now
    state.effects.append(PollWorker(worker.identifier, state.token, 0, 0, 0.0))


def _handle_current_heartbeat(state: AgentState, worker: Worker, now: float) -> None:
    known = state.worker
    if not state.is_announced:
        announce_worker(state, worker, now)
        state.mark_entries_dirty()
        return
    if worker.sequence < known.sequence:
        state.say("ignored an outdated heartbeat", sequence=worker.sequence)
        return
    state.worker = worker
    state.may_have_departed = False
    state.bounds.clear()
    if worker.draining:
        record_draining(state, known.draining, now)
    state.announced_at = now
    state.mark_entries_dirty()


def handle_poll_answer(state: AgentState, event: PollAnswered, now: float) -> None:
    """Apply the worker's answer to a poll."""
    if state.candidate is not None and state.candidate.identifier == event.worker:
        # An older poll's answer, which was held up, may be of an earlier incarnation.
        if event.sent_at >= state.candidate_at:
            adopt_worker(state, state.candidate, now)
        return
    if not state.is_current(event.worker):
        return
    token = _token_of(state, event)
    _clear_pending_poll(state, event)
    state.answered_at = now
    state.acknowledged_end = max(state.acknowledged_end, event.acknowledged)
    _apply_ended(state, event, now)
    unknown_runs = _apply_running(state, event, token, now)
    # What is held before it is ready may be run by this incarnation, though it was
    # started for the one before.
    ready = state.ready_to_start or not (unknown_runs or state.held)
    was_reachable = state.reachable
    reachable = record_reachable(state, now)
    if reachable != was_reachable or ready != state.ready_to_start:
        state.ready_to_start = ready
        state.mark_entries_dirty()
    if state.is_open(now):
        state.reach_phase("first open worker", now)


def _apply_ended(state: AgentState, event: PollAnswered, now: float) -> None:
    known = state.highest_end
    found = [(row, state.index.find(row.key, row.run)) for row in event.ended]
    for row, held in found:
        state.highest_end = max(state.highest_end, row.number)
        if held is not None and held.handle in state.held:
            _finish_run(state, held, row.end, now)
        elif held is None and row.key is not None and row.number > known:
            state.say(
                "a run of an earlier incarnation has ended",
                job=row.key.job,
                run=row.run,
                end=row.end.value,
            )


def _apply_running(
    state: AgentState, event: PollAnswered, token: int, now: float
) -> int:
    """Apply the list of running runs; return how many of them are unknown.

    :param token: fencing token of the poll.
    """
    running = {(row.key, row.run): row for row in event.running}
    for held in list(state.held.values()):
        row = running.pop((held.start.key, held.run), None)
        if row is not None:
            held.is_listed, held.previous_end = True, None
            record_progress(state, held, row.percent, now)
        elif _can_never_start(held, token, event.sent_at):
            _log_cancellation(state, held, "a poll doesn't list it", now)
            end_unstarted(state, held, now)
        elif has_lapsed(state, held, event.sent_at):
            state.end(held, TaskEnd.LOST, 0, "its lease has passed", now)
        elif _is_unconfirmed(held) and event.sent_at >= held.called_at:
            _cancel_start(state, held, "a poll doesn't list it", now)
    for row in running.values():
        _stop_unknown_run(state, row.key, row.run)
    stop_runs_if_slow(state, now)
    stop_unfinishable_runs(state, now)
    return len(running)


def _can_never_start(held: HeldTask, token: int, polled_at: float) -> bool:
    """Return whether a run that a poll doesn't list has not started and never will.

    This holds if the poll had a higher token than the start: the worker refuses the
    start if it arrives later. A confirmed stop is no such proof, since a faulty worker
    may start the task all the same; it would run here beside its next run.

    :param token: fencing token of the poll.
    """
    in_doubt = held.state in (HeldState.STOPPING, HeldState.UNCONFIRMED)
    return in_doubt and held.token < token and polled_at >= held.fenced_at


def _token_of(state: AgentState, event: PollAnswered | PollFailed) -> int:
    """Return the fencing token that a poll had."""
    return state.check_token if event.is_check else state.poll_token


def _stop_unknown_run(state: AgentState, key, run: int) -> None:
    """Stop a run of an earlier incarnation of this agent: no entry waits for it."""
    if key is None:
        return
    state.say("stops a run of an earlier incarnation", job=key.job, run=run)
    state.runs[key] = max(run, state.runs.get(key, 0))
    state.effects.append(StopTask(state.worker.identifier, 0, key, run, state.token))


def _finish_run(state: AgentState, held: HeldTask, end: RunEnd, now: float) -> None:
    ran_ms = max(0.0, now - held.since) * 1000
    if end is RunEnd.DONE:
        state.health.record_success(held.start.estimate_ms, ran_ms, held.since)
        state.usual_pace.record(held.start.estimate_ms, ran_ms)
        state.end(held, TaskEnd.DONE, int(ran_ms), "", now)
    elif end is RunEnd.FAILED:
        if state.health.record_failure(held.start.key.job, now):
            state.say("put the worker on trial", reason="its tasks keep failing")
        state.end(held, TaskEnd.FAILED, int(ran_ms), "", now)
    elif end is RunEnd.STOPPED and held.state is HeldState.STOPPING:
        state.end(held, TaskEnd.STOPPED, int(ran_ms), held.reason, now)
    else:
        state.end(held, TaskEnd.LOST, int(ran_ms), end.value, now)


def _clear_pending_poll(state: AgentState, event: PollAnswered | PollFailed) -> None:
    if event.is_check:
        state.check_pending = False
    else:
        state.poll_pending = False


def _is_unconfirmed(held: HeldTask) -> bool:
    """Return whether a start is unconfirmed and no call on it is pending."""
    return held.state is HeldState.UNCONFIRMED and not held.call_pending


def _cancel_start(state: AgentState, held: HeldTask, reason: str, now: float) -> None:
    """Have the worker stop an unanswered start."""
    _log_cancellation(state, held, reason, now)
    request_stop(state, held, now)


def _log_cancellation(
    state: AgentState, held: HeldTask, reason: str, now: float
) -> None:
    if held.state is not HeldState.UNCONFIRMED:
        return
    state.say(
        "cancels an unanswered start",
        **held.log_fields(),
        reason=reason,
        waited=round(now - held.since, 3),
    )


def handle_poll_failure(state: AgentState, event: PollFailed, now: float) -> None:
    """Handle a poll that failed or had no answer."""
    if state.candidate is not None and state.candidate.identifier == event.worker:
        state.say("another incarnation does not answer", worker=event.worker)
        state.candidate = None
        return
    if not state.is_current(event.worker):
        return
    if _runs_instead(state, event):
        follow_unannounced(state, event.answered_by, now)
        return
    token = _token_of(state, event)
    _clear_pending_poll(state, event)
    if event.gone:
        drop_worker(state, "another incarnation has answered a poll", now)
        return
    if event.fenced:
        if token == state.token:
            raise_token(state)
        return
    if event.refused:
        presume_gone(state, "its address refuses connections", now)
    _record_unanswered_poll(state, event, now)


def _runs_instead(state: AgentState, event: PollFailed) -> bool:
    """Return whether another incarnation has answered that runs in place of this one.

    A poll that was sent after the current one was adopted reaches it or a later one. If
    that gives an earlier start, its host's time of day was set back.
    """
    if not event.answered_by:
        return False
    return is_later(event.answered_by, event.worker) or event.sent_at > state.adopted_at


def _record_unanswered_poll(state: AgentState, event: PollFailed, now: float) -> None:
    state.unanswered_poll_at = now
    if event.is_check:
        for held in list(state.held.values()):
            if _is_unconfirmed(held):
                _cancel_start(state, held, "the poll had no answer either", now)
    else:
        # A short delay, so that one lost call doesn't hide ends for long.
        state.poll_not_before = now + POLL_RETRY_SECONDS
    if now - state.answered_at < UNREACHABLE_SECONDS:
        return
    if state.reachable:
        state.reachable = False
        state.say("the worker does not answer", worker=state.worker.identifier)
        state.mark_entries_dirty()
    for held in state.held.values():
        held.expires_at = held.expires_at or now + worker_lapse_seconds()
