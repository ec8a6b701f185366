"""Final answers: given once, kept for the retention window, sent to waiters."""

import msgspec

from cactuswalk.errors import InvariantError
from cactuswalk.messages import Answer, Submit
from cactuswalk.model import Outcome, Refusal
from cactuswalk.state.ledger import Tracked, answer_of
from cactuswalk.state.owner import OwnerState

__all__ = ["give_answer", "refuse", "send_answer"]


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
    # The bodies of the tasks have served their turn; the fingerprint is enough
    # to recognise a resubmission.
    tracked.job = msgspec.structs.replace(job, tasks=[])
    state.count(f"answer.{tracked.answer.outcome}")
    state.log(
        "answered a submission",
        submission=job.submission,
        outcome=str(tracked.answer.outcome),
        reason=refusal.message if refusal is not None else "",
    )
    for address, attempt in tracked.waiters.items():
        send_answer(state, tracked.answer, address, attempt)


def send_answer(state: OwnerState, answer: Answer, address: str, attempt: int) -> None:
    """Send an answer to one entry, under the attempt that it waits for."""
    epoch = state.record.epoch
    state.send(address, msgspec.structs.replace(answer, attempt=attempt, epoch=epoch))


def refuse(
    state: OwnerState, sender: str, submit: Submit, refusal: Refusal, outcome: Outcome
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
    )
    state.send(sender, answer)
