"""Failures at the target's size, on paper, from the measured slopes."""

from tools.capacity import (
    CELL,
    DATA_CENTRES,
    REGIONS,
    RESTARTS_A_DAY,
    WORKERS,
    WRITES_BOUND,
    Slopes,
    shown,
)
from tools.series import Series
from tools.tables import table

__all__ = ["failure_block"]

# The brief: 3 workers a rack.
RACK = 3

# Each cell is spread over the data centres of its region, see the page.
CENTRES_A_REGION = DATA_CENTRES / REGIONS

HOURS_A_DAY = 24

TAKEOVER = "takeover by agents"
STARTED = "a cell started whole"
REPLACED = "agents replaced in a cell"


def failure_block(measured: list[Series]) -> str:
    """Return the table of failures."""
    slopes = Slopes(measured)
    rows = [
        rack(slopes),
        centre_lost(slopes),
        region_cut(slopes),
        service_away(slopes),
        centre_restarted(slopes),
    ]
    headers = ["failure", "touches", "control messages", "calls on the service"]
    return table([*headers, "until all is served again", "callers are told"], rows)


def takeover_messages(slopes: Slopes) -> float:
    """Return the control messages of a takeover in a cell of the target."""
    return slopes.at(TAKEOVER, "control messages", CELL)


def takeover_calls(slopes: Slopes) -> float:
    """Return the calls of a takeover in a cell of the target."""
    return slopes.at(TAKEOVER, "key-value calls", CELL)


def takeover_s(slopes: Slopes) -> float:
    """Return how long a cell of the target is without an owner."""
    return slopes.at(TAKEOVER, "virtual s until served", CELL)


def rack(slopes: Slopes) -> list[object]:
    """Return the row of a rack that dies, the owner in it."""
    calls = takeover_calls(slopes) + RACK * slopes.slope(REPLACED, "key-value calls")
    return [
        "a rack or switch, the owner in it",
        f"{RACK} workers of 1 cell",
        shown(takeover_messages(slopes)),
        shown(calls),
        f"{shown(takeover_s(slopes))} s for 1 cell of {WORKERS // CELL}",
        "tasks that ran on the rack: unknown; the others wait or run elsewhere",
    ]


def centre_lost(slopes: Slopes) -> list[object]:
    """Return the row of a data centre that is lost."""
    workers = WORKERS / DATA_CENTRES
    cells = WORKERS / REGIONS / CELL
    without_owner = cells / CENTRES_A_REGION
    messages = without_owner * takeover_messages(slopes)
    calls = without_owner * takeover_calls(slopes)
    calls += workers * slopes.slope(REPLACED, "key-value calls")
    seconds = max(takeover_s(slopes), calls / WRITES_BOUND)
    return [
        "a data centre",
        f"{shown(workers)} workers of {shown(cells)} cells, "
        f"{shown(without_owner)} owners",
        shown(messages),
        shown(calls),
        f"about {shown(seconds)} s (the service's rate)",
        "tasks that ran there: unknown; then less room: overloaded, not run",
    ]


def region_cut(slopes: Slopes) -> list[object]:
    """Return the row of a region that is cut off for an hour."""
    lost = RESTARTS_A_DAY / HOURS_A_DAY / REGIONS
    owners = lost / CELL
    return [
        "a region cut off for an hour, the service outside",
        f"{shown(WORKERS / REGIONS)} workers; {shown(lost)} of them are restarted "
        f"meanwhile, {shown(owners)} owners",
        "0 across the cut",
        "none until it is back, then each process backs off with jitter",
        f"{shown(owners)} cells wait until the region is back; the others go on",
        "inside: served; in a cell without an owner: not run; from outside: "
        "not run, or unknown for what was under way",
    ]


def service_away(slopes: Slopes) -> list[object]:
    """Return the row of an hour without the key-value service."""
    lost = RESTARTS_A_DAY / HOURS_A_DAY
    owners = lost / CELL
    tried = slopes.at(
        "an outage of the service", "calls tried/s without an owner", CELL
    )
    return [
        "the key-value service away for an hour",
        f"{shown(lost)} agents restarted, {shown(owners)} owners among them",
        "as before",
        f"{shown(owners * tried)}/s tried at most, fewer by the budgets",
        f"{shown(takeover_s(slopes))} s after its return for {shown(owners)} cells; "
        "the others go on throughout",
        "served; in a cell without an owner: not run; a restarted agent gets no "
        "work until it is on the roster; changes of configuration are refused",
    ]


def centre_restarted(slopes: Slopes) -> list[object]:
    """Return the row of a data centre whose hosts all start at once."""
    workers = WORKERS / DATA_CENTRES
    calls = workers * slopes.slope(REPLACED, "key-value calls")
    return [
        "all hosts of a data centre restarted at once",
        f"{shown(workers)} workers",
        shown(workers * takeover_messages(slopes) / CELL),
        shown(calls),
        f"about {shown(calls / WRITES_BOUND)} s (the service's rate), swaps that "
        "lose a race come on top",
        "tasks that ran there: unknown; the rest is served by the region's "
        "other data centres",
    ]
