"""Limit long tasks, so that some slots stay free for short ones.

Load pattern: a batch of tasks of several seconds arrives among lookups of 50 ms. Once
every slot holds a long task, nothing ends for seconds and every lookup waits. So long
tasks may hold only the slots that short tasks have recently left free, minus a reserve.
They don't starve: half of the slots are always open to them in the ordinary order.

The limit only helps if declared run times distinguish long tasks from short ones, so it
applies only while they do (see ``estimation``).
"""

__all__ = ["is_long", "update_short_average", "slots_for_long"]

# A task is long if it takes this many times the mean of its service: by the
# requirements a few tasks take several seconds, against a mean near 0.3 s.
MIN_LONG_RATIO = 4.0

# Long tasks leave free the average number of slots that short tasks use plus a quarter
# for fluctuations, and at least RESERVED_PART of all slots for the first short tasks
# that arrive.
HEADROOM = 1.25
RESERVED_PART = 1 / 12

# Part of the slots that is always open to long tasks.
MIN_LONG_PART = 0.5

# Weight of one sample of the running short tasks. At ten samples a second the average
# covers two seconds.
SAMPLE_GAIN = 0.05


def is_long(expected: float, mean: float) -> bool:
    """Return whether a task is expected to hold its slot for long."""
    return expected > MIN_LONG_RATIO * mean


def update_short_average(average: float, running: int) -> float:
    """Return the average number of running short tasks after another sample."""
    return average + SAMPLE_GAIN * (running - average)


def slots_for_long(slots: int, short: float) -> int:
    """Return how many slots long tasks may hold at a time, at least one.

    :param short: average number of slots that short tasks use.
    """
    reserved = max(slots * RESERVED_PART, HEADROOM * short)
    return max(1, int(slots * MIN_LONG_PART), int(slots - reserved))
