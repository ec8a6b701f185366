"""When the agent looks at its worker, and for how long a look may wait there.

Load pattern: for some seconds a part of the calls has no answer, though they may
have been carried out. A look waits at the worker for the next end, so a lost answer
hides all ends for as long as it would have waited; and whether a start without an
answer runs shows in no look that waits. A lookup has a seventh of a second to spare.
"""

from cactuswalk.dispatch.agentheld import HeldState
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import WORKER_LEASE_SECONDS
from cactuswalk.dispatch.effects import PollWorker

__all__ = ["check_if_requested", "poll", "poll_if_due"]

# How long a look may wait at the worker for an end: the worker's lease is renewed
# at least three times within its length.
POLL_WAIT_SECONDS = 0.15

# A look after a stop: the end is listed within the worker's time for a stop.
STOP_POLL_WAIT_SECONDS = 0.06

# After a look without an answer the next ones wait only so long, in seconds, for a
# while: what the next lost answer hides is noticed before a short task is late.
SHORT_POLL_WAIT_SECONDS = 0.02
SHORT_POLLS_SECONDS = 1.0


def poll_if_due(state: AgentState, now: float) -> None:
    """Look at the worker if something of it has to be known."""
    if state.worker is None or state.poll_pending or now < state.poll_not_before:
        return
    if state.held and state.ready_to_start:
        # It notes the ends of the last one too, and waits for the next.
        poll(state, now, _wait_seconds(state, now))
    elif not state.ready_to_start or state.highest_end > state.acknowledged_end:
        poll(state, now, 0.0)


def _wait_seconds(state: AgentState, now: float) -> float:
    if now - state.unanswered_poll_at < SHORT_POLLS_SECONDS:
        return SHORT_POLL_WAIT_SECONDS
    if any(held.state is HeldState.STOPPING for held in state.held.values()):
        return STOP_POLL_WAIT_SECONDS
    return POLL_WAIT_SECONDS


def poll(state: AgentState, now: float, wait_seconds: float) -> None:
    """Look at the worker, and wait there for an end."""
    state.poll_pending = True
    _send(state, now, wait_seconds, is_check=False)


def check_if_requested(state: AgentState, now: float) -> None:
    """Look at the worker beside a look that waits, and don't wait.

    A start without an answer is settled by what a look shows that was sent after
    it. The one that waits would show it too late for a short task, and tasks whose
    answer alone was lost would be stopped and begun anew.
    """
    if not state.check_requested or state.check_pending or state.worker is None:
        return
    state.check_requested = False
    state.check_pending = True
    _send(state, now, 0.0, is_check=True)


def _send(state: AgentState, now: float, wait_seconds: float, is_check: bool) -> None:
    # A worker that doesn't answer is looked at without a renewal: its runs
    # could never be told for ended if calls that it may get kept them alive.
    # Nor is what an earlier life of this agent has left there renewed, of which
    # only the first look tells.
    renews = state.reachable and state.ready_to_start
    lease = WORKER_LEASE_SECONDS if renews else 0.0
    if lease:
        state.renewed_at = now
    state.effects.append(
        PollWorker(
            state.worker.identifier,
            state.token,
            state.highest_end,
            int(wait_seconds * 1000),
            lease,
            is_check,
        )
    )
