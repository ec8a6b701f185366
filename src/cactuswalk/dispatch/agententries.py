"""What passes between an agent and the entries."""

from cactuswalk.dispatch.agentcalls import call_start, stop
from cactuswalk.dispatch.agentevents import Received
from cactuswalk.dispatch.agentheld import EntryPeer, Held, HeldState
from cactuswalk.dispatch.agentmembers import take_members
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import ENTRY_LEASE_SECONDS
from cactuswalk.dispatch.effects import SendMessage
from cactuswalk.dispatch.leaving import ends_in_time
from cactuswalk.dispatch.messages import Ended, Pulse, Start, Stop, TaskEnd

__all__ = [
    "expire_entries",
    "received",
    "tell_again",
]

# An end that was not noted is told again; a pulse with the note comes each 0.1 s.
TELL_AGAIN_SECONDS = 0.25


def received(state: AgentState, event: Received, now: float) -> None:
    """Take a message of an entry."""
    message = event.message
    if isinstance(message, Pulse):
        _take_pulse(state, event.sender, message, now)
    elif isinstance(message, Start):
        _take_start(state, event.sender, message, now)
    elif isinstance(message, Stop):
        _take_stop(state, event.sender, message, now)


def _take_pulse(state: AgentState, sender: str, pulse: Pulse, now: float) -> None:
    peer = _peer(state, sender, pulse.life, now)
    if peer is None:
        return
    if pulse.agent_life == state.life:
        peer.echoed = max(peer.echoed, pulse.stamp)
    state.take_evacuations(pulse.evacuations, sender)
    peer.data_centre = pulse.data_centre
    for sequence in pulse.noted:
        peer.ends.pop(sequence, None)
        peer.told_at.pop(sequence, None)
    take_members(state, peer, pulse)


def _peer(state: AgentState, address: str, life: str, now: float) -> EntryPeer | None:
    """Return an entry, or None if a past life of it speaks.

    A new life of it has no tasks here.
    """
    peer = state.entries.setdefault(address, EntryPeer(address))
    if life in peer.past_lives:
        return None
    if peer.life != life:
        if peer.life:
            state.say("an entry has started anew", entry=address)
            peer.past_lives.add(peer.life)
        _orphan(state, address, "its entry has started anew", now)
        peer = EntryPeer(address, life, past_lives=peer.past_lives, home=peer.home)
        state.entries[address] = peer
        peer.dirty = True
    peer.heard_at = now
    return peer


def _orphan(state: AgentState, address: str, reason: str, now: float) -> None:
    for held in list(state.held.values()):
        if held.entry == address:
            stop(state, held, reason, now)


def _take_start(state: AgentState, sender: str, start: Start, now: float) -> None:
    peer = _peer(state, sender, start.life, now)
    if peer is None or start.sequence <= peer.seen:
        return
    peer.seen = start.sequence
    peer.dirty = True
    reason = _why_not(state, start, now)
    if reason:
        _decline(state, peer, start, reason, now)
        return
    run = max(start.run, state.runs.get(start.key, 0) + 1)
    held = Held(
        state.next_handle, sender, start, run, HeldState.STARTING, now, asked_at=now
    )
    state.next_handle += 1
    state.held[held.handle] = held
    if state.soundness.drags:
        state.soundness.trial_at = now
    state.by_sequence[(start.life, start.sequence)] = held.handle
    call_start(state, held, now)


def _why_not(state: AgentState, start: Start, now: float) -> str:
    """Return why a start is declined, or an empty text."""
    if start.agent_life != state.life:
        return "meant for an earlier life of this agent"
    if _milliseconds(now) - start.stamp > ENTRY_LEASE_SECONDS * 1000:
        return "too long on its way"
    if state.is_evacuated():
        return "its data centre is evacuated"
    if not state.is_open(now) or start.worker != state.worker.identifier:
        return "the worker takes nothing"
    if not ends_in_time(_expected_ms(state, start), state.seconds_left(now) * 1000):
        return "the worker leaves too soon"
    if state.soundness.is_doubtful and not state.may_try(now):
        return "the worker is on trial"
    cpu, memory_mb, gpu = state.room()
    if start.cpu > cpu or start.memory_mb > memory_mb or start.gpu > gpu:
        return "no room"
    return ""


def _expected_ms(state: AgentState, start: Start) -> float:
    return start.estimate_ms * state.soundness.pace


def _decline(
    state: AgentState, peer: EntryPeer, start: Start, reason: str, now: float
) -> None:
    state.observe("declined", reason)
    ended = Ended(peer.life, start.sequence, TaskEnd.DECLINED, 0, 0, reason)
    state.tell(peer, ended, now)


def _take_stop(state: AgentState, sender: str, request: Stop, now: float) -> None:
    peer = _peer(state, sender, request.life, now)
    if peer is None:
        return
    handle = state.by_sequence.get((request.life, request.sequence))
    if handle is not None:
        stop(state, state.held[handle], "its entry asked", now)
        return
    if request.sequence in peer.ends:
        return
    # It never arrived. Later ones have a higher sequence, so it never will.
    peer.seen = max(peer.seen, request.sequence)
    ended = Ended(peer.life, request.sequence, TaskEnd.DECLINED, 0, 0, "stopped")
    state.tell(peer, ended, now)


def expire_entries(state: AgentState, now: float) -> None:
    """Stop what runs for entries whose lease has passed."""
    silent = _milliseconds(now) - ENTRY_LEASE_SECONDS * 1000
    for held in list(state.held.values()):
        peer = state.entries.get(held.entry)
        echoed = held.start.stamp
        if peer is not None and peer.life == held.start.life:
            echoed = max(echoed, peer.echoed)
        if echoed < silent:
            stop(state, held, "its entry is not heard", now)


def tell_again(state: AgentState, now: float) -> None:
    """Tell of ends again that an entry has not noted."""
    for peer in state.entries.values():
        for sequence, told_at in peer.told_at.items():
            if now - told_at >= TELL_AGAIN_SECONDS:
                peer.told_at[sequence] = now
                state.effects.append(SendMessage(peer.address, peer.ends[sequence]))


def _milliseconds(now: float) -> int:
    return int(now * 1000)
