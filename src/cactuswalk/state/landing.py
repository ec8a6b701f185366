"""Placements of attempts in progress: withdraw, probe, stop and remove them."""

from cactuswalk.decisions.scheduler import QueuedTask
from cactuswalk.messages import (
    Probe,
    Record,
)
from cactuswalk.model import (
    TaskState,
)
from cactuswalk.state.ledger import Placement, Stage, TrackedJob
from cactuswalk.state.owner import OwnerState, Peer

__all__ = [
    "matches_attempt",
    "remove_placement",
    "send_probe",
    "make_record",
    "stop_attempt",
    "withdraw",
]


def withdraw(state: OwnerState, tracked: TrackedJob, index: int, now: float) -> None:
    """Withdraw a placement whose start was not sent, and requeue its task."""
    task = tracked.tasks[index]
    remove_placement(state, task.placement.incarnation, tracked.job.submission, index)
    worker = task.placement.worker
    task.stage, task.placement = Stage.QUEUED, None
    queued = QueuedTask(tracked.job, index, now, tracked.deadline)
    state.scheduler.requeue(queued, worker, now)


def remove_placement(
    state: OwnerState,
    incarnation: str,
    submission: str,
    index: int,
    attempt: int | None = None,
) -> Placement | None:
    """Remove and return a placement from its peer; None if it isn't there."""
    peer = state.peers.get(incarnation)
    if peer is None:
        return None
    flight = peer.placements.get((submission, index))
    if flight is None or (attempt is not None and flight.attempt != attempt):
        return None
    del peer.placements[(submission, index)]
    return flight


def make_record(tracked: TrackedJob, index: int, state: TaskState) -> Record:
    """Return a record of a task in the ledger."""
    task = tracked.tasks[index]
    return Record(
        tracked.job.submission,
        index,
        len(tracked.tasks),
        tracked.job.fingerprint,
        task.placement.attempt,
        state,
        task.placement.worker,
        task.placement.incarnation,
        task.result,
    )


def send_probe(
    state: OwnerState, peer: Peer, place: tuple[str, int], now: float, stop: bool
) -> None:
    """Ask an agent about the state of an attempt, or to stop it."""
    flight = peer.placements[place]
    flight.probed_at = now
    message = Probe(
        state.cell,
        state.record.epoch,
        peer.member.incarnation,
        *place,
        flight.attempt,
        stop,
    )
    state.count("probe.sent")
    state.send(peer.member.address, message)


def stop_attempt(
    state: OwnerState, submission: str, index: int, place: Placement, now: float
) -> None:
    """Request the stop of an attempt whose result is no longer needed."""
    peer = state.peers.get(place.incarnation)
    if peer is not None and (submission, index) in peer.placements:
        peer.placements[(submission, index)].unwanted = True
        send_probe(state, peer, (submission, index), now, stop=True)


def matches_attempt(place: Placement | None, incarnation: str, attempt: int) -> bool:
    """Tell whether a message about an attempt refers to this placement."""
    return (
        place is not None
        and place.incarnation == incarnation
        and place.attempt == attempt
    )
