"""The search for free capacity by an entry whose home agents are full.

Load pattern: a data centre gets a seventh more than its share for seconds, or loses
its workers, while others have free capacity. Its entries know their home agents only
and would refuse jobs that others could serve. So an entry asks entries in the data
centres with the most free capacity for the addresses of a few agents, and then works
with these agents directly. Requests without success back off exponentially.
"""

import itertools
from collections.abc import Iterable, Mapping

import msgspec

from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.entryknown import KnownEntry
from cactuswalk.dispatch.messages import CapacityRequest

__all__ = [
    "CapacitySearch",
    "choose_agents_to_offer",
    "choose_agents_to_share",
    "choose_entries_to_ask",
    "most_free_elsewhere",
]

# Asked at a time. Their free capacity is only known as of about a second ago, so one
# of them may have none left.
MAX_ASKED_DATA_CENTRES = 2

# An entry that was last heard longer ago may have stopped: two rounds of statuses.
ENTRY_LIVE_SECONDS = 5.0

# What an entry has reported free is out of date after this time: a status comes each
# second or so, and a wave of demand rises within seconds.
FREE_CPU_SECONDS = 2.0

# Agent addresses in one offer.
MAX_OFFERED_AGENTS = 4

# Delay between two requests: after a successful one, and at most.
MIN_PAUSE_SECONDS = 0.03
MAX_PAUSE_SECONDS = 0.4


class CapacitySearch(msgspec.Struct):
    """The state of an entry's search for free capacity.

    :param due_at: when the next request may be sent.
    :param pause: delay after the next request.
    :param turn: number of requests, which rotates the entries that are asked.
    :param offer_turn: number of agents offered to others, which rotates the offers.
    """

    due_at: float = 0.0
    pause: float = MIN_PAUSE_SECONDS
    turn: int = 0
    offer_turn: int = 0

    def record_request(self, now: float) -> None:
        """Record a request and double the delay before the next one."""
        self.due_at = now + self.pause
        self.pause = min(MAX_PAUSE_SECONDS, 2 * self.pause)
        self.turn += 1

    def record_success(self) -> None:
        """Record an offer of new agents; the delay starts again from its minimum."""
        self.pause = MIN_PAUSE_SECONDS


def choose_entries_to_ask(
    entries: Mapping[str, KnownEntry], data_centre: str, turn: int, now: float
) -> list[str]:
    """Return the addresses of entries that may know of free capacity.

    One in each of the data centres with the most free capacity, since entries in the
    same data centre share their agents. The entry's own data centre is asked only if
    no other is known.
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


def most_free_elsewhere(
    entries: Mapping[str, KnownEntry], data_centre: str, now: float
) -> int:
    """Return the most that an entry of another data centre reports free.

    In thousandths of a core; entries that were not heard recently don't count.
    """
    return max(
        (
            entry.free_cpu
            for entry in entries.values()
            if entry.data_centre not in ("", data_centre)
            and now - entry.heard_at < FREE_CPU_SECONDS
        ),
        default=0,
    )


def choose_agents_to_offer(
    views: Iterable[AgentView], request: CapacityRequest, turn: int, now: float
) -> list[str]:
    """Return the addresses of home agents with free capacity for a task."""
    roomy = [
        view
        for view in views
        if _is_offerable(view, request, now)
        and view.fits(request.cpu, request.memory_mb, request.gpu)
    ]
    roomy.sort(key=lambda view: -view.free_cpu)
    best = [view.address for view in roomy[: 2 * MAX_OFFERED_AGENTS]]
    return list(_rotate(best, turn, MAX_OFFERED_AGENTS))


def choose_agents_to_share(
    views: Iterable[AgentView], request: CapacityRequest, turn: int, now: float
) -> list[str]:
    """Return the addresses of home agents, whether they have free capacity or not."""
    shared = sorted(view.address for view in views if _is_offerable(view, request, now))
    return list(_rotate(shared, turn, MAX_OFFERED_AGENTS))


def _is_offerable(view: AgentView, request: CapacityRequest, now: float) -> bool:
    return (
        view.report.home
        and request.service in ("", view.report.service)
        and view.is_open(now)
        and not view.report.trial
        and not view.report.leaves_in_ms
    )


def _rotate(items: list[str], turn: int, count: int) -> Iterable[str]:
    """Return some of the items, starting at a position that depends on the turn."""
    if not items:
        return []
    first = turn % len(items)
    last = first + min(count, len(items))
    return itertools.islice(itertools.cycle(items), first, last)
