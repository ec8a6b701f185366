"""Keep some slots for short tasks.

Load pattern: a batch of tasks of several seconds arrives among lookups of 50 ms.
Once every slot holds a long task, nothing ends for seconds and every lookup waits.
Long tasks may therefore hold only what short tasks have lately left free, and a few
slots less. They are not starved: half of the slots are always theirs in the ordinary
order.

The limit only helps where declared run times tell long from short, so it is in
force only while they do (see ``estimation``).
"""

__all__ = ["is_long", "update_short_average", "slots_for_long"]

# Long is what takes this many times the mean of its service: "a few last several
# seconds" against a mean near 0.3 s.
TIMES_MEAN = 4.0

# Long tasks leave the slots that short ones use on average, a quarter more for the
# swings, and this part of all slots for when the first short ones come.
HEADROOM = 1.25
RESERVED_PART = 1 / 12

# But long tasks may always hold this part.
LONG_PART = 0.5

# Weight of a look at the running short tasks; ten looks a second make this a memory
# of two seconds.
SAMPLE_GAIN = 0.05


def is_long(expected: float, mean: float) -> bool:
    """Return whether a task is expected to hold its slot for long."""
    return expected > TIMES_MEAN * mean


def update_short_average(average: float, running: int) -> float:
    """Return the average of running short tasks after another look at them."""
    return average + SAMPLE_GAIN * (running - average)


def slots_for_long(slots: int, short: float) -> int:
    """Return how many slots long tasks may hold at a time, at least one.

    :param short: slots that short tasks use on average.
    """
    reserved = max(slots * RESERVED_PART, HEADROOM * short)
    return max(1, int(slots * LONG_PART), int(slots - reserved))
