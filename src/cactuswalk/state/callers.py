"""Handlers of callers' requests to an entry: submissions, cancels, disconnects."""

from cactuswalk.messages import (
    Cancel,
)
from cactuswalk.model import (
    Job,
    Outcome,
    Refusal,
    RefusalCode,
)
from cactuswalk.state.effects import (
    Count,
    Send,
)
from cactuswalk.state.entryview import (
    MAX_OWNER_WAIT_SECONDS,
    RETRY_WITHOUT_OWNER_MS,
    CellView,
    EntryState,
    Pending,
    key_age_ms,
    log,
    make_no_owner_refusal,
    outcome_if_unsent,
    refuse_pending,
    refuse_waiter,
)
from cactuswalk.state.events import (
    CallerCancelled,
    CallerDisconnected,
    CallerSubmitted,
)
from cactuswalk.state.moving import choose_cell, is_known_service, mint_for_healthy_cell
from cactuswalk.state.waiting import send_submit

__all__ = [
    "on_caller_cancelled",
    "on_caller_disconnected",
    "on_caller_submitted",
]


def on_caller_submitted(state: EntryState, event: CallerSubmitted, now: float) -> None:
    """Send a validated job to the owner of a cell, or refuse it."""
    job = event.job
    refusal = _check_submission(state, event, now)
    if refusal is not None:
        _refuse(state, event, refusal)
        return
    pending = state.pending.get(job.submission)
    if pending is not None:
        _join(state, pending, event, now)
        return
    if event.minted:
        mint_for_healthy_cell(state, job, now)
    cell = choose_cell(state, job)
    refusal = _check_owner(cell, now)
    if refusal is not None:
        _refuse(state, event, refusal)
        return
    pending = Pending(
        job,
        cell.cell,
        now + event.remaining_ms / 1000,
        now,
        [event.waiter],
        minted=event.minted,
    )
    state.pending[job.submission] = pending
    log(
        state,
        "chose a cell",
        submission=job.submission,
        cell=cell.cell,
        owner=cell.owner,
        epoch=cell.epoch,
    )
    send_submit(state, pending, cell, now)


def _refuse(state: EntryState, event: CallerSubmitted, refusal: Refusal) -> None:
    outcome = outcome_if_unsent(event.minted)
    refuse_waiter(state, event.waiter, event.job.submission, outcome, refusal)


def _check_submission(
    state: EntryState, event: CallerSubmitted, now: float
) -> Refusal | None:
    """Return why this entry refuses a submission itself; None if it does not."""
    job = event.job
    age = key_age_ms(state, job, now)
    margin_ms = state.timing.clock_margin * 1000
    if age > state.timing.retention * 1000 - margin_ms:
        return Refusal(
            RefusalCode.TOO_OLD,
            f"its key was created {age / 1000:.0f} s ago, records are kept for "
            f"{state.timing.retention:.0f} s",
        )
    if age < -margin_ms:
        return Refusal(
            RefusalCode.TOO_OLD,
            f"its key lies {-age / 1000:.0f} s in the future; correct the clock",
        )
    if event.remaining_ms <= 0:
        return Refusal(RefusalCode.DEADLINE_PASSED, "the deadline has passed")
    if state.stopping:
        return Refusal(RefusalCode.STOPPING, "this entry is stopping", 0)
    if not is_known_service(state, job.service):
        return _make_no_cell_refusal(state, job)
    return None


def _check_owner(cell: CellView, now: float) -> Refusal | None:
    """Return a refusal if the cell has been without an owner for too long.

    During an outage of the key-value service no process can take a cell over.
    Without this check each submission would wait as long as the first one did,
    while its caller could have used another cell.
    """
    if cell.retired:
        return Refusal(RefusalCode.NO_OWNER, f"cell {cell.cell} is permanently lost")
    sought = cell.silent_since
    if sought is None or now - sought <= MAX_OWNER_WAIT_SECONDS:
        return None
    return make_no_owner_refusal(cell)


def _make_no_cell_refusal(state: EntryState, job: Job) -> Refusal:
    if state.sync.replica.get("service", job.service) is not None:
        return Refusal(
            RefusalCode.NO_WORKER_NOW,
            f"no worker has announced {job.service} yet",
            RETRY_WITHOUT_OWNER_MS,
        )
    known = any(view.report is not None for view in state.cells.values())
    if known:
        return Refusal(
            RefusalCode.UNKNOWN_SERVICE, f"no worker has announced {job.service}"
        )
    return Refusal(
        RefusalCode.NO_OWNER, "this entry knows no cell yet", RETRY_WITHOUT_OWNER_MS
    )


def _join(
    state: EntryState, pending: Pending, event: CallerSubmitted, now: float
) -> None:
    """Add a resubmission to the waiters, if its body is the same."""
    if pending.job.fingerprint != event.job.fingerprint:
        refusal = Refusal(RefusalCode.KEY_REUSED, "the key is in use with another body")
        refuse_waiter(
            state, event.waiter, event.job.submission, Outcome.NOT_RUN, refusal
        )
        return
    pending.waiters.append(event.waiter)
    pending.joined_deadlines[event.waiter] = now + event.remaining_ms / 1000
    state.effects.append(Count("entry.joined"))


def on_caller_cancelled(state: EntryState, event: CallerCancelled, now: float) -> None:
    """Cancel a submission."""
    pending = state.pending.get(event.submission)
    if pending is not None and not pending.sent:
        refusal = Refusal(RefusalCode.CANCELLED, "cancelled by the caller")
        refuse_pending(state, pending, outcome_if_unsent(pending.minted), refusal)
        return
    owners = {view.owner for view in state.cells.values() if view.owner}
    if pending is not None:
        pending.cancelled = True
        owners = {state.cells[pending.cell].owner} - {""}
    for owner in sorted(owners):
        state.effects.append(Send(owner, Cancel(event.submission)))


def on_caller_disconnected(
    state: EntryState, event: CallerDisconnected, now: float
) -> None:
    """Remove a waiter; running tasks continue."""
    for pending in state.pending.values():
        if event.waiter in pending.waiters:
            pending.waiters.remove(event.waiter)
            return
