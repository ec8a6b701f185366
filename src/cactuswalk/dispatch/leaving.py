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

from cactuswalk.dispatch.soundness import LEAST_PROGRESS_SECONDS, Progress

__all__ = ["can_not_end", "ends_in_time"]

# Callers' estimates are off by 40%; a task that is lost costs more than one that
# waits a moment longer.
LONGER_FACTOR = 1.5

# The report was some time on its way, the start will be, and so is the word of the end.
WAY_MS = 200

# A run is given back if it would take so much longer than there is time. Progress
# comes in whole percents, and the time that is left is the least that there is.
LATE_FACTOR = 1.1
LATE_MS = 50


def ends_in_time(expected_ms: float, left_ms: float) -> bool:
    """Return whether a task that is sent now ends before its worker leaves.

    :param expected_ms: how long it is expected to run there.
    :param left_ms: until the worker leaves.
    """
    return LONGER_FACTOR * expected_ms + WAY_MS <= left_ms


def can_not_end(task: Progress, left_ms: float) -> bool:
    """Return whether a running task is lost with its worker."""
    if task.seconds < LEAST_PROGRESS_SECONDS:
        return False
    return task.left_ms > LATE_FACTOR * left_ms + LATE_MS
