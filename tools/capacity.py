"""The users' target, and slopes to work it out from, for docs/CAPACITY.md."""

from collections.abc import Callable

import msgspec
import numpy

from tools.series import Series

__all__ = [
    "BYTES_BOUND",
    "CELL",
    "CHANGES_A_DAY",
    "CORE_SHARE_BOUND",
    "DATA_CENTRES",
    "DAY_S",
    "IDLE_AGENTS",
    "MEGABYTE",
    "MEMORY_BOUND_MB",
    "OTHER_OBJECTS",
    "READS_BOUND",
    "REGIONS",
    "RESTARTS_A_DAY",
    "RETENTION_S",
    "Row",
    "Size",
    "Slopes",
    "TARGET",
    "TASKS_A_JOB",
    "TEAMS",
    "TODAY",
    "WORKERS",
    "WRITES_BOUND",
    "shown",
]

# The letter's target.
WORKERS = 8_300
STARTS_PER_S = 250_000
TEAMS = 400
REGIONS = 4
DATA_CENTRES = 13
CHANGES_A_DAY = 16_000
RESTARTS_A_DAY = 85 + 1_100
DAY_S = 86_400

# Bounds of the letter for control, and of the platform's service: "several
# hundred writes and about two thousand reads a second".
CORE_SHARE_BOUND = 3.7
MEMORY_BOUND_MB = 64
BYTES_BOUND = 5_000
WRITES_BOUND = 300
READS_BOUND = 2_000

# Choices of this page, not of the users: see its text.
CELL = 16
TASKS_A_JOB = 20
OTHER_OBJECTS = 100
ENTRIES_A_REGION = 20
RETENTION_S = 600

# Today's deployments: 11 workers of 8 slots, tasks of 200 ms on average.
TODAY_CELL = 11
TODAY_STARTS_PER_S = 11 * 8 / 0.2
TODAY_ENTRIES = 3

MEGABYTE = 1_000_000

# Agents of the deployments whose idle processes are measured.
IDLE_AGENTS = (3, 6, 9, 12)


class Size(msgspec.Struct, frozen=True):
    """One size that the formulas are worked out for."""

    workers: int
    starts_per_s: float
    cell: int
    entries: int
    cells_an_entry: float

    @property
    def starts_a_worker(self) -> float:
        """Return the task starts a second at one worker."""
        return self.starts_per_s / self.workers

    @property
    def starts_a_cell(self) -> float:
        """Return the task starts a second that one owner decides."""
        return self.starts_a_worker * self.cell

    @property
    def cells(self) -> float:
        """Return the number of cells."""
        return self.workers / self.cell


TODAY = Size(11, TODAY_STARTS_PER_S, TODAY_CELL, TODAY_ENTRIES, 1)
TARGET = Size(WORKERS, STARTS_PER_S, CELL, ENTRIES_A_REGION, WORKERS / CELL / REGIONS)


class Row(msgspec.Struct):
    """One figure of one role.

    :param value: of a size, in ``unit``.
    :param bound: None where nobody has set one.
    """

    role: str
    figure: str
    unit: str
    formula: str
    value: Callable[[Size], float]
    bound: float | None
    mechanism: str
    built: str


class Slopes:
    """Measured series, by name."""

    def __init__(self, measured: list[Series]) -> None:
        self.by_name = {one.name: one for one in measured}

    def slope(self, name: str, figure: str) -> float:
        """Return the slope of a figure's line."""
        return self.by_name[name].fit_of(figure).slope

    def at(self, name: str, figure: str, size: float) -> float:
        """Return a figure at a size: measured there, or from its line.

        A figure that is marked as curved is taken from its parabola.
        """
        one = self.by_name[name]
        values = [(point.counts | point.times)[figure] for point in one.points]
        if size in one.sizes:
            return values[one.sizes.index(size)]
        line = one.fit_of(figure)
        if not line.curved:
            return line.at(size)
        return float(numpy.polyval(numpy.polyfit(one.sizes, values, 2), size))


def shown(value: float) -> str:
    """Return a number as a person reads it."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"
