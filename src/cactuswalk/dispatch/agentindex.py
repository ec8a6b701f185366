"""What is looked up of an agent's accepted starts at each event.

It is kept up to date where a start is accepted and where it ends, so that no event
has to walk over all of them.
"""

from cactuswalk.dispatch.agentheld import HeldTask
from cactuswalk.dispatch.job import TaskKey

__all__ = ["HeldIndex"]


class HeldIndex:
    """Sums and lookups over the accepted starts that have not ended.

    :ivar cpu: used by them in total, like ``memory_mb`` and ``gpu``.
    :ivar suspects: number of tasks that are suspected of crashing workers.
    :ivar by_key: the start of each task.
    :ivar by_sequence: handles by the entry's incarnation and sequence. A new one
        counts from 1 again, while starts of the one before may still be stopping.
    :ivar sequences: by the entry's address, the sequences by handle.
    :ivar by_origin: number of starts by the entry's address and incarnation.
    :ivar limited: handles of the starts with a time by which they must have ended.
    """

    def __init__(self) -> None:
        self.cpu = 0
        self.memory_mb = 0
        self.gpu = 0
        self.suspects = 0
        self.by_key: dict[TaskKey, HeldTask] = {}
        self.by_sequence: dict[tuple[str, int], int] = {}
        self.sequences: dict[str, dict[int, int]] = {}
        self.by_origin: dict[tuple[str, str], int] = {}
        self.limited: set[int] = set()

    def add(self, held: HeldTask) -> None:
        """Add an accepted start; no other start of its task is held."""
        start = held.start
        self._add_size(held, 1)
        self.by_key[start.key] = held
        self.by_sequence[(start.incarnation, start.sequence)] = held.handle
        self.sequences.setdefault(held.entry, {})[held.handle] = start.sequence
        origin = (held.entry, start.incarnation)
        self.by_origin[origin] = self.by_origin.get(origin, 0) + 1

    def remove(self, held: HeldTask) -> None:
        """Remove a start that has ended."""
        start = held.start
        self._add_size(held, -1)
        del self.by_key[start.key]
        del self.by_sequence[(start.incarnation, start.sequence)]
        sequences = self.sequences[held.entry]
        del sequences[held.handle]
        if not sequences:
            del self.sequences[held.entry]
        origin = (held.entry, start.incarnation)
        self.by_origin[origin] -= 1
        if not self.by_origin[origin]:
            del self.by_origin[origin]
        self.limited.discard(held.handle)

    def find(self, key: TaskKey | None, run: int) -> HeldTask | None:
        """Return the start of a task under a run number."""
        held = self.by_key.get(key)
        return held if held is not None and held.run == run else None

    def _add_size(self, held: HeldTask, sign: int) -> None:
        start = held.start
        self.cpu += sign * start.cpu
        self.memory_mb += sign * start.memory_mb
        self.gpu += sign * start.gpu
        self.suspects += sign * start.is_suspect
