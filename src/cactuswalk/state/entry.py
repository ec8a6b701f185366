"""The reducer of an entry: callers on one side, owners of cells on the other.

An entry keeps nothing that an answer depends on. What it knows of a submission
is who waits for it here and where it was sent; another entry can take a
resubmission over at any time.
"""

import random

import msgspec

from cactuswalk.messages import (
    Answer,
    Cancel,
    CellReport,
    JobState,
    NotOwner,
    Query,
    Submit,
    Subscribe,
)
from cactuswalk.model import (
    Announcement,
    CellRecord,
    Job,
    Outcome,
    Refusal,
    RefusalCode,
    digest,
)
from cactuswalk.state.effects import (
    Count,
    Effect,
    Log,
    Part,
    ReadKey,
    Reply,
    ReplyState,
    Send,
)
from cactuswalk.state.events import (
    CallerAsked,
    CallerCancelled,
    CallerGone,
    CallerSubmitted,
    Event,
    KeyRead,
    Received,
    StopRequested,
    Tick,
)
from cactuswalk.state.roster import cell_key
from cactuswalk.state.timing import Timing

__all__ = ["CellView", "EntryState", "Pending", "handle_entry", "new_entry"]

# How long past the deadline the owner's own word is awaited. It answers at the
# deadline after ``settle`` at most; the rest is for a busy loop.
DEADLINE_GRACE = 0.25
# An owner that is found silent has its cell's record read again this often.
READ_CELL_AFTER = 0.5
# A takeover ends within this; until then a submission waits for its owner.
OWNER_AWAITED = 6.0
# A caller that comes back after a takeover finds an owner.
RETRY_WITHOUT_OWNER_MS = 3000


class CellView(msgspec.Struct):
    """What an entry knows of one cell.

    :param owner: address of its owner, empty while it is not known.
    :param stamp_at: when the owner's latest stamp came here.
    """

    cell: str
    services: set[str] = set()
    owner: str = ""
    epoch: int = 0
    stamp: int = 0
    stamp_at: float = float("-inf")
    subscribed_at: float = float("-inf")
    read_at: float = float("-inf")
    serial: int = -1
    workers: list[Announcement] = []
    report: CellReport | None = None


class Pending(msgspec.Struct):
    """A submission that callers wait for at this entry.

    :param attempts: every attempt sent, so that a late answer to one of them
        is recognised; all of one submission have the same answer.
    :param sent: whether it was ever sent to anybody.
    """

    job: Job
    cell: str
    deadline: float
    submitted_at: float
    waiters: list[str] = []
    attempts: set[int] = set()
    sent: bool = False
    sent_epoch: int = 0
    sign_at: float = 0.0
    query_after: float = 0.0
    minted: bool = False
    cancelled: bool = False


class Asked(msgspec.Struct):
    """A caller's question where a submission stands.

    :param owners: how many owners have yet to answer.
    """

    until: float
    owners: int


class EntryState(msgspec.Struct):
    """All that an entry knows.

    :param wall_ms: wall clock less monotonic clock; only ages of identifiers
        rest on it.
    :param attempt: number of the last submit sent; starts at random, so that a
        restarted entry at the same address does not repeat one.
    :param asked: questions of callers that owners have not answered yet.
    """

    address: str
    timing: Timing
    generator: random.Random
    wall_ms: float
    cells: dict[str, CellView] = {}
    pending: dict[str, Pending] = {}
    asked: dict[str, Asked] = {}
    attempt: int = 0
    stopping: bool = False
    effects: list[Effect] = []


def new_entry(
    address: str,
    cells: list[str],
    timing: Timing,
    generator: random.Random,
    wall_ms: float,
) -> EntryState:
    """Return the state of an entry that has just been started."""
    state = EntryState(address, timing, generator, wall_ms)
    state.attempt = generator.getrandbits(40)
    state.cells = {cell: CellView(cell) for cell in cells}
    return state


def handle_entry(state: EntryState, event: Event, now: float) -> list[Effect]:
    """Take one event and return what is to be done."""
    if isinstance(event, Received):
        _on_received(state, event, now)
    elif isinstance(event, CallerSubmitted):
        _on_caller_submitted(state, event, now)
    elif isinstance(event, Tick):
        _on_tick(state, now)
    elif isinstance(event, CallerCancelled):
        _on_caller_cancelled(state, event, now)
    elif isinstance(event, CallerAsked):
        _on_caller_asked(state, event, now)
    elif isinstance(event, CallerGone):
        _on_caller_gone(state, event)
    elif isinstance(event, KeyRead):
        _on_read(state, event, now)
    elif isinstance(event, StopRequested):
        state.stopping = True
    effects, state.effects = state.effects, []
    return effects


def _on_received(state: EntryState, event: Received, now: float) -> None:
    message = event.message
    if isinstance(message, Answer):
        _on_answer(state, message, now)
    elif isinstance(message, CellReport):
        _on_report(state, message, now)
    elif isinstance(message, NotOwner):
        _on_not_owner(state, event.sender, message, now)
    elif isinstance(message, JobState):
        _on_job_state(state, message, now)


def _on_caller_submitted(state: EntryState, event: CallerSubmitted, now: float) -> None:
    job = event.job
    refusal = _refusal_at_door(state, event, now)
    if refusal is not None:
        outcome = _outcome_unsent(event.minted)
        _reply(state, event.waiter, job.submission, outcome, refusal)
        return
    pending = state.pending.get(job.submission)
    if pending is not None:
        _join(state, pending, event)
        return
    cell = _choose_cell(state, job)
    pending = Pending(
        job,
        cell.cell,
        now + event.remaining_ms / 1000,
        now,
        [event.waiter],
        minted=event.minted,
    )
    state.pending[job.submission] = pending
    _log(
        state,
        "chose a cell",
        submission=job.submission,
        cell=cell.cell,
        owner=cell.owner,
        epoch=cell.epoch,
    )
    _submit(state, pending, cell, now)


def _refusal_at_door(
    state: EntryState, event: CallerSubmitted, now: float
) -> Refusal | None:
    """Return why a submission goes no further than this entry."""
    job = event.job
    age_ms = _age_ms(state, job, now)
    margin_ms = state.timing.clock_margin * 1000
    if age_ms > state.timing.retention * 1000 - margin_ms:
        return Refusal(
            RefusalCode.TOO_OLD,
            f"its key was born {age_ms / 1000:.0f} s ago, records are kept for "
            f"{state.timing.retention:.0f} s",
        )
    if age_ms < -margin_ms:
        return Refusal(
            RefusalCode.TOO_OLD,
            f"its key will be born in {-age_ms / 1000:.0f} s; set the clock right",
        )
    if event.remaining_ms <= 0:
        return Refusal(RefusalCode.DEADLINE_PASSED, "the deadline has passed")
    if state.stopping:
        return Refusal(RefusalCode.STOPPING, "this entry is stopping", 0)
    if _choose_cell(state, job) is None:
        known = any(view.report is not None for view in state.cells.values())
        if known:
            return Refusal(
                RefusalCode.UNKNOWN_SERVICE, f"no worker has announced {job.service}"
            )
        return Refusal(
            RefusalCode.NO_OWNER, "no cell is known here yet", RETRY_WITHOUT_OWNER_MS
        )
    return None


def _outcome_unsent(minted: bool) -> Outcome:
    """Return what is true of a submission that this entry has sent to nobody.

    A caller's own key may have been submitted before, through another entry,
    and have run: then only an owner can say "not run".
    """
    return Outcome.NOT_RUN if minted else Outcome.UNKNOWN


def _age_ms(state: EntryState, job: Job, now: float) -> float:
    return now * 1000 + state.wall_ms - job.born_ms


def _join(state: EntryState, pending: Pending, event: CallerSubmitted) -> None:
    """Let a resubmission wait for the same answer, if it is the same body."""
    if pending.job.fingerprint != event.job.fingerprint:
        refusal = Refusal(RefusalCode.KEY_REUSED, "this key is in use for another body")
        _reply(state, event.waiter, event.job.submission, Outcome.NOT_RUN, refusal)
        return
    pending.waiters.append(event.waiter)
    state.effects.append(Count("entry.joined"))


def _choose_cell(state: EntryState, job: Job) -> CellView | None:
    """Return the cell of a submission: the same at every entry.

    Highest random weight over the cells that serve it: a resubmission through
    another entry has to meet the first one.
    """
    fit = [view for view in state.cells.values() if job.service in view.services]
    name = job.submission.encode()
    return max(fit, key=lambda view: digest(name, view.cell.encode()), default=None)


def _submit(state: EntryState, pending: Pending, cell: CellView, now: float) -> None:
    """Send a submission to the owner of its cell, if one is known and young."""
    if not cell.owner or now - cell.stamp_at > state.timing.confirm:
        return
    state.attempt += 1
    fresh = pending.minted and not pending.sent
    submit = Submit(
        pending.job,
        state.attempt,
        fresh,
        max(0, int((pending.deadline - now) * 1000)),
        int(_age_ms(state, pending.job, now)),
        cell.epoch,
        cell.stamp,
    )
    pending.attempts.add(state.attempt)
    pending.sent = True
    pending.sent_epoch = cell.epoch
    pending.sign_at = now
    pending.query_after = state.timing.query
    state.effects += (Send(cell.owner, submit), Count("entry.submit.sent"))


def _on_answer(state: EntryState, answer: Answer, now: float) -> None:
    """The owner has answered a submission."""
    pending = state.pending.get(answer.submission)
    if pending is None or answer.attempt not in pending.attempts:
        state.effects.append(Count("entry.answer.stale"))
        return
    view = state.cells[pending.cell]
    if answer.outcome is Outcome.NOT_RUN and answer.epoch < view.epoch:
        # A deposed owner's word that came late: the new one may have started it.
        state.effects.append(Count("entry.answer.deposed"))
        return
    if answer.fingerprint != pending.job.fingerprint or not _is_whole(pending, answer):
        # Cut short or mixed up: nothing of it may reach the caller. The query
        # timer asks the owner for it again.
        state.effects.append(Count("entry.answer.damaged"))
        return
    _finish(state, pending, answer)


def _is_whole(pending: Pending, answer: Answer) -> bool:
    if answer.outcome is not Outcome.ANSWERED:
        return True
    bodies_match = all(
        digest(result.body) == result.digest for result in answer.results
    )
    indexes = [result.index for result in answer.results]
    parts = [result.digest for result in answer.results]
    return (
        bodies_match
        and indexes == list(range(len(pending.job.tasks)))
        and answer.digest == digest(answer.fingerprint, *parts)
    )


def _finish(state: EntryState, pending: Pending, answer: Answer) -> None:
    del state.pending[pending.job.submission]
    _log(
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


def _give_up(
    state: EntryState, pending: Pending, outcome: Outcome, refusal: Refusal
) -> None:
    """Answer all who wait, without the owner's word."""
    del state.pending[pending.job.submission]
    for waiter in pending.waiters:
        _reply(state, waiter, pending.job.submission, outcome, refusal)


def _reply(
    state: EntryState,
    waiter: str,
    submission: str,
    outcome: Outcome,
    refusal: Refusal,
) -> None:
    _log(
        state,
        "refused a caller",
        submission=submission,
        outcome=str(outcome),
        reason=refusal.message,
    )
    state.effects.append(Count(f"entry.outcome.{outcome}"))
    state.effects.append(Reply(waiter, submission, outcome, [], refusal))


def _on_report(state: EntryState, report: CellReport, now: float) -> None:
    """An owner reports on its cell."""
    view = state.cells.setdefault(report.cell, CellView(report.cell))
    if report.epoch < view.epoch or (
        report.epoch == view.epoch and report.stamp < view.stamp
    ):
        state.effects.append(Count("entry.report.stale"))
        return
    new_owner = report.epoch > view.epoch or not view.owner
    view.owner, view.epoch = report.owner, report.epoch
    view.stamp, view.stamp_at = report.stamp, now
    view.report = report
    if report.workers:
        view.workers = report.workers
    view.services |= set(report.free_slots)
    if new_owner:
        _log(
            state,
            "found an owner",
            cell=view.cell,
            owner=view.owner,
            epoch=view.epoch,
        )
    for pending in list(state.pending.values()):
        if pending.cell == view.cell and pending.sent_epoch < view.epoch:
            _submit(state, pending, view, now)


def _on_not_owner(
    state: EntryState, sender: str, message: NotOwner, now: float
) -> None:
    """A process says that it does not own the cell."""
    view = state.cells.get(message.cell)
    if view is None:
        return
    if message.owner == sender and message.epoch == view.epoch:
        # It owns the cell, but the stamp was old: the next report brings a
        # young one, and the submission goes out again with it.
        pending = state.pending.get(message.submission)
        if pending is not None and message.attempt == state_last(pending):
            pending.sent_epoch = 0
        return
    if message.epoch >= view.epoch and sender == view.owner:
        view.owner = ""
    if message.owner and message.epoch >= view.epoch and not view.owner:
        _subscribe(state, view, message.owner, now)
    pending = state.pending.get(message.submission)
    if pending is not None:
        pending.sent_epoch = min(pending.sent_epoch, message.epoch - 1)


def state_last(pending: Pending) -> int:
    """Return the attempt that was sent last."""
    return max(pending.attempts, default=0)


def _on_job_state(state: EntryState, message: JobState, now: float) -> None:
    """The owner says where a submission stands."""
    if message.request:
        _answer_question(state, message)
        return
    pending = state.pending.get(message.submission)
    if pending is None:
        return
    if message.answer is not None:
        # Asked for by an earlier try, it may say "not run" of a task that this
        # one has started; it is dropped as any answer of another attempt.
        message.answer.attempt = message.attempt
        _on_answer(state, message.answer, now)
        return
    pending.sign_at = now
    pending.query_after *= 2
    if not message.known and pending.cancelled:
        refusal = Refusal(
            RefusalCode.CANCELLED, "it was cancelled; nothing more of it will start"
        )
        _give_up(state, pending, Outcome.UNKNOWN, refusal)
        return
    if not message.known and state.cells[pending.cell].epoch == pending.sent_epoch:
        # The submit was lost on the way; the owner joins a repeated one.
        _submit(state, pending, state.cells[pending.cell], now)


def _on_caller_asked(state: EntryState, event: CallerAsked, now: float) -> None:
    """Ask the owners of the cells where the submission may be."""
    owners = sorted(
        view.owner
        for view in state.cells.values()
        if view.owner and (not event.service or event.service in view.services)
    )
    if not owners:
        state.effects.append(ReplyState(event.request, None))
        return
    state.asked[event.request] = Asked(now + state.timing.query, len(owners))
    for owner in owners:
        state.effects.append(Send(owner, Query(event.submission, event.request)))


def _answer_question(state: EntryState, message: JobState) -> None:
    asked = state.asked.get(message.request)
    if asked is None:
        return
    asked.owners -= 1
    if message.known or asked.owners == 0:
        del state.asked[message.request]
        state.effects.append(ReplyState(message.request, message))


def _on_caller_cancelled(state: EntryState, event: CallerCancelled, now: float) -> None:
    pending = state.pending.get(event.submission)
    if pending is not None and not pending.sent:
        refusal = Refusal(RefusalCode.CANCELLED, "its caller cancelled it")
        _give_up(state, pending, _outcome_unsent(pending.minted), refusal)
        return
    owners = {view.owner for view in state.cells.values() if view.owner}
    if pending is not None:
        pending.cancelled = True
        owners = {state.cells[pending.cell].owner} - {""}
    for owner in sorted(owners):
        state.effects.append(Send(owner, Cancel(event.submission)))


def _on_caller_gone(state: EntryState, event: CallerGone) -> None:
    for pending in state.pending.values():
        if event.waiter in pending.waiters:
            pending.waiters.remove(event.waiter)
            return


def _on_read(state: EntryState, event: KeyRead, now: float) -> None:
    """A cell's record was read, to find its owner."""
    if not event.known or event.value is None:
        return
    record = msgspec.json.decode(event.value, type=CellRecord)
    view = state.cells.setdefault(record.cell, CellView(record.cell))
    if record.epoch > view.epoch or not view.owner:
        _subscribe(state, view, record.owner.address, now)


def _subscribe(state: EntryState, view: CellView, address: str, now: float) -> None:
    view.subscribed_at = now
    message = Subscribe(view.cell, state.address)
    state.effects.append(Send(address, message))


def _on_tick(state: EntryState, now: float) -> None:
    for view in state.cells.values():
        _keep_view(state, view, now)
    for pending in list(state.pending.values()):
        _keep_pending(state, pending, now)
    for request in [key for key, asked in state.asked.items() if asked.until <= now]:
        del state.asked[request]
        state.effects.append(ReplyState(request, None))


def _keep_view(state: EntryState, view: CellView, now: float) -> None:
    """Renew the wish for reports; look for the owner when they stay away."""
    silent = now - view.stamp_at > state.timing.confirm
    if view.owner and now - view.subscribed_at >= state.timing.confirm / 2:
        _subscribe(state, view, view.owner, now)
    if silent and now - view.read_at >= READ_CELL_AFTER:
        view.read_at = now
        state.effects.append(ReadKey(cell_key(view.cell)))


def _keep_pending(state: EntryState, pending: Pending, now: float) -> None:
    """Give up in time, ask after what is silent, send what waits for an owner."""
    view = state.cells[pending.cell]
    if now >= pending.deadline + (DEADLINE_GRACE if pending.sent else 0.0):
        _give_up_late(state, pending, view)
        return
    if pending.sent_epoch < view.epoch:
        _submit(state, pending, view, now)
        return
    if not pending.sent and now - pending.submitted_at > OWNER_AWAITED:
        refusal = Refusal(
            RefusalCode.NO_OWNER,
            f"cell {view.cell} has had no owner for {OWNER_AWAITED:.0f} s",
            RETRY_WITHOUT_OWNER_MS,
        )
        _give_up(state, pending, _outcome_unsent(pending.minted), refusal)
        return
    if pending.sent and view.owner and now - pending.sign_at >= pending.query_after:
        pending.sign_at = now
        query = Query(pending.job.submission, "", state_last(pending))
        state.effects.append(Send(view.owner, query))
        state.effects.append(Count("entry.query.sent"))


def _give_up_late(state: EntryState, pending: Pending, view: CellView) -> None:
    """Answer a submission whose deadline has passed without the owner's word."""
    if not pending.sent:
        refusal = Refusal(
            RefusalCode.NO_OWNER,
            "its deadline passed before an owner of its cell was found",
            RETRY_WITHOUT_OWNER_MS,
        )
        _give_up(state, pending, _outcome_unsent(pending.minted), refusal)
        return
    if view.owner:
        state.effects.append(Send(view.owner, Cancel(pending.job.submission)))
    refusal = Refusal(
        RefusalCode.TIMED_OUT,
        "its deadline passed without word from the owner of its cell; it may have run",
        RETRY_WITHOUT_OWNER_MS,
    )
    _give_up(state, pending, Outcome.UNKNOWN, refusal)


def _log(state: EntryState, sentence: str, **fields: object) -> None:
    state.effects.append(Log(Part.ENTRY, sentence, fields))
