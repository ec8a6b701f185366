"""Work the users' target out from measured slopes, for docs/CAPACITY.md."""

from collections.abc import Callable

import msgspec
import numpy

from tools.series import Series
from tools.tables import table

__all__ = ["capacity_blocks"]

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
ENTRIES_A_REGION = 20
RETENTION_S = 600

# Today's deployments: 11 workers of 8 slots, tasks of 200 ms on average.
TODAY_CELL = 11
TODAY_STARTS_PER_S = 11 * 8 / 0.2
TODAY_ENTRIES = 3

MEGABYTE = 1_000_000


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


PEERS = "control of a cell by its agents"
BY_ENTRIES = "control of a cell by entries"
CELLS = "an entry by cells"
JOBS = "request path by job size"
FRAMES = "frames between two sockets"
IDLE = "idle processes by agents"
IDLE_AGENTS = (3, 6, 9, 12)


def rows_of(slopes: Slopes) -> list[Row]:
    """Return every row of the page."""
    return (
        control_rows(slopes)
        + memory_rows(slopes)
        + request_rows(slopes)
        + service_rows(slopes)
    )


def control_rows(slopes: Slopes) -> list[Row]:
    """Return what each role spends on control."""
    frame_ms = slopes.slope(FRAMES, "processor ms, both ends") / 2

    def owner_bytes(size: Size) -> float:
        reports = slopes.slope(BY_ENTRIES, "owner bytes/s") * (size.entries - 2)
        return slopes.at(PEERS, "owner bytes/s", size.cell) + reports

    def owner_core(size: Size) -> float:
        reports = slopes.slope(BY_ENTRIES, "owner messages/s") * (size.entries - 1)
        process = slopes.at(IDLE, "owner's agent processor ms/s", size.cell)
        return (process + reports * frame_ms) / 10

    def entry_core(size: Size) -> float:
        messages = slopes.slope(CELLS, "messages/s") * (size.cells_an_entry - 1)
        reducer = slopes.slope(CELLS, "processor ms/s") * (size.cells_an_entry - 1)
        process = slopes.at(IDLE, "entry processor ms/s", max(IDLE_AGENTS))
        return (process + reducer + messages * frame_ms) / 10

    return [
        Row(
            "owner",
            "control bytes",
            "B/s",
            "pings and pongs of n agents + reports to e entries",
            owner_bytes,
            BYTES_BOUND,
            "cells of some tens of workers, so that no owner knows more",
            "built",
        ),
        Row(
            "owner",
            "control processor time",
            "% of a core",
            "idle process of an owner(n) + reports(e) × half a frame",
            owner_core,
            CORE_SHARE_BOUND,
            "as above",
            "built",
        ),
        Row(
            "agent",
            "control bytes",
            "B/s",
            "pings received, pongs sent; grows with the roster in the ping",
            lambda size: slopes.at(PEERS, "agent bytes/s", size.cell),
            BYTES_BOUND,
            "an agent talks to its owner only",
            "built",
        ),
        Row(
            "agent",
            "control processor time",
            "% of a core",
            "idle process; the same at each size of cell",
            lambda size: (
                slopes.at(IDLE, "other agents processor ms/s", max(IDLE_AGENTS)) / 10
            ),
            CORE_SHARE_BOUND,
            "as above",
            "built",
        ),
        Row(
            "entry",
            "control bytes",
            "B/s",
            "reports and subscriptions of c cells",
            lambda size: slopes.at(CELLS, "bytes/s", size.cells_an_entry),
            BYTES_BOUND,
            "one report a cell, folded by its owner; entries of a region know "
            "its cells only",
            "reports built; the choice of cells drawn",
        ),
        Row(
            "entry",
            "control processor time",
            "% of a core",
            "idle process + (reducer + messages × half a frame)(c)",
            entry_core,
            CORE_SHARE_BOUND,
            "as above",
            "reports built; the choice of cells drawn",
        ),
    ]


def memory_rows(slopes: Slopes) -> list[Row]:
    """Return what each role keeps."""
    record = slopes.slope("an agent by its records", "book bytes")
    kept_task = slopes.slope("an owner by tasks of jobs kept", "ledger bytes")
    kept_request = slopes.slope("an owner by answers kept", "ledger bytes")
    cell_view = slopes.slope(CELLS, "state bytes")
    rest = slopes.at(IDLE, "other agents resident MB", max(IDLE_AGENTS))
    entry_rest = slopes.at(IDLE, "entry resident MB", max(IDLE_AGENTS))

    def agent_mb(size: Size) -> float:
        return rest + size.starts_a_worker * RETENTION_S * record / MEGABYTE

    def owner_mb(task_bytes: float) -> Callable[[Size], float]:
        def value(size: Size) -> float:
            kept = size.starts_a_cell * RETENTION_S * task_bytes / MEGABYTE
            return agent_mb(size) + kept

        return value

    return [
        Row(
            "agent",
            "resident memory",
            "MB",
            f"at rest + starts/s × {RETENTION_S} s × bytes a record",
            agent_mb,
            MEMORY_BOUND_MB,
            "records bounded in time and bytes; the default of 8 MB refuses "
            "starts when it is full",
            "built",
        ),
        Row(
            "owner",
            "resident memory, all in jobs",
            "MB",
            f"agent + cell's starts/s × {RETENTION_S} s × bytes a kept task",
            owner_mb(kept_task),
            MEMORY_BOUND_MB,
            "answers kept for the retention window",
            "bounded in time only",
        ),
        Row(
            "owner",
            "resident memory, all single requests",
            "MB",
            f"agent + cell's starts/s × {RETENTION_S} s × bytes a kept answer",
            owner_mb(kept_request),
            MEMORY_BOUND_MB,
            "as above",
            "bounded in time only",
        ),
        Row(
            "entry",
            "resident memory, idle",
            "MB",
            "at rest + bytes of a cell's view × c",
            lambda size: entry_rest + cell_view * size.cells_an_entry / MEGABYTE,
            MEMORY_BOUND_MB,
            "an entry keeps nothing that an answer depends on",
            "built",
        ),
    ]


def request_rows(slopes: Slopes) -> list[Row]:
    """Return the request path of a cell, whose cost callers cause."""
    tasks = 8
    messages = slopes.slope(JOBS, "messages") / tasks
    size_bytes = slopes.slope(JOBS, "bytes") / tasks
    owner_ms = slopes.at(JOBS, "owner ms", TASKS_A_JOB) / tasks / TASKS_A_JOB
    frame_ms = slopes.slope(FRAMES, "processor ms, both ends") / 2

    def owner_core(size: Size) -> float:
        return size.starts_a_cell * (owner_ms + messages * frame_ms) / 10

    return [
        Row(
            "owner",
            "messages of the request path",
            "1/s",
            "starts/s of the cell × messages a task",
            lambda size: size.starts_a_cell * messages,
            None,
            "start and result, no acknowledgements; one frame a turn and agent",
            "built",
        ),
        Row(
            "owner",
            "bytes of the request path",
            "B/s",
            "starts/s of the cell × bytes a task",
            lambda size: size.starts_a_cell * size_bytes,
            None,
            "as above",
            "built",
        ),
        Row(
            "owner",
            "processor time of the request path",
            "% of a core",
            f"starts/s × (reducer of a task in jobs of {TASKS_A_JOB} + messages "
            "× half a frame)",
            owner_core,
            None,
            "cells share the load; the owner's host runs tasks too",
            "built",
        ),
    ]


def service_rows(slopes: Slopes) -> list[Row]:
    """Return the calls on the platform's service."""
    replaced = slopes.slope("agents replaced in a cell", "key-value calls")
    takeover = slopes.at("takeover by agents", "key-value calls", CELL)
    started = slopes.at("a cell started whole", "key-value calls", CELL)

    def ordinary(size: Size) -> float:
        restarts = RESTARTS_A_DAY * size.workers / WORKERS
        calls = restarts * replaced + restarts / size.cell * takeover
        return (calls + CHANGES_A_DAY * size.workers / WORKERS) / DAY_S

    return [
        Row(
            "service",
            "calls on an ordinary day, average",
            "1/s",
            "(restarts × calls a replaced agent + owners lost × calls a takeover "
            "+ changes) / day",
            ordinary,
            WRITES_BOUND,
            "one record a cell; no lease and no watch for each agent",
            "built for cells",
        ),
        Row(
            "service",
            "waiting watches",
            "",
            "entries × 1",
            lambda size: size.entries * (REGIONS if size.workers == WORKERS else 1),
            READS_BOUND,
            "entries watch, agents don't",
            "built for cells",
        ),
        Row(
            "service",
            "calls when a data centre restarts at once",
            "calls",
            "its cells × calls of a cell started whole",
            lambda size: started * size.cells / DATA_CENTRES,
            None,
            "jitter, backing off and a budget of calls in each process",
            "see docs/operations/platform.md",
        ),
    ]


def capacity_blocks(measured: list[Series]) -> dict[str, str]:
    """Return the page's tables by the names of their blocks."""
    rows = rows_of(Slopes(measured))
    over = [row for row in rows if is_over(row)]
    return {"over": over_list(over), "roles": role_table(rows)}


def is_over(row: Row) -> bool:
    """Tell whether a figure is over its bound at the target."""
    return row.bound is not None and row.value(TARGET) > row.bound


def over_list(rows: list[Row]) -> str:
    """Return a line for each figure that is over its bound."""
    if not rows:
        return "No figure is over its bound."
    return "\n".join(
        f"- **{row.role}, {row.figure}**: {shown(row.value(TARGET))} {row.unit} at "
        f"the target, bound {shown(row.bound)} {row.unit} (today "
        f"{shown(row.value(TODAY))})"
        for row in rows
    )


def role_table(rows: list[Row]) -> str:
    """Return the table of all figures."""
    return table(
        ["role", "figure", "formula", "today", "target", "bound", "mechanism", "state"],
        [
            [
                row.role,
                f"{row.figure} ({row.unit})" if row.unit else row.figure,
                row.formula,
                shown(row.value(TODAY)),
                shown(row.value(TARGET)) + (" **over**" if is_over(row) else ""),
                "" if row.bound is None else shown(row.bound),
                row.mechanism,
                row.built,
            ]
            for row in rows
        ],
    )


def shown(value: float) -> str:
    """Return a number as a person reads it."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"
