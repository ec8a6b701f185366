"""Shapes of a fleet that a mix is played in, with load and faults in proportion."""

import typing

__all__ = ["SHAPES", "Shape"]


class Shape(typing.NamedTuple):
    """Numbers of processes.

    With ten entries an agent has eight home entries, most of them in other data
    centres; with six in a data centre it has these alone.
    """

    entries: int
    workers: int
    centres: int | None = None

    def load_factor(self):
        """Return how many times as many jobs come as to the small shape."""
        return self.workers / SHAPES["small"].workers

    def fault_factor(self):
        small = SHAPES["small"]
        processes = self.entries + self.workers
        return processes / (small.entries + small.workers)


SHAPES = {
    "small": Shape(3, 5),
    "ten": Shape(10, 16, 4),
    "eighteen": Shape(18, 12, 3),
    "sixty-one": Shape(10, 61, 4),
}
