"""Attempts under way: taken back, asked after, taken off their members."""

from cactuswalk.decisions.scheduler import QueuedTask
from cactuswalk.messages import (
    Probe,
    Record,
)
from cactuswalk.model import (
    TaskState,
)
from cactuswalk.state.ledger import Place, Stage, Tracked
from cactuswalk.state.owner import OwnerState, Peer

__all__ = ["is_of", "land", "probe", "record_of", "stop_attempt", "withdraw"]


def withdraw(state: OwnerState, tracked: Tracked, index: int, now: float) -> None:
    """Take back a placement of which no start was sent, and queue it again."""
    task = tracked.tasks[index]
    land(state, task.place.incarnation, tracked.job.submission, index)
    worker = task.place.worker
    task.stage, task.place = Stage.QUEUED, None
    queued = QueuedTask(tracked.job, index, now, tracked.deadline)
    state.scheduler.requeue(queued, worker, now)


def land(
    state: OwnerState,
    incarnation: str,
    submission: str,
    index: int,
    attempt: int | None = None,
) -> Place | None:
    """Take a flight off its peer; None if it is not there (any more)."""
    peer = state.peers.get(incarnation)
    if peer is None:
        return None
    flight = peer.flights.get((submission, index))
    if flight is None or (attempt is not None and flight.attempt != attempt):
        return None
    del peer.flights[(submission, index)]
    return flight


def record_of(tracked: Tracked, index: int, state: TaskState) -> Record:
    """Return the record that stands for a task of the ledger."""
    task = tracked.tasks[index]
    return Record(
        tracked.job.submission,
        index,
        len(tracked.tasks),
        tracked.job.fingerprint,
        task.place.attempt,
        state,
        task.place.worker,
        task.place.incarnation,
        task.result,
    )


def probe(
    state: OwnerState, peer: Peer, place: tuple[str, int], now: float, stop: bool
) -> None:
    """Ask an agent what became of an attempt."""
    flight = peer.flights[place]
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
    state: OwnerState, submission: str, index: int, place: Place, now: float
) -> None:
    """Have an attempt that is no longer wanted stopped where it runs."""
    peer = state.peers.get(place.incarnation)
    if peer is not None and (submission, index) in peer.flights:
        peer.flights[(submission, index)].unwanted = True
        probe(state, peer, (submission, index), now, stop=True)


def is_of(place: Place | None, incarnation: str, attempt: int) -> bool:
    """Tell whether a message about an attempt speaks of this placement."""
    return (
        place is not None
        and place.incarnation == incarnation
        and place.attempt == attempt
    )
