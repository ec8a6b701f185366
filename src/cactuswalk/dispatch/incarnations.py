"""Identifiers of a worker's incarnations, and their order.

A worker may restart under its name. What tells its incarnations apart is the time of
their start, if the platform gives it. Identifiers are compared as a whole; only the
order of two incarnations needs their parts.
"""

__all__ = [
    "KnownIncarnations",
    "is_later",
    "join_incarnation",
    "split_incarnation",
]

SEPARATOR = "#"

# Names that are remembered, those that were used last: heartbeats are not delayed for
# longer than it takes a worker to change its name so often.
MAX_NAMES = 100


def join_incarnation(name: str, born: int | None) -> str:
    """Return the identifier of a worker's incarnation; without ``born``, the name.

    :param born: Unix time of its start in milliseconds, None if it isn't given.
    """
    if born is not None:
        return f"{name}{SEPARATOR}{born}"
    # A name that contains the separator must not be taken for a joined one.
    return f"{name}{SEPARATOR}" if SEPARATOR in name else name


def split_incarnation(identifier: str) -> tuple[str, int | None]:
    """Return the name and the time of the start that an identifier consists of."""
    if SEPARATOR not in identifier:
        return identifier, None
    name, _, born = identifier.rpartition(SEPARATOR)
    return name, int(born) if born else None


def is_later(identifier: str, other: str) -> bool:
    """Return whether an incarnation has started later than another of the same name.

    One that gives no time is not later than any, and earlier than each that does.
    """
    name, born = split_incarnation(identifier)
    other_name, other_born = split_incarnation(other)
    if name != other_name or born is None:
        return False
    return other_born is None or born > other_born


class KnownIncarnations:
    """The latest incarnation that was used of each name.

    :ivar latest: identifier by name.
    :ivar ended: identifiers of incarnations that were replaced by one with an earlier
        start: the time of day of their host was set back in between.
    """

    def __init__(self) -> None:
        self.latest: dict[str, str] = {}
        self.ended: dict[str, None] = {}

    def record(self, identifier: str, replaced: str = "") -> None:
        """Record an incarnation that is used now.

        :param replaced: identifier of the one that was used before.
        """
        name, born = split_incarnation(identifier)
        if born is None:
            return
        if replaced and is_later(replaced, identifier):
            self.ended[replaced] = None
            if len(self.ended) > MAX_NAMES:
                del self.ended[next(iter(self.ended))]
        self.latest.pop(name, None)
        self.latest[name] = identifier
        if len(self.latest) > MAX_NAMES:
            del self.latest[next(iter(self.latest))]

    def is_outdated(self, identifier: str) -> bool:
        """Return whether a later incarnation of the same name is known."""
        if identifier in self.ended:
            return True
        name, _ = split_incarnation(identifier)
        return name in self.latest and is_later(self.latest[name], identifier)
