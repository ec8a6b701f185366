"""Order of jobs that have the same fair-share level.

Load pattern: jobs of 140 tasks among single requests, and tasks of several seconds
among lookups of 50 ms. A job is answered only when its last task has ended, so slots
spread over many jobs at once finish none of them. First come, first served makes a
lookup wait for a whole large job, many times its own length. Ordered by size alone,
large jobs would starve under sustained load.

An order is a function from a job to a number that doesn't change while the job waits;
the lowest number goes first. ``docs/design/decisions/job-order.md`` compares several
orders.
"""

from collections.abc import Callable

__all__ = ["JobOrder", "by_tolerable_delay"]

# (arrival and deadline in seconds, expected run times in seconds, slots) -> key
JobOrder = Callable[[float, float, list[float], int], float]

# A job's place is its arrival time plus this many times the time that it would need on
# all slots together, and this many times its longest task: how long it can wait before
# its slowdown becomes noticeable. See docs/design/decisions/job-order.md.
WORK_DELAY_FACTOR = 4.0
LENGTH_DELAY_FACTOR = 5.0

# Limit of that delay as a part of the time to the deadline, so that an admitted job is
# not overtaken until it can't meet its deadline.
MAX_DEADLINE_PART = 0.3


def by_tolerable_delay(
    arrived: float, deadline: float, expected: list[float], slots: int
) -> float:
    """Order jobs by when their slowdown would become noticeable.

    A lookup overtakes a large or long job that arrived shortly before it. That job is
    overtaken only for a few times its own length, so it can't starve.

    :param arrived: in seconds.
    :param deadline: in seconds.
    :param expected: expected run time of each task, in seconds.
    :param slots: slots that can take the job's tasks.
    """
    work = sum(expected) / max(1, slots)
    tolerable_delay = WORK_DELAY_FACTOR * work + LENGTH_DELAY_FACTOR * max(expected)
    return arrived + min(tolerable_delay, MAX_DEADLINE_PART * (deadline - arrived))
