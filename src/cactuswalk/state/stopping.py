"""Planned stops: finish tasks, hand the cell over, leave the roster, then exit."""

from cactuswalk.messages import (
    HandOver,
    Leave,
)
from cactuswalk.state.effects import Send
from cactuswalk.state.nodestate import Node

__all__ = ["advance_stop"]

# A stopping owner tries another successor after this time without a takeover.
HANDOVER_RETRY_SECONDS = 2.0
# If the key-value service or every other member is down, an owner can't hand its cell
# over. It serves for the first time and then exits once nothing is open. After the
# second time, which is above the longest deadline, it exits in any case.
MAX_HANDOVER_SECONDS = 10.0
MAX_STOP_SECONDS = 90.0
# A stopping agent that can't be removed from the roster, because the key-value service
# is down, exits after this time; its cell then detects it as lost.
MAX_LEAVE_SECONDS = 5.0


def advance_stop(node: Node, now: float) -> None:
    """Advance a planned stop: finish tasks, hand the cell over, leave, then exit."""
    if node.owner is not None:
        _hand_over(node, now)
        return
    if node.agent.gate.running:
        return
    if node.idle_since is None:
        node.idle_since = now
    outside = node.member not in node.agent.roster
    if outside or now - node.idle_since > MAX_LEAVE_SECONDS:
        node.stopped = True
        return
    owner = node.agent.gate.owner
    if owner is not None and now - node.leave_sent_at >= node.timing.ping:
        node.leave_sent_at = now
        leave = Leave(node.cell, node.member)
        node.agent.effects.append(Send(owner.address, leave))


def _hand_over(node: Node, now: float) -> None:
    """Ask another member to take the cell over without waiting for a time-out."""
    owner = node.owner
    alone = len(owner.record.roster) == 1
    waited = now - node.stopping_since
    if alone or waited > MAX_HANDOVER_SECONDS:
        # Nobody can take the cell over; the entries report that to later callers.
        busy = owner.open or node.agent.gate.running
        node.stopped = not busy or waited > MAX_STOP_SECONDS
        if alone or node.stopped:
            return
    if now - node.handed_over_at < HANDOVER_RETRY_SECONDS:
        return
    owner.handing_over = False
    candidates = [
        peer
        for peer in owner.peers.values()
        if peer.member != node.member
        and not peer.leaving
        and now - peer.confirmed_at <= node.timing.confirm
    ]
    if not candidates or owner.pending is not None:
        return
    node.handed_over_at = now
    owner.handing_over = True
    successor = node.generator.choice(candidates).member
    owner.log("hands the cell over", successor=successor.worker)
    owner.send(successor.address, HandOver(node.cell, owner.record.epoch))
