"""Decoding of the worker's responses."""

import msgspec

from cactuswalk.dispatch.agentevents import (
    EndedRow,
    RunEnd,
    RunningRow,
    StartVerdict,
)
from cactuswalk.platform.names import parse_task_name

__all__ = [
    "MISDIRECTED_REQUEST",
    "Reply",
    "decode_ended",
    "decode_reply",
    "decode_running",
    "decode_verdict",
]

# Status with which another incarnation of the worker refuses a call.
MISDIRECTED_REQUEST = 421

START_REFUSALS = {
    "old": StartVerdict.SUPERSEDED,
    "fence": StartVerdict.FENCED,
    "late": StartVerdict.LATE,
    "room": StartVerdict.NO_ROOM,
}

# The platform's ends for gangs ("broken", "alone") are not listed and count as lapsed:
# the run is over, but not by its own fault.
RUN_ENDS = {"done": RunEnd.DONE, "failed": RunEnd.FAILED, "stopped": RunEnd.STOPPED}


class Reply(msgspec.Struct):
    """The fields of all the worker's responses; ``clock_ms`` is its monotonic clock."""

    clock_ms: float | None = None
    reason: str = ""
    running: list[list] = []
    finished: list[list] = []


_decoder = msgspec.json.Decoder(Reply)


def decode_reply(data: bytes) -> Reply:
    """Return a response's body.

    :raises ValueError: if it can't be decoded.
    """
    return _decoder.decode(data) if data else Reply()


def decode_verdict(status: int, reason: str) -> StartVerdict:
    """Return the verdict of a response to a start."""
    if status == 200:
        return StartVerdict.STARTED
    if status == 409:
        return START_REFUSALS.get(reason, StartVerdict.INVALID)
    if status in (429, 503):
        return StartVerdict.UNHEALTHY
    if status == MISDIRECTED_REQUEST:
        return StartVerdict.GONE
    return StartVerdict.INVALID if status == 400 else StartVerdict.UNKNOWN


def decode_running(row: list) -> RunningRow:
    """Return a row of the running runs."""
    return RunningRow(parse_task_name(row[0]), row[0], row[1], row[3])


def decode_ended(row: list) -> EndedRow:
    """Return a row of the ended runs."""
    number, name, run, how, _ = row
    return EndedRow(
        number, parse_task_name(name), run, RUN_ENDS.get(how, RunEnd.LAPSED)
    )
