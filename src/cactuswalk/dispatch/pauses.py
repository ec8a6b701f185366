"""Log lines on pauses of this process: a suspended host, or a loop that is held up.

A lease that expired during a pause is noticed only afterwards, and messages that came
meanwhile are handled late.
"""

from cactuswalk.dispatch.bounds import MARGIN_SECONDS
from cactuswalk.dispatch.reducerstate import ReducerState

__all__ = ["log_pause"]

# Minimum interval of these lines: a process that is short of processor time would
# otherwise write one at each tick.
LINE_INTERVAL_SECONDS = 1.0


def log_pause(state: ReducerState, now: float) -> None:
    """Log if the periodic tick comes later than the bounds allow, and by how much."""
    paused = now - state.ticked_at
    state.ticked_at = now
    if paused > MARGIN_SECONDS:
        state.pauses += 1
        state.longest_pause = max(state.longest_pause, paused)
    if state.pauses and now - state.pause_logged_at >= LINE_INTERVAL_SECONDS:
        state.say(
            "the process was paused",
            seconds=round(state.longest_pause, 3),
            times=state.pauses,
        )
        state.pauses, state.longest_pause, state.pause_logged_at = 0, 0.0, now
