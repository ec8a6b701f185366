"""Reports of an owner to entries: on request, and when relevant state changes.

Load pattern: many cells and entries. If each owner sent every entry some hundred
bytes several times a second, an entry would receive 63 KB a second at the target
size. Entries therefore request reports at an interval that keeps to their bound (see
``listening``), and owners send unrequested ones only for changes that entries act on.
"""

from cactuswalk.messages import CellReport, Subscribe
from cactuswalk.messages.configuration import ConfigurationOffer
from cactuswalk.state.agent import make_stamp
from cactuswalk.state.owner import EntryView, OwnerState, Phase
from cactuswalk.state.spreading import make_offer

__all__ = ["on_subscribe", "send_reports"]

# An entry that has not asked for this long is removed: three times the longest
# interval between its requests.
ENTRY_LAPSE_SECONDS = 30.0
# While a change spreads through the cell, entries get its progress no more often
# than this; they are told at once when all nodes have it.
PARTIAL_REPORT_INTERVAL_SECONDS = 1.0


def on_subscribe(
    state: OwnerState, sender: str, subscribe: Subscribe, now: float
) -> None:
    """Send a report to an entry; later changes are sent without a request."""
    view = state.entries.setdefault(sender, EntryView(now))
    view.subscribed_at = now
    same_owner = subscribe.epoch == state.record.epoch
    # The entry's serial overrides the one last sent, since that report may be lost.
    view.serial = subscribe.serial if same_owner else -1
    if state.phase is Phase.SERVING:
        _send_report(state, sender, view, make_offer(state, state.sync), now)


def send_reports(state: OwnerState, now: float) -> None:
    """Once a report period, send reports to the entries that need one."""
    if state.phase is not Phase.SERVING:
        return
    if now - state.reported_at < state.timing.report:
        return
    state.reported_at = now
    offer = make_offer(state, state.sync)
    for address, view in list(state.entries.items()):
        if now - view.subscribed_at > ENTRY_LAPSE_SECONDS:
            del state.entries[address]
        elif _must_report(state, view, offer, now):
            _send_report(state, address, view, offer, now)


def _must_report(
    state: OwnerState, view: EntryView, offer: ConfigurationOffer, now: float
) -> bool:
    """Return whether something that an entry acts on or waits for has changed.

    Free slots do not count: an entry refuses nothing for lack of capacity, and under
    load they change with every task.
    """
    if view.serial != state.workers_serial:
        return True
    settled = len(offer.held) == 1
    due = settled or now - view.told_at >= PARTIAL_REPORT_INTERVAL_SECONDS
    return view.held != offer.held and due


def _send_report(
    state: OwnerState,
    address: str,
    view: EntryView,
    offer: ConfigurationOffer,
    now: float,
) -> None:
    workers = None
    if view.serial != state.workers_serial:
        view.serial = state.workers_serial
        workers = [peer.in_force for peer in state.peers.values()]
        workers = [announcement for announcement in workers if announcement]
    view.held, view.told_at = offer.held, now
    state.send(
        address,
        CellReport(
            state.cell,
            state.record.epoch,
            state.workers_serial,
            state.scheduler.count_free_slots(),
            state.scheduler.count_queued(),
            workers,
            ConfigurationOffer(offer.revision, offer.ahead, "", offer.held),
            make_stamp(now),
            len(state.entries),
            _key_refusal_ms(state, now),
        ),
    )


def _key_refusal_ms(state: OwnerState, now: float) -> int:
    """Return how long callers' own keys may still be confused with old ones."""
    margin = state.timing.clock_margin + state.timing.entry_margin
    left = state.founded_at + margin - now
    return int(left * 1000) if left > 0 else 0
