"""On which workers a task is expected to end in time.

Load pattern: a quarter of the workers takes twice as long as the others for the same
task, and the load is near or above the capacity. On a slow worker a task of 0.1 s ends
in time, thanks to the constant part of its time limit, and one of 1.5 s doesn't. If
slow workers got no tasks, their capacity would be lost; if they got any, long jobs
would be late.

So a worker is eligible for a task whose expected end there is no later than it is due.
Tasks with time to spare take slow workers first, and leave the fast ones to the others.
"""

import math

import msgspec

__all__ = [
    "MAX_CLASS",
    "ShortestKind",
    "class_of",
    "highest_pace",
    "is_patient",
    "patient_cost",
    "should_wait_for_rack",
    "usual_seconds",
]

# Classes of tasks by the slowest worker that ends them in time: their limits differ by
# this factor. Expected run times are off by a quarter, so that finer classes would
# distinguish nothing; with few of them a round tries each size once in a class.
CLASS_RATIO = 1.1

# The highest class allows run times of 7.4 times the median, more than any worker has
# that is in use. The lowest one allows 0.56 times: no worker is so much faster.
MAX_CLASS = 21
MIN_CLASS = -6

# Seconds for the transit of a start and of its end, and the worker's poll.
TRANSIT_SECONDS = 0.01

# A task is patient if it ends in time at this multiple of the median run time, that of
# a slow worker. Workers' usual differences of a quarter make no task patient.
PATIENT_RATIO = 1.5

# Bounds of a worker's run times relative to the median: paces are averages of few runs,
# and one run in thirty takes seven times as long as usual.
MIN_RATIO = 0.5
MAX_RATIO = 3.0

# A kind counts for the shortest one for this many seconds after its last job.
KIND_SECONDS = 2.0


def class_of(seconds: float, left_seconds: float) -> int:
    """Return the class of a task by the slowest worker that ends it in time.

    :param seconds: expected run time at the median worker.
    :param left_seconds: until it has to end.
    """
    ratio = (left_seconds - TRANSIT_SECONDS) / max(seconds, 0.001)
    if ratio <= CLASS_RATIO**MIN_CLASS:
        return MIN_CLASS
    return min(MAX_CLASS, math.floor(math.log(ratio, CLASS_RATIO)))


def highest_pace(task_class: int, median_pace: float) -> float:
    """Return the pace of the slowest worker that ends a task in time.

    In the highest class any worker does, in the lowest one none.
    """
    if task_class <= MIN_CLASS:
        return 0.0
    if task_class >= MAX_CLASS:
        return math.inf
    return median_pace * CLASS_RATIO**task_class


def is_patient(task_class: int) -> bool:
    """Return whether a task ends in time on a slow worker too."""
    return CLASS_RATIO**task_class >= PATIENT_RATIO


def patient_cost(cost: float, pace: float, median_pace: float) -> float:
    """Return the cost of a worker for a task that ends in time on a slow worker too.

    The usual cost grows with the worker's run times; this one falls with them, by the
    same factor.

    :param cost: the usual one.
    """
    return cost / _ratio(pace, median_pace) ** 2


def usual_seconds(seconds: float, pace: float, median_pace: float) -> float:
    """Return how long a run would have taken at the median worker, in seconds."""
    return seconds / _ratio(pace, median_pace)


def should_wait_for_rack(
    seconds: float, room_in: float, far_factor: float, spare_seconds: float
) -> bool:
    """Return whether a task ends sooner if it waits for the rack of its data.

    :param seconds: expected run time within the rack.
    :param room_in: seconds until a worker of the rack is expected to have room.
    :param far_factor: by which the task takes longer elsewhere.
    :param spare_seconds: that the task may wait.
    """
    return room_in < spare_seconds and room_in < (far_factor - 1) * seconds


def _ratio(pace: float, median_pace: float) -> float:
    return min(MAX_RATIO, max(MIN_RATIO, pace / median_pace))


class _Kind(msgspec.Struct):
    """A kind of job: expected seconds of a task, and when one of its jobs came last."""

    seconds: float
    seen_at: float


class ShortestKind:
    """Knows which kind of recent jobs has the shortest tasks, by service.

    A probe of a worker that is far too slow costs its job the least if it is short.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, _Kind]] = {}

    def record(self, service: str, kind: str, seconds: float, now: float) -> None:
        """Record a job's arrival.

        :param seconds: mean run time of the kind's tasks.
        """
        self.kinds.setdefault(service, {})[kind] = _Kind(seconds, now)

    def is_shortest(self, service: str, kind: str, now: float) -> bool:
        """Return whether no recent kind of the service has shorter tasks."""
        kinds = self.kinds.get(service, {})
        if kind not in kinds:
            return False
        return all(
            other.seconds >= kinds[kind].seconds
            for other in kinds.values()
            if now - other.seen_at < KIND_SECONDS
        )
