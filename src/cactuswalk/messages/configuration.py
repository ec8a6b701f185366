"""Messages that replicate the configuration between nodes."""

import msgspec

__all__ = [
    "ConfigurationOffer",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "NodeStateCount",
    "StoredObject",
]


class StoredObject(msgspec.Struct, array_like=True):
    """One object of the configuration, as stored in the key-value service.

    :param key: ``kind/name``.
    :param revision: of its last change; a lower one never replaces it.
    :param value: JSON; empty for a deleted object.
    """

    key: str
    revision: int
    value: bytes


class NodeStateCount(msgspec.Struct, array_like=True):
    """Number of nodes of a cell that have the same state of the configuration."""

    revision: int
    ahead: list[int]
    nodes: int


class ConfigurationOffer(msgspec.Struct, array_like=True, tag=40):
    """All changes up to ``revision`` are in force at the sender.

    :param ahead: later changes that are in force too, although the sender can't
        tell whether there are others in between.
    :param cell: the cell whose nodes ``held`` counts; empty if there are none.
    :param held: states of the nodes of the cell, including its owner.
    """

    revision: int
    ahead: list[int] = []
    cell: str = ""
    held: list[NodeStateCount] = []


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=41):
    """The sender has ``revision`` and asks for all later changes."""

    revision: int


class ConfigurationUpdate(msgspec.Struct, array_like=True, tag=42):
    """All changes after ``since`` that are in force at the sender.

    :param since: lowest revision that the receiver must have; 0 for a full copy.
    :param revision: revision up to which the sender has every change.
    :param ahead: later changes that ``objects`` contains as well.
    """

    since: int
    revision: int
    objects: list[StoredObject]
    ahead: list[int] = []
