"""Key affinity: prefer the same worker for the same key while it is not overloaded.

Load pattern: a specialised key (a depot, a kennel) whose data one worker has cached,
and now and then one key that every caller requests. Without affinity each worker has to
load the data of each key. Without a bound a hot key overloads its worker while the
others are idle.

Workers are ranked for a key by a hash of both (rendezvous hashing). It needs no state:
a new owner computes the same ranking, and a worker that leaves moves only its own keys.
The highest ranked worker that has a free slot and is within the load bound is chosen; a
task never waits for a preferred worker.
"""

import zlib
from typing import Protocol

__all__ = ["choose_preferred"]

# The load of a preferred worker is at most this many times the mean load of the free
# workers, plus one task. Consistent hashing with bounded loads (Mirrokni, Thorup,
# Zadimoghaddam 2016) gives a constant number of detours at 1.25.
MAX_LOAD_RATIO = 1.25


class RankedWorker(Protocol):
    """A worker that can be ranked for a key."""

    @property
    def name(self) -> str:
        """Return the worker's name."""

    @property
    def load(self) -> float:
        """Return the used part of its slots."""

    @property
    def slots(self) -> int:
        """Return the number of its slots."""


def choose_preferred(key: str, workers: list[RankedWorker]) -> RankedWorker | None:
    """Return the highest ranked worker for a key within the load bound.

    None if no worker is within the bound.
    """
    mean = sum(worker.load for worker in workers) / len(workers)
    within = [
        worker
        for worker in workers
        if worker.load <= MAX_LOAD_RATIO * mean + 1 / max(1, worker.slots)
    ]
    return max(within, key=lambda worker: rank(key, worker.name), default=None)


def rank(key: str, worker: str) -> int:
    """Return the rank of a worker for a key; the highest is preferred."""
    return zlib.crc32(f"{key}/{worker}".encode())
