"""How the owner pings, probes and fences members, and abandons lost ones."""

import itertools

from cactuswalk.messages import Fence, Ping, Pong
from cactuswalk.model import Member
from cactuswalk.state.flights import abandon_flights
from cactuswalk.state.landing import send_probe
from cactuswalk.state.owner import OwnerState, Peer, Phase
from cactuswalk.state.placing import dispatch

__all__ = [
    "is_lost",
    "on_pong",
    "ping_peers",
    "send_fence",
    "send_ping",
    "abandon_lost_peers",
]

# A hundred round trips. With this interval the confirmation of a member whose ping
# was lost is at most 0.7 s old, and a worker gets work up to 0.75 s.
PING_RETRY_SECONDS = 0.1


def ping_peers(state: OwnerState, now: float) -> None:
    """Ping the fenced members that are due, and fence the others again."""
    if state.phase is Phase.RECOVERING:
        return
    if _is_unheard(state, now) and now - state.pinged_at < state.timing.lost:
        return
    due = [peer for peer in state.peers.values() if _is_due(state, peer, now)]
    if not due:
        return
    state.pinged_at = now
    state.ping_serial += 1
    for peer in due:
        _ping_or_fence(state, peer, now)
    addresses = [peer.member.address for peer in due]
    state.effects += state.sync.offers_if_ahead(addresses)


def _is_due(state: OwnerState, peer: Peer, now: float) -> bool:
    """Tell whether it is time to ping a member.

    A member that confirmed the last ping is skipped for two periods. If the next
    ping is lost, its confirmation would soon be too old for it to get work, so the
    first repetition is sent early. More early ones would not help a slow link.
    """
    since = now - peer.pinged_at
    if not peer.fenced:
        return since >= state.timing.ping
    if peer.confirmed != peer.pinged:
        first = peer.unconfirmed_since == peer.pinged_at
        return since >= (PING_RETRY_SECONDS if first else state.timing.ping)
    has_news = (
        peer.roster_known != state.record.write_id
        or peer.configuration != state.agent.configuration
        or state.sync.replica.ahead
    )
    return since >= (state.timing.ping if has_news else 2 * state.timing.ping)


def _ping_or_fence(state: OwnerState, peer: Peer, now: float) -> None:
    peer.pinged_at = now
    if not peer.fenced:
        # The fence, or its answer, may have been lost.
        send_fence(state, peer.member)
        return
    oldest = now - 2 * state.timing.confirm
    peer.pings = {
        serial: sent_at for serial, sent_at in peer.pings.items() if sent_at > oldest
    }
    if peer.confirmed == peer.pinged:
        peer.unconfirmed_since = now
    peer.pings[state.ping_serial] = now
    peer.pinged = state.ping_serial
    send_ping(state, peer)


def _is_unheard(state: OwnerState, now: float) -> bool:
    """Tell whether no quorum has confirmed this owner for a while.

    If a link is cut one way, the owner can't start tasks, yet its pings would keep
    the members from taking the cell over. It therefore stops pinging for longer
    than they wait. It still pings rarely, for a cut that heals while the key-value
    service is down and nobody can take the cell over.
    """
    if state.is_confirmed(now):
        state.confirmed_at = now
    unconfirmed_seconds = now - max(state.confirmed_at, state.taken_over_at)
    return unconfirmed_seconds > state.timing.suspect


def send_fence(state: OwnerState, member: Member) -> None:
    """Fence a member against earlier epochs, and request its records."""
    fence = Fence(state.cell, state.record.epoch, state.member)
    state.send(member.address, fence)


def send_ping(state: OwnerState, peer: Peer) -> None:
    """Send a member a ping, with the roster if it has not confirmed it yet."""
    known = peer.roster_known == state.record.write_id
    if not known and peer.roster_sent != state.record.write_id:
        peer.roster_sent, peer.roster_since = state.record.write_id, state.ping_serial
    ping = Ping(
        state.cell,
        state.record.epoch,
        None if known else state.member,
        state.ping_serial,
        state.agent.configuration,
        peer.announcement.serial if peer.announcement else 0,
        [] if known else state.record.roster,
    )
    state.send(peer.member.address, ping)


def on_pong(state: OwnerState, sender: str, pong: Pong, now: float) -> None:
    """Handle a member's confirmation of this epoch or report of a higher one."""
    if pong.epoch > state.record.epoch:
        state.deposed = True
        return
    peer = state.peers.get(pong.incarnation)
    if peer is None or pong.epoch != state.record.epoch:
        state.count("pong.stranger")
        return
    sent_at = peer.pings.pop(pong.serial, None)
    if sent_at is None or sent_at < peer.confirmed_at:
        # A duplicate or late pong must not renew an old confirmation.
        return
    peer.confirmed, peer.confirmed_at = pong.serial, sent_at
    if pong.serial >= peer.roster_since:
        peer.roster_known = peer.roster_sent
    peer.heard_at = now
    peer.stamp, peer.stamp_at = pong.stamp, now
    peer.ready = pong.ready
    peer.configuration, peer.ahead = pong.configuration, pong.ahead
    state.effects += state.sync.request_if_behind(
        sender, pong.configuration, now, pong.ahead
    )
    _probe_unlisted_starts(state, peer, pong, now)
    dispatch(state, now, peer)


def _probe_unlisted_starts(
    state: OwnerState, peer: Peer, pong: Pong, now: float
) -> None:
    """Probe starts that should run at a member but aren't listed in its pong.

    The start or its result was lost; without a probe the job would wait for its
    deadline. An attempt that still runs although it was asked to stop is asked
    again: if the request was lost, it would hold its slot until the task's own end.
    """
    running = set(itertools.accumulate(pong.running))
    for place, flight in list(peer.placements.items()):
        if flight.attempt in running:
            if flight.unwanted and now - flight.probed_at >= state.timing.confirm:
                send_probe(state, peer, place, now, stop=True)
            continue
        if flight.sent_ping >= pong.serial:
            continue
        if flight.sent_at and now - flight.probed_at >= state.timing.ping:
            send_probe(state, peer, place, now, stop=False)


def abandon_lost_peers(state: OwnerState, now: float) -> None:
    """Give up the placements of members that have been silent for too long."""
    for peer in list(state.peers.values()):
        if is_lost(state, peer, now) and peer.placements:
            state.log("lost a worker", worker=peer.member.worker)
            abandon_flights(state, peer, "it was sent to a worker that was lost", now)


def is_lost(state: OwnerState, peer: Peer, now: float) -> bool:
    """Tell whether a member has been silent for too long."""
    if peer.member == state.member or state.phase is Phase.RECOVERING:
        return False
    return now - max(peer.heard_at, peer.unconfirmed_since) > state.timing.lost
