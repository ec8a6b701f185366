"""When the agent polls its worker, and how long a poll may wait there.

Load pattern: for some seconds a part of the calls has no answer, though they may
have been carried out. A poll waits at the worker for the next run to end (long
polling), so a lost answer hides all ends for as long as the poll would have waited,
and a waiting poll doesn't tell in time whether an unanswered start runs. A short task
has a seventh of a second to spare.
"""

from cactuswalk.dispatch.agentheld import HeldState
from cactuswalk.dispatch.agentleases import renew
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import PollWorker

__all__ = ["check_if_requested", "poll", "poll_if_due"]

# How long a poll may wait at the worker for a run to end: the worker's lease is
# renewed at least three times within its length.
POLL_WAIT_SECONDS = 0.15

# Wait of a poll after a stop: the end is listed within the worker's stop time.
STOP_POLL_WAIT_SECONDS = 0.06

# After an unanswered poll the next ones wait only this long, for SHORT_POLLS_SECONDS:
# ends that another lost answer hides are noticed before a short task is late.
SHORT_POLL_WAIT_SECONDS = 0.02
SHORT_POLLS_SECONDS = 1.0


def poll_if_due(state: AgentState, now: float) -> None:
    """Poll the worker if it has runs, unacknowledged ends or unknown runs.

    One that has not answered is polled too: only an answer has it used again, and a
    worker that was silent for as long as its last runs may be well since.
    """
    if state.worker is None or state.poll_pending or now < state.poll_not_before:
        return
    if state.held and state.ready_to_start:
        # This also acknowledges the ends that the last poll listed.
        poll(state, now, _wait_seconds(state, now))
    elif (
        not state.reachable
        or not state.ready_to_start
        or state.highest_end > state.acknowledged_end
    ):
        poll(state, now, 0.0)


def _wait_seconds(state: AgentState, now: float) -> float:
    if now - state.unanswered_poll_at < SHORT_POLLS_SECONDS:
        return SHORT_POLL_WAIT_SECONDS
    if any(held.state is HeldState.STOPPING for held in state.held.values()):
        return STOP_POLL_WAIT_SECONDS
    return POLL_WAIT_SECONDS


def poll(state: AgentState, now: float, wait_seconds: float) -> None:
    """Poll the worker, waiting up to ``wait_seconds`` for a run to end."""
    state.poll_pending = True
    _send(state, now, wait_seconds, is_check=False)


def check_if_requested(state: AgentState, now: float) -> None:
    """Send a check, a poll that doesn't wait, next to a waiting poll.

    Only a poll sent after a start tells whether that start, if unanswered, runs. The
    waiting poll would tell too late for a short task, and tasks that had lost only
    their answer would be stopped and restarted.
    """
    if not state.check_requested or state.check_pending or state.worker is None:
        return
    state.check_requested = False
    state.check_pending = True
    _send(state, now, 0.0, is_check=True)


def _send(state: AgentState, now: float, wait_seconds: float, is_check: bool) -> None:
    # Polls of a worker that doesn't answer don't renew its lease: if calls that may
    # have arrived kept its runs alive, they could never be declared ended. Nor is the
    # lease renewed for runs left by an earlier incarnation of this agent, which only
    # the first poll reveals.
    if is_check:
        state.check_token = state.token
    else:
        state.poll_token = state.token
    renews = state.reachable and state.ready_to_start
    lease_until = renew(state, now) if renews else 0.0
    state.effects.append(
        PollWorker(
            state.worker.identifier,
            state.token,
            state.highest_end,
            int(wait_seconds * 1000),
            lease_until,
            is_check,
        )
    )
