"""Planned stops: finish, hand the cell over, leave the roster, and only then go."""

from cactuswalk.messages import (
    HandOver,
    Leave,
)
from cactuswalk.state.effects import Send
from cactuswalk.state.nodestate import Node

__all__ = ["stop"]

# An owner that stops tries another successor after this long without a takeover.
HAND_OVER_AGAIN_AFTER = 2.0
# An owner that can't hand its cell over, because the key-value service or every
# other member is away, serves on this long and then goes when nothing is open;
# after the second span it goes all the same: above the longest deadline.
HAND_OVER_GIVEN_UP_AFTER = 10.0
STOP_GIVEN_UP_AFTER = 90.0
# A stopping agent that can't be taken off the roster, because the key-value
# service is away, goes after this long; its cell then finds it lost.
LEAVE_GIVEN_UP_AFTER = 5.0


def stop(node: Node, now: float) -> None:
    """Finish, hand the cell over, leave the roster, and only then go."""
    if node.owner is not None:
        _hand_over(node, now)
        return
    if node.agent.gate.running:
        return
    if node.idle_since is None:
        node.idle_since = now
    outside = node.member not in node.agent.roster
    if outside or now - node.idle_since > LEAVE_GIVEN_UP_AFTER:
        node.stopped = True
        return
    owner = node.agent.gate.owner
    if owner is not None and now - node.leave_sent_at >= node.timing.ping:
        node.leave_sent_at = now
        leave = Leave(node.cell, node.member)
        node.agent.effects.append(Send(owner.address, leave))


def _hand_over(node: Node, now: float) -> None:
    """Ask another member to take the cell, without waiting for a silence."""
    owner = node.owner
    alone = len(owner.record.roster) == 1
    waited = now - node.stopping_since
    if alone or waited > HAND_OVER_GIVEN_UP_AFTER:
        # Nobody can take the cell over; its entries tell so who comes next.
        busy = owner.open or node.agent.gate.running
        node.stopped = not busy or waited > STOP_GIVEN_UP_AFTER
        if alone or node.stopped:
            return
    if now - node.handed_over_at < HAND_OVER_AGAIN_AFTER:
        return
    owner.handing_over = False
    fit = [
        peer
        for peer in owner.peers.values()
        if peer.member != node.member
        and not peer.leaving
        and now - peer.confirmed_at <= node.timing.confirm
    ]
    if not fit or owner.pending is not None:
        return
    node.handed_over_at = now
    owner.handing_over = True
    successor = node.generator.choice(fit).member
    owner.log("hands the cell over", successor=successor.worker)
    owner.send(successor.address, HandOver(node.cell, owner.record.epoch))
