"""Starts: queued tasks bound to workers, witnessed, and sent."""

from cactuswalk.decisions.scheduler import Assignment, Shed
from cactuswalk.errors import InvariantError
from cactuswalk.messages import (
    Start,
    Witness,
    Witnessed,
)
from cactuswalk.model import (
    TaskState,
)
from cactuswalk.state import attempts
from cactuswalk.state.ending import begin_ending
from cactuswalk.state.landing import record_of, withdraw
from cactuswalk.state.ledger import Place, Stage, Tracked
from cactuswalk.state.owner import OwnerState, Peer

__all__ = [
    "dispatch",
    "on_witnessed",
    "refresh_workers",
    "send_start",
    "withdraw_unwitnessed",
]


def dispatch(state: OwnerState, now: float, heard: Peer | None = None) -> None:
    """Start all that can start, and refuse what can't be answered in time.

    :param heard: the member whose pong has just come, if that is why.
    """
    refresh_workers(state, now, heard)
    for decision in state.scheduler.assign(now):
        if isinstance(decision, Shed):
            tracked = state.ledger.get(decision.task.job.submission)
            if tracked is not None and tracked.answer is None:
                state.log(
                    "shed a task",
                    submission=decision.task.job.submission,
                    reason=decision.refusal.message,
                )
                begin_ending(state, tracked, decision.refusal, now)
            continue
        _place(state, decision, now)
    attempts.start_hedges(state, now, send_start)


def refresh_workers(state: OwnerState, now: float, heard: Peer | None = None) -> None:
    """Tell the scheduler which workers can be given work at this moment.

    All are looked at when something that concerns all has changed, or when the
    first of them may have grown too old; else the one that was heard, and the
    owner's own, which depends on its witness.
    """
    stands = state.stands(now)
    names = state.roster_names()
    as_of = (stands, state.workers_serial, names)
    if as_of == state.usable_as_of and now <= state.usable_until:
        own = state.peers.get(state.member.incarnation)
        for peer in (own, heard):
            if peer is not None:
                _refresh(state, peer, stands, now)
        return
    state.usable_as_of, state.usable_until = as_of, float("inf")
    for peer in state.peers.values():
        _refresh(state, peer, stands, now)


def _refresh(state: OwnerState, peer: Peer, stands: bool, now: float) -> None:
    usable = stands and _is_usable(state, peer, now)
    if usable:
        until = peer.confirmed_at + _longest_use(state)
        state.usable_until = min(state.usable_until, until)
    if usable != peer.usable and peer.in_force is not None:
        peer.usable = usable
        state.scheduler.set_worker(peer.in_force, usable, now)


def _longest_use(state: OwnerState) -> float:
    """Return how long a confirmation lets a worker be used.

    A ping period less than P: the stamp must still be young on arrival.
    """
    return state.timing.confirm - state.timing.ping


def _is_usable(state: OwnerState, peer: Peer, now: float) -> bool:
    young = now - peer.confirmed_at <= _longest_use(state)
    if not (young and peer.ready) or peer.leaving:
        return False
    if peer.member == state.member and not _can_start_beside(state, now):
        return False
    return all(peer.member in roster for roster in state.rosters())


def _can_start_beside(state: OwnerState, now: float) -> bool:
    """Tell whether a start beside the owner would have a witness at once.

    A cell of one has nobody to tell, and nobody who could take it over.
    """
    if not state.backup_ready:
        return len(state.record.roster) == 1
    witness = state.peers.get(state.backup.incarnation)
    return witness is not None and now - witness.confirmed_at <= state.timing.confirm


def _place(state: OwnerState, assignment: Assignment, now: float) -> None:
    queued = assignment.task
    tracked = state.ledger.get(queued.job.submission)
    peer = state.peer_of(assignment.worker)
    if tracked is None or tracked.answer is not None:
        raise InvariantError(
            f"{queued.job.submission} is queued but has no open entry",
            "Report this with the owner's log; the task was not started.",
        )
    task = tracked.tasks[queued.index]
    if peer is None or not peer.usable or task.stage is not Stage.QUEUED:
        raise InvariantError(
            f"task {queued.index} of {queued.job.submission} can't be placed on "
            f"{assignment.worker}",
            "Report this with the owner's log; the task was not started.",
        )
    place = Place(
        assignment.worker,
        peer.member.incarnation,
        state.next_attempt(),
        state.ping_serial,
        now,
    )
    task.place = place
    peer.flights[(queued.job.submission, queued.index)] = place
    state.log(
        "placed a task",
        submission=queued.job.submission,
        task=queued.index,
        worker=assignment.worker,
        reason=assignment.reason,
        waited_ms=int((now - queued.queued_at) * 1000),
    )
    if peer.member == state.member and state.backup_ready:
        _ask_witness(state, tracked, queued.index, now)
        return
    task.stage = Stage.SENT
    send_start(state, tracked, queued.index, place, now)


def _ask_witness(state: OwnerState, tracked: Tracked, index: int, now: float) -> None:
    """Have another member keep the record of a start beside this owner."""
    task = tracked.tasks[index]
    witness = state.peers[state.backup.incarnation]
    task.stage = Stage.WITNESSING
    task.place.witness = witness.member.incarnation
    record = record_of(tracked, index, TaskState.RUNNING)
    message = Witness(
        state.cell,
        state.record.epoch,
        witness.member.incarnation,
        witness.stamp,
        record,
    )
    state.send(witness.member.address, message)


def send_start(
    state: OwnerState, tracked: Tracked, index: int, place: Place, now: float
) -> None:
    """Send the start of an attempt to the member where it is placed."""
    job, peer = tracked.job, state.peers[place.incarnation]
    place.sent_at = now
    place.sent_ping = state.ping_serial
    start = Start(
        state.cell,
        state.record.epoch,
        peer.member.incarnation,
        peer.stamp,
        job.submission,
        job.fingerprint,
        index,
        len(tracked.tasks),
        place.attempt,
        job.service,
        job.tasks[index],
        int((tracked.deadline - peer.stamp_at) * 1000),
        job.request and job.idempotent,
    )
    state.count("start.sent")
    state.send(peer.member.address, start)


def withdraw_unwitnessed(state: OwnerState, now: float) -> None:
    """Queue again what no witness has confirmed in a ping period.

    The witness is gone, or a message was lost. Without this the task would wait
    for its deadline, while other workers are free. No start has been sent.
    """
    own = state.peers.get(state.member.incarnation)
    for name, index in list(own.flights) if own is not None else ():
        tracked = state.ledger.get(name)
        if tracked is None or tracked.answer is not None:
            continue
        task = tracked.tasks[index]
        waits = task.stage is Stage.WITNESSING
        if waits and now - task.place.sent_at > state.timing.ping:
            state.count("witness.missed")
            withdraw(state, tracked, index, now)


def on_witnessed(state: OwnerState, sender: str, seen: Witnessed, now: float) -> None:
    """The witness has the record: start the task, if it is still wanted."""
    tracked = state.ledger.get(seen.submission)
    if tracked is None or tracked.answer is not None:
        return
    task = tracked.tasks[seen.index]
    if task.stage is not Stage.WITNESSING or task.place.attempt != seen.attempt:
        state.count("witness.stale")
        return
    peer = state.peers.get(state.member.incarnation)
    if peer is None or not peer.usable or not state.stands(now):
        withdraw(state, tracked, seen.index, now)
        return
    task.stage = Stage.SENT
    send_start(state, tracked, seen.index, task.place, now)
