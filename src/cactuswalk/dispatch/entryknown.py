"""What an entry knows of another one."""

import math

import msgspec

__all__ = ["KnownEntry"]


class KnownEntry(msgspec.Struct):
    """Another entry.

    :param heard_at: when it was met, or spoke itself.
    :param data_centre: empty while it is not known.
    :param free_cpu: what its home agents had free when it spoke last, in
        thousandths of a core.
    :param told_at: when it was told of the entries that this one knows.
    """

    heard_at: float
    data_centre: str = ""
    free_cpu: int = 0
    members_sent_at: float = -math.inf
