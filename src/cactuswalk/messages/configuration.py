"""Messages that spread the configuration from node to node."""

import msgspec

__all__ = [
    "ConfigurationOffer",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "NodesHolding",
    "StoredObject",
]


class StoredObject(msgspec.Struct, array_like=True):
    """One object of the configuration as the service holds it.

    :param key: ``kind/name``.
    :param revision: of its last change; an older one never replaces it.
    :param value: JSON; empty for a deleted object.
    """

    key: str
    revision: int
    value: bytes


class NodesHolding(msgspec.Struct, array_like=True):
    """How many nodes of a cell hold the same state of the configuration."""

    revision: int
    ahead: list[int]
    nodes: int


class ConfigurationOffer(msgspec.Struct, array_like=True, tag=40):
    """The sender has all changes up to ``revision`` in force.

    :param ahead: later changes that it has in force too, though it can't tell
        whether there are others between.
    :param cell: whose nodes ``held`` counts, empty where it counts none.
    :param held: what the nodes of the cell hold, its owner included.
    """

    revision: int
    ahead: list[int] = []
    cell: str = ""
    held: list[NodesHolding] = []


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=41):
    """The sender holds ``revision`` and asks for what has changed since."""

    revision: int


class ConfigurationUpdate(msgspec.Struct, array_like=True, tag=42):
    """All changes after ``since`` that the sender has in force.

    :param since: the receiver must hold at least this revision; 0 for a whole
        copy.
    :param revision: up to which the sender holds every change.
    :param ahead: later changes that ``objects`` contain as well.
    """

    since: int
    revision: int
    objects: list[StoredObject]
    ahead: list[int] = []
