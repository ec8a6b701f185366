"""When a data centre asks for agents elsewhere before its jobs wait.

Load pattern: demand of the data centres varies in waves that are out of step. A data
centre at its peak is full for seconds while others have free capacity. A job that
waits first, and then for an offer and for the first report of the offered agents, has
lost a tenth of a second; a short job is late then.

Traffic between data centres is paid for, so that nothing is asked for while the data
centre itself has capacity, nor where others are nearly as full.
"""

import msgspec

__all__ = ["RoomNear", "should_ask_early"]

# Fraction of the capacity near that is free at most. Where each worker has less than a
# twentieth free, a usual task (a tenth of a worker) fits few of them.
NEARLY_USED = 0.05

# Others have to report at least this multiple of what is free near, in total: an offer
# from those that are as full brings agents that are full when they are heard.
FREE_ELSEWHERE_FACTOR = 4.0


class RoomNear(msgspec.Struct):
    """The capacity of an entry's own data centre, in thousandths of a core.

    :param cpu: of its open workers.
    :param free_cpu: the part of it that is free.
    :param usual_cpu: what a task of recent jobs needs.
    """

    cpu: int
    free_cpu: int
    usual_cpu: int


def should_ask_early(near: RoomNear, free_elsewhere: int) -> bool:
    """Return whether to ask for agents elsewhere though no job waits.

    :param free_elsewhere: the most that an entry of another data centre reports free.
    """
    if near.cpu <= 0 or near.free_cpu > NEARLY_USED * near.cpu:
        return False
    return free_elsewhere >= max(near.usual_cpu, FREE_ELSEWHERE_FACTOR * near.free_cpu)
