"""Submissions at the owner: new and repeated ones, and cancellations."""

from cactuswalk.decisions.scheduler import QueuedTask
from cactuswalk.messages import (
    Cancel,
    NotOwner,
    Query,
    Record,
    Submit,
)
from cactuswalk.model import (
    Outcome,
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
    TaskState,
)
from cactuswalk.state.answers import (
    evict_oldest,
    find_submission,
    give_answer,
    refuse_submission,
    send_answer,
    update_answered,
)
from cactuswalk.state.ending import abort_job
from cactuswalk.state.inquiries import make_job_state
from cactuswalk.state.ledger import (
    Stage,
    Task,
    TrackedJob,
    end_task,
    find_failure,
    is_settled,
    is_superseded_attempt,
)
from cactuswalk.state.owner import HeldSubmission, OwnerState, Phase
from cactuswalk.state.placing import dispatch
from cactuswalk.state.sharing import is_held_here, redirect_unheld

__all__ = [
    "expire_ledger",
    "on_cancel",
    "on_submit",
    "process_held_submissions",
]

# A caller whose key was used with another body must choose another key.
KEY_REUSED = Refusal(
    RefusalCode.KEY_REUSED, "this key was used for another body; take a new key"
)
TOO_OLD = Refusal(RefusalCode.TOO_OLD, "it is older than the records that are kept")


def on_submit(state: OwnerState, sender: str, submit: Submit, now: float) -> None:
    """Handle a submission from an entry, possibly a repeated one."""
    deadline = now + submit.remaining_ms / 1000
    if state.phase is Phase.RECOVERING:
        state.held.append(HeldSubmission(sender, submit, deadline))
        return
    _process_submission(state, HeldSubmission(sender, submit, deadline), now)
    dispatch(state, now)


def process_held_submissions(state: OwnerState, now: float) -> None:
    """Process the submissions that arrived while records were collected."""
    held, state.held = state.held, []
    for submission in held:
        _process_submission(state, submission, now)
    dispatch(state, now)


def _process_submission(state: OwnerState, held: HeldSubmission, now: float) -> None:
    submit, job = held.submit, held.submit.job
    tracked = find_submission(state, job.submission)
    if tracked is not None and not _is_retry_after_refusal(tracked, held):
        _join_existing(state, tracked, held, now)
        return
    if _is_stale(state, submit, now):
        state.count("submit.stale")
        state.send(
            held.sender,
            NotOwner(
                state.cell,
                state.record.epoch,
                state.member.address,
                job.submission,
                submit.attempt,
            ),
        )
        return
    if not is_held_here(state, job, now):
        redirect_unheld(state, held.sender, submit, now)
        return
    state.sharing.latest_birth_ms = max(state.sharing.latest_birth_ms, job.created_ms)
    if tracked is None and _is_too_old(state, submit, now):
        refuse_submission(state, held.sender, submit, TOO_OLD, Outcome.UNKNOWN, now)
        return
    refusal = _find_early_refusal(state, held, now)
    if refusal is not None:
        certain = refusal is KEY_REUSED or state.is_confirmed(now)
        outcome = Outcome.NOT_RUN if certain else Outcome.UNKNOWN
        refuse_submission(state, held.sender, submit, refusal, outcome, now)
        return
    _track(state, held, now)


def _is_retry_after_refusal(tracked: TrackedJob, held: HeldSubmission) -> bool:
    """Tell whether a submission is a new attempt after a refusal, and may run now.

    The refused message may not run, nor an earlier one of its entry: the caller has
    been told that nothing ran and that nothing will.
    """
    if tracked.answer is None or tracked.answer.outcome is not Outcome.NOT_RUN:
        return False
    if tracked.job.fingerprint != held.submit.job.fingerprint:
        return False
    return not is_superseded_attempt(tracked, held.sender, held.submit.attempt)


def _join_existing(
    state: OwnerState, tracked: TrackedJob, held: HeldSubmission, now: float
) -> None:
    submit = held.submit
    if tracked.job.fingerprint != submit.job.fingerprint:
        refuse_submission(state, held.sender, submit, KEY_REUSED, Outcome.NOT_RUN, now)
        return
    state.count("submit.joined")
    if not is_superseded_attempt(tracked, held.sender, submit.attempt):
        tracked.waiters[held.sender] = submit.attempt
    if tracked.answer is None:
        return
    update_answered(state, tracked)
    send_answer(state, tracked.answer, held.sender, submit.attempt, now)


def _is_stale(state: OwnerState, submit: Submit, now: float) -> bool:
    """Tell whether a submission was delayed by the network.

    Its entry may have given it up since and told its caller so.
    """
    age = now - submit.stamp / 1000
    return submit.epoch != state.record.epoch or age > state.timing.confirm


def _is_too_old(state: OwnerState, submit: Submit, now: float) -> bool:
    """Tell whether the records of a submission may be lost.

    They may have been dropped at the memory limit, or may not have reached a new
    owner. The submission would run again if it were taken for new.
    """
    job = submit.job
    repeatable = job.request and job.idempotent
    if repeatable or state.recovered.of(job.submission):
        return False
    return _predates_records(state, submit, now)


def _predates_records(state: OwnerState, submit: Submit, now: float) -> bool:
    """Tell whether a submission may be older than what is known here."""
    if submit.fresh:
        return False
    margin = state.timing.clock_margin + state.timing.entry_margin
    return now - submit.age_ms / 1000 <= state.known_since + margin


def _find_early_refusal(
    state: OwnerState, held: HeldSubmission, now: float
) -> Refusal | None:
    """Return why a submission is refused before admission, None if it isn't."""
    job = held.submit.job
    records = state.recovered.of(job.submission)
    known = {record.fingerprint for record in records.values()} - {b""}
    if known - {job.fingerprint}:
        return KEY_REUSED
    if records or _may_have_started(state, held.submit, now):
        return None
    if state.cancelled.get(job.submission, now) > now:
        return Refusal(RefusalCode.CANCELLED, "it was cancelled before it arrived")
    if now >= held.deadline:
        return Refusal(RefusalCode.DEADLINE_PASSED, "the deadline has passed")
    return None


def _track(state: OwnerState, held: HeldSubmission, now: float) -> None:
    job = held.submit.job
    tracked = TrackedJob(job, held.deadline, [Task() for _ in job.tasks], now)
    tracked.waiters[held.sender] = held.submit.attempt
    records = state.recovered.of(job.submission)
    unsure = _may_have_started(state, held.submit, now)
    if records and _predates_records(state, held.submit, now):
        # Members that joined later have brought the records of some of its tasks. The
        # others may have run on members whose records are lost.
        unsure = True
    if not records and not unsure:
        refusal = state.scheduler.admit(job, held.deadline, now)
        _open_job(state, tracked)
        if refusal is not None:
            abort_job(state, tracked, refusal, now)
        return
    _open_job(state, tracked)
    _restore(state, tracked, records, unsure, now)


def _open_job(state: OwnerState, tracked: TrackedJob) -> None:
    name = tracked.job.submission
    state.answered.pop(name, None)
    state.ledger[name] = tracked
    state.open[name] = None


def _may_have_started(state: OwnerState, submit: Submit, now: float) -> bool:
    """Tell whether a task without a record may still have been started.

    It can't have been if the records are complete, if the submission was sent to
    no owner before, or if it was born after the takeover plus the clock margins.
    """
    if now >= state.records_missing_until or submit.fresh:
        return False
    born_at = now - submit.age_ms / 1000
    margin = state.timing.clock_margin + state.timing.entry_margin
    return born_at <= state.taken_over_at + margin


def _restore(
    state: OwnerState,
    tracked: TrackedJob,
    records: dict[int, Record],
    unsure: bool,
    now: float,
) -> None:
    """Restore a submission of an earlier owner without starting anything again."""
    state.count("submit.restored")
    if tracked.job.request and tracked.job.idempotent:
        _restore_repeatable(state, tracked, records.get(0), now)
        return
    for index in range(len(tracked.tasks)):
        record = records.get(index)
        if record is None or record.state is TaskState.DECLINED:
            if unsure:
                _end_unknown(tracked, index, "records of a lost worker are missing")
            continue
        _restore_task(state, tracked, record)
    failed = find_failure(tracked)
    if is_settled(tracked):
        give_answer(state, tracked, failed, now)
        return
    if failed is not None:
        abort_job(state, tracked, failed, now)
        return
    for index, task in enumerate(tracked.tasks):
        if task.stage is Stage.QUEUED:
            queued = QueuedTask(tracked.job, index, now, tracked.deadline)
            state.scheduler.requeue(queued, "", now)


def _restore_repeatable(
    state: OwnerState, tracked: TrackedJob, record: Record | None, now: float
) -> None:
    """Restore an idempotent request: from its answer, or by running it again."""
    if record is not None and record.state is TaskState.DONE:
        end_task(tracked, record.result)
        give_answer(state, tracked, None, now)
        return
    if record is not None and record.state is TaskState.RUNNING:
        _restore_task(state, tracked, record)
        if tracked.tasks[0].stage is Stage.SENT:
            return
        tracked.tasks[0] = Task()
    state.scheduler.requeue(QueuedTask(tracked.job, 0, now, tracked.deadline), "", now)


def _restore_task(state: OwnerState, tracked: TrackedJob, record: Record) -> None:
    task = tracked.tasks[record.index]
    if record.result is not None:
        end_task(tracked, record.result)
        return
    peer = state.peers.get(record.incarnation)
    flight = peer and peer.placements.get((record.submission, record.index))
    if not flight or flight.attempt != record.attempt:
        _end_unknown(tracked, record.index, "it started on a worker that was lost")
        return
    task.stage, task.placement = Stage.SENT, flight


def _end_unknown(tracked: TrackedJob, index: int, reason: str) -> None:
    end_task(tracked, TaskResult(index, TaskOutcome.UNKNOWN, reason=reason))


def on_cancel(state: OwnerState, sender: str, cancel: Cancel, now: float) -> None:
    """Handle a caller's cancellation of a submission."""
    tracked = find_submission(state, cancel.submission)
    if tracked is None:
        # The submission may still arrive; it must not start then.
        state.cancelled[cancel.submission] = now + state.timing.retention
        if state.phase is Phase.SERVING:
            state.send(
                sender, make_job_state(state, Query(cancel.submission, ""), sender)
            )
        return
    if tracked.answer is None:
        refusal = Refusal(RefusalCode.CANCELLED, "its caller cancelled it")
        abort_job(state, tracked, refusal, now)
    elif sender in tracked.waiters:
        send_answer(state, tracked.answer, sender, tracked.waiters[sender], now)


def expire_ledger(state: OwnerState, now: float) -> None:
    """Abort jobs past their deadline, and remove expired answers."""
    for name in list(state.open):
        tracked = state.ledger.get(name)
        if tracked is None:
            continue
        if tracked.abort_reason is not None and now >= tracked.settle_by:
            give_answer(state, tracked, tracked.abort_reason, now)
        elif tracked.abort_reason is None and now >= tracked.deadline:
            refusal = Refusal(
                RefusalCode.TIMED_OUT, "the deadline passed before it was answered"
            )
            abort_job(state, tracked, refusal, now)
    while state.kept and state.kept[0].kept_until <= now:
        evict_oldest(state, early=False)
    for name in [key for key, until in state.cancelled.items() if until <= now]:
        del state.cancelled[name]
