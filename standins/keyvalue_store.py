"""State of the key-value stand-in, without network and clock.

It follows etcd's published model (v3 API, "KV", "Lease" and "Watch" services):
the store has one revision that each changing request increments, and each key has
the revisions of its creation and of its last change.
"""

import bisect
import collections.abc

import msgspec

__all__ = [
    "MAX_VALUE_BYTES",
    "Change",
    "Entry",
    "Lease",
    "Store",
    "StoreError",
]

# By the specification the platform's service stores values up to a megabyte.
MAX_VALUE_BYTES = 1 << 20


class StoreError(Exception):
    """A request that the service refuses, with the gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class Entry(msgspec.Struct):
    """A key, its value and its revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Change(msgspec.Struct):
    """A change of a key in the history; ``entry`` is None for a deletion."""

    revision: int
    key: bytes
    entry: Entry | None


class Lease(msgspec.Struct):
    """A lease; ``expires_at`` is on the clock of the store's caller."""

    identifier: int
    ttl: int
    expires_at: float


class Store:
    """Keys, leases, and the history that watches read."""

    def __init__(self) -> None:
        # A fresh etcd is at revision 1 with no keys.
        self.revision = 1
        self.compacted = 0
        self.entries: dict[bytes, Entry] = {}
        self.history: list[Change] = []
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1000
        self.listeners: set[collections.abc.Callable[[], None]] = set()

    def select(self, key: bytes, range_end: bytes = b"") -> list[Entry]:
        """Return the entries of a key or of a range, ordered by key."""
        if not range_end:
            entry = self.entries.get(key)
            return [entry] if entry else []
        return [
            self.entries[name]
            for name in sorted(self.entries)
            if in_range(name, key, range_end)
        ]

    def put(self, key: bytes, value: bytes, lease: int = 0) -> None:
        """Write one key as a request of its own."""
        self.apply([("put", key, value, lease)])

    def delete(self, key: bytes, range_end: bytes = b"") -> int:
        """Delete a key or a range, and return the number of deleted keys."""
        return self.apply([("delete", key, range_end, 0)])[0]

    def apply(self, operations: list[tuple[str, bytes, bytes, int]]) -> list[int]:
        """Apply the writes of one request under one new revision.

        :return: for each operation the number of keys that it affected.
        """
        self._validate(operations)
        revision = self.revision + 1
        affected = []
        for kind, key, operand, lease in operations:
            if kind == "put":
                self._put(key, operand, lease, revision)
                affected.append(1)
            else:
                affected.append(self._delete(key, operand, revision))
        if any(affected):
            self.revision = revision
            self._notify()
        return affected

    def changes_since(self, revision: int) -> list[Change]:
        """Return the changes at ``revision`` and later.

        :raises StoreError: if some of them have been compacted.
        """
        if revision <= self.compacted:
            raise StoreError(11, "mvcc: required revision has been compacted")
        start = bisect.bisect_left(
            self.history, revision, key=lambda change: change.revision
        )
        return self.history[start:]

    def compact(self, revision: int = 0) -> None:
        """Discard the history up to ``revision``, or all of it for 0."""
        self.compacted = max(self.compacted, revision or self.revision)
        self.history = [
            change for change in self.history if change.revision > self.compacted
        ]

    def grant(self, ttl: int, identifier: int, now: float) -> Lease:
        """Grant a lease."""
        if not identifier:
            self.next_lease += 1
            identifier = self.next_lease
        if identifier in self.leases:
            raise StoreError(9, "etcdserver: lease already exists")
        lease = Lease(identifier, ttl, now + ttl)
        self.leases[identifier] = lease
        return lease

    def keep_alive(self, identifier: int, now: float) -> int:
        """Renew a lease, and return its time to live; 0 for an unknown lease."""
        lease = self.leases.get(identifier)
        if lease is None:
            return 0
        lease.expires_at = now + lease.ttl
        return lease.ttl

    def revoke(self, identifier: int) -> None:
        """End a lease and delete its keys."""
        if self.leases.pop(identifier, None) is None:
            raise StoreError(5, "etcdserver: requested lease not found")
        keys = [
            entry.key for entry in self.entries.values() if entry.lease == identifier
        ]
        if keys:
            self.apply([("delete", key, b"", 0) for key in sorted(keys)])

    def expire(self, now: float) -> list[int]:
        """End the expired leases, and return their identifiers."""
        ended = [
            lease.identifier
            for lease in self.leases.values()
            if lease.expires_at <= now
        ]
        for identifier in ended:
            self.revoke(identifier)
        return ended

    def _validate(self, operations: list[tuple[str, bytes, bytes, int]]) -> None:
        for kind, key, operand, lease in operations:
            if not key:
                raise StoreError(3, "etcdserver: key is not provided")
            if kind == "put" and len(operand) > MAX_VALUE_BYTES:
                raise StoreError(3, "etcdserver: request is too large")
            if kind == "put" and lease and lease not in self.leases:
                raise StoreError(5, "etcdserver: requested lease not found")

    def _put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        previous = self.entries.get(key)
        created = previous.create_revision if previous else revision
        version = previous.version + 1 if previous else 1
        entry = Entry(key, value, created, revision, version, lease)
        self.entries[key] = entry
        self.history.append(Change(revision, key, entry))

    def _delete(self, key: bytes, range_end: bytes, revision: int) -> int:
        deleted = self.select(key, range_end)
        for entry in deleted:
            del self.entries[entry.key]
            self.history.append(Change(revision, entry.key, None))
        return len(deleted)

    def _notify(self) -> None:
        for listener in list(self.listeners):
            listener()


def in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    """Return whether a key is in an etcd range; a NUL as the end means no end."""
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\0" or name < range_end)
