"""Final answers: given once, kept for the retention window, sent to waiters."""

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
from cactuswalk.state.ledger import Tracked, answer_of
from cactuswalk.state.owner import OwnerState

__all__ = [
    "find_submission",
    "evict_oldest",
    "give_answer",
    "update_answered",
    "refuse_submission",
    "send_answer",
]


# Answered submissions younger than this are never forgotten: three times the
# clocks' margins, so that new keys stay well clear of what is forgotten.
MIN_KEPT_SECONDS = 10.0

# One list for all answered submissions; nobody adds to the tasks of a job.
NO_TASKS: list[TaskSpec] = []


def give_answer(
    state: OwnerState, tracked: Tracked, refusal: Refusal | None, now: float
) -> None:
    """Give a submission its final answer, at once, to all who wait for it.

    :raises InvariantError: if it has one already, or if it would be partial.
    """
    job = tracked.job
    if tracked.answer is not None:
        raise InvariantError(
            f"{job.submission} would be answered twice",
            "Report this with the owner's log; the first answer stands.",
        )
    tracked.answer = answer_of(tracked, refusal, state.is_confirmed(now))
    # The rest of it has served its turn; the fingerprint is enough to recognise a
    # resubmission.
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


def _move_to_answered(state: OwnerState, tracked: Tracked, now: float) -> None:
    """Move an answered submission from the open ones to the kept ones."""
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


def find_submission(state: OwnerState, submission: str) -> Tracked | None:
    """Return a submission, open or answered; None if it is not known here.

    What is changed of an answered one has to be kept with ``update_answered``.
    """
    tracked = state.ledger.get(submission)
    if tracked is not None:
        return tracked
    answered = state.answered.get(submission)
    return unpack(answered) if answered is not None else None


def update_answered(state: OwnerState, tracked: Tracked) -> None:
    """Keep what has changed of an answered submission."""
    answered = state.answered[tracked.job.submission]
    state.kept_bytes -= answered.kept_bytes
    answered.packed = pack(tracked)
    state.kept_bytes += answered.kept_bytes


def _enforce_limits(state: OwnerState, now: float) -> None:
    """Keep within the bounds, of bodies and of submissions.

    No submission is forgotten while it is young. A key is told from a forgotten one by
    its birth, which clocks blur by some seconds; were the youngest forgotten,
    new submissions would be taken for old ones and not be run.
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
    """Keep of an answer that it was given; its caller may ask in vain now."""
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
    """Forget the submission that was answered first.

    :param early: before its time, for want of room; then what is as old may
        not be taken for new.
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
    # A new try after a refusal has an entry of its own.
    if state.answered.get(name) is answered:
        del state.answered[name]


def send_answer(
    state: OwnerState, answer: Answer, address: str, attempt: int, now: float
) -> None:
    """Send an answer to one entry, under the attempt that it waits for."""
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
    """Answer a submission that is not taken into the ledger.

    :param outcome: the truth; "not run" needs a confirmed owner or a body that
        was never run under its key.
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
