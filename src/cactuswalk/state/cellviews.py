"""An entry's view of the cells: owners, reports, the configuration."""

import msgspec

from cactuswalk.messages import (
    CededSlots,
    CellReport,
    ConfigurationOffer,
    ConfigurationUpdate,
    LastContactRequest,
    NotOwner,
)
from cactuswalk.model import (
    CellRecord,
)
from cactuswalk.state.effects import (
    Count,
    ReadKey,
    Send,
)
from cactuswalk.state.entryview import CellView, EntryState, last_attempt, log
from cactuswalk.state.events import (
    KeyRead,
)
from cactuswalk.state.listening import (
    is_silent,
    record_stamp,
    repeat_request,
    report_interval,
    request_report,
)
from cactuswalk.state.roster import cell_key
from cactuswalk.state.waiting import send_submit

__all__ = [
    "sync_configuration",
    "refresh_view",
    "on_heard",
    "on_not_owner",
    "on_offer",
    "on_read",
    "on_report",
    "on_update",
]

# An owner that is found silent has its cell's record read again this often.
CELL_READ_INTERVAL_SECONDS = 0.5
# Entries tell each other what they hold this often, so that one that starts in
# an outage of the service has the configuration within the five seconds in which
# a change is to be in force.
PEER_OFFER_INTERVAL_SECONDS = 2.0


def on_report(state: EntryState, sender: str, report: CellReport, now: float) -> None:
    """An owner reports on its cell."""
    view = state.cells.setdefault(report.cell, CellView(report.cell))
    if report.epoch < view.epoch or (
        report.epoch == view.epoch and report.stamp < view.stamp
    ):
        state.effects.append(Count("entry.report.stale"))
        return
    new_owner = report.epoch > view.epoch or not view.owner
    if report.epoch > view.epoch:
        view.stamp = 0
    view.owner, view.epoch = sender, report.epoch
    record_stamp(view, report.stamp, now)
    view.report = report
    view.accepts_keys_at = now + report.refuses_keys_ms / 1000
    if report.workers is not None:
        view.workers, view.serial = report.workers, report.serial
    view.services |= set(report.free_slots)
    state.held[report.cell] = report.configuration.held
    on_offer(state, sender, report.configuration, now)
    if new_owner:
        log(
            state,
            "found an owner",
            cell=view.cell,
            owner=view.owner,
            epoch=view.epoch,
        )
    for pending in list(state.pending.values()):
        if pending.cell == view.cell and pending.sent_epoch < view.epoch:
            send_submit(state, pending, view, now)


def on_not_owner(state: EntryState, sender: str, message: NotOwner, now: float) -> None:
    """A process says that it does not own the cell."""
    view = state.cells.get(message.cell)
    if view is None:
        return
    if message.owner == sender and message.epoch == view.epoch:
        # It owns the cell, but the stamp was old: it is asked for a young one,
        # and the submission goes out again with it.
        view.stamp_at = float("-inf")
        pending = state.pending.get(message.submission)
        if pending is not None and message.attempt == last_attempt(pending):
            pending.sent_epoch = 0
        return
    if message.epoch >= view.epoch and sender == view.owner:
        view.owner = ""
    if message.owner and message.epoch >= view.epoch and not view.owner:
        request_report(state, view, message.owner, now)
    pending = state.pending.get(message.submission)
    if pending is not None and pending.cell == message.cell:
        pending.sent_epoch = min(pending.sent_epoch, message.epoch - 1)


def on_heard(
    state: EntryState, sender: str, heard: LastContactRequest, now: float
) -> None:
    """An agent that finds no record of its cell asks who owned it.

    An owner that is silent is not named: the agent would ask it for a place for
    ever. The epoch is told all the same, or the cell would go back.
    """
    view = state.cells.get(heard.cell, CellView(heard.cell))
    silent = is_silent(view, state.timing.confirm, now)
    owner = "" if silent else view.owner
    if owner and now - view.stamp_at > state.timing.confirm:
        # Not asked for long; by the agent's next question it is known.
        repeat_request(state, view, now)
    word = NotOwner(heard.cell, view.epoch, owner, "", 0)
    state.effects.append(Send(sender, word))


def on_read(state: EntryState, event: KeyRead, now: float) -> None:
    """A cell's record was read, to find its owner."""
    read = state.cells.get(event.key.removeprefix(cell_key("")))
    if read is not None:
        read.record_unreadable = not event.known
    if not event.known or event.value is None:
        return
    record = msgspec.json.decode(event.value, type=CellRecord)
    view = state.cells.setdefault(record.cell, CellView(record.cell))
    if event.revision > view.revision:
        view.revision, view.holdings = event.revision, record.holdings
    if not record.owner.address:
        view.retired, view.owner, view.epoch = True, "", record.epoch
        _notify_successors(state, record)
        return
    if record.epoch > view.epoch or not view.owner:
        request_report(state, view, record.owner.address, now)


def _notify_successors(state: EntryState, record: CellRecord) -> None:
    """Tell cells that a retired one left them slots; nobody of it can.

    They find out by themselves too, but look at one cell a minute only.
    """
    life = f"{record.cell}/{record.identity}"
    for heir in sorted({one.ceded_to for one in record.holdings if one.serial}):
        view = state.cells.get(heir)
        if view is not None and view.owner:
            left = [one for one in record.holdings if one.ceded_to == heir]
            state.effects.append(Send(view.owner, CededSlots(record.cell, life, left)))


def refresh_view(state: EntryState, view: CellView, busy: bool, now: float) -> None:
    """Ask the owner at this entry's pace; look for another when it is silent.

    :param busy: a submission waits there.
    """
    if view.retired:
        return
    quiet = now - view.stamp_at
    if view.owner and quiet >= report_interval(state, view, busy):
        repeat_request(state, view, now)
    silent = is_silent(view, state.timing.confirm, now)
    if silent and view.silent_since is None:
        view.silent_since = now
    if silent and now - view.read_at >= CELL_READ_INTERVAL_SECONDS:
        view.read_at = now
        state.effects.append(ReadKey(cell_key(view.cell)))


def on_offer(
    state: EntryState, sender: str, offer: ConfigurationOffer, now: float
) -> None:
    """An owner or another entry says what it, and its cell, have in force."""
    if offer.cell:
        state.held[offer.cell] = offer.held
    state.effects += state.sync.on_offer(sender, offer, now)


def on_update(
    state: EntryState, sender: str, update: ConfigurationUpdate, now: float
) -> None:
    """Changes have come, from the watch, an operator here, or another node."""
    applied, requests = state.sync.on_update(sender, update, now)
    state.effects += requests
    if applied.refused:
        state.effects.append(Count("configuration.refused", applied.refused))
    if applied.objects:
        owners = [view.owner for view in state.cells.values() if view.owner]
        state.effects += state.sync.make_offers(owners)


def sync_configuration(state: EntryState, now: float) -> None:
    """Repeat what was asked for, and ask peers while the service is away."""
    state.effects += state.sync.tick(now)
    if now - state.offered_at >= PEER_OFFER_INTERVAL_SECONDS:
        state.offered_at = now
        state.effects += state.sync.make_offers(state.peers)
