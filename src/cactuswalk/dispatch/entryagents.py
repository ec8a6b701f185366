"""Messages between an entry and the agents."""

import msgspec

from cactuswalk.dispatch.agentview import AgentView, PlacedTask
from cactuswalk.dispatch.bounds import worker_lapse_seconds
from cactuswalk.dispatch.entryattempts import handle_attempt_ended
from cactuswalk.dispatch.entryevents import Received
from cactuswalk.dispatch.entryisolation import may_place
from cactuswalk.dispatch.entryjobs import handle_end_attempt
from cactuswalk.dispatch.entrykeepalives import send_keepalive
from cactuswalk.dispatch.entryoverflow import (
    handle_capacity_offer,
    handle_capacity_request,
)
from cactuswalk.dispatch.entrypeers import handle_entry_status, handle_member_list
from cactuswalk.dispatch.entryplacing import end_start
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.messages import (
    AttemptEnded,
    CapacityOffer,
    CapacityRequest,
    EndAttempt,
    EntryStatus,
    MemberList,
    Report,
    StartEnded,
    TaskEnd,
)

__all__ = ["expire_or_resend", "handle_message"]

# A start that the agent has not reported is sent again with the same sequence.
RESEND_AFTER_SECONDS = 0.15

# An agent's other incarnation that has reported is sent a stamp again after this time.
ECHO_RETRY_SECONDS = 0.05


def handle_message(state: EntryState, event: Received, now: float) -> None:
    """Handle a message from another process."""
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if handler is not None:
        handler(state, event.sender, event.message, now)


def _handle_report(state: EntryState, sender: str, report: Report, now: float) -> None:
    if report.entry_incarnation != state.incarnation:
        # Written for an earlier incarnation of this entry: nothing in it shows that
        # the agent hears this one.
        report = msgspec.structs.replace(report, hears_entry=False, entry_stamp=0)
    view = state.views.get(sender) or _discover_agent(state, sender, report, now)
    if view.is_out_of_date(report, now):
        _request_echo(state, view, report, now)
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
        state.recovery.record_open_worker(now)
        state.reach_phase("first open worker", now)
    if not view.placed:
        return
    if report.open:
        _end_starts_of_earlier_incarnations(state, view, now)
    if report.entry_incarnation == state.incarnation:
        _reconcile(state, view, now)


def _discover_agent(
    state: EntryState, address: str, report: Report, now: float
) -> AgentView:
    # Jobs may be waiting for a first worker, and no other event would have them
    # placed before they are refused.
    state.placement_needed |= not state.has_usable_agent(now)
    view = state.views[address] = AgentView(
        address, report, now, state.next_agent_number, state.data_centre
    )
    state.next_agent_number += 1
    state.reach_phase("first agent", now)
    state.say(
        "discovered an agent", agent=address, worker=report.worker, home=report.home
    )
    send_keepalive(state, view, now)
    return view


def _request_echo(
    state: EntryState, view: AgentView, report: Report, now: float
) -> None:
    """Send another incarnation of an agent a stamp, which it returns if it is alive."""
    if report.incarnation == view.report.incarnation:
        return
    sent_at = state.keepalive_sent_at.get(view.address, 0.0)
    if report.incarnation == view.candidate and now - sent_at < ECHO_RETRY_SECONDS:
        return
    view.candidate = report.incarnation
    _log_incarnations("ignored a report", state, view, report, now)
    send_keepalive(state, view, now)


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
    earlier = [
        placed
        for placed in view.placed.values()
        if placed.start.agent_incarnation != view.report.incarnation
    ]
    for placed in earlier:
        reason = "its agent has restarted"
        end_start(state, view, placed, TaskEnd.LOST, 0, reason, now)


def _reconcile(state: EntryState, view: AgentView, now: float) -> None:
    """End starts that never arrived: later ones have, or their stamp is too old."""
    report = view.report
    for sequence, placed in list(view.placed.items()):
        if placed.start.agent_incarnation != report.incarnation:
            continue
        if sequence > report.last_sequence:
            if view.has_start_expired(placed):
                end_start(
                    state, view, placed, TaskEnd.DECLINED, 0, "never arrived", now
                )
        elif sequence not in report.held:
            end_start(state, view, placed, TaskEnd.LOST, 0, "never arrived", now)


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
        if not view.placed:
            continue
        silent = now - view.heard_at > RESEND_AFTER_SECONDS
        for placed in list(view.placed.values()):
            expires_at = placed.expires_at
            # In an isolation the agent may have the end of a task that is done, and the
            # task could not run again anyway.
            if silent and not state.isolated_at:
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
    if not may_place(state, placed.task.job, now):
        # With its new stamp the agent would start it, however late it arrives.
        return
    is_unreported = placed.start.sequence > view.report.last_sequence
    if (
        is_unreported
        and view.report.hears_entry
        and now - placed.sent_at > RESEND_AFTER_SECONDS
    ):
        placed.sent_at = now
        placed.start.stamp = view.report.stamp
        placed.start.waiting_cpu = state.waiting_cpu
        state.send(view.address, placed.start)


MESSAGE_HANDLERS = {
    Report: _handle_report,
    StartEnded: _handle_end,
    EntryStatus: handle_entry_status,
    MemberList: handle_member_list,
    CapacityRequest: handle_capacity_request,
    CapacityOffer: handle_capacity_offer,
    EndAttempt: handle_end_attempt,
    AttemptEnded: handle_attempt_ended,
}
