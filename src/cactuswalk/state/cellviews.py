"""An entry's view of the cells: owners, reports and configuration."""

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

# Interval at which the record of a cell with a silent owner is read.
CELL_READ_INTERVAL_SECONDS = 0.5
# Interval of configuration offers between entries. An entry that starts during an
# outage of the service gets the configuration within the five seconds in which a
# change has to be in force.
PEER_OFFER_INTERVAL_SECONDS = 2.0


def on_report(state: EntryState, sender: str, report: CellReport, now: float) -> None:
    """Apply a report of an owner; send pending submissions to a new owner."""
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
    """Handle a reply from a process that does not own the cell."""
    view = state.cells.get(message.cell)
    if view is None:
        return
    if message.owner == sender and message.epoch == view.epoch:
        # It owns the cell, but the stamp was too old: request a fresh one and send
        # the submission again with it.
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
    """Tell an agent without a record of its cell who the owner was.

    A silent owner is not named: the agent would try to join it for ever. The epoch
    is sent in any case; otherwise the cell would restart with a lower one.
    """
    view = state.cells.get(heard.cell, CellView(heard.cell))
    silent = is_silent(view, state.timing.confirm, now)
    owner = "" if silent else view.owner
    if owner and now - view.stamp_at > state.timing.confirm:
        # Not asked for some time; its state is known by the agent's next request.
        repeat_request(state, view, now)
    reply = NotOwner(heard.cell, view.epoch, owner, "", 0)
    state.effects.append(Send(sender, reply))


def on_read(state: EntryState, event: KeyRead, now: float) -> None:
    """Apply a cell's record, and ask the owner it names for a report."""
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
    """Tell cells about the slots that a retired cell has ceded to them.

    The retired cell has no process left to do so. The cells also find out by
    themselves, but read only one other record a minute.
    """
    incarnation = f"{record.cell}/{record.identity}"
    for successor in sorted({one.ceded_to for one in record.holdings if one.serial}):
        view = state.cells.get(successor)
        if view is not None and view.owner:
            left = [one for one in record.holdings if one.ceded_to == successor]
            state.effects.append(
                Send(view.owner, CededSlots(record.cell, incarnation, left))
            )


def refresh_view(state: EntryState, view: CellView, busy: bool, now: float) -> None:
    """Request reports at this entry's interval; find the owner when it is silent.

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
    """Handle an offer: what an owner or entry, and its cell, have in force."""
    if offer.cell:
        state.held[offer.cell] = offer.held
    state.effects += state.sync.on_offer(sender, offer, now)


def on_update(
    state: EntryState, sender: str, update: ConfigurationUpdate, now: float
) -> None:
    """Apply changes from the watch, an operator at this entry or another node."""
    applied, requests = state.sync.on_update(sender, update, now)
    state.effects += requests
    if applied.refused:
        state.effects.append(Count("configuration.refused", applied.refused))
    if applied.objects:
        owners = [view.owner for view in state.cells.values() if view.owner]
        state.effects += state.sync.make_offers(owners)


def sync_configuration(state: EntryState, now: float) -> None:
    """Repeat unanswered requests and offer the configuration to peers."""
    state.effects += state.sync.tick(now)
    if now - state.offered_at >= PEER_OFFER_INTERVAL_SECONDS:
        state.offered_at = now
        state.effects += state.sync.make_offers(state.peers)
