"""An entry that is cut off while its caller's connection breaks."""

import itertools

from cactuswalk.dispatch.bounds import RESEND_SECONDS
from features.support.fleet import JOB, Fleet

__all__ = [
    "CUT_SECONDS",
    "KNOWN_AFTER",
    "cut_off",
    "play_cut",
    "play_late_request",
    "play_unread_cut",
]

CUT_SECONDS = (0.2, 0.4, 0.45, 0.5, 0.55, 0.6, 0.7, 0.9, 1.1, 1.3, 1.5, 2.0, 3.0, 12.0)
KNOWN_AFTER = (0.01, 0.1, 0.3, 0.5)


def cut_off(fleet, entry, way, seconds):
    """Cut an entry off from the other processes, both ways or one.

    What it sends is lost, or held up until the end of the cut. The agents of its data
    centre may be cut off together with it.
    """
    inside = {entry}
    if way == "with its data centre":
        centre = fleet.states[entry].data_centre
        near = fleet.workers.items()
        inside |= {name for name, worker in near if worker.data_centre == centre}
    others = set(fleet.states) - inside
    incarnation = fleet.states[entry].incarnation
    for name, other in itertools.product(inside, others):
        if way == "held up":
            fleet.held_up[incarnation, other] = fleet.now + seconds
        elif way != "to it":
            fleet.cuts.add((name, other))
        if way != "from it":
            fleet.cuts.add((other, name))
    fleet.at(seconds, fleet.cuts.clear)


def play_cut(way, seconds, known_after):
    """Play a cut of e0, and its caller's second attempt at e1.

    :param known_after: how long after the cut e0 learns that its caller has gone.
    """
    fleet = Fleet(4, 8) if way == "with its data centre" else Fleet(2, 6)
    waiter = fleet.submit("e0", JOB, 2, seconds=3.0, wait=10.0)
    fleet.run(0.3)
    cut_off(fleet, "e0", way, seconds)
    fleet.at(seconds + known_after, lambda: fleet.leave("e0", waiter))
    fleet.run(RESEND_SECONDS)
    again = fleet.submit("e1", JOB, 2, seconds=3.0, wait=10.0)
    fleet.run(max(9.0, seconds + 5.0))
    assert fleet.verdict(again) == "completed"
    return fleet


def play_unread_cut(way, seconds, begins):
    """Play a cut of e0 in which what tells of its caller's leaving is lost for good.

    :param begins: how long after the job's arrival.
    """
    fleet = Fleet(2, 6)
    fleet.submit("e0", JOB, 2, seconds=3.0, wait=10.0)
    fleet.run(begins)
    cut_off(fleet, "e0", way, seconds)
    fleet.run(RESEND_SECONDS)
    again = fleet.submit("e1", JOB, 2, seconds=3.0, wait=10.0)
    fleet.run(9.0)
    assert fleet.verdict(again) == "completed"
    return fleet


def play_late_request():
    """Play a request that waits in e0's socket during a cut, while its caller goes."""
    fleet = Fleet(2, 6)
    # The agents' first reports come 0.1 s after a cut of this length, and are open to
    # the entry.
    cut_off(fleet, "e0", "both ways", 0.65)
    fleet.run(0.651)
    waiter = fleet.submit("e0", JOB, 2, seconds=3.0, wait=10.0)
    fleet.at(0.24, lambda: fleet.leave("e0", waiter))
    fleet.run(0.22)
    fleet.submit("e1", JOB, 2, seconds=3.0, wait=10.0)
    fleet.run(9.0)
    return fleet
