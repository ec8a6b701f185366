"""The records an agent keeps: bounded in time, and their bodies in bytes."""

import collections
import heapq

import msgspec

from cactuswalk.messages import Record
from cactuswalk.model import TaskOutcome, TaskResult, TaskState

__all__ = ["RecordBook", "newer"]

# What a record takes besides its body, of a submission of one task: those of many
# share a part of it. What a body's own object takes is in it.
RECORD_BYTES = 620

# Expiries of forgotten submissions that may pile up before they are cleared, so
# that a small book isn't cleared all the time.
SPARE_EXPIRIES = 100


class Kept(msgspec.Struct, gc=False):
    """The records of one submission, when they began and last changed.

    Most submissions have one task, or one task here; a dictionary for each would
    take as much as the record itself.

    :param first: the record that came first; ``others`` are the rest, by index.
    """

    first: Record
    began_at: float
    changed_at: float
    others: dict[int, Record] | None = None

    def get(self, index: int) -> Record | None:
        """Return the record of a task, None if there is none."""
        if self.first.index == index:
            return self.first
        return self.others.get(index) if self.others is not None else None

    def put(self, record: Record) -> None:
        """Keep a record in place of an earlier one of the same task."""
        if self.first.index == record.index:
            self.first = record
        elif self.others is None:
            self.others = {record.index: record}
        else:
            self.others[record.index] = record

    def records(self) -> list[Record]:
        """Return all records, the first one first."""
        if self.others is None:
            return [self.first]
        return [self.first, *self.others.values()]

    def is_settled(self) -> bool:
        """Tell whether nothing of the submission runs."""
        if self.first.state is TaskState.RUNNING:
            return False
        return self.others is None or all(
            record.state is not TaskState.RUNNING for record in self.others.values()
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
        return kept.get(index) if kept is not None else None

    def of(self, submission: str) -> dict[int, Record]:
        """Return the records of a submission by index, empty if there are none."""
        kept = self.by_submission.get(submission)
        if kept is None:
            return {}
        return {record.index: record for record in kept.records()}

    def put(self, record: Record, now: float) -> None:
        """Keep a record in place of an earlier one of the same task."""
        kept = self.by_submission.get(record.submission)
        if kept is None:
            self.by_submission[record.submission] = Kept(record, now, now)
            due = now + self.retention
            heapq.heappush(self.expiries, (due, record.submission))
        else:
            earlier = kept.get(record.index)
            if earlier is not None:
                self._subtract(earlier)
            kept.put(record)
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
            for record in kept.records()
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
            record for kept in self.by_submission.values() for record in kept.records()
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
        for record in kept.records():
            self._subtract(record)
        del self.by_submission[submission]
        self._clear_expiries()
        # Else the queue of bodies would hold what is forgotten in memory.
        while self.bodies and not self._holds(self.bodies[0]):
            self.bodies.popleft()

    def _clear_expiries(self) -> None:
        """Let go of the names of what was forgotten before its time.

        They would stay for the whole window: at 700 requests a second and ten
        minutes, 420,000 names in the memory that bounds on records were to keep.
        """
        if len(self.expiries) <= 2 * len(self.by_submission) + SPARE_EXPIRIES:
            return
        self.expiries = [
            (kept.changed_at + self.retention, submission)
            for submission, kept in self.by_submission.items()
        ]
        heapq.heapify(self.expiries)

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
