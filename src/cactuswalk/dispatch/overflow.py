"""Where an entry whose home agents are full looks for room.

Load pattern: a data centre gets a seventh more than its share for seconds, or loses
its workers, while others have room. An entry there knows its own agents only, and
would refuse jobs that could be served. So it asks entries elsewhere, where most is
free, for the addresses of a few agents that have some, and speaks to these
agents itself from then on. Where everybody is full the questions soon become rare.
"""

import itertools
from collections.abc import Iterable, Mapping

import msgspec

from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.entryknown import KnownEntry
from cactuswalk.dispatch.messages import CapacityRequest

__all__ = ["CapacitySearch", "choose_agents_to_offer", "choose_entries_to_ask"]

# Data centres asked at a time: what is known of their room is old by a second.
MAX_ASKED_DATA_CENTRES = 2

# An entry that spoke longer ago than this may be gone: two rounds of pulses.
ENTRY_LIVE_SECONDS = 5.0

# Addresses in an offer.
MAX_OFFERED_AGENTS = 4

# Between two questions, in seconds: while answers help, and at most.
MIN_PAUSE_SECONDS = 0.03
MAX_PAUSE_SECONDS = 0.4


class CapacitySearch(msgspec.Struct):
    """How an entry's search for room goes.

    :param due_at: it may ask again from then on.
    :param turn: counts questions, ``offer_turn`` the agents that were offered, so that
        they go round.
    """

    due_at: float = 0.0
    pause: float = MIN_PAUSE_SECONDS
    turn: int = 0
    offer_turn: int = 0

    def record_request(self, now: float) -> None:
        """Take note of a question; the next one may have to wait longer."""
        self.due_at = now + self.pause
        self.pause = min(MAX_PAUSE_SECONDS, 2 * self.pause)
        self.turn += 1

    def record_success(self) -> None:
        """Take note of an answer that brought new agents."""
        self.pause = MIN_PAUSE_SECONDS


def choose_entries_to_ask(
    entries: Mapping[str, KnownEntry], data_centre: str, turn: int, now: float
) -> list[str]:
    """Return the addresses of entries that may know of room.

    One in each of the data centres that have the most: entries of one share their
    agents, and would offer the same. Those of this entry's own are asked only where
    there is no other.
    """
    heard: dict[str, dict[str, KnownEntry]] = {}
    for address, entry in entries.items():
        if now - entry.heard_at < ENTRY_LIVE_SECONDS:
            heard.setdefault(entry.data_centre, {})[address] = entry
    if len(heard) > 1:
        heard.pop(data_centre, None)
    roomiest = sorted(
        heard.values(),
        key=lambda centre: -max(entry.free_cpu for entry in centre.values()),
    )
    return [
        next(iter(_rotate(sorted(centre), turn, 1)))
        for centre in roomiest[:MAX_ASKED_DATA_CENTRES]
    ]


def choose_agents_to_offer(
    views: Iterable[AgentView], request: CapacityRequest, turn: int, now: float
) -> list[str]:
    """Return the addresses of home agents that have room for a task."""
    roomy = [
        view
        for view in views
        if view.report.home
        and request.service in ("", view.report.service)
        and view.is_open(now)
        and not view.report.trial
        and not view.report.leaves_in_ms
        and view.fits(request.cpu, request.memory_mb, request.gpu)
    ]
    roomy.sort(key=lambda view: -view.free_cpu)
    best = [view.address for view in roomy[: 2 * MAX_OFFERED_AGENTS]]
    return list(_rotate(best, turn, MAX_OFFERED_AGENTS))


def _rotate(items: list[str], turn: int, count: int) -> Iterable[str]:
    """Return some of the items, beginning further on at each turn."""
    if not items:
        return []
    first = turn % len(items)
    last = first + min(count, len(items))
    return itertools.islice(itertools.cycle(items), first, last)
