"""The worker as its agent sees it: its announcements, and what looks show."""

import math

from cactuswalk.dispatch.agentcalls import (
    call_stop,
    forget_worker,
    lose_all,
    raise_token,
    worker_gone,
)
from cactuswalk.dispatch.agentevents import (
    Announced,
    Departed,
    Looked,
    LookFailed,
    RunEnd,
)
from cactuswalk.dispatch.agentheld import Held, HeldState
from cactuswalk.dispatch.agentleaving import give_back_what_can_not_end
from cactuswalk.dispatch.agentlooks import look
from cactuswalk.dispatch.agentprogress import move_off_if_dragging, runs_on
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import (
    WORKER_LEASE_SECONDS,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.effects import (
    LookAtWorker,
    StopTask,
)
from cactuswalk.dispatch.job import Worker
from cactuswalk.dispatch.messages import TaskEnd
from cactuswalk.dispatch.soundness import (
    Soundness,
)

__all__ = ["announced", "departed", "look_failed", "looked"]

# Pause after a look that failed, so that a worker that refuses isn't called in a
# tight loop. Ends that come meanwhile are noticed that much later.
LOOK_PAUSE_SECONDS = 0.01

# A worker that answers no look for so long is given nothing new: three looks.
UNREACHABLE_SECONDS = 0.3


def announced(state: AgentState, event: Announced, now: float) -> None:
    """Take a heartbeat of the worker."""
    worker = event.worker
    known = state.worker
    if known is not None and known.identifier == worker.identifier:
        if worker.sequence < known.sequence:
            state.say("an older heartbeat is ignored", sequence=worker.sequence)
            return
        state.worker = worker
        if worker.draining:
            _drains(state, known.draining, now)
        state.announced_at = now
        state.touch_entries()
        return
    if known is None:
        _meet(state, worker, now)
        return
    # A heartbeat of an earlier life may have been held up on its way. It must
    # not end what runs on the present one: the new life has to answer first.
    state.candidate = worker
    state.effects.append(
        LookAtWorker(worker.identifier, state.token, 0, 0, WORKER_LEASE_SECONDS)
    )


def _drains(state: AgentState, known: bool, now: float) -> None:
    """Take note of how much time is left to a draining worker."""
    state.leaves_at = now + state.worker.leaves_in_ms / 1000
    if known:
        return
    state.drained_at = now + state.drain_seconds
    state.say(
        "the worker drains",
        worker=state.worker.identifier,
        leaves_in_ms=state.worker.leaves_in_ms,
        held=len(state.held),
    )


def _meet(state: AgentState, worker: Worker, now: float) -> None:
    """Begin with another life of the worker: whatever ran before has ended."""
    previous = state.worker.identifier if state.worker else ""
    state.say("meets a worker", worker=worker.identifier, previous=previous)
    lose_all(state, "the worker's life ended", now)
    state.worker = worker
    state.candidate = None
    state.announced_at = now
    # One that drains already may have been doing so for long.
    state.leaves_at = now + worker.leaves_in_ms / 1000
    state.drained_at = now
    state.reachable = True
    state.ready_to_start = False
    state.soundness = Soundness()
    state.runs.clear()
    state.noted_end = state.highest_end = 0
    state.look_not_before = state.answered_at = now
    state.unanswered_look_at = -math.inf
    state.check_wanted = state.check_under_way = False
    look(state, now, 0.0)


def departed(state: AgentState, event: Departed, now: float) -> None:
    """Take note that the worker has left."""
    if state.worker is None or state.worker.identifier != event.identifier:
        return
    state.say("the worker has left", worker=event.identifier)
    forget_worker(state, "the worker left", now)


def looked(state: AgentState, event: Looked, now: float) -> None:
    """Take what a look at the worker has shown."""
    if state.candidate is not None and state.candidate.identifier == event.worker:
        _meet(state, state.candidate, now)
        return
    if not state.is_current(event.worker):
        return
    _note_return(state, event)
    state.answered_at = now
    state.noted_end = max(state.noted_end, event.noted)
    _take_ends(state, event, now)
    strangers = _take_running(state, event, now)
    ready = state.ready_to_start or not strangers
    if not state.reachable or ready != state.ready_to_start:
        state.reachable = True
        state.ready_to_start = ready
        state.touch_entries()


def _take_ends(state: AgentState, event: Looked, now: float) -> None:
    by_run = {(held.start.key, held.run): held for held in state.held.values()}
    known = state.highest_end
    for row in event.ended:
        state.highest_end = max(state.highest_end, row.number)
        held = by_run.get((row.key, row.run))
        if held is not None and held.handle in state.held:
            _run_ended(state, held, row.end, now)
        elif held is None and row.key is not None and row.number > known:
            state.say(
                "a run of an earlier life has ended",
                job=row.key.job,
                run=row.run,
                end=row.end.value,
            )


def _take_running(state: AgentState, event: Looked, now: float) -> int:
    """Take what runs; return how many runs of it are nobody's."""
    running = {(row.key, row.run): row for row in event.running}
    for held in list(state.held.values()):
        row = running.pop((held.start.key, held.run), None)
        if row is not None:
            runs_on(state, held, row.percent, now)
        elif _never_began(state, held, event.sent_at):
            state.end(held, TaskEnd.STOPPED, 0, "never began", now)
        elif _is_doubtful(held) and event.sent_at >= held.asked_at:
            _forbid(state, held, "no look shows it", now)
    for row in running.values():
        _stop_stranger(state, row.key, row.run)
    move_off_if_dragging(state, now)
    give_back_what_can_not_end(state, now)
    return len(running)


def _never_began(state: AgentState, held: Held, looked_at: float) -> bool:
    """Return whether a look without a run shows that it won't come.

    Only one that was sent after a confirmed stop does: the worker refuses a
    run that was stopped before it arrived. A stop without an answer may be lost, and
    the start be carried out yet, in room that others have been given by then.
    """
    stopped = held.state is HeldState.STOPPING and not held.call_under_way
    return stopped and held.stop_confirmed and looked_at >= held.asked_at


def _stop_stranger(state: AgentState, key, run: int) -> None:
    """Stop a run of an earlier life of this agent: no entry waits for it."""
    if key is None:
        return
    state.say("stops a run of an earlier life", job=key.job, run=run)
    state.runs[key] = max(run, state.runs.get(key, 0))
    state.effects.append(StopTask(state.worker.identifier, 0, key, run, state.token))


def _run_ended(state: AgentState, held: Held, end: RunEnd, now: float) -> None:
    ran_ms = max(0.0, now - held.since) * 1000
    if end is RunEnd.DONE:
        state.soundness.done(held.start.estimate_ms, ran_ms, held.since)
        state.end(held, TaskEnd.DONE, int(ran_ms), "", now)
    elif end is RunEnd.FAILED:
        if state.soundness.failed(held.start.key.job, now):
            state.say("puts the worker on trial", reason="it fails what it starts")
        state.end(held, TaskEnd.FAILED, int(ran_ms), "", now)
    elif end is RunEnd.STOPPED and held.state is HeldState.STOPPING:
        state.end(held, TaskEnd.STOPPED, int(ran_ms), held.reason, now)
    else:
        state.end(held, TaskEnd.LOST, int(ran_ms), end.value, now)


def _note_return(state: AgentState, event: Looked | LookFailed) -> None:
    if event.is_check:
        state.check_under_way = False
    else:
        state.look_under_way = False


def _is_doubtful(held: Held) -> bool:
    """Return whether nothing is known of a start, and nothing is being asked."""
    return held.state is HeldState.DOUBTFUL and not held.call_under_way


def _forbid(state: AgentState, held: Held, reason: str, now: float) -> None:
    """Have the worker refuse a start without an answer, should it arrive yet."""
    state.say(
        "forbids a start without an answer",
        **held.names(),
        reason=reason,
        waited=round(now - held.since, 3),
    )
    call_stop(state, held, now)


def look_failed(state: AgentState, event: LookFailed, now: float) -> None:
    """Take note that a look had no answer."""
    if state.candidate is not None and state.candidate.identifier == event.worker:
        state.say("another life does not answer", worker=event.worker)
        state.candidate = None
        return
    if not state.is_current(event.worker):
        return
    _note_return(state, event)
    if event.gone:
        worker_gone(state, "nobody listens at the worker's address", now)
        return
    if event.fenced:
        raise_token(state)
        return
    _unanswered(state, event, now)


def _unanswered(state: AgentState, event: LookFailed, now: float) -> None:
    state.unanswered_look_at = now
    if event.is_check:
        for held in list(state.held.values()):
            if _is_doubtful(held):
                _forbid(state, held, "the look had no answer either", now)
    else:
        # A single call that is lost must not hide the ends that come meanwhile.
        state.look_not_before = now + LOOK_PAUSE_SECONDS
    if now - state.answered_at < UNREACHABLE_SECONDS:
        return
    if state.reachable:
        state.reachable = False
        state.say("the worker does not answer", worker=state.worker.identifier)
        state.touch_entries()
    for held in state.held.values():
        held.gone_at = held.gone_at or now + worker_lapse_seconds()
