"""Choice of the cell for a submission, and of another if that one doesn't hold it.

An entry's view of the cells may be stale or partial. This costs only a redirect:
the owner of a cell that doesn't hold a submission names the cell that may.
"""

from cactuswalk.messages import NotHeld
from cactuswalk.model import (
    Job,
    compute_digest,
    format_submission_name,
    generate_identifier,
)
from cactuswalk.model.holding import holds_submission
from cactuswalk.state.effects import Count, ReadKey
from cactuswalk.state.entryview import (
    CellView,
    EntryState,
    Pending,
    last_attempt,
    log,
)
from cactuswalk.state.listening import is_silent
from cactuswalk.state.roster import cell_key
from cactuswalk.state.waiting import send_submit

__all__ = [
    "choose_cell",
    "is_known_service",
    "retry_cell_choice",
    "mint_for_healthy_cell",
    "on_not_held",
]

# A cession completes within two calls of the key-value service, about 10 ms. Shorter
# intervals would flood the cells while the service is down.
CELL_RETRY_SECONDS = 0.25
# Slots pass between cells only a few times. A longer chain of redirects is a loop of
# cells that know each other's old holdings.
MAX_HOPS = 8
# If one cell in three is healthy, 32 draws miss it once in 400,000 times; they take
# less than half a millisecond.
MAX_MINT_TRIES = 32
# Rating of a cell with an owner that is heard and free slots; 1 means no free slots.
HEALTHY = 2


def is_known_service(state: EntryState, service: str) -> bool:
    """Tell whether the owner of any cell has reported workers of a service."""
    return any(service in view.services for view in state.cells.values())


def choose_cell(state: EntryState, job: Job) -> CellView | None:
    """Return the cell that holds a submission, or one that may know the holder.

    None while no owner has reported workers of the service.
    """
    views = list(state.cells.values())
    fit = [view for view in views if job.service in view.services]
    if not fit:
        return None
    for view in views:
        if holds_submission(view.holdings, job.service, job.submission, job.created_ms):
            return view
    # A retired cell answers nothing; the cells that took its slots know of them.
    fit = [view for view in fit if not view.retired] or fit
    name = job.submission.encode()
    return max(fit, key=lambda view: compute_digest(name, view.cell.encode()))


def mint_for_healthy_cell(state: EntryState, job: Job, now: float) -> None:
    """Give a job without a caller's key a key that a healthy cell holds.

    A cell that loses its owner while the key-value service is down can't get
    another. Requests without a caller's key need not wait for it: their entry may
    draw another key as long as they have been sent to nobody.
    """
    team = job.submission.rpartition("/")[0]
    best, best_rating = job.submission, _rate_cell(state, job, now)
    for _ in range(MAX_MINT_TRIES):
        if best_rating == HEALTHY:
            break
        job.submission = format_submission_name(
            team, generate_identifier(job.created_ms, state.generator)
        )
        rating = _rate_cell(state, job, now)
        if rating > best_rating:
            best, best_rating = job.submission, rating
    job.submission = best


def _rate_cell(state: EntryState, job: Job, now: float) -> int:
    """Return the health of a job's cell as a rating from 0 to ``HEALTHY``."""
    cell = choose_cell(state, job)
    if (
        cell is None
        or cell.report is None
        or is_silent(cell, state.timing.confirm, now)
    ):
        return 0
    return HEALTHY if cell.report.free_slots.get(job.service, 0) > 0 else 1


def on_not_held(state: EntryState, sender: str, message: NotHeld, now: float) -> None:
    """Handle an owner's reply that its cell doesn't hold a submission.

    Nothing of the submission has run or will run there.
    """
    pending = state.pending.get(message.submission)
    if pending is None or message.attempt != last_attempt(pending):
        return
    state.effects.append(Count("entry.submit.not_held"))
    pending.attempts.clear()
    pending.sent = False
    pending.hops += 1
    pending.moved_at = now
    # The cell's record has the holdings that this entry lacked for its choice.
    state.effects.append(ReadKey(cell_key(message.cell)))
    if message.holder and message.holder != message.cell:
        if pending.hops > MAX_HOPS:
            return
        _send_to_cell(state, pending, message.holder, now)


def retry_cell_choice(state: EntryState, pending: Pending, now: float) -> None:
    """Choose a cell again for a submission whose holder has not been found."""
    if pending.attempts or now - pending.moved_at < CELL_RETRY_SECONDS:
        return
    if pending.sent or pending.sent_epoch == 0:
        return
    pending.moved_at, pending.hops = now, 0
    cell = choose_cell(state, pending.job)
    if cell is not None:
        _send_to_cell(state, pending, cell.cell, now)


def _send_to_cell(state: EntryState, pending: Pending, cell: str, now: float) -> None:
    view = state.cells.setdefault(cell, CellView(cell))
    if not view.owner and not view.retired:
        state.effects.append(ReadKey(cell_key(cell)))
    log(
        state,
        "chose another cell",
        submission=pending.job.submission,
        cell=cell,
        owner=view.owner,
    )
    pending.cell, pending.sent_epoch = cell, 0
    send_submit(state, pending, view, now)
