"""Workers, as the agent beside each announces them."""

import msgspec

__all__ = ["Announcement", "Capacity"]


class Capacity(msgspec.Struct, array_like=True):
    """What an upstream on a worker can hold at one time."""

    slots: int
    connections: int = 64
    memory_mb: int = 0
    accelerators: int = 0


class Announcement(msgspec.Struct, array_like=True):
    """An upstream's account of itself, renewed while it lives.

    :param serial: grows with each change, so that an older one is recognised.
    :param ready: False while the upstream is away or leaving.
    """

    worker: str
    service: str
    data_centre: str
    rack: str
    labels: dict[str, str]
    capacity: Capacity
    ready: bool = True
    serial: int = 0
