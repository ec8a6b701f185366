"""Conclusions that the worker has ended, and with it all its runs.

Certain evidence is that another incarnation has answered at the worker's address, that
a run is listed as ended, or that the worker's lease has expired. The worker's
announcement that it leaves comes before its end, and a network can refuse connections
while the worker runs on. If the agent took these for the end, tasks would run
elsewhere while they still run here. So they only have the agent presume that the worker
is gone: it starts nothing there and renews no lease, and waits for certain evidence.
"""

from cactuswalk.dispatch.agentcrashes import blamed_handles, mark_all_crashed
from cactuswalk.dispatch.agentevents import Departed
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import worker_lapse_seconds
from cactuswalk.dispatch.incarnations import split_incarnation

__all__ = [
    "drop_worker",
    "forget_if_ended",
    "handle_departure",
    "presume_gone",
    "record_reachable",
]


def handle_departure(state: AgentState, event: Departed, now: float) -> None:
    """Handle the worker's announcement that it leaves; its runs may go on for now."""
    if state.worker is None or state.has_departed:
        return
    name, born = split_incarnation(state.worker.identifier)
    if name != event.name:
        return
    if born is not None:
        _record_unverified_departure(state, now)
        return
    state.has_departed = True
    # Runs that can't end within the rest of the lease are stopped if the worker still
    # answers, which a check shows.
    state.leaves_at = state.renewed_at + worker_lapse_seconds()
    state.check_requested = True
    presume_gone(state, "it has announced that it leaves", now)


def _record_unverified_departure(state: AgentState, now: float) -> None:
    """Give the worker no tasks until its next heartbeat, which one that leaves omits.

    An announcement names no incarnation, so that it may be of an earlier one.
    """
    if state.may_have_departed:
        return
    state.may_have_departed = True
    state.say("the worker leaves, or has restarted", **_worker_fields(state, now))
    state.mark_entries_dirty()


def presume_gone(state: AgentState, evidence: str, now: float) -> None:
    """Give the worker no tasks and renew no lease until it is known what has ended."""
    if state.presumed_gone == evidence:
        return
    state.presumed_gone = evidence
    # What the worker started last is known only now: by the time its lease has
    # expired, the first of its runs have been ended.
    state.blamed = blamed_handles(list(state.held.values()))
    state.reachable = False
    state.mark_entries_dirty()
    lapses_at = state.renewed_at + worker_lapse_seconds()
    for held in state.held.values():
        held.expires_at = held.expires_at or lapses_at
    state.say(
        "the worker is presumed gone",
        **_worker_fields(state, now),
        evidence=evidence,
        lease_left=round(max(0.0, lapses_at - now), 3),
    )


def record_reachable(state: AgentState, now: float) -> bool:
    """Record that the worker has answered; return whether it can be used again.

    One that has announced its departure may end at any time.
    """
    if state.has_departed:
        return False
    if state.presumed_gone:
        state.say(
            "the worker was not gone",
            **_worker_fields(state, now),
            evidence=state.presumed_gone,
        )
        state.clear_presumption()
    state.reachable = True
    return True


def forget_if_ended(state: AgentState, now: float) -> None:
    """Forget a worker that is presumed gone once none of its runs can go on."""
    if state.worker is not None and state.presumed_gone and not state.held:
        drop_worker(state, state.presumed_gone, now)


def drop_worker(state: AgentState, reason: str, now: float) -> None:
    """End all tasks, and wait for the worker's next incarnation.

    Only for a worker that has certainly ended, or that holds nothing.
    """
    state.say("the worker is gone", **_worker_fields(state, now), reason=reason)
    mark_all_crashed(state, reason, now)
    state.worker = None
    state.has_departed = state.may_have_departed = False
    state.clear_presumption()
    state.reachable = False
    state.ready_to_start = False
    state.mark_entries_dirty()


def _worker_fields(state: AgentState, now: float) -> dict[str, object]:
    """Return log fields on the worker: what it held, and the age of its lease."""
    return {
        "worker": state.worker.identifier,
        "held": len(state.held),
        "renewed_ago": round(now - state.renewed_at, 3),
    }
