"""After a takeover: fence the members, collect their records, then serve.

What goes wrong without it: the old owner, alive behind a cut or waking from a
pause, starts a task that the new one starts as well. The argument is in
docs/design/ownership.md.
"""

from cactuswalk.messages import Fenced, Record
from cactuswalk.model import CellRecord, Member, TaskState
from cactuswalk.state.ledger import Place
from cactuswalk.state.owner import OwnerState, Peer, Phase
from cactuswalk.state.peers import send_fence
from cactuswalk.state.retention import newer
from cactuswalk.state.roster import keep_roster, take_announcement
from cactuswalk.state.standing import has_majority
from cactuswalk.state.submissions import release_held

__all__ = ["begin_recovery", "on_fenced", "recover"]

# How long members that may still answer the fence are waited for, in spans of P.
# Without their records, tasks that have none have to be called unknown.
STRAGGLER_SPANS = 1


def begin_recovery(state: OwnerState, earlier: CellRecord | None, now: float) -> None:
    """Start as the owner of an epoch that the service has just confirmed.

    :param earlier: the record before the takeover; None for a new cell.
    """
    state.earlier = earlier
    if earlier is None:
        # A cell of this name may have been before, and the service lost it: what
        # its callers submitted is not known here. Taken for new it would run twice.
        state.known_since = state.agent.gate.records.known_since = now
        state.founded_at = now
    for member in earlier.roster if earlier else ():
        if member.worker == state.member.worker and member != state.member:
            state.replaced.add(member.incarnation)
    for member in state.record.roster:
        state.peers[member.incarnation] = Peer(member)
    state.log("took the cell over", owner=state.member.worker)
    recover(state, now)


def recover(state: OwnerState, now: float) -> None:
    """Ask again who has not answered, and serve once it is safe."""
    if state.phase is not Phase.RECOVERING:
        return
    if now - state.fence_sent_at >= state.timing.ping:
        state.fence_sent_at = now
        for member in _missing(state):
            send_fence(state, member)
    if _may_serve(state, now):
        _serve(state, now)


def on_fenced(state: OwnerState, sender: str, fenced: Fenced, now: float) -> None:
    """A member has taken the epoch, and hands out a part of its records."""
    if fenced.epoch != state.record.epoch:
        state.deposed = state.deposed or fenced.epoch > state.record.epoch
        return
    _note_confirmation(state, fenced, now)
    peer = state.peers.get(fenced.member.incarnation)
    if peer is None:
        _note_replaced(state, fenced.member)
        recover(state, now)
        return
    parts = state.parts.setdefault(fenced.member.incarnation, {})
    if fenced.part in parts or peer.fenced:
        return
    parts[fenced.part] = fenced.records
    if len(parts) < fenced.parts:
        return
    peer.fenced = True
    peer.heard_at = now
    if fenced.announcement is not None:
        take_announcement(state, peer, fenced.announcement, now)
    gathered = state.parts.pop(fenced.member.incarnation).values()
    records = [record for part in gathered for record in part]
    for record in records:
        _take_record(state, record, now)
    if state.phase is Phase.SERVING:
        _occupy(state, records, now)
    if state.phase is Phase.RECOVERING and _majority(state):
        state.fenced_at = now if state.fenced_at is None else state.fenced_at
    recover(state, now)


def _note_confirmation(state: OwnerState, fenced: Fenced, now: float) -> None:
    """Put off serving for P after a member's last word to an earlier owner.

    What its records don't reach back to can't be known either.
    """
    confirmed_at = now - fenced.silent_ms / 1000
    if state.phase is Phase.RECOVERING and state.earlier is not None:
        known_since = now - fenced.known_ms / 1000
        state.known_since = max(state.known_since, known_since)
    until = confirmed_at + state.timing.confirm
    state.old_owner_until = max(state.old_owner_until, until)


def _take_record(state: OwnerState, record: Record, now: float) -> None:
    known = state.recovered.get(record.submission, record.index)
    state.recovered.put(record if known is None else newer(known, record), now)


def _note_replaced(state: OwnerState, member: Member) -> None:
    """Note that a member's address is now another life's.

    Two processes can't listen at one address, so the earlier life is gone: it
    neither confirms an old owner nor starts anything, as if it were fenced,
    but its records are lost.
    """
    for known in state.record.roster:
        if known.worker == member.worker and known.address == member.address:
            state.replaced.add(known.incarnation)


def _fenced(state: OwnerState) -> set[str]:
    return {key for key, peer in state.peers.items() if peer.fenced}


def _old_roster(state: OwnerState) -> list[Member]:
    """Return the members of which the old owner needed more than half."""
    return state.earlier.roster if state.earlier else state.record.roster


def _missing(state: OwnerState) -> list[Member]:
    ended = _fenced(state) | state.replaced
    return [one for one in _old_roster(state) if one.incarnation not in ended]


def _majority(state: OwnerState) -> bool:
    return has_majority(_old_roster(state), _fenced(state) | state.replaced)


def _may_serve(state: OwnerState, now: float) -> bool:
    """Tell whether the old owner is certainly out, and the records are in.

    It is out once all members are fenced, its own agent among them; or once P
    has passed since any of a fenced majority last confirmed it, because each
    majority that it could count on shares a member with the fenced one.
    """
    missing = _missing(state)
    if not missing:
        return True
    if not _majority(state) or now < state.old_owner_until:
        return False
    if state.fenced_at is None:
        state.fenced_at = now
    earlier = state.earlier
    if earlier is not None and earlier.backed_up and missing == [earlier.owner]:
        return True
    return now >= state.fenced_at + STRAGGLER_SPANS * state.timing.confirm


def _members_without_records(state: OwnerState) -> list[Member]:
    """Return the members that may have started tasks of which no record is left.

    The earlier owner alone may be missing, if its own host's records were
    backed up: the copies came from another member.
    """
    earlier = state.earlier
    if earlier is None:
        return []
    fenced = _fenced(state)
    lost = [one for one in earlier.roster if one.incarnation not in fenced]
    if lost == [earlier.owner] and earlier.backed_up:
        lost = []
    return earlier.departed + lost


def _serve(state: OwnerState, now: float) -> None:
    state.phase = Phase.SERVING
    state.taken_over_at = now
    state.unsure_members = _members_without_records(state)
    if state.unsure_members:
        state.unsure_until = now + state.timing.retention
    for peer in state.peers.values():
        # Who has not answered yet has as long as any other to be heard again.
        peer.heard_at = max(peer.heard_at, now)
    _occupy(state, state.recovered.all(), now)
    state.log(
        "serves",
        records=state.recovered.count,
        unsure_of=[member.worker for member in state.unsure_members],
        missing=[member.worker for member in _missing(state)],
    )
    keep_roster(state, now)
    release_held(state, now)


def _occupy(state: OwnerState, records: list[Record], now: float) -> None:
    """Take note of what is running already, so that its slots count as taken."""
    for record in records:
        peer = state.peers.get(record.incarnation)
        if record.state is not TaskState.RUNNING or peer is None or not peer.fenced:
            continue
        place = (record.submission, record.index)
        peer.flights[place] = Place(
            record.worker, record.incarnation, record.attempt, 0, now
        )
        state.scheduler.inherit(*place, record.worker, now)
