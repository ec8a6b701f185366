"""Log lines on pauses of this process: a suspended host, or a loop that is held up.

A lease that expired during a pause is noticed only afterwards, and messages that came
meanwhile are handled late.
"""

from cactuswalk.dispatch.reducerstate import ReducerState

__all__ = ["log_pause"]

# Several ticks of 0.05 s, and half of an entry's lease.
LOGGED_PAUSE_SECONDS = 0.25


def log_pause(state: ReducerState, now: float) -> None:
    """Log that the periodic tick comes late, and by how much."""
    paused = now - state.ticked_at
    state.ticked_at = now
    if paused > LOGGED_PAUSE_SECONDS:
        state.say("the process was paused", seconds=round(paused, 3))
