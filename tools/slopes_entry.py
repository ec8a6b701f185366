"""Slopes of an entry: the cells that it knows and the callers that wait."""

import random

import msgspec

from cactuswalk.messages import (
    CellReport,
    ConfigurationOffer,
    Envelope,
    Subscribe,
    encode,
)
from cactuswalk.messages.configuration import NodeStateCount
from cactuswalk.model import (
    Announcement,
    Capacity,
    CellRecord,
    Job,
    Member,
    TaskSpec,
    compute_digest,
    generate_identifier,
)
from cactuswalk.state.effects import Send
from cactuswalk.state.entry import EntryState, handle_entry, new_entry
from cactuswalk.state.events import CallerSubmitted, KeyRead, Received, Tick
from cactuswalk.state.timing import Timing
from tools.metered import Traffic, allocated_by, processor_seconds
from tools.series import Point, Series, median_time

__all__ = ["entry_series"]

ADDRESS = "tcp://10.10.0.4:7000"
SERVICE = "route-planning"
WORKERS_A_CELL = 16
CELLS = (32, 64, 128, 256)
WAITING = (250, 500, 1000, 2000)

# Wall clock in milliseconds at virtual time 0; any day will do.
WALL_MS = 1_700_000_000_000

# Virtual seconds of listening to reports, and ticks in a second.
LISTEN_S = 40
TICKS_A_SECOND = 20


def entry_series() -> list[Series]:
    """Return all series of an entry, not measured yet."""
    return [
        Series("an entry by cells", "cells", CELLS, entry_by_cells),
        Series("an entry by waiting callers", "waiting", WAITING, entry_by_waiting),
    ]


def entry_of(cells: int) -> EntryState:
    """Return an entry that knows the owner and the workers of some cells."""
    names = [f"cell-{number}" for number in range(cells)]
    state = new_entry(ADDRESS, names, Timing(), random.Random(1), WALL_MS)
    for number, name in enumerate(names):
        owner = owner_of(number)
        record = CellRecord(name, 1, owner, [owner], [], "write")
        value = msgspec.json.encode(record)
        handle_entry(state, KeyRead(f"cells/{name}", True, value, 1), 0.0)
        handle_entry(state, report_of(number, 0.0, workers_of(number)), 0.0)
    return state


def owner_of(number: int) -> Member:
    """Return the owner of a cell."""
    return Member(f"worker-{number}", f"{number:016x}", f"tcp://10.10.1.{number}:7000")


def workers_of(number: int) -> list[Announcement]:
    """Return the workers that a cell's first report lists."""
    return [
        Announcement(
            f"worker-{number}-{place}",
            SERVICE,
            "inverness",
            f"rack-{place // 3}",
            {"service": SERVICE},
            Capacity(8, 64, 64_000),
            True,
            1,
        )
        for place in range(WORKERS_A_CELL)
    ]


def report_of(number: int, now: float, workers: list[Announcement] | None) -> Received:
    """Return a report of a cell's owner."""
    address = owner_of(number).address
    held = [NodeStateCount(7, [], WORKERS_A_CELL)]
    message = CellReport(
        f"cell-{number}",
        1,
        1,
        {SERVICE: 100},
        {},
        workers,
        ConfigurationOffer(7, [], "", held),
        int(now * 1000),
    )
    return Received(address, message)


def entry_by_cells(cells: int) -> Point:
    """Let an entry listen to the reports of so many cells."""
    point = Point()
    point.time("state bytes", allocated_by(lambda: entry_of(cells)))
    state, traffic = entry_of(cells), Traffic()
    took = processor_seconds(lambda: listen(state, cells, traffic))
    point.count("messages/s", traffic.messages / LISTEN_S)
    point.count("bytes/s", traffic.bytes / LISTEN_S)
    point.time("processor ms/s", took * 1000 / LISTEN_S)
    return point


def listen(state: EntryState, cells: int, traffic: Traffic) -> None:
    """Feed ticks, and a report for each that the entry asks for; count both."""
    numbers = {owner_of(number).address: number for number in range(cells)}
    for tick in range(LISTEN_S * TICKS_A_SECOND):
        now = tick / TICKS_A_SECOND
        for effect in handle_entry(state, Tick(), now):
            if not isinstance(effect, Send):
                continue
            traffic.add(frame_bytes(ADDRESS, effect.message))
            if isinstance(effect.message, Subscribe):
                report = report_of(numbers[effect.address], now, None)
                traffic.add(frame_bytes(report.sender, report.message))
                handle_entry(state, report, now)


def frame_bytes(sender: str, message) -> int:
    """Return the size of a frame with one message."""
    return len(encode(Envelope(sender, [message])))


def entry_by_waiting(callers: int) -> Point:
    """Have so many callers wait for the answer to a request at one entry."""
    state = entry_of(4)
    point = Point()
    point.time("state bytes", allocated_by(lambda: submit_all(state, callers)))
    point.time("tick ms", median_time(lambda: handle_entry(state, Tick(), 0.1)))
    return point


def submit_all(state: EntryState, callers: int) -> None:
    """Hand in a request for each caller."""
    generator = random.Random(2)
    for number in range(callers):
        key = generate_identifier(WALL_MS, generator)
        body = f'{{"stop": {number}}}'.encode()
        name, team = f"glenmorrow/{key}", "glenmorrow"
        job = Job(
            name, compute_digest(body), SERVICE, team, [TaskSpec(body)], request=True
        )
        job.created_ms = WALL_MS
        handle_entry(state, CallerSubmitted(f"w{number}", job, True, 5000), 0.0)
