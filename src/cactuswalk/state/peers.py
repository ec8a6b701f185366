"""The owner's view of its members: pings, standing, probes."""

import itertools

from cactuswalk.messages import Fence, Ping, Pong
from cactuswalk.model import Member
from cactuswalk.state.flights import abandon_flights
from cactuswalk.state.landing import probe
from cactuswalk.state.owner import OwnerState, Peer, Phase
from cactuswalk.state.placing import dispatch

__all__ = [
    "is_lost",
    "on_pong",
    "ping_peers",
    "send_fence",
    "send_ping",
    "watch_peers",
]

# A hundred round trips. With it, the word of a member whose ping was lost is 0.7 s
# old at most, and a worker gets work up to 0.75 s.
PING_AGAIN_AFTER = 0.1


def ping_peers(state: OwnerState, now: float) -> None:
    """Ask for its confirmation each fenced member whose turn has come."""
    if state.phase is Phase.RECOVERING:
        return
    if _is_deaf(state, now) and now - state.pinged_at < state.timing.lost:
        return
    due = [peer for peer in state.peers.values() if _is_due(state, peer, now)]
    if not due:
        return
    state.pinged_at = now
    state.ping_serial += 1
    for peer in due:
        _ask(state, peer, now)
    addresses = [peer.member.address for peer in due]
    state.effects += state.sync.offers_if_ahead(addresses)


def _is_due(state: OwnerState, peer: Peer, now: float) -> bool:
    """Tell whether it is time to ping a member.

    One that has confirmed the last ping may rest for two periods. Were it left so
    when that ping was lost, its word would be too old to give it work, so the first
    repetition comes early; more of them would not help a link that is slow.
    """
    since = now - peer.pinged_at
    if not peer.fenced:
        return since >= state.timing.ping
    if peer.confirmed != peer.pinged:
        first = peer.asked_since == peer.pinged_at
        return since >= (PING_AGAIN_AFTER if first else state.timing.ping)
    has_news = (
        peer.roster_known != state.record.write_id
        or peer.configuration != state.agent.configuration
        or state.sync.replica.ahead
    )
    return since >= (state.timing.ping if has_news else 2 * state.timing.ping)


def _ask(state: OwnerState, peer: Peer, now: float) -> None:
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
        peer.asked_since = now
    peer.pings[state.ping_serial] = now
    peer.pinged = state.ping_serial
    send_ping(state, peer)


def _is_deaf(state: OwnerState, now: float) -> bool:
    """Tell whether this owner can send but has heard nothing for long.

    It has no standing, yet its pings would keep the members from missing it: the
    cell would start nothing for as long as the link is cut one way. So it falls
    silent for longer than they wait. It goes on rarely, for a cut that heals while
    the service is away and nobody can take the cell over.
    """
    if state.is_confirmed(now):
        state.confirmed_at = now
    deaf_for = now - max(state.confirmed_at, state.taken_over_at)
    return deaf_for > state.timing.suspect


def send_fence(state: OwnerState, member: Member) -> None:
    """End earlier epochs at a member, and ask for its records."""
    fence = Fence(state.cell, state.record.epoch, state.member)
    state.send(member.address, fence)


def send_ping(state: OwnerState, peer: Peer) -> None:
    """Send a member a ping with what is in force, the roster if it is news."""
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
    """A member confirms the epoch, or tells of a higher one."""
    if pong.epoch > state.record.epoch:
        state.deposed = True
        return
    peer = state.peers.get(pong.incarnation)
    if peer is None or pong.epoch != state.record.epoch:
        state.count("pong.stranger")
        return
    sent_at = peer.pings.pop(pong.serial, None)
    if sent_at is None or sent_at < peer.confirmed_at:
        # A repeated or late pong must not make an old confirmation young.
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
    _probe_missing(state, peer, pong, now)
    dispatch(state, now, peer)


def _probe_missing(state: OwnerState, peer: Peer, pong: Pong, now: float) -> None:
    """Ask after starts that should be running there and are not.

    Either the start or its result was lost on the way. Without this the job
    would hang until its deadline. What runs still and was asked to stop is asked
    again: without that, a lost wish holds its slot until the task's own end.
    """
    running = set(itertools.accumulate(pong.running))
    for place, flight in list(peer.flights.items()):
        if flight.attempt in running:
            if flight.unwanted and now - flight.probed_at >= state.timing.confirm:
                probe(state, peer, place, now, stop=True)
            continue
        if flight.sent_ping >= pong.serial:
            continue
        if flight.sent_at and now - flight.probed_at >= state.timing.ping:
            probe(state, peer, place, now, stop=False)


def watch_peers(state: OwnerState, now: float) -> None:
    """Give up what was placed at members that have been silent too long."""
    for peer in list(state.peers.values()):
        if is_lost(state, peer, now) and peer.flights:
            state.log("lost a worker", worker=peer.member.worker)
            abandon_flights(state, peer, "it was sent to a worker that was lost", now)


def is_lost(state: OwnerState, peer: Peer, now: float) -> bool:
    """Tell whether a member has been silent for too long."""
    if peer.member == state.member or state.phase is Phase.RECOVERING:
        return False
    return now - max(peer.heard_at, peer.asked_since) > state.timing.lost
