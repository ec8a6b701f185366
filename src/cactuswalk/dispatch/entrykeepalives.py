"""Keepalives, by which an entry renews its leases at the agents."""

import math

from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.bounds import KEEPALIVE_SECONDS
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.membership import select_candidates
from cactuswalk.dispatch.messages import Keepalive

__all__ = ["send_keepalive", "send_keepalives"]

# Keepalive interval of home agents that run nothing for this entry, by which they
# learn of it and of other entries.
IDLE_KEEPALIVE_SECONDS = 0.4

# Ticks, every 0.05 s, may come this much early.
TIMER_SECONDS = 0.001

# Longest interval of keepalives while starts renew the leases: an end is acknowledged
# before it is sent again (``agententries.END_RESEND_SECONDS``).
ACKNOWLEDGE_SECONDS = 0.15 - TIMER_SECONDS

# Interval at which the list of entries is sent again until the agent confirms it.
MEMBERS_INTERVAL_SECONDS = 0.3


def send_keepalives(state: EntryState, now: float) -> None:
    """Send the keepalives that are due; agents with tasks of this entry get more."""
    if state.policy.divides_room:
        state.waiting_cpu = sum(
            [task.step.cpu for job in state.waiting_jobs() for task in job.waiting]
        )
    for view in state.views.values():
        if _is_due(state, view, now):
            send_keepalive(state, view, now)


def _is_due(state: EntryState, view: AgentView, now: float) -> bool:
    """Return whether a keepalive is due.

    A start renews the leases too, since it returns the agent's stamp. While starts go
    there, keepalives come as late as acknowledgements allow.
    """
    period = _keepalive_period(state, view) - TIMER_SECONDS
    waited = now - state.keepalive_sent_at.get(view.address, 0.0)
    if waited < period:
        return False
    renewed = now - view.start_sent_at < period
    return not renewed or waited >= ACKNOWLEDGE_SECONDS or _has_stopped(view)


def _has_stopped(view: AgentView) -> bool:
    """Return whether a start there is to be stopped.

    A start that renews its lease doesn't tell the agent so, as a keepalive does.
    """
    return any(placed.task is None for placed in view.placed.values())


def _keepalive_period(state: EntryState, view: AgentView) -> float:
    """Return the keepalive interval of an agent.

    It is infinite for agents that are neither home agents nor used for overflow, so
    that these forget this entry.
    """
    if view.placed or view.acknowledged:
        return KEEPALIVE_SECONDS
    if view.report.home or view.address in state.overflow_until:
        return IDLE_KEEPALIVE_SECONDS
    return math.inf


def send_keepalive(state: EntryState, view: AgentView, now: float) -> None:
    """Send a keepalive now."""
    state.keepalive_sent_at[view.address] = now
    acknowledged, view.acknowledged = view.acknowledged, []
    members = None
    if _needs_members(state, view, now):
        view.members_sent_at = now
        view.members_data_centre = view.report.data_centre
        members = select_candidates(
            state.members, view.members_data_centre, view.address
        )
    keepalive = Keepalive(
        state.incarnation,
        view.report.incarnation,
        view.report.stamp,
        state.data_centre,
        acknowledged,
        members,
        state.members_version,
        state.evacuations,
        int(now * 1000),
        # A keepalive renews the lease of all starts here. If a stop were lost and
        # keepalives arrived, the agent would run its task on.
        _stopped_sequences(view),
        state.reaches_store(now),
        state.waiting_cpu,
    )
    state.send(view.address, keepalive)


def _stopped_sequences(view: AgentView) -> list[int]:
    """Return the starts at an agent's current incarnation that are to be stopped."""
    return [
        sequence
        for sequence, placed in view.placed.items()
        if placed.task is None
        and placed.start.agent_incarnation == view.report.incarnation
    ]


def _needs_members(state: EntryState, view: AgentView, now: float) -> bool:
    """Return whether an agent has not confirmed the current list of entries.

    A list chosen for another data centre counts as unconfirmed: with it the agent would
    not find its own data centre's entries until some entry joins or leaves.
    """
    report = view.report
    confirmed = (
        report.entry_incarnation == state.incarnation
        and report.acknowledged_members == state.members_version
        and report.data_centre == view.members_data_centre
    )
    return not confirmed and now - view.members_sent_at >= MEMBERS_INTERVAL_SECONDS
