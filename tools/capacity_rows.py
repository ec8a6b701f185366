"""The figures of docs/CAPACITY.md, each from its slopes."""

from collections.abc import Callable

from cactuswalk.settings.agent import DEFAULT_RETENTION_BYTES
from cactuswalk.state.answers import MIN_KEPT_SECONDS
from cactuswalk.state.nodestate import LEDGER_SHARE, RECORDS_SHARE
from tools.capacity import (
    BYTES_BOUND,
    CELL,
    CHANGES_A_DAY,
    CORE_SHARE_BOUND,
    DATA_CENTRES,
    DAY_S,
    IDLE_AGENTS,
    MEGABYTE,
    MEMORY_BOUND_MB,
    OTHER_OBJECTS,
    READS_BOUND,
    REGIONS,
    RESTARTS_A_DAY,
    RETENTION_S,
    TASKS_A_JOB,
    TEAMS,
    WORKERS,
    WRITES_BOUND,
    Row,
    Size,
    Slopes,
)

__all__ = ["rows_of"]

PEERS = "control of a cell by its agents"
BY_ENTRIES = "control of a cell by entries"
BY_REGION = "control of a cell by entries of 130 cells"
# Entries of the cell whose control grows with its agents.
ENTRIES_MEASURED = 2
CELLS = "an entry by cells"
JOBS = "request path by job size"
FRAMES = "frames between two sockets"
OBJECTS = "configuration by objects"
IDLE = "idle processes by agents"


def rows_of(slopes: Slopes) -> list[Row]:
    """Return every row of the page."""
    return (
        control_rows(slopes)
        + memory_rows(slopes)
        + request_rows(slopes)
        + configuration_rows(slopes)
        + service_rows(slopes)
    )


def control_rows(slopes: Slopes) -> list[Row]:
    """Return what each role spends on control."""
    frame_ms = slopes.slope(FRAMES, "processor ms, both ends") / 2

    def by_entries(size: Size, figure: str) -> float:
        series = BY_ENTRIES if size.cells_an_entry == 1 else BY_REGION
        return slopes.slope(series, figure) * size.entries

    def owner_bytes(size: Size) -> float:
        measured = slopes.slope(BY_ENTRIES, "owner bytes/s") * ENTRIES_MEASURED
        agents = slopes.at(PEERS, "owner bytes/s", size.cell) - measured
        return agents + by_entries(size, "owner bytes/s")

    def owner_core(size: Size) -> float:
        # The idle processes have one entry.
        one = slopes.slope(BY_ENTRIES, "owner messages/s")
        reports = by_entries(size, "owner messages/s") - one
        process = slopes.at(IDLE, "owner's agent processor ms/s", size.cell)
        return (process + reports * frame_ms) / 10

    def entry_bytes(size: Size) -> float:
        if size.cells_an_entry == 1:
            return slopes.at(BY_ENTRIES, "entry bytes/s", ENTRIES_MEASURED)
        return slopes.at(CELLS, "bytes/s", size.cells_an_entry)

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
            "pings received, pongs sent; the same at each size of cell",
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
            entry_bytes,
            BYTES_BOUND,
            "entries ask each cell's owner at a pace that grows with their cells",
            "built",
        ),
        Row(
            "entry",
            "control processor time",
            "% of a core",
            "idle process + (reducer + messages × half a frame)(c)",
            entry_core,
            CORE_SHARE_BOUND,
            "as above",
            "built",
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

    stored = slopes.slope(OBJECTS, "state bytes")

    def agent_mb(size: Size) -> float:
        kept = size.starts_a_worker * RETENTION_S * record
        kept = min(kept, RECORDS_SHARE * DEFAULT_RETENTION_BYTES)
        return rest + (kept + objects_at(size) * stored) / MEGABYTE

    def owner_mb(task_bytes: float) -> Callable[[Size], float]:
        def value(size: Size) -> float:
            kept = size.starts_a_cell * RETENTION_S * task_bytes
            least = size.starts_a_cell * MIN_KEPT_SECONDS * task_bytes
            room = 2 * LEDGER_SHARE * DEFAULT_RETENTION_BYTES
            return agent_mb(size) + min(kept, max(room, least)) / MEGABYTE

        return value

    return [
        Row(
            "agent",
            "resident memory",
            "MB",
            "at rest + bytes for records (half of 6 MiB) + objects × bytes",
            agent_mb,
            MEMORY_BOUND_MB,
            "records bounded in time and bytes; the oldest go first, and are "
            "too old to know",
            "built",
        ),
        Row(
            "owner",
            "resident memory, all in jobs",
            "MB",
            "agent + bytes for answers (half of 6 MiB), or 10 s of starts",
            owner_mb(kept_task),
            MEMORY_BOUND_MB,
            "answers bounded in time and bytes; none younger than 10 s goes",
            "built",
        ),
        Row(
            "owner",
            "resident memory, all single requests",
            "MB",
            "agent + bytes for answers (half of 6 MiB), or 10 s of starts",
            owner_mb(kept_request),
            MEMORY_BOUND_MB,
            "as above",
            "built",
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


def objects_at(size: Size) -> float:
    """Return the objects of the configuration: workers, teams, services, jobs."""
    return size.workers + TEAMS * size.workers / WORKERS + OTHER_OBJECTS


def configuration_rows(slopes: Slopes) -> list[Row]:
    """Return what the configuration costs while it changes."""
    change = slopes.at("an update by changes", "bytes", 1)
    copied = slopes.slope(OBJECTS, "bytes of a whole copy")

    def changes_per_s(size: Size) -> float:
        return CHANGES_A_DAY * size.workers / WORKERS / DAY_S

    return [
        Row(
            "agent",
            "configuration bytes, average",
            "B/s",
            "changes/s × bytes of one",
            lambda size: changes_per_s(size) * change,
            BYTES_BOUND,
            "an owner sends each change to its agents; pings tell who lacks one",
            "built",
        ),
        Row(
            "owner",
            "configuration bytes, average",
            "B/s",
            "changes/s × bytes of one × (n + 1)",
            lambda size: changes_per_s(size) * change * (size.cell + 1),
            BYTES_BOUND,
            "as above",
            "built",
        ),
        Row(
            "agent",
            "whole copy after a restart",
            "kB",
            "objects × bytes of one",
            lambda size: objects_at(size) * copied / 1000,
            None,
            "the owner sends it once; what each agent needs is less",
            "built whole; a copy of its own cell's objects drawn",
        ),
        Row(
            "owner",
            "scheduler's processor time of a task, all teams queued",
            "ms",
            "flat in teams and queued tasks, grows with workers",
            lambda size: slopes.at(
                "the scheduler by teams", "processor ms/task", TEAMS
            ),
            None,
            "heaps by team and caller; only what changed is looked at",
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
            "entries × 2: cells, configuration",
            lambda size: 2 * size.entries * (REGIONS if size.workers == WORKERS else 1),
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
