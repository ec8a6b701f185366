"""Start and stop calls to the worker, and the handling of their answers."""

import math

from cactuswalk.dispatch.agentevents import (
    StartAnswered,
    StartVerdict,
    StopAnswered,
)
from cactuswalk.dispatch.agentgone import drop_worker, presume_gone
from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentleases import renewal_seconds
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import worker_lapse_seconds
from cactuswalk.dispatch.effects import (
    StartTask,
    StopTask,
)
from cactuswalk.dispatch.messages import TaskEnd

__all__ = [
    "RUN_NUMBER_STEP",
    "handle_start_answer",
    "handle_stop_answer",
    "raise_token",
    "request_start",
    "request_stop",
    "stop_run",
]

# Added to a run's number, or to the token, when the worker has seen a higher one
# from an earlier incarnation of this agent; far above what one incarnation uses.
RUN_NUMBER_STEP = 1_000
TOKEN_STEP = 60_000

# Attempts at a start that the worker refuses as superseded, fenced or late, before
# the agent declines it.
MAX_START_TRIES = 4

# A stop that needs more than one call is logged at these numbers of calls.
LOGGED_STOP_CALLS = frozenset({4, 16, 64, 256})

RETRYABLE_VERDICTS = {
    StartVerdict.SUPERSEDED,
    StartVerdict.FENCED,
    StartVerdict.LATE,
}


def request_start(state: AgentState, held: HeldTask, now: float) -> None:
    """Have the worker start a task under its current run number."""
    held.call_pending = True
    held.tries += 1
    held.token, held.fenced_at = state.token, math.inf
    held.since = now
    state.runs[held.start.key] = held.run
    state.renewed_at = now
    state.effects.append(
        StartTask(
            state.worker.identifier,
            held.handle,
            held.start.key,
            held.run,
            held.start.spec,
            state.token,
            now + renewal_seconds(state, now),
        )
    )


def handle_start_answer(state: AgentState, event: StartAnswered, now: float) -> None:
    """Handle the worker's verdict on a start, or a missing answer."""
    held = state.held.get(event.handle)
    if held is None or not state.is_current(event.worker):
        return
    held.call_pending = False
    if event.verdict is StartVerdict.STARTED:
        state.observe("start_seconds", seconds=now - held.called_at)
        if held.state is HeldState.STARTING:
            held.state = HeldState.RUNNING
            held.since = held.percent_at = now
        elif held.state is HeldState.STOPPING:
            request_stop(state, held, now)
        return
    if event.verdict is StartVerdict.UNKNOWN:
        _mark_unconfirmed(state, held, now)
        return
    if event.verdict is StartVerdict.GONE:
        drop_worker(state, "another incarnation has answered a start", now)
        return
    _start_refused(state, held, event.verdict, now)
    if event.verdict is StartVerdict.UNREACHED:
        # The start that was never sent has been ended: it can't have crashed anything.
        presume_gone(state, "its address refuses connections", now)


def _start_refused(
    state: AgentState, held: HeldTask, verdict: StartVerdict, now: float
) -> None:
    if held.state is HeldState.STOPPING:
        state.end(held, TaskEnd.STOPPED, 0, "never began", now)
        return
    retryable = verdict in RETRYABLE_VERDICTS and state.reachable
    if retryable and held.tries < MAX_START_TRIES:
        if verdict is StartVerdict.SUPERSEDED:
            held.run += RUN_NUMBER_STEP
        if verdict is StartVerdict.FENCED and held.token == state.token:
            raise_token(state)
        state.say(
            "repeats a refused start",
            **held.log_fields(),
            verdict=verdict.value,
            tries=held.tries,
            waited=round(now - held.since, 3),
        )
        request_start(state, held, now)
        return
    state.say(
        "the worker refused a start", job=held.start.key.job, verdict=verdict.value
    )
    if verdict is StartVerdict.NO_ROOM:
        _learn_smaller_capacity(state, held)
    state.end(held, TaskEnd.DECLINED, 0, verdict.value, now)
    if verdict is StartVerdict.UNHEALTHY:
        state.health.record_failure(held.start.key.job, now)


def _learn_smaller_capacity(state: AgentState, held: HeldTask) -> None:
    """Bound the worker's capacity by what it has refused, until its next heartbeat."""
    bounded = state.bounds.learn(state.worker, held.start, state.index)
    state.observe("capacity_refused")
    state.say(
        "the worker has less capacity than it announced",
        worker=state.worker.identifier,
        bounded=bounded,
        announced=getattr(state.worker, bounded),
        bound=getattr(state.bounds, bounded),
        held=len(state.held),
    )


def raise_token(state: AgentState) -> None:
    """Raise the fencing token above the one that the worker has seen."""
    # Tokens come from the time of day, so only an earlier incarnation on this host,
    # before its clock was set back, can have had a higher one.
    state.token += TOKEN_STEP
    state.say("raised the token: the worker has seen a higher one", new=state.token)


def _mark_unconfirmed(state: AgentState, held: HeldTask, now: float) -> None:
    """Resolve a start without an answer: confirm that it runs, or cancel it.

    Perhaps only the answer was lost: if a poll lists the run, it goes on. Otherwise
    the call may still be carried out seconds later. An answered poll with a higher
    token resolves it, since the worker refuses starts with lower tokens from then on;
    without one, the expiry of the lease in the call does. A confirmed stop doesn't: an
    ill worker confirms stops that it doesn't carry out.
    """
    state.observe("start_unanswered")
    state.token += 1
    held.fenced_at = now
    held.expires_at = now + worker_lapse_seconds()
    state.check_requested = True
    if held.state is not HeldState.STARTING:
        request_stop(state, held, now)
        return
    held.state = HeldState.UNCONFIRMED
    held.called_at = now


def stop_run(state: AgentState, held: HeldTask, reason: str, now: float) -> None:
    """Have a run stopped, at once or when the pending call on it is answered."""
    if held.state is HeldState.STOPPING:
        return
    held.state = HeldState.STOPPING
    held.reason = reason
    if not held.call_pending:
        request_stop(state, held, now)


def request_stop(state: AgentState, held: HeldTask, now: float) -> None:
    """Have the worker stop a run, or refuse its start if that arrives later."""
    if state.worker is None:
        return
    held.stop_asked_at = held.stop_asked_at or now
    held.stop_calls += 1
    if held.stop_calls in LOGGED_STOP_CALLS:
        _log_unconfirmed_stop(state, held, now)
    held.call_pending = True
    held.called_at = now
    state.effects.append(
        StopTask(
            state.worker.identifier,
            held.handle,
            held.start.key,
            held.run,
            state.token,
        )
    )


def _log_unconfirmed_stop(state: AgentState, held: HeldTask, now: float) -> None:
    """Log a stop that has taken several calls, while the run may still go on."""
    state.say(
        "a stop is not confirmed",
        **held.log_fields(),
        state=held.state.value,
        reason=held.reason,
        entry=held.entry,
        calls=held.stop_calls,
        waited=round(now - held.stop_asked_at, 3),
        reachable=state.reachable,
        renewed_ago=round(now - state.renewed_at, 3),
    )


def handle_stop_answer(state: AgentState, event: StopAnswered, now: float) -> None:
    """Handle the worker's answer to a stop; a poll will list the run's end."""
    held = state.held.get(event.handle)
    if held is None or not state.is_current(event.worker):
        return
    held.call_pending = False
    if not event.done:
        if not held.expires_at:
            held.expires_at = now + worker_lapse_seconds()
        return
    # Polls sent from now on list the run as ended, or don't list it at all.
    held.expires_at = held.expires_at or now + worker_lapse_seconds()
    held.called_at = now
    state.check_requested |= held.state is HeldState.UNCONFIRMED
    held.state = HeldState.STOPPING
    state.poll_not_before = now
