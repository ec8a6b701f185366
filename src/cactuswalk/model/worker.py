"""Workers, as announced by the agent on the same host."""

import msgspec

__all__ = ["Announcement", "Capacity"]


class Capacity(msgspec.Struct, array_like=True):
    """Resources of an upstream, and the limits of its concurrent use."""

    slots: int
    connections: int = 64
    memory_mb: int = 0
    accelerators: int = 0


class Announcement(msgspec.Struct, array_like=True):
    """An upstream's description of itself, renewed while it runs.

    :param serial: grows with each change, so that older ones can be recognised.
    :param ready: False while the upstream is unavailable or stopping.
    """

    worker: str
    service: str
    data_centre: str
    rack: str
    labels: dict[str, str]
    capacity: Capacity
    ready: bool = True
    serial: int = 0
