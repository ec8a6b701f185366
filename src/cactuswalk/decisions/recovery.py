"""Which jobs that can't be on time any more are still run after a full outage.

Load pattern: all hosts lose power and start together. For some tenths of a second an
entry accepts jobs and knows no worker; then it discovers workers that are all empty.
The jobs of that time fit there together, and a late answer is worth a fifth of one on
time to its caller. Refused, each of them would be sent again to entries that know no
more.

In the usual overload refusals keep the queue short too. A late job would then hold its
caller for nothing, and take the capacity of jobs that can be on time. So late jobs are
kept only from an entry's start until the queue of the outage has been served.
"""

import math

import msgspec

__all__ = [
    "LATE_FACTOR",
    "Recovery",
    "can_be_on_time",
    "can_be_useful",
    "count_free_slots",
    "keeps_late_jobs",
    "useful_until",
]

# An answer is worth something to its caller up to this multiple of the time limit.
LATE_FACTOR = 3.0

# Processes that were powered on together discover each other within this time.
DISCOVERY_SECONDS = 0.3

# From the first open worker. Later, the queue is that of the current load.
MAX_RECOVERY_SECONDS = 2.0

# A queue that needs less of the workers' time is short. A late check of 0.4 s has 1.4 s
# from when it can't be on time any more until its answer is useless.
SHORT_QUEUE_SECONDS = 0.3


class Recovery(msgspec.Struct):
    """The state of an entry's recovery, from its start until the queue is served.

    :param began_at: when a worker that takes tasks was first known.
    :param has_ended: no job has waited since the workers were discovered.
    """

    began_at: float = math.inf
    has_ended: bool = False

    def record_open_worker(self, now: float) -> None:
        """Note that a worker that takes tasks is known."""
        self.began_at = min(self.began_at, now)

    def knows_no_worker(self) -> bool:
        """Return whether no worker that takes tasks has been known yet."""
        return self.began_at == math.inf

    def is_discovering(self, now: float) -> bool:
        """Return whether no open worker was known until just now."""
        return now - self.began_at < DISCOVERY_SECONDS

    def update(self, has_waiting_jobs: bool, now: float) -> None:
        """End the recovery once the queue is served, or after its longest time."""
        if not self.is_discovering(now):
            self.has_ended |= not has_waiting_jobs or self.is_overdue(now)

    def is_overdue(self, now: float) -> bool:
        """Return whether the workers have been known for too long."""
        return now - self.began_at >= MAX_RECOVERY_SECONDS


def keeps_late_jobs(recovery: Recovery, queued_seconds: float, now: float) -> bool:
    """Return whether jobs that can't be on time any more wait for capacity.

    :param queued_seconds: the queued work of jobs that can be on time, in seconds of
        all workers' time, as far as they have capacity for this entry.
    """
    if recovery.knows_no_worker():
        return True
    if recovery.has_ended or recovery.is_overdue(now):
        return False
    # The first known workers are filled by the entry that knows them first, and the
    # others are about to be known.
    return recovery.is_discovering(now) or queued_seconds <= SHORT_QUEUE_SECONDS


def useful_until(arrived_at: float, due_at: float, give_up_at: float) -> float:
    """Return until when an answer is worth something to the caller.

    :param give_up_at: when the last caller has to be answered.
    """
    return min(give_up_at, arrived_at + LATE_FACTOR * (due_at - arrived_at))


def can_be_useful(until: float, expected_seconds: float, now: float) -> bool:
    """Return whether a job that starts now is expected to end while it is useful."""
    return now + expected_seconds <= until


def can_be_on_time(due_at: float, expected_seconds: float, now: float) -> bool:
    """Return whether a job that starts now is expected to end by its due time."""
    return now + expected_seconds <= due_at


def count_free_slots(
    workers: list[tuple[int, int]], task_cpu: int, reserved_share: float
) -> int:
    """Return how many tasks fit beside the reserved share of each worker.

    :param workers: free capacity and capacity, in thousandths of a core.
    """
    if task_cpu <= 0:
        return len(workers)
    return sum(
        max(0, free_cpu - int(reserved_share * cpu)) // task_cpu
        for free_cpu, cpu in workers
    )
