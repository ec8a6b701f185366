"""What an owner tells entries: a report when one asks, and news in between.

Why not at a steady pace: each owner would send to every entry, and each entry
hear from every cell, some hundred bytes several times a second. At the target
that was 63 KB a second at an entry. Entries ask at a pace that they can bear,
see ``listening``; only what they decide by is worth a message that nobody asked
for.
"""

from cactuswalk.messages import CellReport, Subscribe
from cactuswalk.messages.configuration import ConfigurationOffer
from cactuswalk.state.agent import make_stamp
from cactuswalk.state.owner import EntryView, OwnerState, Phase
from cactuswalk.state.spreading import make_offer

__all__ = ["on_subscribe", "send_reports"]

# An entry that has not asked for this long is gone: three times the slowest
# pace at which one asks.
ENTRY_LAPSE_SECONDS = 30.0
# While a change is on its way through the cell, its entries are told how far it
# has come no more often than this; they are told at once when all nodes have it.
PARTIAL_REPORT_INTERVAL_SECONDS = 1.0


def on_subscribe(
    state: OwnerState, sender: str, subscribe: Subscribe, now: float
) -> None:
    """Tell an entry how the cell stands; the news will follow by itself."""
    view = state.entries.setdefault(sender, EntryView(now))
    view.subscribed_at = now
    same_owner = subscribe.epoch == state.record.epoch
    # What the entry says goes before what it was sent: that may have been lost.
    view.serial = subscribe.serial if same_owner else -1
    if state.phase is Phase.SERVING:
        _tell(state, sender, view, make_offer(state, state.sync), now)


def send_reports(state: OwnerState, now: float) -> None:
    """Look for news once a report period, and tell it to the entries."""
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
            _tell(state, address, view, offer, now)


def _must_report(
    state: OwnerState, view: EntryView, offer: ConfigurationOffer, now: float
) -> bool:
    """Tell whether something that an entry decides by, or waits for, has changed.

    Free slots are not among it: an entry refuses nothing for want of room, and
    under load they change with every task.
    """
    if view.serial != state.workers_serial:
        return True
    settled = len(offer.held) == 1
    due = settled or now - view.told_at >= PARTIAL_REPORT_INTERVAL_SECONDS
    return view.held != offer.held and due


def _tell(
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
    """Return for how long still callers' own keys may be taken for keys of before."""
    margin = state.timing.clock_margin + state.timing.entry_margin
    left = state.founded_at + margin - now
    return int(left * 1000) if left > 0 else 0
