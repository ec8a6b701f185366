"""Upper bounds of a worker's capacity, as refused starts have shown them."""

import math

from cactuswalk.dispatch.agentindex import HeldIndex
from cactuswalk.dispatch.job import Worker
from cactuswalk.dispatch.messages import Start

__all__ = ["CapacityBounds"]


class CapacityBounds:
    """Upper bounds of what a worker has; infinite after each heartbeat.

    A worker may shrink, and its heartbeat shows that up to some seconds later. Without
    bounds it would be sent the same start again after each report.

    :ivar cpu: in thousandths of a core, ``memory_mb`` and ``gpu`` likewise.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Remove all bounds, since the worker has announced its capacity."""
        self.cpu = self.memory_mb = self.gpu = math.inf

    def of(self, worker: Worker) -> tuple[int, int, int]:
        """Return what the worker has at most."""
        return (
            int(min(worker.cpu, self.cpu)),
            int(min(worker.memory_mb, self.memory_mb)),
            int(min(worker.gpu, self.gpu)),
        )

    def learn(self, worker: Worker, start: Start, held: HeldIndex) -> str:
        """Bound one size by a start that the worker has refused, and return which.

        The refusal doesn't say which size the worker lacks. It is most likely the one
        that has to have shrunk least. A size that the start needs nothing of is not
        bounded: the worker would be sent the same start again.

        :param held: what the worker would have run, with this start.
        """
        used = {"cpu": held.cpu, "memory_mb": held.memory_mb, "gpu": held.gpu}
        nearest = max(
            [size for size in used if getattr(start, size) > 0],
            key=lambda size: used[size] / max(1, getattr(worker, size)),
            default="cpu",
        )
        setattr(self, nearest, min(getattr(self, nearest), used[nearest] - 1))
        return nearest
