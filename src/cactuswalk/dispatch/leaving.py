"""What a worker that is about to leave may still be given, and what must go elsewhere.

Load pattern: hosts are rolled or taken away in series, while the load is at its usual
height or above. Each is on its way out for some seconds. Closed to all tasks from the
first of them, a tenth or a fifth of all room stands empty until the last long task has
ended, and callers are refused in that time. And a task that its worker can't end any
more is noticed when the worker has gone: by then its job is late, wherever it runs
again.

So a leaving worker takes tasks that are sure to end before it goes, and one that can't
end there is given back as soon as that is known.
"""

from cactuswalk.dispatch.workerhealth import MIN_PROGRESS_SECONDS, Progress

__all__ = ["can_finish_in_time", "cannot_finish"]

# Callers' estimates are off by 40%; a task that is lost costs more than one that
# waits a moment longer.
OVERRUN_FACTOR = 1.5

# The report was some time on its way, the start will be, and so is the word of the end.
MESSAGE_DELAY_MS = 200

# A run is given back if it would take so much longer than there is time. Progress
# comes in whole percents, and the time that is left is the least that there is.
SHORTFALL_FACTOR = 1.1
SHORTFALL_MS = 50


def can_finish_in_time(expected_ms: float, remaining_ms: float) -> bool:
    """Return whether a task that is sent now ends before its worker leaves.

    :param expected_ms: how long it is expected to run there.
    :param left_ms: until the worker leaves.
    """
    return OVERRUN_FACTOR * expected_ms + MESSAGE_DELAY_MS <= remaining_ms


def cannot_finish(task: Progress, remaining_ms: float) -> bool:
    """Return whether a running task is lost with its worker."""
    if task.seconds < MIN_PROGRESS_SECONDS:
        return False
    return task.remaining_ms > SHORTFALL_FACTOR * remaining_ms + SHORTFALL_MS
