"""A heap whose members' keys may change while they are in it."""

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["LazyHeap"]

Member = TypeVar("Member")

# Entries that are out of date are dropped when they come to the top. Below this
# many, or twice the members, rebuilding would cost more than it saves.
MIN_ENTRIES_TO_REBUILD = 64


class LazyHeap(Generic[Member]):
    """Finds the member with the least key in O(log n), amortised.

    A key that has grown is noticed when the member comes to the top. A key that
    has shrunk is noticed only if the member is pushed again: that is up to the
    user, and until then the member merely stands further back than it might.

    :param key: returns a member's key now, None once it has nothing to offer.
    """

    __slots__ = ("entries", "held", "key", "serial")

    def __init__(self, key: Callable[[Member], tuple | None]) -> None:
        self.key = key
        self.entries: list[tuple[tuple, int, Member]] = []
        self.held: dict[Member, int] = {}
        self.serial = 0

    def push(self, member: Member) -> None:
        """Add a member, or add it once more because its key may have shrunk."""
        key = self.key(member)
        if key is None:
            return
        self.serial += 1
        heapq.heappush(self.entries, (key, self.serial, member))
        self.held[member] = self.held.get(member, 0) + 1
        if len(self.entries) > max(MIN_ENTRIES_TO_REBUILD, 4 * len(self.held)):
            self.rebuild()

    def top(self) -> tuple[tuple, Member] | None:
        """Return the least key and its member, None if there is none."""
        while self.entries:
            key, _, member = self.entries[0]
            current = self.key(member)
            if current == key:
                return key, member
            if current is None or self.held[member] > 1:
                self.drop_first()
                continue
            self.serial += 1
            heapq.heapreplace(self.entries, (current, self.serial, member))
        return None

    def drop_first(self) -> None:
        """Take the first entry out."""
        _, _, member = heapq.heappop(self.entries)
        left = self.held[member] - 1
        if left:
            self.held[member] = left
        else:
            del self.held[member]

    def rebuild(self) -> None:
        """Keep one entry a member, with its key of now."""
        members = list(self.held)
        self.entries = []
        self.held = {}
        for member in members:
            key = self.key(member)
            if key is None:
                continue
            self.serial += 1
            self.entries.append((key, self.serial, member))
            self.held[member] = 1
        heapq.heapify(self.entries)
