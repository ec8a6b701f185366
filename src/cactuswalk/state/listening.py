"""When an entry requests reports from a cell, and when it takes its owner for silent.

Load pattern: an entry knows every cell of its region, since a key may belong to any
of them. It requests reports at an interval that keeps its control traffic within its
bound for any number of cells, and at once where a submission needs a report.
"""

from cactuswalk.messages import Subscribe
from cactuswalk.state.effects import Send
from cactuswalk.state.entryview import CellView, EntryState

__all__ = [
    "request_report",
    "repeat_request",
    "record_stamp",
    "is_silent",
    "report_interval",
]

# Three quarters of P, so that two more requests fit before an owner that does not
# reply is taken for silent, after P.
MIN_REPORT_INTERVAL_SECONDS = 0.75
# For each cell that the entry knows. A request and its report take some 115 bytes;
# one every 0.04 s is 2.9 KB a second, which leaves two fifths of the 5 KB bound for
# changes of workers and of the configuration.
INTERVAL_PER_CELL_SECONDS = 0.04
# For each entry that asks the same owner, to keep the owner within the same bound:
# some 1.4 KB a second, besides the pings of a cell of 16.
INTERVAL_PER_ENTRY_SECONDS = 0.08
# An owner removes an entry after three times this (``ENTRY_LAPSE_SECONDS``).
MAX_REPORT_INTERVAL_SECONDS = 10.0
# Fifty times the round trip; a lost request is repeated soon.
REPEAT_AFTER_SECONDS = 0.1
# A silent owner is still asked, as often as its cell's record is read.
REPEAT_SILENT_AFTER_SECONDS = 0.5


def report_interval(state: EntryState, view: CellView, busy: bool) -> float:
    """Return the time without a message after which an owner is asked.

    :param busy: a submission waits there and must follow a takeover.
    """
    if busy:
        return MIN_REPORT_INTERVAL_SECONDS
    entries = view.report.entries if view.report is not None else 1
    sustainable = max(
        INTERVAL_PER_CELL_SECONDS * len(state.cells),
        INTERVAL_PER_ENTRY_SECONDS * entries,
    )
    return min(
        max(MIN_REPORT_INTERVAL_SECONDS, sustainable), MAX_REPORT_INTERVAL_SECONDS
    )


def request_report(state: EntryState, view: CellView, address: str, now: float) -> None:
    """Request a report from an owner."""
    view.subscribed_at = now
    view.unanswered_since = min(view.unanswered_since, now)
    message = Subscribe(view.cell, view.epoch, view.serial)
    state.effects.append(Send(address, message))


def repeat_request(state: EntryState, view: CellView, now: float) -> None:
    """Request a report unless the reply to the last request may still arrive."""
    silent = is_silent(view, state.timing.confirm, now)
    after = REPEAT_SILENT_AFTER_SECONDS if silent else REPEAT_AFTER_SECONDS
    if now - view.subscribed_at >= after:
        request_report(state, view, view.owner, now)


def record_stamp(view: CellView, stamp: int, now: float) -> None:
    """Record a stamp of the current owner, and that the owner is alive."""
    if stamp < view.stamp:
        return
    view.stamp, view.stamp_at = stamp, now
    view.unanswered_since = float("inf")
    view.silent_since = None


def is_silent(view: CellView, confirm: float, now: float) -> bool:
    """Return whether an owner that was asked has not replied for P.

    An owner without a pending request is not silent.
    """
    if now - view.stamp_at <= confirm:
        return False
    return (
        not view.owner
        or now - view.unanswered_since >= confirm - MIN_REPORT_INTERVAL_SECONDS
    )
