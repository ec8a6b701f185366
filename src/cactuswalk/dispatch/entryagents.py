"""What passes between an entry and the agents."""

import math

from cactuswalk.dispatch.agentview import AgentView, Placed
from cactuswalk.dispatch.bounds import (
    PULSE_SECONDS,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.entryevents import (
    Received,
)
from cactuswalk.dispatch.entryoverflow import room_asked, room_offered
from cactuswalk.dispatch.entrypeers import take_entry_pulse, take_members
from cactuswalk.dispatch.entryplacing import finish
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.membership import worth_telling
from cactuswalk.dispatch.messages import (
    Ended,
    EntryPulse,
    Members,
    Pulse,
    Report,
    RoomAsk,
    RoomOffer,
    TaskEnd,
)

__all__ = ["expire_placed", "pulse_agents", "received"]

# A start that the agent has not reported is sent again, under the same sequence.
SEND_AGAIN_SECONDS = 0.15

# Home agents that run nothing for this entry hear from it this often, so that they
# know of it, and of the other entries.
IDLE_PULSE_SECONDS = 0.4

# An agent that has not confirmed the list of entries is sent it this often.
TELL_MEMBERS_SECONDS = 0.3


def received(state: EntryState, event: Received, now: float) -> None:
    """Take a message of another process."""
    take = TAKERS.get(type(event.message))
    if take is not None:
        take(state, event.sender, event.message, now)


def _take_report(state: EntryState, sender: str, report: Report, now: float) -> None:
    view = state.views.get(sender)
    if view is None:
        # Jobs may have waited for a first worker, and nothing else would come to have
        # them placed before they are refused.
        state.place_wanted |= not state.hears_usable_agents(now)
        view = state.views[sender] = AgentView(sender, report, now)
        state.say(
            "meets an agent", agent=sender, worker=report.worker, home=report.home
        )
        _pulse(state, view, now)
    if view.is_out_of_date(report, now):
        return
    if report.life != view.report.life:
        _agent_restarted(state, view, now)
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
    state.place_wanted |= view.take(report, now)
    if report.open:
        state.met_open_at = min(state.met_open_at, now)
        _end_what_earlier_lives_ran(state, view, now)
    if report.entry_life == state.life:
        _reconcile(state, view, now)


def _agent_restarted(state: EntryState, view: AgentView, now: float) -> None:
    """Reckon with an agent's new life: the old one's runs lapse soon."""
    state.say("an agent has started anew", agent=view.address)
    gone_at = min(now + worker_lapse_seconds(), view.silent_gone_at())
    for placed in view.placed.values():
        placed.gone_at = placed.gone_at or gone_at
    view.noted.clear()


def _end_what_earlier_lives_ran(state: EntryState, view: AgentView, now: float) -> None:
    """Run the tasks of an agent's earlier life elsewhere.

    The present one is open, so it has looked at its worker, which takes no order
    of an earlier life since then, and nothing of theirs runs there. After a power
    cut this is sooner than their leases end.
    """
    for placed in list(view.placed.values()):
        start = placed.start
        ended = start.agent_life != view.report.life
        # A report that the network held up may be of an earlier life itself.
        if ended and start.stamp < view.report.stamp:
            reason = "its agent has started anew"
            finish(state, view, placed, TaskEnd.LOST, 0, reason, now)


def _reconcile(state: EntryState, view: AgentView, now: float) -> None:
    """Find starts that never arrived: later ones have, and it holds nothing."""
    held = set(view.report.held)
    for sequence, placed in list(view.placed.items()):
        if placed.start.agent_life != view.report.life:
            continue
        if sequence <= view.report.seen and sequence not in held:
            finish(state, view, placed, TaskEnd.LOST, 0, "never arrived", now)
        elif view.never_arrives(placed):
            finish(state, view, placed, TaskEnd.DECLINED, 0, "never arrived", now)


def _take_end(state: EntryState, sender: str, ended: Ended, now: float) -> None:
    view = state.views.get(sender)
    if view is None or ended.entry_life != state.life:
        return
    view.noted.append(ended.sequence)
    placed = view.placed.get(ended.sequence)
    if placed is None:
        return
    if placed.task is not None:
        placed.task.runs = max(placed.task.runs, ended.run)
    finish(state, view, placed, ended.end, ended.ran_ms, ended.reason, now)


def expire_placed(state: EntryState, now: float) -> None:
    """Give up what silent agents held, and send again what may be lost."""
    for view in state.views.values():
        silent = now - view.heard_at > SEND_AGAIN_SECONDS
        for placed in list(view.placed.values()):
            gone_at = placed.gone_at
            if silent:
                gone_at = gone_at or view.silent_gone_at()
            if gone_at and now >= gone_at:
                finish(
                    state, view, placed, TaskEnd.LOST, 0, "its leases have passed", now
                )
            elif not silent:
                _send_again(state, view, placed, now)


def _send_again(state: EntryState, view: AgentView, placed: Placed, now: float) -> None:
    if placed.task is None:
        if now - placed.stop_sent_at > SEND_AGAIN_SECONDS:
            state.send_stop(view, placed, now)
        return
    if placed.start.agent_life != view.report.life:
        return
    unseen = placed.start.sequence > view.report.seen
    if unseen and view.report.hears and now - placed.sent_at > SEND_AGAIN_SECONDS:
        placed.sent_at = now
        placed.start.stamp = view.report.stamp
        state.send(view.address, placed.start)


def pulse_agents(state: EntryState, now: float) -> None:
    """Let agents go on, those with work here sooner."""
    for view in state.views.values():
        period = _pulse_period(state, view)
        if now - state.pulsed_at.get(view.address, 0.0) >= period - 0.001:
            _pulse(state, view, now)


def _pulse_period(state: EntryState, view: AgentView) -> float:
    """Return how often an agent hears from this entry.

    One that is not at home here, and is not used for overflow, is left to forget it.
    """
    if view.placed or view.noted:
        return PULSE_SECONDS
    if view.report.home or view.address in state.overflow_until:
        return IDLE_PULSE_SECONDS
    return math.inf


def _pulse(state: EntryState, view: AgentView, now: float) -> None:
    state.pulsed_at[view.address] = now
    noted, view.noted = view.noted, []
    members = None
    if _wants_members(state, view, now):
        view.told_at = now
        view.told_for = view.report.data_centre
        members = worth_telling(state.members, view.told_for, view.address)
    pulse = Pulse(
        state.life,
        view.report.life,
        view.report.stamp,
        state.data_centre,
        noted,
        members,
        state.members_version,
        state.evacuations,
    )
    state.send(view.address, pulse)


def _wants_members(state: EntryState, view: AgentView, now: float) -> bool:
    """Return whether an agent has not confirmed the present list of entries.

    A list that was chosen for another data centre than the agent's would keep it away
    from its own entries for as long as no entry comes or goes.
    """
    report = view.report
    confirmed = (
        report.entry_life == state.life
        and report.members_seen == state.members_version
        and report.data_centre == view.told_for
    )
    return not confirmed and now - view.told_at >= TELL_MEMBERS_SECONDS


TAKERS = {
    Report: _take_report,
    Ended: _take_end,
    EntryPulse: take_entry_pulse,
    Members: take_members,
    RoomAsk: room_asked,
    RoomOffer: room_offered,
}
