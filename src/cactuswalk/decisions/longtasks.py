"""Keep some slots for short tasks.

Load pattern: a batch of tasks of several seconds arrives among lookups of 50 ms.
Once every slot holds a long task, nothing ends for seconds and every lookup waits.
Long tasks may therefore hold all but a few slots of their service. They are not
starved: the others are theirs in the ordinary order.

The reserve only helps where declared run times tell long from short, so it is in
force only while they do (see ``estimation``).
"""

__all__ = ["is_long", "slots_for_long"]

# Long is what takes this many times the mean of its service: "a few last several
# seconds" against a mean near 0.3 s.
TIMES_MEAN = 4.0

# Part of the slots that long tasks can't take. At 80% load a twelfth (7 of 88)
# carries the short tasks' bursts; see docs/design/decisions/long-tasks.md.
RESERVED_PART = 1 / 12


def is_long(expected: float, mean: float) -> bool:
    """Return whether a task is expected to hold its slot for long."""
    return expected > TIMES_MEAN * mean


def slots_for_long(slots: int) -> int:
    """Return how many slots long tasks may hold at a time, at least one."""
    return max(1, slots - int(slots * RESERVED_PART))
