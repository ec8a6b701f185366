"""A heap whose members' keys may change while they are in it."""

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["LazyHeap"]

Member = TypeVar("Member")

# Outdated entries are dropped when they reach the top. Up to this many entries, or four
# per member, rebuilding the heap would cost more than it saves.
MIN_ENTRIES_TO_REBUILD = 64


class LazyHeap(Generic[Member]):
    """Finds the member with the lowest key in amortised O(log n).

    A key that has grown is noticed when its member reaches the top. After a key has
    shrunk, the caller has to push the member again; until then the member is only
    further back than it could be. ``held`` counts the heap entries of each member.

    :param key: returns a member's current key, None if the member has nothing left.
    """

    __slots__ = ("entries", "held", "key", "serial")

    def __init__(self, key: Callable[[Member], tuple | None]) -> None:
        self.key = key
        self.entries: list[tuple[tuple, int, Member]] = []
        self.held: dict[Member, int] = {}
        self.serial = 0

    def push(self, member: Member) -> None:
        """Add a member, or add it again because its key may have shrunk."""
        key = self.key(member)
        if key is None:
            return
        self.serial += 1
        heapq.heappush(self.entries, (key, self.serial, member))
        self.held[member] = self.held.get(member, 0) + 1
        if len(self.entries) > max(MIN_ENTRIES_TO_REBUILD, 4 * len(self.held)):
            self.rebuild()

    def top(self) -> tuple[tuple, Member] | None:
        """Return the lowest key and its member, None if the heap is empty."""
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
        """Remove the first entry."""
        _, _, member = heapq.heappop(self.entries)
        left = self.held[member] - 1
        if left:
            self.held[member] = left
        else:
            del self.held[member]

    def rebuild(self) -> None:
        """Keep one entry per member, with its current key."""
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
