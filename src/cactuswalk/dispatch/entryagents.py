"""What passes between an entry and the agents."""

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

# A start that the agent has not reported is sent again, under the same sequence.
RESEND_AFTER_SECONDS = 0.15

# Home agents that run nothing for this entry hear from it this often, so that they
# know of it, and of the other entries.
IDLE_KEEPALIVE_SECONDS = 0.4

# An agent that has not confirmed the list of entries is sent it this often.
MEMBERS_INTERVAL_SECONDS = 0.3


def handle_message(state: EntryState, event: Received, now: float) -> None:
    """Take a message of another process."""
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if handler is not None:
        handler(state, event.sender, event.message, now)


def _handle_report(state: EntryState, sender: str, report: Report, now: float) -> None:
    view = state.views.get(sender)
    if view is None:
        # Jobs may have waited for a first worker, and nothing else would come to have
        # them placed before they are refused.
        state.placement_needed |= not state.has_usable_agent(now)
        view = state.views[sender] = AgentView(sender, report, now)
        state.say(
            "meets an agent", agent=sender, worker=report.worker, home=report.home
        )
        _send_keepalive(state, view, now)
    if view.is_out_of_date(report, now):
        return
    if report.incarnation != view.report.incarnation:
        _handle_agent_restart(state, view, now)
    if report.open != view.report.open or report.trial != view.report.trial:
        state.say(
            "a worker's standing changes",
            agent=sender,
            worker=report.worker,
            open=report.open,
            trial=report.trial,
            pace=report.pace,
        )
    # Most reports bring nothing that a waiting task could use, and placing looks
    # at every agent.
    state.placement_needed |= view.update_report(report, now)
    if report.open:
        state.first_open_worker_at = min(state.first_open_worker_at, now)
        _end_starts_of_earlier_incarnations(state, view, now)
    if report.entry_incarnation == state.incarnation:
        _reconcile(state, view, now)


def _handle_agent_restart(state: EntryState, view: AgentView, now: float) -> None:
    """Reckon with an agent's new life: the old one's runs lapse soon."""
    state.say("an agent has started anew", agent=view.address)
    expires_at = min(now + worker_lapse_seconds(), view.lapses_at())
    for placed in view.placed.values():
        placed.expires_at = placed.expires_at or expires_at
    view.acknowledged.clear()


def _end_starts_of_earlier_incarnations(
    state: EntryState, view: AgentView, now: float
) -> None:
    """Run the tasks of an agent's earlier life elsewhere.

    The present one is open, so it has looked at its worker, which takes no order
    of an earlier life since then, and nothing of theirs runs there. After a power
    cut this is sooner than their leases end.
    """
    for placed in list(view.placed.values()):
        start = placed.start
        ended = start.agent_incarnation != view.report.incarnation
        # A report that the network held up may be of an earlier life itself.
        if ended and start.stamp < view.report.stamp:
            reason = "its agent has started anew"
            end_start(state, view, placed, TaskEnd.LOST, 0, reason, now)


def _reconcile(state: EntryState, view: AgentView, now: float) -> None:
    """Find starts that never arrived: later ones have, and it holds nothing."""
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
    end_start(state, view, placed, ended.end, ended.ran_ms, ended.reason, now)


def expire_or_resend(state: EntryState, now: float) -> None:
    """Give up what silent agents held, and send again what may be lost."""
    for view in state.views.values():
        silent = now - view.heard_at > RESEND_AFTER_SECONDS
        for placed in list(view.placed.values()):
            expires_at = placed.expires_at
            if silent:
                expires_at = expires_at or view.lapses_at()
            if expires_at and now >= expires_at:
                end_start(
                    state, view, placed, TaskEnd.LOST, 0, "its leases have passed", now
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
    """Let agents go on, those with work here sooner."""
    for view in state.views.values():
        period = _keepalive_period(state, view)
        if now - state.keepalive_sent_at.get(view.address, 0.0) >= period - 0.001:
            _send_keepalive(state, view, now)


def _keepalive_period(state: EntryState, view: AgentView) -> float:
    """Return how often an agent hears from this entry.

    One that is not at home here, and is not used for overflow, is left to forget it.
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
    """Return whether an agent has not confirmed the present list of entries.

    A list that was chosen for another data centre than the agent's would keep it away
    from its own entries for as long as no entry comes or goes.
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
