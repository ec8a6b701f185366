"""Starts under way: sent, witnessed, ended, declined, probed."""

import msgspec

from cactuswalk.decisions.scheduler import Assignment, QueuedTask, Shed
from cactuswalk.errors import InvariantError
from cactuswalk.messages import (
    Declined,
    Probe,
    Record,
    Result,
    Running,
    Start,
    Witness,
    Witnessed,
)
from cactuswalk.model import (
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
    TaskState,
)
from cactuswalk.state.answers import give_answer
from cactuswalk.state.ledger import Place, Stage, Tracked, end_task, is_settled
from cactuswalk.state.owner import OwnerState, Peer
from cactuswalk.state.retention import newer

__all__ = ["begin_ending", "dispatch", "give_up_flights", "probe", "record_of"]

# Milliseconds after which a caller may well try again when a worker was lost.
RETRY_AFTER_LOSS_MS = 1000


def dispatch(state: OwnerState, now: float) -> None:
    """Start all that can start, and refuse what can't be answered in time."""
    refresh_workers(state, now)
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


def refresh_workers(state: OwnerState, now: float) -> None:
    """Tell the scheduler which workers can be given work at this moment."""
    stands = state.stands(now)
    for peer in state.peers.values():
        usable = stands and _is_usable(state, peer, now)
        if usable != peer.usable and peer.in_force is not None:
            peer.usable = usable
            state.scheduler.set_worker(peer.in_force, usable, now)


def _is_usable(state: OwnerState, peer: Peer, now: float) -> bool:
    # A ping period less than P: the stamp must still be young on arrival.
    young = now - peer.confirmed_at <= state.timing.confirm - state.timing.ping
    on_rosters = all(peer.member in roster for roster in state.rosters())
    if peer.member == state.member and not _can_start_beside(state):
        return False
    return young and on_rosters and peer.ready and not peer.leaving


def _can_start_beside(state: OwnerState) -> bool:
    """Tell whether a start beside the owner would have a witness.

    A cell of one has nobody to tell, and nobody who could take it over.
    """
    return state.backup_ready or len(state.record.roster) == 1


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
    _send_start(state, tracked, queued.index, peer, now)


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


def _send_start(
    state: OwnerState, tracked: Tracked, index: int, peer: Peer, now: float
) -> None:
    task, job = tracked.tasks[index], tracked.job
    task.stage = Stage.SENT
    task.place.sent_at = now
    task.place.sent_ping = state.ping_serial
    start = Start(
        state.cell,
        state.record.epoch,
        peer.member.incarnation,
        peer.stamp,
        job.submission,
        job.fingerprint,
        index,
        len(tracked.tasks),
        task.place.attempt,
        job.service,
        job.tasks[index],
        int((tracked.deadline - peer.stamp_at) * 1000),
        job.request and job.idempotent,
    )
    state.count("start.sent")
    state.send(peer.member.address, start)


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
    _send_start(state, tracked, seen.index, peer, now)


def withdraw(state: OwnerState, tracked: Tracked, index: int, now: float) -> None:
    """Take back a placement of which no start was sent, and queue it again."""
    task = tracked.tasks[index]
    _land(state, task.place.incarnation, tracked.job.submission, index)
    worker = task.place.worker
    task.stage, task.place = Stage.QUEUED, None
    queued = QueuedTask(tracked.job, index, now, tracked.deadline)
    state.scheduler.requeue(queued, worker, now)


def on_result(state: OwnerState, sender: str, message: Result, now: float) -> None:
    """A task has ended at an agent."""
    place = (message.submission, message.index)
    flight = _land(state, message.incarnation, *place, message.attempt)
    if flight is not None:
        state.scheduler.finished(
            *place,
            flight.worker,
            message.result.outcome is TaskOutcome.DONE,
            message.elapsed_ms,
            now,
        )
    _note_recovered(state, message, now)
    tracked = state.ledger.get(message.submission)
    if tracked is None or tracked.answer is not None:
        state.count("result.late")
        return
    task = tracked.tasks[message.index]
    if not _is_of(task.place, message.incarnation, message.attempt):
        # An earlier attempt's answer must not pass for this one's.
        state.count("result.stale")
        return
    if end_task(tracked, message.result):
        _after_end(state, tracked, message.result, now)


def _after_end(
    state: OwnerState, tracked: Tracked, result: TaskResult, now: float
) -> None:
    if is_settled(tracked):
        refusal = tracked.ending or refusal_for(result)
        give_answer(state, tracked, refusal, now)
        return
    if result.outcome is not TaskOutcome.DONE and tracked.ending is None:
        begin_ending(state, tracked, refusal_for(result), now)


def refusal_for(result: TaskResult) -> Refusal | None:
    """Return the reason that a task's result gives its job for failing."""
    if result.outcome is TaskOutcome.DONE:
        return None
    if result.outcome is TaskOutcome.UNKNOWN:
        return Refusal(
            RefusalCode.WORKER_LOST,
            f"task {result.index}: {result.reason}",
            RETRY_AFTER_LOSS_MS,
        )
    return Refusal(
        RefusalCode.UPSTREAM_FAILED,
        f"task {result.index}: {result.reason}",
        RETRY_AFTER_LOSS_MS,
    )


def on_declined(state: OwnerState, sender: str, message: Declined, now: float) -> None:
    """An agent gives its word that an attempt did not and won't start."""
    if message.epoch > state.record.epoch:
        state.deposed = True
        return
    place = (message.submission, message.index)
    peer = state.peers.get(message.incarnation)
    flight = peer.flights.get(place) if peer is not None else None
    if flight is None or flight.attempt != message.attempt:
        # Only the life of the agent that was sent the attempt can speak for
        # it: a restarted agent knows nothing of what ran before.
        state.count("decline.stale")
        return
    del peer.flights[place]
    state.count("start.declined")
    _note_declined(state, message, now)
    tracked = state.ledger.get(message.submission)
    open_task = tracked is not None and tracked.answer is None
    if not open_task or not _is_of(
        tracked.tasks[message.index].place, message.incarnation, message.attempt
    ):
        state.scheduler.finished(*place, flight.worker, False, 0, now)
        return
    if tracked.ending is not None:
        state.scheduler.finished(*place, flight.worker, False, 0, now)
        result = TaskResult(
            message.index, TaskOutcome.NOT_RUN, reason="it was not started"
        )
        if end_task(tracked, result) and is_settled(tracked):
            give_answer(state, tracked, tracked.ending, now)
        return
    task = tracked.tasks[message.index]
    task.stage, task.place = Stage.QUEUED, None
    queued = QueuedTask(tracked.job, message.index, now, tracked.deadline)
    state.scheduler.requeue(queued, flight.worker, now)


def on_running(state: OwnerState, sender: str, message: Running, now: float) -> None:
    """A probed attempt is running; its result will come."""
    state.count("probe.running")


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


def begin_ending(
    state: OwnerState, tracked: Tracked, refusal: Refusal | None, now: float
) -> None:
    """End a job that can't be answered: start nothing more, stop what runs."""
    if tracked.ending is not None:
        return
    tracked.ending = refusal or Refusal(RefusalCode.CANCELLED, "it was cancelled")
    tracked.settle_by = now + state.timing.settle
    name = tracked.job.submission
    state.scheduler.cancel(name, now)
    for index, task in enumerate(tracked.tasks):
        if task.stage in (Stage.QUEUED, Stage.WITNESSING):
            if task.place is not None:
                _land(state, task.place.incarnation, name, index)
                state.scheduler.finished(name, index, task.place.worker, False, 0, now)
            reason = "it was not started"
            end_task(tracked, TaskResult(index, TaskOutcome.NOT_RUN, reason=reason))
        elif task.stage is Stage.SENT:
            peer = state.peers.get(task.place.incarnation)
            if peer is not None and (name, index) in peer.flights:
                probe(state, peer, (name, index), now, stop=True)
    if is_settled(tracked):
        give_answer(state, tracked, tracked.ending, now)


def give_up_flights(state: OwnerState, peer: Peer, reason: str, now: float) -> None:
    """Settle what was placed at a member that is gone: nobody can tell of it."""
    for submission, index in list(peer.flights):
        flight = peer.flights.pop((submission, index))
        state.scheduler.finished(submission, index, flight.worker, False, 0, now)
        tracked = state.ledger.get(submission)
        if tracked is None or tracked.answer is not None:
            continue
        task = tracked.tasks[index]
        if not _is_of(task.place, peer.member.incarnation, flight.attempt):
            continue
        if task.stage is Stage.WITNESSING:
            withdraw(state, tracked, index, now)
            continue
        result = TaskResult(index, TaskOutcome.UNKNOWN, reason=reason)
        if end_task(tracked, result):
            _after_end(state, tracked, result, now)


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


def _note_recovered(state: OwnerState, message: Result, now: float) -> None:
    """Bring a recovered record up to date, for a later resubmission."""
    record = state.recovered.get(message.submission, message.index)
    if record is None or record.attempt != message.attempt:
        return
    done = message.result.outcome is TaskOutcome.DONE
    ended = Record(
        record.submission,
        record.index,
        record.total,
        record.fingerprint,
        record.attempt,
        TaskState.DONE if done else TaskState.FAILED,
        record.worker,
        record.incarnation,
        message.result,
    )
    state.recovered.put(newer(record, ended), now)


def _note_declined(state: OwnerState, message: Declined, now: float) -> None:
    """Take back a recovered record of an attempt that never started.

    A witness keeps a record of a start that its owner may not have sent any
    more. A resubmission would be told unknown of a task that did not run.
    """
    record = state.recovered.get(message.submission, message.index)
    if record is not None and record.attempt == message.attempt:
        declined = msgspec.structs.replace(record, state=TaskState.DECLINED)
        state.recovered.put(declined, now)


def _is_of(place: Place | None, incarnation: str, attempt: int) -> bool:
    return (
        place is not None
        and place.incarnation == incarnation
        and place.attempt == attempt
    )


def _land(
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
