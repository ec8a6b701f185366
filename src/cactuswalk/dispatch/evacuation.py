"""The evacuated data centres, whose workers get no new tasks.

Operators request evacuations in the platform's store, where entries read them. An entry
that can't reach the store continues to place tasks by outdated information, and an
agent of an evacuated data centre would start them. So entries pass the evacuations on
to each other and to their agents, and an agent itself declines starts that come later.

Only the store's revision decides which information is newer: messages overtake each
other, and an entry that was partitioned for long returns with outdated information.
"""

import msgspec

__all__ = ["NOTHING_EVACUATED", "Evacuations"]


class Evacuations(msgspec.Struct, array_like=True, frozen=True):
    """The set of evacuated data centres.

    :param revision: of the store when they were read; 0 if they have not been read yet.
    :param data_centres: their names, sorted.
    """

    revision: int = 0
    data_centres: tuple[str, ...] = ()

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Return whether this was read at a later revision than the other."""
        return self.revision > other.revision


NOTHING_EVACUATED = Evacuations()
