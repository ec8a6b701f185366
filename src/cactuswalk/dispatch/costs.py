"""What a worker costs a task, as far as it doesn't depend on the task.

It changes with a worker's reports and with each start there, far less often than
placement compares it.
"""

__all__ = ["RESERVED_SHARE", "base_cost"]

# Share of each worker that less urgent tasks leave free. With more, long tasks lose
# more than short ones gain.
RESERVED_SHARE = 0.1

# Cost factor of a worker in another data centre.
REMOTE_FACTOR = 1.3

# Added to the free fraction in the cost's divisor. A full worker costs
# (FULL_WORKER_WEIGHT + 1) / FULL_WORKER_WEIGHT times as much as an empty one, twice
# the factor between the slowest and the fastest healthy worker.
FULL_WORKER_WEIGHT = 0.4


def base_cost(pace: float, free_fraction: float, is_remote: bool) -> float:
    """Return the cost of a worker for a task without preferences.

    :param pace: its run times relative to the callers' estimates.
    :param is_remote: it is in another data centre than the entry.
    """
    cost = pace
    if is_remote:
        cost *= REMOTE_FACTOR
    # A worker that has shrunk below what it runs has a negative free fraction, down to
    # any number: the divisor could be zero.
    return cost / (FULL_WORKER_WEIGHT + max(0.0, free_fraction))
