"""Changes of a cell's roster, and copies of records for the loss of any one host.

Only the owner changes the roster, by swaps of the cell's record. Until the key-value
service confirms a swap, majorities of both the old and the new roster must confirm
the owner.
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
from cactuswalk.state.landing import make_record
from cactuswalk.state.ledger import TrackedJob
from cactuswalk.state.owner import OwnerState, Peer, Phase
from cactuswalk.state.peers import is_lost, send_fence, send_ping
from cactuswalk.state.spreading import apply_configuration, apply_worker

__all__ = [
    "cell_key",
    "maintain_roster",
    "on_adopted",
    "on_join",
    "on_leave",
    "on_read",
    "on_swapped",
    "apply_announcement",
]

# Pause before a swap in doubt is retried. The key-value client has its own backoff;
# this only spaces the owner's requests.
SWAP_RETRY_SECONDS = 0.5


def on_join(state: OwnerState, sender: str, join: Join, now: float) -> None:
    """Handle an agent's request for membership or its changed announcement."""
    member = join.member
    peer = state.peers.get(member.incarnation)
    if peer is None:
        state.joining[member.worker] = member
    elif join.announcement is not None:
        apply_announcement(state, peer, join.announcement, now)
        return
    maintain_roster(state, now)


def apply_announcement(
    state: OwnerState, peer: Peer, announcement: Announcement, now: float
) -> None:
    """Apply an upstream's announcement, unless a later one is known."""
    known = peer.announcement
    if known is not None and known.serial >= announcement.serial:
        return
    peer.announcement = announcement
    peer.usable = False
    apply_worker(state, state.sync, peer, now)
    if known is None or known.service != announcement.service:
        apply_configuration(state, state.sync, now)
    state.log("applied an announcement", worker=announcement.worker)


def on_leave(state: OwnerState, sender: str, leave: Leave, now: float) -> None:
    """Handle a member's planned stop; it has finished all its tasks."""
    peer = state.peers.get(leave.member.incarnation)
    if peer is not None:
        peer.leaving = True
        state.usable_as_of = ()
    maintain_roster(state, now)


def maintain_roster(state: OwnerState, now: float) -> None:
    """Swap in the target record, if the one in force differs."""
    if state.phase is not Phase.SERVING or state.handing_over or state.deposed:
        return
    _maintain_backup(state, now)
    if state.pending is not None:
        if now >= state.swap_again_at:
            _swap(state, state.pending, now)
        return
    target = _target_record(state, now)
    if target is not None:
        state.pending = target
        _swap(state, target, now)


def _target_record(state: OwnerState, now: float) -> CellRecord | None:
    """Return the record that the service should have, None if it has it.

    A stopping member stays on the roster while it has placements. An attempt whose
    start or result was lost would otherwise end as unknown because of the planned
    stop; the next probe clears it up.
    """
    record = state.record
    isolated = _hears_no_member(state, now)
    gone = [
        peer.member
        for peer in state.peers.values()
        if (is_lost(state, peer, now) and not isolated)
        or (peer.leaving and not peer.placements)
    ]
    replaced = [
        member
        for member in record.roster
        if member.worker in state.joining and member != state.joining[member.worker]
    ]
    removed = [member for member in record.roster if member in gone + replaced]
    added = [member for member in state.joining.values() if member not in record.roster]
    departed = _departed_members(state, removed, now)
    backed_up = state.backup_ready and state.backup not in removed
    base = sharing.plan_record(state, now)
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


def _hears_no_member(state: OwnerState, now: float) -> bool:
    """Tell whether all other members have become silent at once.

    In that case this host is probably the one that receives nothing. If it removed
    the others from the roster, they could not take the cell over, and nobody would
    be served until the link is repaired. In a cell of two members the other could
    not do so anyway.

    The last messages of the members came at different times. The check therefore
    uses the time that a member waits for its owner, which ends well before the first
    of them counts as lost.
    """
    others = [peer for peer in state.peers.values() if peer.member != state.member]
    heard_at = max((peer.heard_at for peer in others), default=now)
    return len(others) > 1 and now - heard_at > state.timing.suspect


def _departed_members(
    state: OwnerState, removed: list[Member], now: float
) -> list[Member]:
    """Return the members whose records nobody else holds yet.

    They are struck off once the backup has copies of all that only this owner
    knows, which includes what it ever sent to them.
    """
    unsure = state.unrecorded_members if now < state.records_missing_until else []
    kept = state.record.departed
    if state.backup_ready and state.backup not in removed:
        kept = [
            member
            for member in kept
            if member in unsure or member not in state.departed_covered
        ]
    return kept + [member for member in removed if member not in kept]


def _swap(state: OwnerState, record: CellRecord, now: float) -> None:
    state.swap_again_at = now + SWAP_RETRY_SECONDS
    state.effects.append(
        SwapKey(
            cell_key(state.cell),
            state.revision,
            msgspec.json.encode(record),
            record.write_id,
        )
    )


def on_swapped(state: OwnerState, event: KeySwapped, now: float) -> None:
    """Handle the outcome of a swap of the cell's record."""
    if state.pending is None or event.write_id != state.pending.write_id:
        return
    if event.outcome is SwapOutcome.UNKNOWN:
        state.count("swap.unknown")
        return
    if event.outcome is SwapOutcome.LOST:
        # A new owner or an operator has changed the record.
        state.effects.append(ReadKey(cell_key(state.cell)))
        state.swap_again_at = now + SWAP_RETRY_SECONDS
        return
    state.revision = event.revision
    _apply_record(state, state.pending, now)
    state.pending = None
    maintain_roster(state, now)


def on_read(state: OwnerState, event: KeyRead, now: float) -> None:
    """Handle the cell's record as read back after a swap that was not applied."""
    if not event.known:
        return
    if event.value is None:
        # The service has lost its data, so the swap must create the key.
        state.revision = 0
        return
    record = msgspec.json.decode(event.value, type=CellRecord)
    if record.epoch < state.record.epoch:
        # The service has lost writes, and another cell may have been created since.
        # All agents and entries use this epoch, so the record is overwritten.
        state.revision = event.revision
        return
    if record.epoch > state.record.epoch or record.owner != state.member:
        state.deposed = True
        return
    if state.pending is not None and event.revision > state.revision:
        state.revision = event.revision
        if record.write_id == state.pending.write_id:
            _apply_record(state, record, now)
        # Drop the cession; the other cell will ask again. By then this cell may have
        # accepted keys born after the cession's start, which would make it wrong.
        state.sharing.cession = None
        state.pending = None


def _apply_record(state: OwnerState, record: CellRecord, now: float) -> None:
    """Apply a record that the service has confirmed."""
    earlier, state.record = state.record, record
    state.sharing.cession, state.sharing.taking = None, None
    for member in earlier.roster:
        if member not in record.roster:
            _remove_member(state, member, now)
    for member in record.roster:
        state.joining = {
            worker: joining
            for worker, joining in state.joining.items()
            if joining != member
        }
        if member.incarnation not in state.peers:
            _record_restart(state, member, now)
            state.peers[member.incarnation] = Peer(member, heard_at=now)
            send_fence(state, member)
    state.workers_serial += 1
    state.log("changed the roster", workers=[one.worker for one in record.roster])


def _record_restart(state: OwnerState, member: Member, now: float) -> None:
    """Record the death of a worker that returns as another incarnation."""
    earlier = state.removed_incarnations.pop(member.worker, member.incarnation)
    if earlier != member.incarnation:
        state.scheduler.record_worker_death(member.worker, now)
        state.count("worker.died")


def _remove_member(state: OwnerState, member: Member, now: float) -> None:
    peer = state.peers.get(member.incarnation)
    if peer is None:
        return
    abandon_flights(state, peer, "it was sent to a worker that was lost", now)
    del state.peers[member.incarnation]
    if peer.leaving:
        # The last ping tells a stopping agent that it may exit.
        send_ping(state, peer)
    else:
        state.removed_incarnations[member.worker] = member.incarnation
    # A new incarnation of the worker announces itself again; until then the scheduler
    # must not treat it as usable.
    state.scheduler.remove_worker(member.worker, now)
    if state.backup == member:
        state.backup, state.backup_ready = None, False


def _maintain_backup(state: OwnerState, now: float) -> None:
    """Ensure that another member has copies of the records that only this host has.

    An owner that hears nobody starts nothing, so its copies stay complete, and the
    record must still say so to the next owner.
    """
    if _hears_no_member(state, now):
        return
    if _backup_is_gone(state, now):
        state.backup, state.backup_ready = _choose_backup(state, now), False
        state.backup_again_at = now
    if state.backup is None:
        return
    covered = all(member in state.departed_covered for member in state.record.departed)
    if (state.backup_ready and covered) or now < state.backup_again_at:
        return
    _send_copies(state, state.backup, now)


def _backup_is_gone(state: OwnerState, now: float) -> bool:
    """Tell whether another backup is needed.

    While the key-value service is down, a lost member stays on the roster, and
    starts would wait for it as their witness.
    """
    if state.backup is None:
        return True
    peer = state.peers.get(state.backup.incarnation)
    return peer is None or is_lost(state, peer, now)


def _choose_backup(state: OwnerState, now: float) -> Member | None:
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
    records = find_sole_records(state, now)
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


def _recently_tracked(state: OwnerState, since: float) -> Iterator[TrackedJob]:
    """Yield the submissions that are open or were answered since a time."""
    for name in state.open:
        yield state.ledger[name]
    for answered in reversed(state.kept):
        if answered.kept_until - state.timing.retention < since:
            return
        yield unpack(answered)


def find_sole_records(state: OwnerState, now: float) -> list[Record]:
    """Return the recent records that no other member is known to hold.

    These are the records of the agent on this host and of incarnations that are
    gone. The owner has the latter from the takeover and from its own placements.
    """
    elsewhere = set(state.peers) - {state.member.incarnation}
    since = now - state.timing.takeover_lookback
    found = state.agent.gate.records.changed_since(since)
    found += state.agent.copies.changed_since(since)
    found += state.recovered.changed_since(since)
    for tracked in _recently_tracked(state, since):
        for index, task in enumerate(tracked.tasks):
            if task.placement is not None:
                kind = (
                    TaskState.RUNNING
                    if task.result is None
                    else _state_of_result(task.result)
                )
                found.append(make_record(tracked, index, kind))
    return [record for record in found if record.incarnation not in elsewhere]


def _state_of_result(result: TaskResult) -> TaskState:
    done = result.outcome is TaskOutcome.DONE
    return TaskState.DONE if done else TaskState.FAILED


def on_adopted(
    state: OwnerState, sender: str, adopted: RecordsReplicated, now: float
) -> None:
    """Handle the backup's confirmation of one part of the copies."""
    if state.backup is None or adopted.incarnation != state.backup.incarnation:
        return
    state.backup_tokens.discard(adopted.token)
    if state.backup_tokens or adopted.token.split(".")[0] != str(state.backup_serial):
        return
    if not state.backup_ready:
        state.log("has a backup", worker=state.backup.worker)
    state.backup_ready = True
    state.departed_covered = list(state.backup_covers)
    maintain_roster(state, now)
