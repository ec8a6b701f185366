"""Pending submissions at an entry: sent, queried, answered or given up."""

from cactuswalk.messages import (
    Answer,
    Cancel,
    JobState,
    Query,
    Submit,
)
from cactuswalk.model import (
    Outcome,
    Refusal,
    RefusalCode,
    compute_digest,
)
from cactuswalk.state.effects import (
    Count,
    Reply,
    Send,
)
from cactuswalk.state.entryview import (
    MAX_OWNER_WAIT_SECONDS,
    RETRY_WITHOUT_OWNER_MS,
    CellView,
    EntryState,
    Pending,
    key_age_ms,
    last_attempt,
    log,
    make_no_owner_refusal,
    outcome_if_unsent,
    refuse_pending,
    refuse_waiter,
)
from cactuswalk.state.listening import is_silent, record_stamp, repeat_request

__all__ = ["maintain_pending", "on_answer", "on_job_state", "send_submit"]

# Time after the deadline that an entry waits for the owner's answer. The owner answers
# within ``settle`` after the deadline; the rest allows for a busy event loop.
DEADLINE_GRACE_SECONDS = 0.25


def send_submit(
    state: EntryState, pending: Pending, cell: CellView, now: float
) -> None:
    """Send a submission to the owner of its cell, or first request a new stamp.

    The owner's report with the stamp arrives after a round trip, and the submission
    is sent then. An owner that is gone gets nothing, so that the caller can be told
    "not run".
    """
    if not cell.owner:
        return
    if now - cell.stamp_at > state.timing.confirm:
        repeat_request(state, cell, now)
        return
    state.attempt += 1
    fresh = pending.minted and not pending.sent
    submit = Submit(
        pending.job,
        state.attempt,
        fresh,
        max(0, int((pending.deadline - now) * 1000)),
        int(key_age_ms(state, pending.job, now)),
        cell.epoch,
        cell.stamp,
    )
    pending.attempts.add(state.attempt)
    pending.sent = True
    pending.sent_epoch = cell.epoch
    pending.last_sign_at = now
    pending.query_after = state.timing.query
    state.effects += (Send(cell.owner, submit), Count("entry.submit.sent"))


def on_answer(state: EntryState, sender: str, answer: Answer, now: float) -> None:
    """Handle the owner's answer to a submission."""
    pending = state.pending.get(answer.submission)
    if pending is None or answer.attempt not in pending.attempts:
        state.effects.append(Count("entry.answer.stale"))
        return
    view = state.cells[pending.cell]
    if sender == view.owner and answer.epoch == view.epoch:
        record_stamp(view, answer.stamp, now)
    if answer.outcome is Outcome.NOT_RUN and answer.epoch < view.epoch:
        # A late answer of a deposed owner: the new one may have started the task.
        state.effects.append(Count("entry.answer.deposed"))
        return
    if answer.fingerprint != pending.job.fingerprint or not _is_complete(
        pending, answer
    ):
        # The answer is truncated or damaged and must not reach the caller. The query
        # timer requests it again.
        state.effects.append(Count("entry.answer.damaged"))
        return
    _finish(state, pending, answer)


def _is_complete(pending: Pending, answer: Answer) -> bool:
    if answer.outcome is not Outcome.ANSWERED:
        return True
    bodies_match = all(
        compute_digest(result.body) == result.digest for result in answer.results
    )
    indexes = [result.index for result in answer.results]
    parts = [result.digest for result in answer.results]
    return (
        bodies_match
        and indexes == list(range(len(pending.job.tasks)))
        and answer.digest == compute_digest(answer.fingerprint, *parts)
    )


def _finish(state: EntryState, pending: Pending, answer: Answer) -> None:
    del state.pending[pending.job.submission]
    log(
        state,
        "answered a caller",
        submission=answer.submission,
        outcome=str(answer.outcome),
        reason=answer.refusal.message if answer.refusal else "",
    )
    for waiter in pending.waiters:
        state.effects.append(
            Reply(
                waiter,
                answer.submission,
                answer.outcome,
                answer.results,
                answer.refusal,
            )
        )
    state.effects.append(Count(f"entry.outcome.{answer.outcome}"))


def on_job_state(state: EntryState, message: JobState, now: float) -> None:
    """Handle the owner's report of a submission's state."""
    pending = state.pending.get(message.submission)
    if pending is None:
        return
    if message.answer is not None:
        # An answer to an earlier attempt may report "not run" for a task that this
        # attempt has started. It is dropped like any answer to another attempt.
        message.answer.attempt = message.attempt
        on_answer(state, "", message.answer, now)
        return
    pending.last_sign_at = now
    pending.query_after *= 2
    if not message.known and pending.cancelled:
        refusal = Refusal(
            RefusalCode.CANCELLED, "it was cancelled; nothing more of it will start"
        )
        refuse_pending(state, pending, Outcome.UNKNOWN, refusal)
        return
    if not message.known and state.cells[pending.cell].epoch == pending.sent_epoch:
        # The submission was lost; the owner joins repeated ones.
        send_submit(state, pending, state.cells[pending.cell], now)


def maintain_pending(state: EntryState, pending: Pending, now: float) -> None:
    """Send, query or give up a pending submission."""
    _refuse_overdue_waiters(state, pending, now)
    view = state.cells[pending.cell]
    if now >= pending.deadline + (DEADLINE_GRACE_SECONDS if pending.sent else 0.0):
        _give_up_overdue(state, pending, view)
        return
    if (
        not pending.sent
        and (view.record_unreadable or view.retired)
        and is_silent(view, state.timing.confirm, now)
    ):
        refusal = Refusal(
            RefusalCode.NO_OWNER,
            f"cell {view.cell} has no owner, and nobody can take it over now",
            RETRY_WITHOUT_OWNER_MS,
        )
        refuse_pending(state, pending, outcome_if_unsent(pending.minted), refusal)
        return
    sought = view.silent_since
    since = (
        pending.submitted_at if sought is None else min(pending.submitted_at, sought)
    )
    if not pending.sent and now - since > MAX_OWNER_WAIT_SECONDS:
        outcome = outcome_if_unsent(pending.minted)
        refuse_pending(state, pending, outcome, make_no_owner_refusal(view))
        return
    if pending.sent_epoch < view.epoch:
        send_submit(state, pending, view, now)
        return
    if (
        pending.sent
        and view.owner
        and now - pending.last_sign_at >= pending.query_after
    ):
        pending.last_sign_at = now
        query = Query(pending.job.submission, "", last_attempt(pending))
        state.effects.append(Send(view.owner, query))
        state.effects.append(Count("entry.query.sent"))


def _refuse_overdue_waiters(state: EntryState, pending: Pending, now: float) -> None:
    """Answer the callers that joined and stop waiting before the submission ends."""
    for waiter, deadline in list(pending.joined_deadlines.items()):
        if now < deadline or deadline >= pending.deadline:
            continue
        del pending.joined_deadlines[waiter]
        pending.waiters.remove(waiter)
        refusal = Refusal(
            RefusalCode.TIMED_OUT, "its deadline passed while an earlier submission ran"
        )
        name = pending.job.submission
        refuse_waiter(state, waiter, name, Outcome.UNKNOWN, refusal)


def _give_up_overdue(state: EntryState, pending: Pending, view: CellView) -> None:
    """Give up a submission whose deadline has passed without an owner's answer."""
    if not pending.sent:
        refusal = Refusal(
            RefusalCode.NO_OWNER,
            "its deadline passed before an owner of its cell was found",
            RETRY_WITHOUT_OWNER_MS,
        )
        refuse_pending(state, pending, outcome_if_unsent(pending.minted), refusal)
        return
    if view.owner:
        state.effects.append(Send(view.owner, Cancel(pending.job.submission)))
    refusal = Refusal(
        RefusalCode.TIMED_OUT,
        "its deadline passed without a reply from its cell's owner; it may have run",
        RETRY_WITHOUT_OWNER_MS,
    )
    refuse_pending(state, pending, Outcome.UNKNOWN, refusal)
