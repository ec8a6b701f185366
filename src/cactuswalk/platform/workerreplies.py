"""Decoding of the worker's responses."""

import msgspec

from cactuswalk.dispatch.agentevents import (
    EndedRow,
    RunEnd,
    RunningRow,
    StartVerdict,
)
from cactuswalk.platform.heartbeats import Size
from cactuswalk.platform.names import parse_task_name

__all__ = [
    "MISDIRECTED_REQUEST",
    "Reply",
    "decode_reply",
    "decode_runs",
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
    """The fields of all the worker's responses; ``clock_ms`` is its monotonic clock.

    ``born`` is the Unix time of the worker's start in milliseconds. Earlier versions of
    the platform don't send it, and later ones need to only in responses to polls.
    """

    clock_ms: float | None = None
    born: Size | msgspec.UnsetType = msgspec.UNSET
    reason: str = ""
    running: list[list] = []
    finished: list[list] = []


_decoder = msgspec.json.Decoder(Reply)


def decode_reply(data: bytes) -> Reply:
    """Return a response's body.

    :raises ValueError: if it can't be decoded.
    """
    try:
        return _decoder.decode(data) if data else Reply()
    except RecursionError as error:
        raise ValueError("the body is nested too deeply") from error


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


def decode_runs(reply: Reply) -> tuple[list[RunningRow], list[EndedRow]]:
    """Return the running and the ended runs of a response to a poll.

    :raises ValueError: if a row can't be read. The others are no use without it: what
        is not listed as running may run elsewhere.
    """
    try:
        running = [_decode_running(row) for row in reply.running]
        return running, [_decode_ended(row) for row in reply.finished]
    except (LookupError, TypeError, AttributeError) as error:
        raise ValueError("a row of runs can't be read") from error


def _decode_running(row: list) -> RunningRow:
    return RunningRow(parse_task_name(row[0]), row[0], _check(row[1]), _check(row[3]))


def _decode_ended(row: list) -> EndedRow:
    number, name, run, how, _ = row
    end = RUN_ENDS.get(how, RunEnd.LAPSED)
    return EndedRow(_check(number), parse_task_name(name), _check(run), end)


def _check(number: object) -> int | float:
    if not isinstance(number, int | float):
        raise TypeError("not a number")
    return number
