"""How closely an entry listens to a cell: when it asks its owner, when it is silent.

An entry knows every cell of its region, since a key may belong to any of them.
It asks each for a report at a pace that keeps its control traffic within its
bound whatever their number, and at once where a submission needs one.
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

# Three quarters of P, so that two more questions fit before an owner that says
# nothing is taken for silent, after P.
MIN_REPORT_INTERVAL_SECONDS = 0.75
# For each cell that the entry knows. A question and its answer take some 115
# bytes; one in 0.04 s is 2.9 KB a second, which leaves two fifths of the 5 KB
# for news: changes of workers and of the configuration.
INTERVAL_PER_CELL_SECONDS = 0.04
# For each entry that asks the same owner: its side of the same bound. Some 1.4 KB
# a second, beside the pings of a cell of 16.
INTERVAL_PER_ENTRY_SECONDS = 0.08
# An owner keeps an entry in mind for three times this.
MAX_REPORT_INTERVAL_SECONDS = 10.0
# Fifty times the round trip; a question that was lost is repeated soon.
REPEAT_AFTER_SECONDS = 0.1
# An owner that is found silent is asked on, as often as its record is read.
REPEAT_SILENT_AFTER_SECONDS = 0.5


def report_interval(state: EntryState, view: CellView, busy: bool) -> float:
    """Return after how long without word an owner is asked.

    :param busy: a submission waits there, and has to be told of a takeover.
    """
    if busy:
        return MIN_REPORT_INTERVAL_SECONDS
    entries = view.report.entries if view.report is not None else 1
    bearable = max(
        INTERVAL_PER_CELL_SECONDS * len(state.cells),
        INTERVAL_PER_ENTRY_SECONDS * entries,
    )
    return min(max(MIN_REPORT_INTERVAL_SECONDS, bearable), MAX_REPORT_INTERVAL_SECONDS)


def request_report(state: EntryState, view: CellView, address: str, now: float) -> None:
    """Ask an owner for a report."""
    view.subscribed_at = now
    view.unanswered_since = min(view.unanswered_since, now)
    message = Subscribe(view.cell, view.epoch, view.serial)
    state.effects.append(Send(address, message))


def repeat_request(state: EntryState, view: CellView, now: float) -> None:
    """Ask the known owner, unless the answer to a question may be coming."""
    silent = is_silent(view, state.timing.confirm, now)
    after = REPEAT_SILENT_AFTER_SECONDS if silent else REPEAT_AFTER_SECONDS
    if now - view.subscribed_at >= after:
        request_report(state, view, view.owner, now)


def record_stamp(view: CellView, stamp: int, now: float) -> None:
    """Take note of a stamp of the owner in force, and that it is alive."""
    if stamp < view.stamp:
        return
    view.stamp, view.stamp_at = stamp, now
    view.unanswered_since = float("inf")
    view.silent_since = None


def is_silent(view: CellView, confirm: float, now: float) -> bool:
    """Tell whether an owner that was asked has said nothing for P.

    One that nobody has asked is quiet, not silent.
    """
    if now - view.stamp_at <= confirm:
        return False
    return (
        not view.owner
        or now - view.unanswered_since >= confirm - MIN_REPORT_INTERVAL_SECONDS
    )
