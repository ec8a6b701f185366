"""Decides which tasks can still finish on a worker that is about to leave.

Load pattern: hosts are restarted or removed one after another, while the load is at its
usual level or above. Each takes some seconds to leave. If they accepted no tasks in
that time, a tenth or a fifth of all capacity would be idle until the last long task
has ended, and jobs would be refused. And a run that is lost with its worker is noticed
only then: by that time its job is late, wherever it is restarted.

So a leaving worker accepts tasks that will certainly finish before it leaves, and a
task that can't finish there is stopped as soon as that is known.
"""

from cactuswalk.dispatch.soundness import MIN_PROGRESS_SECONDS, Progress

__all__ = [
    "OVERRUN_FACTOR",
    "can_finish_in_time",
    "cannot_finish",
    "ends_before_stop",
]

# Callers' estimates are off by 40%, and losing a task costs more than placing it a
# moment later.
OVERRUN_FACTOR = 1.5

# The same for a job of an entry that stops: lower, since a job that is not done by then
# is answered in any case, and its caller has waited for a probable result.
STOP_OVERRUN_FACTOR = 1.2

# Covers the transit of the report, of the start and of the end message.
MESSAGE_DELAY_MS = 200

# A run is stopped if its remaining run time exceeds the remaining time by this factor
# and this many milliseconds. Progress comes in whole percents, and the remaining time
# is a lower bound.
SHORTFALL_FACTOR = 1.1
SHORTFALL_MS = 50


def can_finish_in_time(expected_ms: float, remaining_ms: float) -> bool:
    """Return whether a task that is sent now ends before its worker leaves.

    :param expected_ms: expected run time on that worker.
    :param remaining_ms: time until the worker leaves.
    """
    return OVERRUN_FACTOR * expected_ms + MESSAGE_DELAY_MS <= remaining_ms


def cannot_finish(task: Progress, remaining_ms: float) -> bool:
    """Return whether a running task will not end before its worker leaves.

    :param remaining_ms: time until the worker leaves.
    """
    if task.seconds < MIN_PROGRESS_SECONDS:
        return False
    return task.remaining_ms > SHORTFALL_FACTOR * remaining_ms + SHORTFALL_MS


def ends_before_stop(expected_seconds: float, remaining_seconds: float) -> bool:
    """Return whether a job that arrives now will probably end before its entry stops.

    :param remaining_seconds: time until the entry answers what is unfinished.
    """
    return STOP_OVERRUN_FACTOR * expected_seconds <= remaining_seconds
