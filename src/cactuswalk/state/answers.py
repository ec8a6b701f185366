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
from cactuswalk.state.agent import stamp_of
from cactuswalk.state.ledger import Tracked, answer_of, body_bytes_of, size_of
from cactuswalk.state.owner import OwnerState

__all__ = ["forget_oldest", "give_answer", "refuse", "send_answer"]


# Answered submissions younger than this are never forgotten: three times the
# clocks' margins, so that new keys stay well clear of what is forgotten.
KEPT_AT_LEAST = 10.0

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
    tracked.kept_until = now + state.timing.retention
    state.open.pop(job.submission, None)
    state.kept.append(tracked)
    tracked.kept_bytes = size_of(tracked)
    state.kept_bytes += tracked.kept_bytes
    if tracked.answer.outcome is Outcome.ANSWERED:
        state.with_bodies.append(tracked)
        state.body_bytes += body_bytes_of(tracked.answer)
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
    _make_room(state, now)


def _make_room(state: OwnerState, now: float) -> None:
    """Keep within the bounds, of bodies and of submissions.

    No submission is forgotten while it is young. A key is told from a forgotten one by
    its birth, which clocks blur by some seconds; were the youngest forgotten,
    new submissions would be taken for old ones and not be run.
    """
    while state.body_bytes > state.maximum_bytes and state.with_bodies:
        _drop_bodies(state, state.with_bodies.popleft())
    youngest = now - KEPT_AT_LEAST
    while state.kept_bytes > state.maximum_bytes and state.kept:
        if state.kept[0].tracked_at > youngest:
            state.count("kept.over_bound")
            return
        forget_oldest(state, early=True)


def _drop_bodies(state: OwnerState, tracked: Tracked) -> None:
    """Keep of an answer that it was given; its caller may ask in vain now."""
    state.body_bytes -= body_bytes_of(tracked.answer)
    if state.ledger.get(tracked.job.submission) is not tracked:
        return
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


def forget_oldest(state: OwnerState, early: bool) -> None:
    """Forget the submission that was answered first.

    :param early: before its time, for want of room; then what is as old may
        not be taken for new.
    """
    tracked = state.kept.popleft()
    state.kept_bytes -= tracked.kept_bytes
    if early:
        state.known_since = max(state.known_since, tracked.tracked_at)
        state.count("kept.forgotten_early")
    if state.with_bodies and state.with_bodies[0] is tracked:
        state.with_bodies.popleft()
        state.body_bytes -= body_bytes_of(tracked.answer)
    name = tracked.job.submission
    # A new try after a refusal has an entry of its own.
    if state.ledger.get(name) is tracked:
        del state.ledger[name]


def send_answer(
    state: OwnerState, answer: Answer, address: str, attempt: int, now: float
) -> None:
    """Send an answer to one entry, under the attempt that it waits for."""
    fields = {"attempt": attempt, "epoch": state.record.epoch, "stamp": stamp_of(now)}
    state.send(address, msgspec.structs.replace(answer, **fields))


def refuse(
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
        stamp_of(now),
    )
    state.send(sender, answer)
