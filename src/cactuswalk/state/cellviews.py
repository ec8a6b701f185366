"""An entry's view of the cells: owners, reports, the configuration."""

import msgspec

from cactuswalk.messages import (
    CellReport,
    ConfigurationOffer,
    ConfigurationUpdate,
    NotOwner,
    Subscribe,
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
from cactuswalk.state.roster import cell_key
from cactuswalk.state.waiting import send_submit

__all__ = [
    "keep_configuration",
    "keep_view",
    "on_not_owner",
    "on_offer",
    "on_read",
    "on_report",
    "on_update",
]

# An owner that is found silent has its cell's record read again this often.
READ_CELL_AFTER = 0.5
# Entries tell each other what they hold this often, so that one that starts in
# an outage of the service has the configuration within the five seconds in which
# a change is to be in force.
OFFER_PEERS_AFTER = 2.0


def on_report(state: EntryState, sender: str, report: CellReport, now: float) -> None:
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
    on_offer(state, report.owner, report.configuration, now)
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
        # It owns the cell, but the stamp was old: the next report brings a
        # young one, and the submission goes out again with it.
        pending = state.pending.get(message.submission)
        if pending is not None and message.attempt == last_attempt(pending):
            pending.sent_epoch = 0
        return
    if message.epoch >= view.epoch and sender == view.owner:
        view.owner = ""
    if message.owner and message.epoch >= view.epoch and not view.owner:
        _subscribe(state, view, message.owner, now)
    pending = state.pending.get(message.submission)
    if pending is not None and pending.cell == message.cell:
        pending.sent_epoch = min(pending.sent_epoch, message.epoch - 1)


def on_read(state: EntryState, event: KeyRead, now: float) -> None:
    """A cell's record was read, to find its owner."""
    read = state.cells.get(event.key.removeprefix(cell_key("")))
    if read is not None:
        read.unread = not event.known
    if not event.known or event.value is None:
        return
    record = msgspec.json.decode(event.value, type=CellRecord)
    view = state.cells.setdefault(record.cell, CellView(record.cell))
    if event.revision > view.revision:
        view.revision, view.holdings = event.revision, record.holdings
    if record.epoch > view.epoch or not view.owner:
        _subscribe(state, view, record.owner.address, now)


def _subscribe(state: EntryState, view: CellView, address: str, now: float) -> None:
    view.subscribed_at = now
    message = Subscribe(view.cell, state.address)
    state.effects.append(Send(address, message))


def keep_view(state: EntryState, view: CellView, now: float) -> None:
    """Renew the wish for reports; look for the owner when they stay away."""
    silent = now - view.stamp_at > state.timing.confirm
    if view.owner and now - view.subscribed_at >= state.timing.confirm / 2:
        _subscribe(state, view, view.owner, now)
    if silent and now - view.read_at >= READ_CELL_AFTER:
        view.read_at = now
        state.effects.append(ReadKey(cell_key(view.cell)))


def on_offer(
    state: EntryState, sender: str, offer: ConfigurationOffer, now: float
) -> None:
    """An owner or another entry says what it, and its cell, have in force."""
    if offer.cell:
        state.held[offer.cell] = offer.held
    state.effects += state.spread.offered(sender, offer, now)


def on_update(
    state: EntryState, sender: str, update: ConfigurationUpdate, now: float
) -> None:
    """Changes have come, from the watch, an operator here, or another node."""
    applied, requests = state.spread.updated(sender, update, now)
    state.effects += requests
    if applied.refused:
        state.effects.append(Count("configuration.refused", applied.refused))
    if applied.objects:
        owners = [view.owner for view in state.cells.values() if view.owner]
        state.effects += state.spread.offers(owners)


def keep_configuration(state: EntryState, now: float) -> None:
    """Repeat what was asked for, and ask peers while the service is away."""
    state.effects += state.spread.tick(now)
    if now - state.offered_at >= OFFER_PEERS_AFTER:
        state.offered_at = now
        state.effects += state.spread.offers(state.peers)
