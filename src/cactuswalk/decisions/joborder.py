"""The order of jobs that have the same claim to the next slot.

Load pattern: jobs of 140 tasks among single requests. A job is answered only when
its last task has ended, so slots spread over many jobs at once finish none of
them; and first come first served lets a single request wait for all of a large
job. Ordered by fewest tasks alone, a large job would starve under lasting load.

An order is a function from a job to a number that does not change while the job
waits; the least goes first. ``docs/design/decisions/job-order.md`` compares them.
"""

from collections.abc import Callable

__all__ = ["JobOrder", "by_virtual_finish", "first_come_first_served", "fewest_tasks"]

# arrived (seconds), deadline (seconds), work (slot seconds), slots -> key
JobOrder = Callable[[float, float, float, int], float]

# How many times the run time that the job would need on all slots together it
# stands behind its arrival. 0 is first come first served; the greater, the
# nearer to fewest tasks first. See docs/design/decisions/job-order.md.
WORK_FACTOR = 4.0


def by_virtual_finish(
    arrived: float, deadline: float, work: float, slots: int
) -> float:
    """Order by when the job would be through, had it come to an empty cell.

    A single request passes a large job that came shortly before it. A large job
    is passed only for as long as it would itself need, so it can't starve.
    """
    return arrived + WORK_FACTOR * work / max(1, slots)


def first_come_first_served(
    arrived: float, deadline: float, work: float, slots: int
) -> float:
    """Order by arrival."""
    return arrived


def fewest_tasks(arrived: float, deadline: float, work: float, slots: int) -> float:
    """Order by work alone; a large job can starve."""
    return work
