"""The agent's reducer: all tasks of a worker are started through it.

It accepts starts from any entry, passes those that fit to the worker, and runs each
task only while its entry's lease is valid (``bounds``). Only the agent knows the
worker's free capacity exactly; entries know it from its reports, which may be late.
"""

from cactuswalk.dispatch.agentcalls import (
    handle_start_answer,
    handle_stop_answer,
    request_stop,
)
from cactuswalk.dispatch.agentcrashes import end_lapsed
from cactuswalk.dispatch.agententries import (
    expire_entries,
    handle_message,
    resend_ends,
)
from cactuswalk.dispatch.agentevacuations import (
    handle_evacuations,
    request_evacuations,
)
from cactuswalk.dispatch.agentevents import (
    AgentEvent,
    Announced,
    Departed,
    EntriesRead,
    EvacuationsListed,
    PollAnswered,
    PollFailed,
    Received,
    StartAnswered,
    StopAnswered,
    StopRequested,
    Tick,
)
from cactuswalk.dispatch.agentgone import (
    drop_worker,
    forget_if_ended,
    handle_departure,
)
from cactuswalk.dispatch.agentheld import HeldState
from cactuswalk.dispatch.agentleaving import close_if_idle, handle_stop_request
from cactuswalk.dispatch.agentlooks import check_if_requested, poll_if_due
from cactuswalk.dispatch.agentmembers import (
    handle_entries,
    refresh_peers,
    request_entries,
)
from cactuswalk.dispatch.agentreports import report_if_dirty
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.agentworker import (
    handle_heartbeat,
    handle_poll_answer,
    handle_poll_failure,
)
from cactuswalk.dispatch.bounds import (
    CALL_TIMEOUT_SECONDS,
    KEEPALIVE_SECONDS,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.effects import (
    Effect,
)
from cactuswalk.dispatch.pauses import log_pause

__all__ = ["reduce"]

# Interval of reports to an entry while nothing changes: short enough that the agent
# counts as heard although one report is lost (``bounds.HEARD_SECONDS``).
IDLE_REPORT_SECONDS = 0.2

# A worker that sends nothing for this long is considered gone; its heartbeats come
# every 1.5 s.
SILENT_WORKER_SECONDS = 5.0


def reduce(state: AgentState, event: AgentEvent, now: float) -> list[Effect]:
    """Apply an event to the state, and return the resulting effects."""
    HANDLERS[type(event)](state, event, now)
    forget_if_ended(state, now)
    poll_if_due(state, now)
    check_if_requested(state, now)
    report_if_dirty(state, now)
    return state.take_effects()


def _tick(state: AgentState, _: Tick, now: float) -> None:
    log_pause(state, now)
    expire_entries(state, now)
    _expire_held(state, now)
    resend_ends(state, now)
    _check_worker(state, now)
    refresh_peers(state, now)
    request_entries(state, now)
    request_evacuations(state, now)
    close_if_idle(state, now)
    for peer in state.entries.values():
        works = peer.address in state.index.sequences
        pause = KEEPALIVE_SECONDS if works else IDLE_REPORT_SECONDS
        if now - peer.reported_at >= pause:
            peer.dirty = True


def _expire_held(state: AgentState, now: float) -> None:
    for held in list(state.held.values()):
        if held.expires_at and now >= held.expires_at and _is_lapsed(state, now):
            end_lapsed(state, held, now)
        elif (
            held.state in (HeldState.STOPPING, HeldState.UNCONFIRMED)
            and not held.call_pending
            and now - held.called_at > CALL_TIMEOUT_SECONDS
        ):
            request_stop(state, held, now)


def _is_lapsed(state: AgentState, now: float) -> bool:
    """Return whether the worker's lease has expired for certain.

    A worker that answers polls has its lease renewed, and lists its runs. So runs
    are assumed to have ended with the lease only if the worker doesn't answer.
    """
    return not state.reachable and now - state.renewed_at >= worker_lapse_seconds()


def _check_worker(state: AgentState, now: float) -> None:
    if state.worker is None or state.held or state.reachable:
        return
    if now - state.announced_at > SILENT_WORKER_SECONDS:
        drop_worker(state, "neither heartbeats nor answers", now)


HANDLERS = {
    Announced: handle_heartbeat,
    Departed: handle_departure,
    Received: handle_message,
    StartAnswered: handle_start_answer,
    StopAnswered: handle_stop_answer,
    PollAnswered: handle_poll_answer,
    PollFailed: handle_poll_failure,
    EntriesRead: handle_entries,
    EvacuationsListed: handle_evacuations,
    StopRequested: handle_stop_request,
    Tick: _tick,
}
