"""Final answers: given once, kept for the retention window, sent to entries."""

import msgspec

from cactuswalk.errors import InvariantError
from cactuswalk.messages import Answer, Submit
from cactuswalk.model import (
    Job,
    Outcome,
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
    TaskSpec,
)
from cactuswalk.state.agent import make_stamp
from cactuswalk.state.answered import Answered, pack, pack_answered, unpack
from cactuswalk.state.ledger import TrackedJob, make_answer
from cactuswalk.state.owner import OwnerState

__all__ = [
    "find_submission",
    "evict_oldest",
    "give_answer",
    "update_answered",
    "refuse_submission",
    "send_answer",
]


# Answered submissions younger than this are never evicted: three times the clock
# margins, so that a new key is never mistaken for an evicted one.
MIN_KEPT_SECONDS = 10.0

# Shared by all answered submissions; the tasks of a job are never modified.
NO_TASKS: list[TaskSpec] = []


def give_answer(
    state: OwnerState, tracked: TrackedJob, refusal: Refusal | None, now: float
) -> None:
    """Answer a submission and send the answer to every entry that waits for it.

    :raises InvariantError: if it is already answered, or the answer is incomplete.
    """
    job = tracked.job
    if tracked.answer is not None:
        raise InvariantError(
            f"{job.submission} would be answered twice",
            "Report this with the owner's log; the first answer remains valid.",
        )
    tracked.answer = make_answer(tracked, refusal, state.is_confirmed(now))
    # Only the fingerprint is still needed, to recognise a resubmission.
    tracked.job = Job(job.submission, job.fingerprint, "", "", NO_TASKS)
    state.count(f"answer.{tracked.answer.outcome}")
    state.log(
        "answered a submission",
        submission=job.submission,
        outcome=str(tracked.answer.outcome),
        reason=refusal.message if refusal is not None else "",
    )
    for address, attempt in tracked.waiters.items():
        send_answer(state, tracked.answer, address, attempt, now)
    _move_to_answered(state, tracked, now)
    _enforce_limits(state, now)


def _move_to_answered(state: OwnerState, tracked: TrackedJob, now: float) -> None:
    """Move a submission from the open ones to the answered ones."""
    name = tracked.job.submission
    state.open.pop(name, None)
    state.ledger.pop(name, None)
    answered = pack_answered(tracked, now + state.timing.retention)
    state.answered[name] = answered
    state.kept.append(answered)
    state.kept_bytes += answered.kept_bytes
    if tracked.answer.outcome is Outcome.ANSWERED:
        state.with_bodies.append(answered)
        state.body_bytes += answered.body_bytes


def find_submission(state: OwnerState, submission: str) -> TrackedJob | None:
    """Return an open or answered submission; None if it is unknown.

    Changes to an answered one have to be stored with ``update_answered``.
    """
    tracked = state.ledger.get(submission)
    if tracked is not None:
        return tracked
    answered = state.answered.get(submission)
    return unpack(answered) if answered is not None else None


def update_answered(state: OwnerState, tracked: TrackedJob) -> None:
    """Store the changes to an answered submission."""
    answered = state.answered[tracked.job.submission]
    state.kept_bytes -= answered.kept_bytes
    answered.packed = pack(tracked)
    state.kept_bytes += answered.kept_bytes


def _enforce_limits(state: OwnerState, now: float) -> None:
    """Drop bodies and evict submissions until both are within their limits.

    Submissions younger than ``MIN_KEPT_SECONDS`` are never evicted. New keys are
    told from evicted ones by their time of creation, which is only known to some
    seconds; if young submissions were evicted, new ones would be refused as old.
    """
    while state.body_bytes > state.maximum_bytes and state.with_bodies:
        _drop_bodies(state, state.with_bodies.popleft())
    youngest = now - MIN_KEPT_SECONDS
    while state.kept_bytes > state.maximum_bytes and state.kept:
        if state.kept[0].tracked_at > youngest:
            state.count("kept.over_bound")
            return
        evict_oldest(state, early=True)


def _drop_bodies(state: OwnerState, answered: Answered) -> None:
    """Replace the results of an answer by the fact that the tasks ran."""
    state.body_bytes -= answered.body_bytes
    if state.answered.get(answered.submission) is not answered:
        return
    tracked = unpack(answered)
    reason = "it ran; its answer is no longer kept"
    results = [
        TaskResult(result.index, TaskOutcome.FAILED, result.status, reason=reason)
        for result in tracked.answer.results
    ]
    for task, result in zip(tracked.tasks, results, strict=True):
        task.result = result
    tracked.answer = msgspec.structs.replace(
        tracked.answer,
        outcome=Outcome.FAILED,
        results=results,
        refusal=Refusal(RefusalCode.RECORDS_LOST, reason),
    )
    state.kept_bytes -= answered.kept_bytes
    answered.packed, answered.body_bytes = pack(tracked), 0
    state.kept_bytes += answered.kept_bytes


def evict_oldest(state: OwnerState, early: bool) -> None:
    """Remove the submission that was answered first.

    :param early: it is evicted before its retention ends, for lack of space; then
        unknown keys that are as old can no longer be treated as new.
    """
    answered = state.kept.popleft()
    state.kept_bytes -= answered.kept_bytes
    if early:
        state.known_since = max(state.known_since, answered.tracked_at)
        state.count("kept.forgotten_early")
    if state.with_bodies and state.with_bodies[0] is answered:
        state.with_bodies.popleft()
        state.body_bytes -= answered.body_bytes
    name = answered.submission
    # A resubmission after a refusal has an entry of its own.
    if state.answered.get(name) is answered:
        del state.answered[name]


def send_answer(
    state: OwnerState, answer: Answer, address: str, attempt: int, now: float
) -> None:
    """Send an answer to one entry, with the attempt that it waits for."""
    fields = {"attempt": attempt, "epoch": state.record.epoch, "stamp": make_stamp(now)}
    state.send(address, msgspec.structs.replace(answer, **fields))


def refuse_submission(
    state: OwnerState,
    sender: str,
    submit: Submit,
    refusal: Refusal,
    outcome: Outcome,
    now: float,
) -> None:
    """Answer a submission without adding it to the ledger.

    :param outcome: must be certain; "not run" requires a confirmed owner or a body
        that never ran under this key.
    """
    job = submit.job
    state.count(f"answer.{outcome}")
    state.log(
        "refused a submission",
        submission=job.submission,
        outcome=str(outcome),
        reason=refusal.message,
    )
    answer = Answer(
        job.submission,
        submit.attempt,
        job.fingerprint,
        outcome,
        [],
        refusal,
        b"",
        state.record.epoch,
        make_stamp(now),
    )
    state.send(sender, answer)
