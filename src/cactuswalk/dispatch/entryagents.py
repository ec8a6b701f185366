"""Messages between an entry and the agents."""

import math

from cactuswalk.dispatch.agentview import AgentView, PlacedTask
from cactuswalk.dispatch.bounds import (
    KEEPALIVE_SECONDS,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.entryevents import (
    Received,
)
from cactuswalk.dispatch.entryoverflow import (
    handle_capacity_offer,
    handle_capacity_request,
)
from cactuswalk.dispatch.entrypeers import handle_entry_status, handle_member_list
from cactuswalk.dispatch.entryplacing import end_start
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.membership import select_candidates
from cactuswalk.dispatch.messages import (
    CapacityOffer,
    CapacityRequest,
    EntryStatus,
    Keepalive,
    MemberList,
    Report,
    StartEnded,
    TaskEnd,
)

__all__ = ["expire_or_resend", "handle_message", "send_keepalives"]

# A start that the agent has not reported is sent again with the same sequence.
RESEND_AFTER_SECONDS = 0.15

# Keepalive interval of home agents that run nothing for this entry, by which they
# learn of it and of other entries.
IDLE_KEEPALIVE_SECONDS = 0.4

# Interval at which the list of entries is sent again until the agent confirms it.
MEMBERS_INTERVAL_SECONDS = 0.3


def handle_message(state: EntryState, event: Received, now: float) -> None:
    """Handle a message from another process."""
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if handler is not None:
        handler(state, event.sender, event.message, now)


def _handle_report(state: EntryState, sender: str, report: Report, now: float) -> None:
    view = state.views.get(sender)
    if view is None:
        # Jobs may be waiting for a first worker, and no other event would have them
        # placed before they are refused.
        state.placement_needed |= not state.has_usable_agent(now)
        view = state.views[sender] = AgentView(sender, report, now)
        state.say(
            "discovered an agent", agent=sender, worker=report.worker, home=report.home
        )
        _send_keepalive(state, view, now)
    if view.is_out_of_date(report, now):
        if report.incarnation != view.report.incarnation:
            _log_incarnations("ignored a report", state, view, report, now)
        return
    if report.incarnation != view.report.incarnation:
        _handle_agent_restart(state, view, report, now)
    if report.open != view.report.open or report.trial != view.report.trial:
        state.say(
            "a worker's availability has changed",
            agent=sender,
            worker=report.worker,
            open=report.open,
            trial=report.trial,
            pace=report.pace,
        )
    same_worker = report.worker == view.report.worker
    state.recheck_requested |= same_worker and report.cpu < view.report.cpu
    # Most reports bring no capacity for a waiting task, and a placement round visits
    # every agent.
    state.placement_needed |= view.update_report(report, now)
    if report.open:
        state.first_open_worker_at = min(state.first_open_worker_at, now)
        _end_starts_of_earlier_incarnations(state, view, now)
    if report.entry_incarnation == state.incarnation:
        _reconcile(state, view, now)


def _log_incarnations(
    sentence: str, state: EntryState, view: AgentView, report: Report, now: float
) -> None:
    """Log a report of another incarnation than the known one of an agent."""
    known = view.report
    state.say(
        sentence,
        agent=view.address,
        incarnation=report.incarnation,
        known=known.incarnation,
        stamp_difference_ms=report.stamp - known.stamp,
        heard_ago=round(now - view.heard_at, 3),
        placed=len(view.placed),
    )


def _handle_agent_restart(
    state: EntryState, view: AgentView, report: Report, now: float
) -> None:
    """Limit the starts of an agent's earlier incarnation to their worker lease."""
    _log_incarnations("an agent has restarted", state, view, report, now)
    expires_at = min(now + worker_lapse_seconds(), view.lapses_at())
    for placed in view.placed.values():
        placed.expires_at = placed.expires_at or expires_at
    view.acknowledged.clear()


def _end_starts_of_earlier_incarnations(
    state: EntryState, view: AgentView, now: float
) -> None:
    """Have the tasks of an agent's earlier incarnations run again.

    The current incarnation is open, so it has polled its worker. Since then the worker
    refuses calls of earlier incarnations, and none of their tasks runs there. After a
    power cut this is known before their leases end.
    """
    for placed in list(view.placed.values()):
        start = placed.start
        ended = start.agent_incarnation != view.report.incarnation
        # A report that was delayed in the network may itself be of an earlier
        # incarnation.
        if ended and start.stamp < view.report.stamp:
            reason = "its agent has restarted"
            end_start(state, view, placed, TaskEnd.LOST, 0, reason, now)


def _reconcile(state: EntryState, view: AgentView, now: float) -> None:
    """End starts that never arrived: later ones have, or their stamp is too old."""
    held = set(view.report.held)
    for sequence, placed in list(view.placed.items()):
        if placed.start.agent_incarnation != view.report.incarnation:
            continue
        if sequence <= view.report.last_sequence and sequence not in held:
            end_start(state, view, placed, TaskEnd.LOST, 0, "never arrived", now)
        elif view.has_start_expired(placed):
            end_start(state, view, placed, TaskEnd.DECLINED, 0, "never arrived", now)


def _handle_end(state: EntryState, sender: str, ended: StartEnded, now: float) -> None:
    view = state.views.get(sender)
    if view is None or ended.entry_incarnation != state.incarnation:
        return
    view.acknowledged.append(ended.sequence)
    placed = view.placed.get(ended.sequence)
    if placed is None:
        return
    if placed.task is not None:
        placed.task.runs = max(placed.task.runs, ended.run)
    end_start(
        state,
        view,
        placed,
        ended.end,
        ended.ran_ms,
        ended.reason,
        now,
        ended.blamed,
    )


def expire_or_resend(state: EntryState, now: float) -> None:
    """End the starts of silent agents, and resend messages that may be lost."""
    for view in state.views.values():
        silent = now - view.heard_at > RESEND_AFTER_SECONDS
        for placed in list(view.placed.values()):
            expires_at = placed.expires_at
            if silent:
                expires_at = expires_at or view.lapses_at()
            if expires_at and now >= expires_at:
                end_start(
                    state, view, placed, TaskEnd.LOST, 0, "its leases have expired", now
                )
            elif not silent:
                _resend(state, view, placed, now)


def _resend(state: EntryState, view: AgentView, placed: PlacedTask, now: float) -> None:
    if placed.task is None:
        if now - placed.stop_sent_at > RESEND_AFTER_SECONDS:
            state.send_stop(view, placed, now)
        return
    if placed.start.agent_incarnation != view.report.incarnation:
        return
    is_unreported = placed.start.sequence > view.report.last_sequence
    if (
        is_unreported
        and view.report.hears_entry
        and now - placed.sent_at > RESEND_AFTER_SECONDS
    ):
        placed.sent_at = now
        placed.start.stamp = view.report.stamp
        state.send(view.address, placed.start)


def send_keepalives(state: EntryState, now: float) -> None:
    """Send the keepalives that are due; agents with tasks of this entry get more."""
    for view in state.views.values():
        period = _keepalive_period(state, view)
        if now - state.keepalive_sent_at.get(view.address, 0.0) >= period - 0.001:
            _send_keepalive(state, view, now)


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


def _send_keepalive(state: EntryState, view: AgentView, now: float) -> None:
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
    )
    state.send(view.address, keepalive)


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


MESSAGE_HANDLERS = {
    Report: _handle_report,
    StartEnded: _handle_end,
    EntryStatus: handle_entry_status,
    MemberList: handle_member_list,
    CapacityRequest: handle_capacity_request,
    CapacityOffer: handle_capacity_offer,
}
