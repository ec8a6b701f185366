"""Which data centres are evacuated: their workers are to get no new tasks.

The operators ask for it in the platform's store, and entries read it there. An entry
that the store turns away goes on placing on what it knew, and an agent of an evacuated
data centre would start its tasks. So what is evacuated passes from entry to entry, and
from each of them to its agents; an agent refuses by itself what comes too late.

What is newer is told by the store's revision alone: messages overtake each other, and
an entry that was cut off for long comes back with what it knew then.
"""

import msgspec

__all__ = ["NOTHING_EVACUATED", "Evacuations"]


class Evacuations(msgspec.Struct, array_like=True, frozen=True):
    """All data centres that are evacuated.

    :param revision: of the store when this was so; 0 if nobody has read it yet.
    :param data_centres: their names, in order.
    """

    revision: int = 0
    data_centres: tuple[str, ...] = ()

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Return whether this replaces what is known."""
        return self.revision > other.revision


NOTHING_EVACUATED = Evacuations()
