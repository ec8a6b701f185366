"""Messages that spread the configuration from node to node."""

import msgspec

__all__ = [
    "ConfigurationOffer",
    "ConfigurationRequest",
    "ConfigurationUpdate",
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


class ConfigurationOffer(msgspec.Struct, array_like=True, tag=40):
    """The sender has this revision in force."""

    revision: int


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=41):
    """The sender holds ``revision`` and asks for what has changed since."""

    revision: int


class ConfigurationUpdate(msgspec.Struct, array_like=True, tag=42):
    """All changes after ``since`` up to ``revision``.

    :param since: the receiver must hold at least this revision; 0 for a whole
        copy.
    """

    since: int
    revision: int
    objects: list[StoredObject]
