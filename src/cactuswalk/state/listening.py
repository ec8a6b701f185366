"""How closely an entry listens to a cell: when it asks its owner, when it is silent.

An entry knows every cell of its region, since a key may belong to any of them.
It asks each for a report at a pace that keeps its control traffic within its
bound whatever their number, and at once where a submission needs one.
"""

from cactuswalk.messages import Subscribe
from cactuswalk.state.effects import Send
from cactuswalk.state.entryview import CellView, EntryState

__all__ = ["ask", "ask_again", "hear", "is_silent", "pace"]

# Three quarters of P, so that two more questions fit before an owner that says
# nothing is taken for silent, after P.
CLOSEST_PACE = 0.75
# For each cell that the entry knows. A question and its answer take some 115
# bytes; one in 0.04 s is 2.9 KB a second, which leaves two fifths of the 5 KB
# for news: changes of workers and of the configuration.
PACE_A_CELL = 0.04
# For each entry that asks the same owner: its side of the same bound. Some 1.4 KB
# a second, beside the pings of a cell of 16.
PACE_AN_ENTRY = 0.08
# An owner keeps an entry in mind for three times this.
SLOWEST_PACE = 10.0
# Fifty times the round trip; a question that was lost is repeated soon.
ASK_AGAIN_AFTER = 0.1
# An owner that is found silent is asked on, as often as its record is read.
ASK_SILENT_AGAIN_AFTER = 0.5


def pace(state: EntryState, view: CellView, busy: bool) -> float:
    """Return after how long without word an owner is asked.

    :param busy: a submission waits there, and has to be told of a takeover.
    """
    if busy:
        return CLOSEST_PACE
    entries = view.report.entries if view.report is not None else 1
    bearable = max(PACE_A_CELL * len(state.cells), PACE_AN_ENTRY * entries)
    return min(max(CLOSEST_PACE, bearable), SLOWEST_PACE)


def ask(state: EntryState, view: CellView, address: str, now: float) -> None:
    """Ask an owner for a report."""
    view.subscribed_at = now
    view.asked_since = min(view.asked_since, now)
    message = Subscribe(view.cell, view.epoch, view.serial)
    state.effects.append(Send(address, message))


def ask_again(state: EntryState, view: CellView, now: float) -> None:
    """Ask the known owner, unless the answer to a question may be coming."""
    silent = is_silent(view, state.timing.confirm, now)
    after = ASK_SILENT_AGAIN_AFTER if silent else ASK_AGAIN_AFTER
    if now - view.subscribed_at >= after:
        ask(state, view, view.owner, now)


def hear(view: CellView, stamp: int, now: float) -> None:
    """Take note of a stamp of the owner in force, and that it is alive."""
    if stamp < view.stamp:
        return
    view.stamp, view.stamp_at = stamp, now
    view.asked_since = float("inf")
    view.sought_since = None


def is_silent(view: CellView, confirm: float, now: float) -> bool:
    """Tell whether an owner that was asked has said nothing for P.

    One that nobody has asked is quiet, not silent.
    """
    if now - view.stamp_at <= confirm:
        return False
    return not view.owner or now - view.asked_since >= confirm - CLOSEST_PACE
