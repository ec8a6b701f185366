"""Conversion of times on the agent's clock to the worker's clock.

A lease must not end later on the worker's clock than its agent counts, or else a task
that is run elsewhere runs twice at once. So every conversion errs towards early.
"""

import msgspec

from cactuswalk.dispatch.bounds import CLOCK_DRIFT, MAX_READING_AGE_SECONDS

__all__ = ["ClockReading", "convert_to_worker_ms", "is_fresh", "take_later"]


class ClockReading(msgspec.Struct, frozen=True):
    """The worker's clock, as a message from it said.

    :param clock_ms: the worker's clock when it sent the message.
    :param received_at: when the message came, on the agent's clock. The worker has
        read its clock before that, so that a delay of the message makes converted
        times earlier.
    """

    clock_ms: float
    received_at: float


def convert_to_worker_ms(reading: ClockReading, at: float) -> int:
    """Return the earliest that the worker's clock can show at a time after a reading.

    :param at: on the agent's clock, in seconds.
    """
    elapsed_ms = (at - reading.received_at) * 1000
    return int(reading.clock_ms + elapsed_ms * (1 - CLOCK_DRIFT))


def is_fresh(reading: ClockReading | None, now: float) -> bool:
    """Return whether a lease that is converted with a reading is of use."""
    return reading is not None and now - reading.received_at <= MAX_READING_AGE_SECONDS


def take_later(
    known: ClockReading | None, other: ClockReading, now: float
) -> ClockReading:
    """Return the reading by which the worker's clock shows more at ``now``.

    Both err towards early, so the later result is closer to the truth. Clocks are given
    in whole milliseconds; if the results differ by no more, the newer reading is taken.
    """
    if known is None:
        return other
    if convert_to_worker_ms(other, now) + 1 >= convert_to_worker_ms(known, now):
        return other
    return known
