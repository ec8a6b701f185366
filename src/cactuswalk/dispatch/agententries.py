"""Messages between an agent and the entries."""

from cactuswalk.dispatch.agentcalls import request_start, stop_run
from cactuswalk.dispatch.agentcrashes import has_suspect
from cactuswalk.dispatch.agentevents import Received
from cactuswalk.dispatch.agentheld import EntryPeer, HeldState, HeldTask
from cactuswalk.dispatch.agentmembers import update_members
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import ENTRY_LEASE_SECONDS
from cactuswalk.dispatch.effects import SendMessage
from cactuswalk.dispatch.leaving import can_finish_in_time
from cactuswalk.dispatch.messages import Keepalive, Start, StartEnded, Stop, TaskEnd

__all__ = [
    "expire_entries",
    "handle_message",
    "resend_ends",
]

# An unacknowledged end is sent again after this time; acknowledgements come with the
# entry's keepalives, every 0.1 s.
END_RESEND_SECONDS = 0.25


def handle_message(state: AgentState, event: Received, now: float) -> None:
    """Handle a message from an entry."""
    message = event.message
    if isinstance(message, Keepalive):
        _handle_keepalive(state, event.sender, message, now)
    elif isinstance(message, Start):
        _handle_start(state, event.sender, message, now)
    elif isinstance(message, Stop):
        _handle_stop(state, event.sender, message, now)


def _handle_keepalive(
    state: AgentState, sender: str, keepalive: Keepalive, now: float
) -> None:
    peer = _refresh_peer(state, sender, keepalive.incarnation, now)
    if peer is None:
        return
    if keepalive.agent_incarnation == state.incarnation:
        peer.echoed_stamp = max(peer.echoed_stamp, keepalive.stamp)
    state.apply_evacuations(keepalive.evacuations, sender)
    peer.data_centre = keepalive.data_centre
    for sequence in keepalive.acknowledged:
        peer.pending_ends.pop(sequence, None)
        peer.end_sent_at.pop(sequence, None)
    update_members(state, peer, keepalive)


def _refresh_peer(
    state: AgentState, address: str, incarnation: str, now: float
) -> EntryPeer | None:
    """Return the sender's peer, or None if a past incarnation of it sent the message.

    The first message of a new incarnation stops the tasks of the one before.
    """
    peer = state.entries.setdefault(address, EntryPeer(address))
    if incarnation in peer.past_incarnations:
        return None
    if peer.incarnation != incarnation:
        if peer.incarnation:
            state.say("an entry has restarted", entry=address)
            peer.past_incarnations.add(peer.incarnation)
        _stop_entry_runs(state, address, "its entry has started anew", now)
        peer = EntryPeer(
            address,
            incarnation,
            past_incarnations=peer.past_incarnations,
            home=peer.home,
        )
        state.entries[address] = peer
        peer.dirty = True
    peer.heard_at = now
    return peer


def _stop_entry_runs(state: AgentState, address: str, reason: str, now: float) -> None:
    for held in list(state.held.values()):
        if held.entry == address:
            stop_run(state, held, reason, now)


def _handle_start(state: AgentState, sender: str, start: Start, now: float) -> None:
    peer = _refresh_peer(state, sender, start.incarnation, now)
    if peer is None or start.sequence <= peer.last_sequence:
        return
    peer.last_sequence = start.sequence
    peer.dirty = True
    reason = _decline_reason(state, start, now)
    if reason:
        _decline(state, peer, start, reason, now)
        return
    run = max(start.run, state.runs.get(start.key, 0) + 1)
    held = HeldTask(
        state.next_handle, sender, start, run, HeldState.STARTING, now, called_at=now
    )
    state.next_handle += 1
    state.held[held.handle] = held
    if state.health.is_slow:
        state.health.last_trial_at = now
    state.by_sequence[(start.incarnation, start.sequence)] = held.handle
    _log_accepted_start(state, held, now)
    request_start(state, held, now)


def _log_accepted_start(state: AgentState, held: HeldTask, now: float) -> None:
    start = held.start
    fields = held.log_fields() | {
        "entry": held.entry,
        "sequence": start.sequence,
        "worker": start.worker,
        "stamp_age_ms": _milliseconds(now) - start.stamp,
    }
    state.say_debug("accepted a start", **fields)
    others = [
        other.log_fields() | {"entry": other.entry, "state": other.state.value}
        for other in state.held.values()
        if other.start.key == start.key and other is not held
    ]
    if others:
        state.say("holds another run of a started task", **fields, others=others)


def _decline_reason(state: AgentState, start: Start, now: float) -> str:
    """Return why a start is declined, or an empty string if it is accepted.

    The reason is sent to the entry, and is a label of the metric of declined starts.
    """
    if start.agent_incarnation != state.incarnation:
        return "meant for an earlier life of this agent"
    if _milliseconds(now) - start.stamp > ENTRY_LEASE_SECONDS * 1000:
        return "too long on its way"
    if state.is_evacuated():
        return "its data centre is evacuated"
    if not state.is_open(now) or start.worker != state.worker.identifier:
        return "the worker takes nothing"
    if not can_finish_in_time(
        _expected_ms(state, start), state.seconds_left(now) * 1000
    ):
        return "the worker leaves too soon"
    if state.health.is_restricted and not state.can_try(now):
        return "the worker is on trial"
    if has_suspect(state, start):
        return "another suspected task runs there"
    cpu, memory_mb, gpu = state.free_resources()
    if start.cpu > cpu or start.memory_mb > memory_mb or start.gpu > gpu:
        return "no room"
    return ""


def _expected_ms(state: AgentState, start: Start) -> float:
    return start.estimate_ms * state.health.pace


def _decline(
    state: AgentState, peer: EntryPeer, start: Start, reason: str, now: float
) -> None:
    state.observe("declined", reason)
    ended = StartEnded(peer.incarnation, start.sequence, TaskEnd.DECLINED, 0, 0, reason)
    state.send_end(peer, ended, now)


def _handle_stop(state: AgentState, sender: str, request: Stop, now: float) -> None:
    peer = _refresh_peer(state, sender, request.incarnation, now)
    if peer is None:
        return
    handle = state.by_sequence.get((request.incarnation, request.sequence))
    if handle is not None:
        stop_run(state, state.held[handle], "its entry asked", now)
        return
    if request.sequence in peer.pending_ends:
        return
    # The start has not arrived. Raising the sequence has it ignored if it comes later.
    peer.last_sequence = max(peer.last_sequence, request.sequence)
    ended = StartEnded(
        peer.incarnation, request.sequence, TaskEnd.DECLINED, 0, 0, "stopped"
    )
    state.send_end(peer, ended, now)


def expire_entries(state: AgentState, now: float) -> None:
    """Stop the runs of entries whose lease has expired."""
    silent = _milliseconds(now) - ENTRY_LEASE_SECONDS * 1000
    for held in list(state.held.values()):
        peer = state.entries.get(held.entry)
        echoed_stamp = held.start.stamp
        if peer is not None and peer.incarnation == held.start.incarnation:
            echoed_stamp = max(echoed_stamp, peer.echoed_stamp)
        if echoed_stamp < silent:
            stop_run(state, held, "its entry is not heard", now)


def resend_ends(state: AgentState, now: float) -> None:
    """Send ends again that an entry has not acknowledged in time."""
    for peer in state.entries.values():
        for sequence, told_at in peer.end_sent_at.items():
            if now - told_at >= END_RESEND_SECONDS:
                peer.end_sent_at[sequence] = now
                state.effects.append(
                    SendMessage(peer.address, peer.pending_ends[sequence])
                )


def _milliseconds(now: float) -> int:
    return int(now * 1000)
