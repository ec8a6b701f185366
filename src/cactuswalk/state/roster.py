"""The roster of a cell, and the copies that let any one host be lost.

Only the owner changes the roster, by swaps of the cell's record, and needs the
confirmation of the old and the new roster until the service's word is in.
"""

from collections.abc import Iterator

import msgspec

from cactuswalk.messages import Join, Leave, Record, RecordsReplicated, ReplicateRecords
from cactuswalk.model import (
    Announcement,
    CellRecord,
    Member,
    TaskOutcome,
    TaskResult,
    TaskState,
)
from cactuswalk.model.cell import cell_key
from cactuswalk.state import sharing
from cactuswalk.state.answered import unpack
from cactuswalk.state.copying import MAX_RECORDS_PER_PART
from cactuswalk.state.effects import ReadKey, SwapKey
from cactuswalk.state.events import KeyRead, KeySwapped, SwapOutcome
from cactuswalk.state.flights import abandon_flights
from cactuswalk.state.landing import record_of
from cactuswalk.state.ledger import Tracked
from cactuswalk.state.owner import OwnerState, Peer, Phase
from cactuswalk.state.peers import is_lost, send_fence, send_ping
from cactuswalk.state.spreading import apply_configuration, apply_worker

__all__ = [
    "cell_key",
    "keep_roster",
    "on_adopted",
    "on_join",
    "on_leave",
    "on_read",
    "on_swapped",
    "take_announcement",
]

# Between two tries of a swap whose outcome is unknown; the platform's client
# backs off by itself, this only spaces the owner's questions.
SWAP_AGAIN_AFTER = 0.5


def on_join(state: OwnerState, sender: str, join: Join, now: float) -> None:
    """An agent wants to be a member, or announces a change."""
    member = join.member
    peer = state.peers.get(member.incarnation)
    if peer is None:
        state.joining[member.worker] = member
    elif join.announcement is not None:
        take_announcement(state, peer, join.announcement, now)
        return
    keep_roster(state, now)


def take_announcement(
    state: OwnerState, peer: Peer, announcement: Announcement, now: float
) -> None:
    """Take what an upstream says of itself, unless a later word is known."""
    known = peer.announcement
    if known is not None and known.serial >= announcement.serial:
        return
    peer.announcement = announcement
    peer.usable = False
    apply_worker(state, state.sync, peer, now)
    if known is None or known.service != announcement.service:
        apply_configuration(state, state.sync, now)
    state.log("took an announcement", worker=announcement.worker)


def on_leave(state: OwnerState, sender: str, leave: Leave, now: float) -> None:
    """A member is stopping as planned; it has finished all it ran."""
    peer = state.peers.get(leave.member.incarnation)
    if peer is not None:
        peer.leaving = True
        state.usable_as_of = ()
    keep_roster(state, now)


def keep_roster(state: OwnerState, now: float) -> None:
    """Write the roster that should be, if the one in force differs."""
    if state.phase is not Phase.SERVING or state.handing_over or state.deposed:
        return
    _keep_backup(state, now)
    if state.pending is not None:
        if now >= state.swap_again_at:
            _swap(state, state.pending, now)
        return
    wanted = _wanted(state, now)
    if wanted is not None:
        state.pending = wanted
        _swap(state, wanted, now)


def _wanted(state: OwnerState, now: float) -> CellRecord | None:
    """Return the record that should stand in the service, None if it does.

    A stopping member stays while attempts are noted there: one whose start or
    result was lost would be called unknown, and the planned stop would have cut
    it off. The member's word on it comes with the next probe.
    """
    record = state.record
    deaf = _hears_nobody(state, now)
    gone = [
        peer.member
        for peer in state.peers.values()
        if (is_lost(state, peer, now) and not deaf)
        or (peer.leaving and not peer.flights)
    ]
    replaced = [
        member
        for member in record.roster
        if member.worker in state.joining and member != state.joining[member.worker]
    ]
    removed = [member for member in record.roster if member in gone + replaced]
    added = [member for member in state.joining.values() if member not in record.roster]
    departed = _departed(state, removed, now)
    backed_up = state.backup_ready and state.backup not in removed
    base = sharing.changed(state, now)
    if not removed and not added and departed == record.departed:
        if backed_up == record.backed_up and base == record:
            return None
    roster = [member for member in record.roster if member not in removed] + added
    return msgspec.structs.replace(
        base,
        roster=roster,
        departed=departed,
        write_id=f"{state.generator.getrandbits(64):016x}",
        backed_up=backed_up,
    )


def _hears_nobody(state: OwnerState, now: float) -> bool:
    """Tell whether all other members have fallen silent together.

    Then it is rather this host that hears nothing. Were the others taken off the
    roster, they could not take the cell over, and nobody would be served until
    the link is mended. In a cell of two the other could not do so anyway.

    Their last words came at different moments. So this is known well before the
    first of them counts as lost: once nobody was heard for as long as a member
    waits for its owner.
    """
    others = [peer for peer in state.peers.values() if peer.member != state.member]
    heard_at = max((peer.heard_at for peer in others), default=now)
    return len(others) > 1 and now - heard_at > state.timing.suspect


def _departed(state: OwnerState, removed: list[Member], now: float) -> list[Member]:
    """Return the members whose records nobody else holds yet.

    They are struck off once the backup has copies of all that only this owner
    knows, which includes what it ever sent to them.
    """
    unsure = state.unsure_members if now < state.unsure_until else []
    kept = state.record.departed
    if state.backup_ready and state.backup not in removed:
        kept = [
            member
            for member in kept
            if member in unsure or member not in state.departed_covered
        ]
    return kept + [member for member in removed if member not in kept]


def _swap(state: OwnerState, record: CellRecord, now: float) -> None:
    state.swap_again_at = now + SWAP_AGAIN_AFTER
    state.effects.append(
        SwapKey(
            cell_key(state.cell),
            state.revision,
            msgspec.json.encode(record),
            record.write_id,
        )
    )


def on_swapped(state: OwnerState, event: KeySwapped, now: float) -> None:
    """The service has, or has not, taken a record of this owner."""
    if state.pending is None or event.write_id != state.pending.write_id:
        return
    if event.outcome is SwapOutcome.UNKNOWN:
        state.count("swap.unknown")
        return
    if event.outcome is SwapOutcome.LOST:
        # Somebody else changed the record: a new owner, or an operator.
        state.effects.append(ReadKey(cell_key(state.cell)))
        state.swap_again_at = now + SWAP_AGAIN_AFTER
        return
    state.revision = event.revision
    _adopt_record(state, state.pending, now)
    state.pending = None
    keep_roster(state, now)


def on_read(state: OwnerState, event: KeyRead, now: float) -> None:
    """The cell's record was read again after a swap that was not applied."""
    if not event.known:
        return
    if event.value is None:
        # The service has lost its data; the swap now has to create the key.
        state.revision = 0
        return
    record = msgspec.json.decode(event.value, type=CellRecord)
    if record.epoch < state.record.epoch:
        # The service has gone back, and perhaps another cell began meanwhile. All
        # agents and entries hold to this epoch, so the record is written over.
        state.revision = event.revision
        return
    if record.epoch > state.record.epoch or record.owner != state.member:
        state.deposed = True
        return
    if state.pending is not None and event.revision > state.revision:
        state.revision = event.revision
        if record.write_id == state.pending.write_id:
            _adopt_record(state, record, now)
        # What was to be ceded is asked for again: until then, keys that are born
        # after the moment in it may be accepted here, and it would be untrue.
        state.sharing.cession = None
        state.pending = None


def _adopt_record(state: OwnerState, record: CellRecord, now: float) -> None:
    """Go over to a record that stands in the service."""
    earlier, state.record = state.record, record
    state.sharing.cession, state.sharing.taking = None, None
    for member in earlier.roster:
        if member not in record.roster:
            _forget(state, member, now)
    for member in record.roster:
        state.joining = {
            worker: joining
            for worker, joining in state.joining.items()
            if joining != member
        }
        if member.incarnation not in state.peers:
            _note_life(state, member, now)
            state.peers[member.incarnation] = Peer(member, heard_at=now)
            send_fence(state, member)
    state.workers_serial += 1
    state.log("changed the roster", workers=[one.worker for one in record.roster])


def _note_life(state: OwnerState, member: Member, now: float) -> None:
    """Tell a worker that has died from one that was silent and is back."""
    earlier = state.left.pop(member.worker, member.incarnation)
    if earlier != member.incarnation:
        state.scheduler.record_worker_death(member.worker, now)
        state.count("worker.died")


def _forget(state: OwnerState, member: Member, now: float) -> None:
    peer = state.peers.get(member.incarnation)
    if peer is None:
        return
    abandon_flights(state, peer, "it was sent to a worker that was lost", now)
    del state.peers[member.incarnation]
    if peer.leaving:
        # The last ping tells a stopping agent that it may go.
        send_ping(state, peer)
    else:
        state.left[member.worker] = member.incarnation
    # A new life of the worker announces itself anew; until then the scheduler
    # must not take it for the one that could be given work.
    state.scheduler.remove_worker(member.worker, now)
    if state.backup == member:
        state.backup, state.backup_ready = None, False


def _keep_backup(state: OwnerState, now: float) -> None:
    """See to it that one other member has copies of what only this host knows.

    An owner that hears nobody starts nothing, so the copies stay whole, and the
    next owner is to know that they are.
    """
    if _hears_nobody(state, now):
        return
    if _backup_is_gone(state, now):
        state.backup, state.backup_ready = _best_backup(state, now), False
        state.backup_again_at = now
    if state.backup is None:
        return
    covered = all(member in state.departed_covered for member in state.record.departed)
    if (state.backup_ready and covered) or now < state.backup_again_at:
        return
    _send_copies(state, state.backup, now)


def _backup_is_gone(state: OwnerState, now: float) -> bool:
    """Tell whether another backup is needed.

    While the key-value service is away a lost member stays on the roster, and
    would be waited for as a witness.
    """
    if state.backup is None:
        return True
    peer = state.peers.get(state.backup.incarnation)
    return peer is None or is_lost(state, peer, now)


def _best_backup(state: OwnerState, now: float) -> Member | None:
    fit = [
        peer
        for peer in state.peers.values()
        if peer.member != state.member
        and peer.fenced
        and not peer.leaving
        and now - peer.confirmed_at <= state.timing.confirm
    ]
    fit.sort(key=lambda peer: peer.member.worker)
    return fit[0].member if fit else None


def _send_copies(state: OwnerState, backup: Member, now: float) -> None:
    records = sole_records(state, now)
    state.backup_serial += 1
    state.backup_again_at = now + state.timing.confirm
    state.backup_covers = list(state.record.departed)
    state.backup_tokens = set()
    for first in range(0, max(len(records), 1), MAX_RECORDS_PER_PART):
        token = f"{state.backup_serial}.{first}"
        state.backup_tokens.add(token)
        adopt = ReplicateRecords(
            state.cell,
            state.record.epoch,
            token,
            records[first : first + MAX_RECORDS_PER_PART],
        )
        state.send(backup.address, adopt)


def _recently_tracked(state: OwnerState, since: float) -> Iterator[Tracked]:
    """Yield the submissions that are open, or were answered since."""
    for name in state.open:
        yield state.ledger[name]
    for answered in reversed(state.kept):
        if answered.kept_until - state.timing.retention < since:
            return
        yield unpack(answered)


def sole_records(state: OwnerState, now: float) -> list[Record]:
    """Return the recent records that no other member is known to hold.

    Those of the agent on this host, and those of lives that are gone: the
    owner knows them from the takeover and from what it sent there itself.
    """
    elsewhere = set(state.peers) - {state.member.incarnation}
    since = now - state.timing.takeover_lookback
    found = state.agent.gate.records.changed_since(since)
    found += state.agent.copies.changed_since(since)
    found += state.recovered.changed_since(since)
    for tracked in _recently_tracked(state, since):
        for index, task in enumerate(tracked.tasks):
            if task.place is not None:
                kind = TaskState.RUNNING if task.result is None else _kind(task.result)
                found.append(record_of(tracked, index, kind))
    return [record for record in found if record.incarnation not in elsewhere]


def _kind(result: TaskResult) -> TaskState:
    done = result.outcome is TaskOutcome.DONE
    return TaskState.DONE if done else TaskState.FAILED


def on_adopted(
    state: OwnerState, sender: str, adopted: RecordsReplicated, now: float
) -> None:
    """The backup holds one more part of the copies."""
    if state.backup is None or adopted.incarnation != state.backup.incarnation:
        return
    state.backup_tokens.discard(adopted.token)
    if state.backup_tokens or adopted.token.split(".")[0] != str(state.backup_serial):
        return
    if not state.backup_ready:
        state.log("has a backup", worker=state.backup.worker)
    state.backup_ready = True
    state.departed_covered = list(state.backup_covers)
    keep_roster(state, now)
