"""Switches for the faults of the key-value stand-in, and the count of calls."""

import collections

import msgspec

__all__ = ["CallCounts", "Faults", "LostReplyError", "LostRequestError"]


class LostRequestError(Exception):
    """The request went missing: nothing was applied and no reply is sent."""


class LostReplyError(Exception):
    """The request was applied and its reply goes missing."""


class Faults(msgspec.Struct):
    """What is wrong with the service at the moment.

    :param down: every connection is closed without an answer; state is kept.
    :param frozen: nothing is answered or applied until it is switched off;
        what came meanwhile is applied then, as by a process that was stopped.
    :param slow_ms: each call waits so long before it is applied.
    :param lose_reply: for so many writes to come, apply and drop the reply.
    :param lose_request: for so many writes to come, drop the request.
    :param hold: for so many writes to come, close the connection, and apply
        the write only on ``release``: a write that lands long after its caller
        gave up.
    """

    down: bool = False
    frozen: bool = False
    slow_ms: int = 0
    lose_reply: int = 0
    lose_request: int = 0
    hold: int = 0

    def take(self, name: str) -> bool:
        """Use up one of the faults that are counted down."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


class CallCounts:
    """Exact counts of calls; a watch that waits is one call, made once."""

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
        """Begin the counts anew; watches that wait go on."""
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
