"""The capacity that less urgent tasks leave free, and the turns of queues.

Load pattern: callers compete for seconds for too little capacity. In a burst of long
tasks all workers are full of them for seconds, and a lookup of eight tasks finds room
for some of them only. A constant reserve is too small where lookups are many, and idle
where they are few. Or one queue brings ten times its usual load, and others of the same
priority wait behind it.

So less urgent tasks leave free what the more urgent priorities are expected to need
beyond what they use, and within a priority the queues go first that had less than
their part of the capacity.
"""

import collections
import math

import msgspec

__all__ = [
    "MAX_SHARE",
    "WINDOW_SECONDS",
    "Demand",
    "DemandWindow",
    "QueueUse",
    "headroom_share",
    "queues_over_share",
]

# Demand counts for this many seconds: a reserve for callers who have gone is idle
# capacity. Long enough for some ten jobs of a kind at an entry.
WINDOW_SECONDS = 2.0

# Length of a part of the window, in seconds; its end moves in such steps.
BIN_SECONDS = 0.25

# Shorter histories, in seconds, say little about a rate.
MIN_HISTORY_SECONDS = 1.0

# The deviations of the demand that are left free for it: demand is above that in one of
# forty moments.
DEVIATIONS = 2.0

# The same, at least, for a priority that has less urgent ones below it.
MIN_DEVIATIONS = 0.5

# Largest share of the capacity that is left free. With more, urgent callers in a burst
# of their own would keep all others from starting.
MAX_SHARE = 0.3

# Time constant of a queue's use of the capacity, in seconds: a few run times of the
# usual kinds.
USE_SECONDS = 1.0

# A queue is over its part if it uses more than this multiple of it. Equal queues differ
# by less, by chance.
OVER_FACTOR = 1.25


class Demand(msgspec.Struct):
    """What a number of jobs need.

    :param work: in core-milliseconds, which in a second need so many thousandths of a
        core on average.
    :param square: sum of the squares of what runs at once, times its run time: in
        square thousandths of a core times seconds.
    """

    work: float = 0.0
    square: float = 0.0

    def add(self, other: "Demand") -> None:
        """Add the demand of other jobs."""
        self.work += other.work
        self.square += other.square


class DemandWindow:
    """The demand of one service and priority over the last seconds.

    :ivar first_at: when the first job of it came.
    """

    def __init__(self, now: float) -> None:
        self.first_at = now
        self.bins: collections.deque[tuple[int, Demand]] = collections.deque()

    def record(self, demand: Demand, now: float) -> None:
        """Add a job that arrived."""
        number = math.floor(now / BIN_SECONDS)
        if not self.bins or self.bins[-1][0] != number:
            self.bins.append((number, Demand()))
        self.bins[-1][1].add(demand)

    def has_history(self, now: float) -> bool:
        """Return whether the window is long enough to tell a rate."""
        return now - self.first_at >= MIN_HISTORY_SECONDS

    def per_second(self, now: float) -> Demand:
        """Return the mean demand of a second."""
        first = math.floor((now - WINDOW_SECONDS) / BIN_SECONDS)
        while self.bins and self.bins[0][0] <= first:
            self.bins.popleft()
        total = Demand()
        for _, demand in self.bins:
            total.add(demand)
        seconds = min(WINDOW_SECONDS, max(MIN_HISTORY_SECONDS, now - self.first_at))
        return Demand(total.work / seconds, total.square / seconds)


def headroom_share(
    urgent: list[Demand],
    in_use: float,
    part: float,
    capacity: float,
    own_use: float = 0.0,
    lesser_use: float = 0.0,
) -> float:
    """Return the share of the capacity that a less urgent task leaves free.

    If jobs arrive at random, what runs at once has the mean ``work`` and the variance
    ``square`` of the demand of a second. Entries that share workers all leave the share
    free, and the deviations of their demands cancel out in part.

    :param urgent: demand of a second, of each more urgent priority.
    :param in_use: what their tasks use now, in thousandths of a core.
    :param part: the entry's part of the capacity, in thousandths of a core.
    :param capacity: of the workers that it shares with others, likewise.
    :param own_use: what tasks of the same priority as this one use, likewise.
    :param lesser_use: what less urgent ones use. What they leave free is meant for this
        task too; if it left as much, that would be idle while its callers are refused.
    """
    if part <= 0:
        return 0.0
    sharers = max(1.0, capacity / part)
    mean = sum(demand.work for demand in urgent)
    deviation = math.sqrt(sum(demand.square for demand in urgent) / sharers)
    all_use = own_use + lesser_use
    own_part = own_use / all_use if lesser_use > 0 else 1.0
    deviations = max(MIN_DEVIATIONS, DEVIATIONS * own_part)
    needed = mean + deviations * deviation - in_use
    return min(MAX_SHARE, max(0.0, needed / part))


class QueueUse(msgspec.Struct):
    """What the tasks of a queue have recently used, in thousandths of a core."""

    cpu: float = 0.0

    def record(self, cpu: int, seconds: float) -> None:
        """Add what they use now.

        :param seconds: since the last record.
        """
        self.cpu += (1 - math.exp(-seconds / USE_SECONDS)) * (cpu - self.cpu)


def queues_over_share(uses: dict[str, float]) -> set[str]:
    """Return the queues of one priority that use more than their part.

    Each has the same part of what all of them use.

    :param uses: by queue, in thousandths of a core.
    """
    if len(uses) < 2:
        return set()
    part = sum(uses.values()) / len(uses)
    return {name for name, cpu in uses.items() if cpu > OVER_FACTOR * part}
