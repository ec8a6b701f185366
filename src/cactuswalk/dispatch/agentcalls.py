"""Starts and stops at the worker, and what a call without an answer means."""

from cactuswalk.dispatch.agentevents import (
    StartAnswered,
    StartVerdict,
    StopAnswered,
)
from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import (
    WORKER_LEASE_SECONDS,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.effects import (
    StartTask,
    StopTask,
)
from cactuswalk.dispatch.messages import TaskEnd

__all__ = [
    "RUN_NUMBER_STEP",
    "drop_worker",
    "forget_worker",
    "handle_start_answer",
    "handle_stop_answer",
    "mark_all_lost",
    "raise_token",
    "request_start",
    "request_stop",
    "stop_run",
]

# Added to a run's number, or to the token, when the worker has seen a higher one
# from an earlier life of this agent; far above what one life uses.
RUN_NUMBER_STEP = 1_000
TOKEN_STEP = 60_000

# How many times a start that the worker refuses as superseded, fenced or late is
# tried before it is declined.
MAX_START_TRIES = 4

RETRYABLE_VERDICTS = {
    StartVerdict.SUPERSEDED,
    StartVerdict.FENCED,
    StartVerdict.LATE,
}


def request_start(state: AgentState, held: HeldTask, now: float) -> None:
    """Have the worker start a task under its present run number."""
    held.call_pending = True
    held.tries += 1
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
            WORKER_LEASE_SECONDS,
        )
    )


def handle_start_answer(state: AgentState, event: StartAnswered, now: float) -> None:
    """Take the worker's word on a start, or that there was none."""
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
        drop_worker(state, "the worker's address answers for it no more", now)
        return
    _start_refused(state, held, event.verdict, now)


def _start_refused(
    state: AgentState, held: HeldTask, verdict: StartVerdict, now: float
) -> None:
    if held.state is HeldState.STOPPING:
        state.end(held, TaskEnd.STOPPED, 0, "never began", now)
        return
    if verdict in RETRYABLE_VERDICTS and held.tries < MAX_START_TRIES:
        if verdict is StartVerdict.SUPERSEDED:
            held.run += RUN_NUMBER_STEP
        if verdict is StartVerdict.FENCED:
            raise_token(state)
        request_start(state, held, now)
        return
    state.say(
        "the worker refuses a start", job=held.start.key.job, verdict=verdict.value
    )
    state.end(held, TaskEnd.DECLINED, 0, verdict.value, now)
    if verdict is StartVerdict.UNHEALTHY:
        state.health.record_failure(held.start.key.job, now)


def raise_token(state: AgentState) -> None:
    """Take a higher token than the worker has seen."""
    # Only an earlier life on this host can have had a higher one: a host's
    # clock that was set back shows in this way.
    state.token += TOKEN_STEP
    state.say("raises its token: the worker has seen a higher one", new=state.token)


def _mark_unconfirmed(state: AgentState, held: HeldTask, now: float) -> None:
    """Settle a start without an answer: see that it runs, or forbid it.

    Its answer alone may have been lost: where a look shows that it runs, it runs on.
    Where none does, the call may yet be carried out, seconds later. The worker
    refuses a run that was stopped before it came, so a confirmed stop settles it;
    without one the lease in the call does.
    """
    state.observe("start_unanswered")
    held.expires_at = now + worker_lapse_seconds()
    if held.state is not HeldState.STARTING:
        request_stop(state, held, now)
        return
    held.state = HeldState.UNCONFIRMED
    held.called_at = now
    state.check_requested = True


def stop_run(state: AgentState, held: HeldTask, reason: str, now: float) -> None:
    """Have a start stopped, at once or when its call is answered."""
    if held.state is HeldState.STOPPING:
        return
    held.state = HeldState.STOPPING
    held.reason = reason
    if not held.call_pending:
        request_stop(state, held, now)


def request_stop(state: AgentState, held: HeldTask, now: float) -> None:
    """Have the worker stop a run, or refuse it when it comes."""
    if state.worker is None:
        return
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


def handle_stop_answer(state: AgentState, event: StopAnswered, now: float) -> None:
    """Take the worker's word on a stop; a look will show the end."""
    held = state.held.get(event.handle)
    if held is None or not state.is_current(event.worker):
        return
    held.call_pending = False
    if not event.done:
        if not held.expires_at:
            held.expires_at = now + worker_lapse_seconds()
        return
    # From here a look that is sent shows it ended, or shows nothing of it.
    held.expires_at = held.expires_at or now + worker_lapse_seconds()
    held.called_at = now
    held.stop_confirmed = True
    state.check_requested |= held.state is HeldState.UNCONFIRMED
    held.state = HeldState.STOPPING
    state.poll_not_before = now


def drop_worker(state: AgentState, reason: str, now: float) -> None:
    """Give up a worker that has ended for certain."""
    state.say("the worker is gone", worker=state.worker.identifier, reason=reason)
    forget_worker(state, reason, now)


def forget_worker(state: AgentState, reason: str, now: float) -> None:
    """Begin to wait for another life of the worker."""
    mark_all_lost(state, reason, now)
    state.worker = None
    state.reachable = False
    state.ready_to_start = False
    state.mark_entries_dirty()


def mark_all_lost(state: AgentState, reason: str, now: float) -> None:
    """End all that is held: it has ended with its worker."""
    for held in list(state.held.values()):
        state.end(held, TaskEnd.LOST, 0, reason, now)
