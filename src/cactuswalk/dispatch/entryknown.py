"""An entry's record of another entry."""

import math

import msgspec

from cactuswalk.dispatch.messages import QueuedWork

__all__ = ["KnownEntry"]


class KnownEntry(msgspec.Struct):
    """Another entry.

    :param heard_at: when it was added, or when its latest status came.
    :param data_centre: empty while unknown.
    :param free_cpu: of its home agents as of its latest status, in thousandths of a
        core.
    :param members_sent_at: when it was last sent the list of entries.
    :param jobs: those that it listed in its latest status, at ``jobs_listed_at``.
    :param queued: what waited there as of its latest status.
    """

    heard_at: float
    data_centre: str = ""
    free_cpu: int = 0
    members_sent_at: float = -math.inf
    jobs: frozenset[str] = frozenset()
    jobs_listed_at: float = -math.inf
    queued: list[QueuedWork] = []
