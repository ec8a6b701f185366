"""Faults of the key-value stand-in, and its call counts."""

import collections

import msgspec

__all__ = ["CallCounts", "Faults", "LostReplyError", "LostRequestError"]


class LostRequestError(Exception):
    """The request was dropped: it was not applied and gets no reply."""


class LostReplyError(Exception):
    """The request was applied and its reply was dropped."""


class Faults(msgspec.Struct):
    """The current faults of the service.

    :param down: every connection is closed without a reply; the state is kept.
    :param frozen: no call is applied or answered until the fault is cleared;
        pending calls are applied then, as by a process that was suspended.
    :param slow_ms: delay of each call before it is applied.
    :param lose_reply: number of further writes to apply without a reply.
    :param lose_request: number of further writes to drop.
    :param hold: number of further writes whose connection is closed and which are
        applied only on ``release``, long after their callers gave up.
    """

    down: bool = False
    frozen: bool = False
    slow_ms: int = 0
    lose_reply: int = 0
    lose_request: int = 0
    hold: int = 0

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; return whether it applies to this call."""
        remaining = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True


class CallCounts:
    """Exact counts of calls; an open watch counts as one call.

    ``waiting`` is the number of open watches.
    """

    __slots__ = ("by_client", "by_second", "waiting")

    def __init__(self) -> None:
        self.by_client: dict[str, collections.Counter[str]] = {}
        self.by_second: collections.Counter[int] = collections.Counter()
        self.waiting = 0

    def add(self, client: str, kind: str, now: float) -> None:
        """Count one call."""
        self.by_client.setdefault(client, collections.Counter())[kind] += 1
        self.by_second[int(now)] += 1

    def clear(self) -> None:
        """Reset the counts; open watches stay open and are not counted again."""
        self.by_client.clear()
        self.by_second.clear()

    def report(self) -> dict[str, object]:
        """Return the counts, ready for JSON."""
        by_kind: collections.Counter[str] = collections.Counter()
        for counts in self.by_client.values():
            by_kind.update(counts)
        return {
            "total": by_kind.total(),
            "by_kind": dict(by_kind),
            "by_client": {name: dict(kinds) for name, kinds in self.by_client.items()},
            "peak_per_second": max(self.by_second.values(), default=0),
            "waiting_watches": self.waiting,
        }
