"""Tasks that crash the workers that start them.

Load pattern: a few tasks in a hundred of one kind crash each worker that starts them,
often at once, and a worker runs ten to twenty tasks, of which one is to blame. Workers
also crash by chance, a seventh of them at once, and long tasks may be hit more than
once. A task that is started again without a limit takes down worker after worker, and
each crash costs all tasks there a rerun.

A task is suspected once a worker has crashed under it. Two suspected tasks never share
a worker, so a second crash says more than the first. A task is given up after the
second crash if it was to blame in both as far as its agent can tell, else after the
third. A worker that was silent may have crashed, and counts until it is heard again.
"""

import msgspec

__all__ = [
    "MAX_CRASHES",
    "CrashRecord",
    "KnownCrashes",
    "WorkerCrash",
    "is_suspect",
    "should_give_up",
]

# Crashes after which a task is given up whoever seems to blame.
MAX_CRASHES = 3

# Crashes after which it is given up if it seems to blame in each.
MAX_BLAMED_CRASHES = 2


class WorkerCrash(msgspec.Struct, frozen=True):
    """The end of a run whose worker has crashed, or was silent until its lease passed.

    :param agent: address of the worker's agent.
    :param worker: its incarnation.
    :param ended_at: when the end was received.
    :param blamed: the task was among the last ones that the worker had started, or the
        first whose starts it left unanswered.
    """

    agent: str
    worker: str
    ended_at: float
    blamed: bool


class KnownCrashes(msgspec.Struct):
    """What another entry has told of the crashes under a task, last at ``heard_at``."""

    heard_at: float
    crashes: list[WorkerCrash]


class CrashRecord(msgspec.Struct):
    """The crashes of workers under one task, as its entry knows them.

    :param crashes: those that are not known to be none.
    """

    crashes: list[WorkerCrash] = []

    @property
    def blamed(self) -> int:
        """In how many of the crashes the task was probably to blame."""
        return sum(crash.blamed for crash in self.crashes)


def is_suspect(record: CrashRecord) -> bool:
    """Return whether a task may crash the next worker too."""
    return bool(record.crashes)


def should_give_up(record: CrashRecord) -> bool:
    """Return whether a task must not be started again."""
    if len(record.crashes) >= MAX_CRASHES:
        return True
    return record.blamed >= MAX_BLAMED_CRASHES
