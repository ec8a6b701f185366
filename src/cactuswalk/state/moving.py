"""Which cell a submission goes to, and where it goes when that cell has it not.

What an entry knows of the cells may be old or partial. It only costs a detour:
the owner of a cell that doesn't hold a submission says so, and where to go.
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

__all__ = ["choose_cell", "is_served", "keep_moving", "mint_well", "on_not_held"]

# A cession is taken within two calls of the key-value service, some 10 ms; asked
# more often, cells would be flooded while it is away.
CHOOSE_AGAIN_AFTER = 0.25
# Slots pass from cell to cell a few times in their life; a longer way is a circle
# of cells that know each other's old holdings.
MAXIMUM_HOPS = 8
# Where one cell in three is well, as many draws miss it once in 400,000 times;
# 32 draws take below half a millisecond.
MINT_TRIES = 32
# An owner that is heard, and free slots; 1 stands for the owner alone.
WELL = 2


def is_served(state: EntryState, service: str) -> bool:
    """Tell whether an owner has reported workers of a service: has it a cell?"""
    return any(service in view.services for view in state.cells.values())


def choose_cell(state: EntryState, job: Job) -> CellView | None:
    """Return the cell that holds a submission, or one that may know which does.

    None as long as no owner has reported workers of the service.
    """
    views = list(state.cells.values())
    fit = [view for view in views if job.service in view.services]
    if not fit:
        return None
    for view in views:
        if holds_submission(view.holdings, job.service, job.submission, job.created_ms):
            return view
    # A retired cell answers nothing; its heirs know what they were left.
    fit = [view for view in fit if not view.retired] or fit
    name = job.submission.encode()
    return max(fit, key=lambda view: compute_digest(name, view.cell.encode()))


def mint_well(state: EntryState, job: Job, now: float) -> None:
    """Give a job that came without a key one that falls to a cell that is well.

    A cell that has lost its owner while the key-value service is away gets no
    other. Requests without a key of the caller's need not wait for it: where one
    falls is for its entry to draw, as long as it has been sent to nobody.
    """
    team = job.submission.rpartition("/")[0]
    best, best_worth = job.submission, _worth(state, job, now)
    for _ in range(MINT_TRIES):
        if best_worth == WELL:
            break
        job.submission = format_submission_name(
            team, generate_identifier(job.created_ms, state.generator)
        )
        worth = _worth(state, job, now)
        if worth > best_worth:
            best, best_worth = job.submission, worth
    job.submission = best


def _worth(state: EntryState, job: Job, now: float) -> int:
    """Return how well the cell of a job is, up to ``WELL``."""
    cell = choose_cell(state, job)
    if (
        cell is None
        or cell.report is None
        or is_silent(cell, state.timing.confirm, now)
    ):
        return 0
    return WELL if cell.report.free_slots.get(job.service, 0) > 0 else 1


def on_not_held(state: EntryState, sender: str, message: NotHeld, now: float) -> None:
    """An owner doesn't hold a submission: nothing of it ran or will run there."""
    pending = state.pending.get(message.submission)
    if pending is None or message.attempt != last_attempt(pending):
        return
    state.effects.append(Count("entry.submit.not_held"))
    pending.attempts.clear()
    pending.sent = False
    pending.hops += 1
    pending.moved_at = now
    # Its record says what this entry did not know; the next choice is better.
    state.effects.append(ReadKey(cell_key(message.cell)))
    if message.holder and message.holder != message.cell:
        if pending.hops > MAXIMUM_HOPS:
            return
        _move(state, pending, message.holder, now)


def keep_moving(state: EntryState, pending: Pending, now: float) -> None:
    """Choose again for a submission that no cell has been found to hold."""
    if pending.attempts or now - pending.moved_at < CHOOSE_AGAIN_AFTER:
        return
    if pending.sent or pending.sent_epoch == 0:
        return
    pending.moved_at, pending.hops = now, 0
    cell = choose_cell(state, pending.job)
    if cell is not None:
        _move(state, pending, cell.cell, now)


def _move(state: EntryState, pending: Pending, cell: str, now: float) -> None:
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
