"""Division of the worker's free capacity among the entries, as far as it is scarce.

It applies with the setting ``divide_room``; see ``decisions.division``.
"""

from cactuswalk.dispatch.agentheld import EntryPeer
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.costs import RESERVED_SHARE
from cactuswalk.dispatch.messages import Keepalive, Start

__all__ = [
    "divide_room",
    "has_room_gone",
    "record_backlog",
    "record_granted_start",
    "told_cpu",
]

# Units in which a worker's capacity is granted, at most: each costs a step of the
# round-robin.
MAX_UNITS = 64


def record_backlog(
    state: AgentState, peer: EntryPeer, message: Keepalive | Start, now: float
) -> None:
    """Record the backlog in an entry's message, and the report that it echoes."""
    if not state.policy.divides_room:
        return
    peer.share.record_backlog(message.waiting_cpu, now)
    # Stamps are rounded down to milliseconds.
    peer.share.record_echo((peer.echoed_stamp + 1) / 1000)


def record_granted_start(
    state: AgentState, peer: EntryPeer, start: Start, is_declined: bool, now: float
) -> None:
    """Use up an entry's grant by a start."""
    if not state.policy.divides_room:
        return
    if peer.share.record_start(
        start.cpu, state.usual_cpu, _reserved_cpu(state), is_declined, now
    ):
        state.observe("grants", "used")
    if not is_declined:
        # What the other entries were told may be too much now.
        for other in state.entries.values():
            other.dirty |= bool(other.incarnation)


def divide_room(state: AgentState, now: float) -> None:
    """End expired grants, grant free capacity, and have the entries told of it."""
    if not state.policy.divides_room:
        return
    peers = {
        id(peer.share): peer for peer in state.entries.values() if peer.incarnation
    }
    shares = [peer.share for peer in peers.values()]
    for share in state.division.expire(shares, now):
        _log_expired_grant(state, peers[id(share)], now)
    if not state.is_open(now) or not state.usual_cpu:
        # Before the first start the size of a usual task is unknown.
        return
    free = state.free_resources()[0]
    unit = max(state.usual_cpu, state.worker.cpu // MAX_UNITS)
    reserve = _reserved_cpu(state)
    for share in state.division.grant(free, unit, reserve, shares, now):
        peers[id(share)].urgent = True
        if share.granted_at == now:
            _log_grant(state, peers[id(share)], free, now)


def _reserved_cpu(state: AgentState) -> int:
    """Return what entries leave free for urgent tasks, in thousandths of a core."""
    return int(RESERVED_SHARE * state.worker.cpu) if state.worker else 0


def _log_grant(state: AgentState, peer: EntryPeer, free: int, now: float) -> None:
    state.observe("grants", "given")
    state.say_debug(
        "granted free capacity",
        entry=peer.address,
        granted_cpu=peer.share.granted_cpu,
        free_cpu=free,
        waiting_cpu=peer.share.backlog(now),
    )


def _log_expired_grant(state: AgentState, peer: EntryPeer, now: float) -> None:
    state.observe("grants", "expired")
    state.say_debug(
        "a grant was not used in time",
        entry=peer.address,
        told_cpu=peer.share.told_cpu,
        waiting_cpu=peer.share.waiting_cpu,
        heard_ago=round(now - peer.heard_at, 3),
    )


def told_cpu(state: AgentState, peer: EntryPeer, free: int) -> int:
    """Return the free capacity to report to an entry, in thousandths of a core."""
    if not state.policy.divides_room:
        return free
    return state.division.told(peer.share, free)


def has_room_gone(state: AgentState, peer: EntryPeer) -> bool:
    """Return whether an entry believes in room for a usual task that isn't there.

    Its next start would be declined, which takes three messages instead of one.
    """
    if not state.policy.divides_room or state.worker is None:
        return False
    free = told_cpu(state, peer, state.free_resources()[0])
    return free < state.usual_cpu <= peer.share.believed_cpu()
