"""An entry's state of headroom, as of its last tick."""

import collections

from cactuswalk.decisions.headroom import DemandWindow, QueueUse

__all__ = ["Headroom"]


class Headroom:
    """The measured demand and what follows from it.

    :ivar windows: demand by service and priority.
    :ivar shares: of each worker, that tasks of a service and priority leave free.
    :ivar seen_at: when a job of each queue came last, by service and priority.
    :ivar uses: by queue.
    :ivar over_share: queues that recently used more than their part.
    """

    def __init__(self) -> None:
        self.windows: dict[tuple[str, int], DemandWindow] = {}
        self.shares: dict[tuple[str, int], float] = {}
        self.seen_at: dict[tuple[str, int], dict[str, float]] = collections.defaultdict(
            dict
        )
        self.uses: dict[str, QueueUse] = {}
        self.over_share: set[str] = set()
        self.updated_at = 0.0
        self.logged_share = 0.0
