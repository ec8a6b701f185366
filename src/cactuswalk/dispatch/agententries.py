"""Messages between an agent and the entries."""

from cactuswalk.dispatch.agentcalls import request_start, stop_run
from cactuswalk.dispatch.agentdivision import record_backlog, record_granted_start
from cactuswalk.dispatch.agentevacuations import note_store_contact
from cactuswalk.dispatch.agentevents import Received
from cactuswalk.dispatch.agentheld import EntryPeer, HeldState, HeldTask
from cactuswalk.dispatch.agentleases import (
    are_entries_heard,
    can_start,
    latest_stamp,
    limit_run,
)
from cactuswalk.dispatch.agentmembers import update_members
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import ENTRY_LEASE_SECONDS
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

# The size of a usual task is averaged over about this many starts.
AVERAGED_STARTS = 8


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
    returned_stamp = _returned_stamp(state, keepalive)
    peer = _refresh_peer(state, sender, keepalive.incarnation, returned_stamp, now)
    if peer is None:
        return
    peer.entry_stamp = max(peer.entry_stamp, keepalive.entry_stamp)
    if keepalive.agent_incarnation == state.incarnation:
        for sequence in keepalive.stopped:
            _stop_start(state, peer, sequence, now)
    state.apply_evacuations(keepalive.evacuations, sender)
    note_store_contact(state, keepalive, now)
    peer.data_centre = keepalive.data_centre
    record_backlog(state, peer, keepalive, now)
    for sequence in keepalive.acknowledged:
        peer.pending_ends.pop(sequence, None)
        peer.end_sent_at.pop(sequence, None)
    update_members(state, peer, keepalive)


def _refresh_peer(
    state: AgentState, address: str, incarnation: str, returned_stamp: int, now: float
) -> EntryPeer | None:
    """Return the sender's peer, or None if the message may be of a past incarnation.

    A message of a dead incarnation may arrive at any time, but returns no stamp as late
    as those that the running one has returned. The first message of a new incarnation
    stops the tasks of the one before.
    """
    peer = state.entries.setdefault(address, EntryPeer(address))
    if peer.incarnation not in ("", incarnation):
        if not _is_newer(peer, returned_stamp):
            _ignore_incarnation(state, peer, incarnation, returned_stamp)
            return None
        state.say(
            "an entry has restarted",
            entry=address,
            incarnation=incarnation,
            known=peer.incarnation,
            stamp_difference_ms=returned_stamp - peer.echoed_stamp,
        )
    if peer.incarnation != incarnation:
        _stop_entry_runs(state, address, "its entry has started anew", now)
        peer = EntryPeer(address, incarnation, home=peer.home)
        state.entries[address] = peer
    peer.echoed_stamp = max(peer.echoed_stamp, returned_stamp)
    peer.heard_at = now
    state.reach_phase("first entry", now)
    return peer


def _is_newer(peer: EntryPeer, returned_stamp: int) -> bool:
    return returned_stamp > peer.echoed_stamp


def _ignore_incarnation(
    state: AgentState, peer: EntryPeer, incarnation: str, returned_stamp: int
) -> None:
    """Ignore a message of another incarnation of an entry.

    If that is the one that runs, it returns the stamp of the report that is sent now.
    """
    peer.outdated = True
    if peer.candidate == incarnation:
        return
    peer.candidate = incarnation
    state.say(
        "ignored a message of another incarnation",
        entry=peer.address,
        incarnation=incarnation,
        known=peer.incarnation,
        stamp_difference_ms=returned_stamp - peer.echoed_stamp,
    )


def _returned_stamp(state: AgentState, message: Keepalive | Start) -> int:
    """Return the stamp of this agent in a message, -1 for one of another process."""
    return message.stamp if message.agent_incarnation == state.incarnation else -1


def _stop_entry_runs(state: AgentState, address: str, reason: str, now: float) -> None:
    for held in list(state.held.values()):
        if held.entry == address:
            limit_run(state, held, now)
            stop_run(state, held, reason, now)


def _handle_start(state: AgentState, sender: str, start: Start, now: float) -> None:
    returned_stamp = _returned_stamp(state, start)
    peer = _refresh_peer(state, sender, start.incarnation, returned_stamp, now)
    if peer is None:
        return
    if _ignore_if_outdated(state, peer, start):
        return
    peer.last_sequence = start.sequence
    peer.dirty = True
    reason = _decline_reason(state, start, now)
    record_backlog(state, peer, start, now)
    record_granted_start(state, peer, start, bool(reason), now)
    state.usual_cpu += (start.cpu - state.usual_cpu) // AVERAGED_STARTS
    if reason:
        _decline(state, peer, start, reason, now)
        return
    _accept_start(state, sender, start, now)


def _ignore_if_outdated(state: AgentState, peer: EntryPeer, start: Start) -> bool:
    """Ignore a start that was overtaken, repeated or meant for an earlier incarnation.

    Return whether it is ignored. The entry learns from a report what became of it.
    """
    if start.sequence <= peer.last_sequence:
        # A later start has overtaken it, unless it is a copy: the entry learns by a
        # report that it was not accepted.
        peer.urgent = True
        return True
    if (start.incarnation, start.sequence) in state.index.by_sequence:
        # A repeated copy, after a message of another incarnation of the entry has reset
        # what is known of this one.
        return True
    if start.agent_incarnation == state.incarnation:
        return False
    # Another copy of it may have been accepted by that incarnation, and its run may
    # go on. The entry ends the start when it learns of this incarnation.
    peer.outdated = True
    state.say_debug(
        "ignored a start for an earlier incarnation",
        entry=peer.address,
        job=start.key.job,
        sequence=start.sequence,
        agent_incarnation=start.agent_incarnation,
    )
    return True


def _accept_start(state: AgentState, sender: str, start: Start, now: float) -> None:
    run = max(start.run, state.runs.get(start.key, 0) + 1)
    held = HeldTask(
        state.next_handle, sender, start, run, HeldState.STARTING, now, called_at=now
    )
    state.next_handle += 1
    state.hold(held)
    state.reach_phase("first placement", now)
    if state.health.is_slow:
        state.health.last_trial_at = now
    _log_accepted_start(state, held, now)
    request_start(state, held, now)


def _log_accepted_start(state: AgentState, held: HeldTask, now: float) -> None:
    if not state.logs_debug:
        return
    start = held.start
    state.say_debug(
        "accepted a start",
        **held.log_fields(),
        entry=held.entry,
        sequence=start.sequence,
        worker=start.worker,
        stamp_age_ms=_milliseconds(now) - start.stamp,
    )


def _decline_reason(state: AgentState, start: Start, now: float) -> str:
    """Return why a start is declined, or an empty string if it is accepted.

    The reason is sent to the entry, and is a label of the metric of declined starts.
    """
    if _milliseconds(now) - start.stamp > ENTRY_LEASE_SECONDS * 1000:
        return "too long on its way"
    if state.is_evacuated():
        return "its data centre is evacuated"
    if not state.is_open(now) or start.worker != state.worker.identifier:
        return "the worker takes nothing"
    if start.key in state.index.by_key:
        return "another run of the task has not ended"
    if not can_start(state, _expected_ms(state, start), now):
        return "a stop at the worker is not confirmed"
    if not can_finish_in_time(
        _expected_ms(state, start), state.seconds_left(now) * 1000
    ):
        return "the worker leaves too soon"
    if state.health.is_restricted and not state.can_try(now):
        return "the worker is on trial"
    if start.is_suspect and state.index.suspects:
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
    peer = _refresh_peer(state, sender, request.incarnation, -1, now)
    if peer is not None and request.agent_incarnation == state.incarnation:
        _stop_start(state, peer, request.sequence, now)


def _stop_start(state: AgentState, peer: EntryPeer, sequence: int, now: float) -> None:
    handle = state.index.by_sequence.get((peer.incarnation, sequence))
    if handle is not None:
        limit_run(state, state.held[handle], now)
        stop_run(state, state.held[handle], "its entry asked", now)
        return
    if sequence in peer.pending_ends:
        return
    # The start has not arrived. Raising the sequence has it ignored if it comes later.
    peer.last_sequence = max(peer.last_sequence, sequence)
    ended = StartEnded(peer.incarnation, sequence, TaskEnd.DECLINED, 0, 0, "stopped")
    state.send_end(peer, ended, now)


def expire_entries(state: AgentState, now: float) -> None:
    """Stop the runs of entries whose lease has expired."""
    if are_entries_heard(state, now):
        return
    silent = _milliseconds(now) - ENTRY_LEASE_SECONDS * 1000
    for held in list(state.held.values()):
        if latest_stamp(state, held) < silent:
            stop_run(state, held, "its entry is not heard", now)


def resend_ends(state: AgentState, now: float) -> None:
    """Send ends again that an entry has not acknowledged in time."""
    for peer in state.entries.values():
        for sequence, told_at in peer.end_sent_at.items():
            if now - told_at >= END_RESEND_SECONDS:
                peer.end_sent_at[sequence] = now
                state.send(peer.address, peer.pending_ends[sequence])


def _milliseconds(now: float) -> int:
    return int(now * 1000)
