"""The records an agent keeps: bounded in time, and their bodies in bytes."""

import collections
import heapq

from cactuswalk.messages import Record
from cactuswalk.model import TaskOutcome, TaskResult, TaskState

__all__ = ["RecordBook", "newer"]

# What a record takes besides its body: 715 bytes measured with tracemalloc for
# submissions of one task (100,000 records, Python 3.11), 190 for those of 20.
RECORD_BYTES = 800


class Kept:
    """The records of one submission, when they began and last changed."""

    __slots__ = ("tasks", "began_at", "changed_at")

    def __init__(self, now: float) -> None:
        self.tasks: dict[int, Record] = {}
        self.began_at = now
        self.changed_at = now

    def is_settled(self) -> bool:
        """Tell whether nothing of the submission runs."""
        return all(
            record.state is not TaskState.RUNNING for record in self.tasks.values()
        )


class RecordBook:
    """Records by submission and task index.

    When bytes run out, the oldest bodies go first, and a caller who asks for
    such an answer is told that it is no longer kept. Then the oldest settled
    submissions go, and ``known_since`` says from when on none is missing: of an
    older one nobody may conclude that it never started. The records of one
    submission are forgotten together, so that what is left of one is never
    taken for the whole.

    :param retention: seconds that a submission is kept after its last change.
    :param maximum_bytes: above which bodies and then records are dropped.
    """

    __slots__ = (
        "retention",
        "maximum_bytes",
        "by_submission",
        "bytes",
        "expiries",
        "bodies",
        "count",
        "known_since",
    )

    def __init__(self, retention: float, maximum_bytes: int) -> None:
        self.retention = retention
        self.maximum_bytes = maximum_bytes
        self.by_submission: dict[str, Kept] = {}
        self.bytes = 0
        self.count = 0
        self.known_since = float("-inf")
        self.expiries: list[tuple[float, str]] = []
        self.bodies: collections.deque[Record] = collections.deque()

    def get(self, submission: str, index: int) -> Record | None:
        """Return the record of a task, None if there is none."""
        kept = self.by_submission.get(submission)
        return kept.tasks.get(index) if kept is not None else None

    def of(self, submission: str) -> dict[int, Record]:
        """Return the records of a submission by index, empty if there are none."""
        kept = self.by_submission.get(submission)
        return kept.tasks if kept is not None else {}

    def put(self, record: Record, now: float) -> None:
        """Keep a record in place of an earlier one of the same task."""
        kept = self.by_submission.get(record.submission)
        if kept is None:
            kept = self.by_submission[record.submission] = Kept(now)
            due = now + self.retention
            heapq.heappush(self.expiries, (due, record.submission))
        earlier = kept.tasks.get(record.index)
        if earlier is not None:
            self._subtract(earlier)
        kept.tasks[record.index] = record
        kept.changed_at = now
        self.count += 1
        self.bytes += _size(record)
        if record.result is not None and record.result.body:
            self.bodies.append(record)
        self._drop_bodies()
        while self.count * RECORD_BYTES > self.maximum_bytes:
            if not self._forget_oldest():
                return

    def has_room(self) -> bool:
        """Tell whether another start can be recorded within the bound."""
        if self.count * RECORD_BYTES < self.maximum_bytes:
            return True
        return any(kept.is_settled() for kept in self.by_submission.values())

    def changed_since(self, moment: float) -> list[Record]:
        """Return the records of submissions that changed since, or run."""
        return [
            record
            for kept in self.by_submission.values()
            if kept.changed_at >= moment or not kept.is_settled()
            for record in kept.tasks.values()
        ]

    def expire(self, now: float) -> None:
        """Forget the submissions whose time has passed."""
        while self.expiries and self.expiries[0][0] <= now:
            _, submission = heapq.heappop(self.expiries)
            kept = self.by_submission.get(submission)
            if kept is None:
                continue
            due = kept.changed_at + self.retention
            if due > now:
                # Behind later ones it would be kept for up to two windows.
                heapq.heappush(self.expiries, (due, submission))
                continue
            self._forget(submission, kept)

    def all(self) -> list[Record]:
        """Return every record, oldest submission first."""
        return [
            record
            for kept in self.by_submission.values()
            for record in kept.tasks.values()
        ]

    def _forget_oldest(self) -> bool:
        """Forget the oldest settled submission; False if there is none."""
        for submission, kept in self.by_submission.items():
            if kept.is_settled():
                self.known_since = max(self.known_since, kept.began_at)
                self._forget(submission, kept)
                return True
        return False

    def _forget(self, submission: str, kept: Kept) -> None:
        for record in kept.tasks.values():
            self._subtract(record)
        del self.by_submission[submission]
        # Else the queue of bodies would hold what is forgotten in memory.
        while self.bodies and not self._holds(self.bodies[0]):
            self.bodies.popleft()

    def _holds(self, record: Record) -> bool:
        return self.get(record.submission, record.index) is record

    def _subtract(self, record: Record) -> None:
        self.count -= 1
        self.bytes -= _size(record)

    def _drop_bodies(self) -> None:
        while self.bytes > self.maximum_bytes and self.bodies:
            record = self.bodies.popleft()
            if not self._holds(record):
                continue
            self.bytes -= _size(record)
            record.result = _without_body(record.result)
            self.bytes += _size(record)


def _size(record: Record) -> int:
    body = len(record.result.body) if record.result else 0
    return RECORD_BYTES + body


def _without_body(result: TaskResult) -> TaskResult:
    """Return what is left to say of a result whose body is dropped."""
    if result.outcome is not TaskOutcome.DONE:
        return TaskResult(
            result.index, result.outcome, result.status, reason=result.reason
        )
    # The task did run. Failed is the truth a caller can act on: there is no
    # answer to be had, and the task won't be run again.
    return TaskResult(
        result.index,
        TaskOutcome.FAILED,
        result.status,
        reason="it ran; its answer is no longer kept",
    )


def newer(one: Record, other: Record) -> Record:
    """Return which of two records of a task tells more.

    A later attempt exists only because the earlier one was declined, so it
    counts; within an attempt, an end counts more than its beginning.
    """
    if one.attempt != other.attempt:
        return one if one.attempt > other.attempt else other
    return other if one.state is TaskState.RUNNING else one
