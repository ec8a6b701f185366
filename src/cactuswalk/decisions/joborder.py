"""The order of jobs that have the same claim to the next slot.

Load pattern: jobs of 140 tasks among single requests, tasks of several seconds
among lookups of 50 ms. A job is answered only when its last task has ended, so
slots spread over many jobs at once finish none of them; and first come first served
lets a lookup wait for all of a large job, many times its own length. Ordered by size
alone, large jobs would starve under lasting load.

An order is a function from a job to a number that does not change while the job
waits; the least goes first. ``docs/design/decisions/job-order.md`` compares them.
"""

from collections.abc import Callable

__all__ = ["JobOrder", "by_patience"]

# (arrived and deadline in seconds, expected run times in seconds, slots) -> key
JobOrder = Callable[[float, float, list[float], int], float]

# A job stands behind its arrival by this many times the time that it would need on
# all slots together, and by this many times its longest task: what it can bear to
# wait before its slowdown shows. See docs/design/decisions/job-order.md.
WORK_PATIENCE = 4.0
LENGTH_PATIENCE = 5.0

# But never by more than this part of the time to its deadline, so that a job which
# was admitted is not passed until it is hopeless.
DEADLINE_PART = 0.3


def by_patience(
    arrived: float, deadline: float, expected: list[float], slots: int
) -> float:
    """Order by when a job's slowdown would begin to show.

    A lookup passes a large or long job that came shortly before it. That job is
    passed only for as long as a few times its own length, so it can't starve.
    """
    work = sum(expected) / max(1, slots)
    patience = WORK_PATIENCE * work + LENGTH_PATIENCE * max(expected)
    return arrived + min(patience, DEADLINE_PART * (deadline - arrived))
