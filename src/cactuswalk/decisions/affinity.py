"""Send work with the same key to the same worker, as long as that costs nothing.

Load pattern: a specialised key (a depot, a kennel) whose data a worker has warm,
and now and then one key that everybody asks for. Without affinity each worker
warms up for each key. Without a bound, a hot key drowns its worker while the
others idle.

Workers are ranked for a key by a hash of both (rendezvous hashing): nothing is
remembered, a new owner finds the same ranking, and a worker that leaves moves only
its own keys. The first ranked worker is taken that has a free slot and is loaded
no more than the bound; waiting for a preferred worker never happens.
"""

import zlib
from typing import Protocol

__all__ = ["choose_preferred"]

# A worker may be used for its keys up to this many times the mean load of the
# free workers, plus one task: consistent hashing with bounded loads (Mirrokni,
# Thorup, Zadimoghaddam 2016) shows a constant number of detours at 1.25.
LOAD_BOUND = 1.25


class RankedWorker(Protocol):
    """A worker that can be ranked for a key."""

    @property
    def name(self) -> str:
        """Return the worker's name."""

    @property
    def load(self) -> float:
        """Return the part of its slots in use."""

    @property
    def slots(self) -> int:
        """Return its slots."""


def choose_preferred(key: str, workers: list[RankedWorker]) -> RankedWorker | None:
    """Return the first worker in the key's ranking that is within the bound."""
    mean = sum(worker.load for worker in workers) / len(workers)
    within = [
        worker
        for worker in workers
        if worker.load <= LOAD_BOUND * mean + 1 / max(1, worker.slots)
    ]
    return max(within, key=lambda worker: rank(key, worker.name), default=None)


def rank(key: str, worker: str) -> int:
    """Return the place of a worker for a key; greater is better."""
    return zlib.crc32(f"{key}/{worker}".encode())
