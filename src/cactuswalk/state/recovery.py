"""Recovery after a takeover: fence the members, collect their records, then serve.

Without it, an old owner that is partitioned or resumes after a pause would start a
task that the new owner starts as well. The argument is in docs/design/ownership.md.
"""

from cactuswalk.messages import Fenced, Record
from cactuswalk.model import CellRecord, Member, TaskState
from cactuswalk.state.ledger import Placement
from cactuswalk.state.owner import OwnerState, Peer, Phase
from cactuswalk.state.peers import send_fence
from cactuswalk.state.retention import choose_newer
from cactuswalk.state.roster import apply_announcement, maintain_roster
from cactuswalk.state.standing import has_majority
from cactuswalk.state.submissions import process_held_submissions

__all__ = ["begin_recovery", "on_fenced", "recover"]

# Periods P to wait for members that may still answer the fence. Without their
# records, tasks that have no record must be answered as unknown.
STRAGGLER_WAIT_PERIODS = 1


def begin_recovery(state: OwnerState, earlier: CellRecord | None, now: float) -> None:
    """Start as the owner of an epoch that the service has just confirmed.

    :param earlier: the record before the takeover; None for a new cell.
    """
    state.earlier = earlier
    if earlier is None:
        # The service may have lost an earlier cell of this name. Submissions to that
        # cell are unknown here and would run twice if they were taken for new.
        state.known_since = state.agent.gate.records.known_since = now
        state.founded_at = now
    elif earlier.known_since_ms:
        # Its founder may never have served, or have ended since.
        state.known_since = (earlier.known_since_ms - state.wall_ms) / 1000
    for member in earlier.roster if earlier else ():
        if member.worker == state.member.worker and member != state.member:
            state.replaced.add(member.incarnation)
    for member in state.record.roster:
        state.peers[member.incarnation] = Peer(member)
    state.log(
        "took over the cell",
        owner=state.member.worker,
        incarnation=state.member.incarnation,
        earlier_epoch=earlier.epoch if earlier else 0,
    )
    recover(state, now)


def recover(state: OwnerState, now: float) -> None:
    """Fence unanswered members again, and begin to serve once it is safe."""
    if state.phase is not Phase.RECOVERING:
        return
    if now - state.fence_sent_at >= state.timing.ping:
        state.fence_sent_at = now
        for member in _unfenced_members(state):
            send_fence(state, member)
    if _can_serve(state, now):
        _begin_serving(state, now)


def on_fenced(state: OwnerState, sender: str, fenced: Fenced, now: float) -> None:
    """Handle a member's answer to the fence with one part of its records."""
    if fenced.epoch != state.record.epoch:
        state.deposed = state.deposed or fenced.epoch > state.record.epoch
        return
    _record_confirmation(state, fenced, now)
    peer = state.peers.get(fenced.member.incarnation)
    if peer is None:
        _record_replaced(state, fenced.member)
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
        apply_announcement(state, peer, fenced.announcement, now)
    gathered = state.parts.pop(fenced.member.incarnation).values()
    records = [record for part in gathered for record in part]
    for record in records:
        _add_record(state, record, now)
    if state.phase is Phase.SERVING:
        _inherit_running(state, records, now)
    if state.phase is Phase.RECOVERING and _has_fenced_majority(state):
        state.fenced_at = now if state.fenced_at is None else state.fenced_at
    recover(state, now)


def _record_confirmation(state: OwnerState, fenced: Fenced, now: float) -> None:
    """Delay serving until P after a member's last confirmation of an earlier owner.

    Also limit what is known here to the time that the member's records cover.
    """
    confirmed_at = now - fenced.silent_ms / 1000
    if state.phase is Phase.RECOVERING and state.earlier is not None:
        known_since = now - fenced.known_ms / 1000
        state.known_since = max(state.known_since, known_since)
    until = confirmed_at + state.timing.confirm
    state.old_owner_until = max(state.old_owner_until, until)


def _add_record(state: OwnerState, record: Record, now: float) -> None:
    known = state.recovered.get(record.submission, record.index)
    state.recovered.put(record if known is None else choose_newer(known, record), now)


def _record_replaced(state: OwnerState, member: Member) -> None:
    """Record that a new incarnation has taken a member's address.

    Two processes can't listen at one address, so the earlier incarnation is gone.
    Like a fenced one it neither confirms an old owner nor starts anything, but its
    records are lost.
    """
    for known in state.record.roster:
        if known.worker == member.worker and known.address == member.address:
            state.replaced.add(known.incarnation)


def _fenced_incarnations(state: OwnerState) -> set[str]:
    return {key for key, peer in state.peers.items() if peer.fenced}


def _earlier_roster(state: OwnerState) -> list[Member]:
    """Return the roster of which the old owner needed a majority."""
    return state.earlier.roster if state.earlier else state.record.roster


def _unfenced_members(state: OwnerState) -> list[Member]:
    ended = _fenced_incarnations(state) | state.replaced
    return [one for one in _earlier_roster(state) if one.incarnation not in ended]


def _has_fenced_majority(state: OwnerState) -> bool:
    return has_majority(
        _earlier_roster(state), _fenced_incarnations(state) | state.replaced
    )


def _can_serve(state: OwnerState, now: float) -> bool:
    """Tell whether the old owner can't act any more, and the records are collected.

    The old owner can't act once all members are fenced, including its own agent; or
    once P has passed since any member of a fenced majority last confirmed it,
    because every majority that could confirm it shares a member with the fenced one.
    """
    missing = _unfenced_members(state)
    if not missing:
        return True
    if not _has_fenced_majority(state) or now < state.old_owner_until:
        return False
    if state.fenced_at is None:
        state.fenced_at = now
    earlier = state.earlier
    if earlier is not None and earlier.backed_up and missing == [earlier.owner]:
        return True
    return now >= state.fenced_at + STRAGGLER_WAIT_PERIODS * state.timing.confirm


def _members_without_records(state: OwnerState) -> list[Member]:
    """Return the members that may have started tasks whose records are lost.

    If only the earlier owner is missing and its host's records were backed up, none
    are lost: another member has handed over the copies.
    """
    earlier = state.earlier
    if earlier is None:
        return []
    fenced = _fenced_incarnations(state)
    lost = [one for one in earlier.roster if one.incarnation not in fenced]
    if lost == [earlier.owner] and earlier.backed_up:
        lost = []
    return earlier.departed + lost


def _begin_serving(state: OwnerState, now: float) -> None:
    state.phase = Phase.SERVING
    state.taken_over_at = now
    state.unrecorded_members = _members_without_records(state)
    if state.unrecorded_members:
        state.records_missing_until = now + state.timing.retention
    for peer in state.peers.values():
        # Members that have not answered yet get the full time to be heard again.
        peer.heard_at = max(peer.heard_at, now)
    _inherit_running(state, state.recovered.all(), now)
    state.log(
        "serves",
        incarnation=state.member.incarnation,
        records=state.recovered.count,
        unsure_of=[member.worker for member in state.unrecorded_members],
        missing=[member.worker for member in _unfenced_members(state)],
    )
    maintain_roster(state, now)
    process_held_submissions(state, now)


def _inherit_running(state: OwnerState, records: list[Record], now: float) -> None:
    """Add the attempts that already run, so that their slots count as used."""
    for record in records:
        peer = state.peers.get(record.incarnation)
        if record.state is not TaskState.RUNNING or peer is None or not peer.fenced:
            continue
        place = (record.submission, record.index)
        peer.placements[place] = Placement(
            record.worker, record.incarnation, record.attempt, 0, now
        )
        state.scheduler.inherit(*place, record.worker, now)
