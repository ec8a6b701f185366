"""Planned stop of the agent, and runs that can't finish before the worker leaves."""

import math

from cactuswalk.dispatch.agentcalls import stop_run
from cactuswalk.dispatch.agentevents import StopRequested
from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentprogress import progress
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import STOP_MARGIN_SECONDS
from cactuswalk.dispatch.leaving import cannot_finish
from cactuswalk.dispatch.soundness import MIN_PROGRESS_SECONDS

__all__ = [
    "close_if_idle",
    "handle_stop_request",
    "record_draining",
    "stop_unfinishable_runs",
]


def handle_stop_request(state: AgentState, _: StopRequested, now: float) -> None:
    """Begin a planned stop; the worker stays, and the agent's next incarnation uses it.

    Until the last current run is expected to end, tasks that end sooner are accepted.
    """
    if state.stopping:
        return
    state.stopping = True
    state.stop_by = now + state.grace_seconds - STOP_MARGIN_SECONDS
    last = max(
        (_left_seconds(state, held, now) for held in state.held.values()), default=0.0
    )
    state.closes_at = min(state.stop_by, now + last)
    state.say(
        "a planned stop begins",
        held=len(state.held),
        takes_for=round(state.closes_at - now, 3),
    )
    state.mark_entries_dirty()


def _left_seconds(state: AgentState, held: HeldTask, now: float) -> float:
    """Return the expected remaining run time of a start."""
    ran = now - held.since
    if held.state is HeldState.RUNNING and ran >= MIN_PROGRESS_SECONDS:
        return progress(held, now).remaining_ms / 1000
    return held.start.estimate_ms / 1000 * state.health.pace


def close_if_idle(state: AgentState, now: float) -> None:
    """Accept nothing more during a planned stop once all runs have ended."""
    if state.stopping and not state.held and now < state.closes_at:
        state.closes_at = now
        state.mark_entries_dirty()


def stop_unfinishable_runs(state: AgentState, now: float) -> None:
    """Stop the runs that can't finish before the worker or this agent goes."""
    lost_at = state.lost_at()
    if lost_at == math.inf:
        return
    remaining_ms = max(0.0, lost_at - now) * 1000
    for held in list(state.held.values()):
        if held.state is not HeldState.RUNNING:
            continue
        if cannot_finish(progress(held, now), remaining_ms):
            stop_run(state, held, "its worker leaves before its end", now)


def record_draining(state: AgentState, known: bool, now: float) -> None:
    """Record when a draining worker leaves, and until when it is given tasks."""
    state.leaves_at = now + state.worker.leaves_in_ms / 1000
    if known:
        return
    state.drained_at = now + state.drain_seconds
    state.say(
        "the worker is draining",
        worker=state.worker.identifier,
        leaves_in_ms=state.worker.leaves_in_ms,
        held=len(state.held),
    )
