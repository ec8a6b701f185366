"""Log lines on pauses of this process: a suspended host, or a loop that is held up.

A lease that expired during a pause is noticed only afterwards, and messages that came
meanwhile are handled late.
"""

from typing import Protocol

__all__ = ["log_pause"]

# Several ticks of 0.05 s, and half of an entry's lease.
LOGGED_PAUSE_SECONDS = 0.25


class Ticking(Protocol):
    """State of a reducer that handles a periodic tick."""

    ticked_at: float

    def say(self, sentence: str, **fields: object) -> None:
        """Add a log line to the effects."""


def log_pause(state: Ticking, now: float) -> None:
    """Log that the periodic tick comes late, and by how much."""
    paused = now - state.ticked_at
    state.ticked_at = now
    if paused > LOGGED_PAUSE_SECONDS:
        state.say("the process was paused", seconds=round(paused, 3))
