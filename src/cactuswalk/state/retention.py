"""Storage of task records with a limit in time and, for bodies, in bytes."""

import collections
import heapq

import msgspec

from cactuswalk.messages import Record
from cactuswalk.model import TaskOutcome, TaskResult, TaskState

__all__ = ["RecordStore", "choose_newer"]

# Memory of a record without its body, for a submission of one task; the records of
# larger submissions share a part of it. It includes the overhead of the body's object.
RECORD_BYTES = 620

# Expiries of removed submissions that may accumulate before they are compacted, so
# that a small store isn't compacted all the time.
MAX_STALE_EXPIRIES = 100


class SubmissionRecords(msgspec.Struct, gc=False):
    """The records of one submission, with the times of the first and last change.

    Most submissions have one task, or one task here; a dictionary for each would
    take as much memory as the record itself.

    :param first: the record that was stored first; ``others`` has the rest by index.
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
        """Store a record, replacing an earlier one of the same task."""
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
        """Tell whether no task of the submission runs."""
        if self.first.state is TaskState.RUNNING:
            return False
        return self.others is None or all(
            record.state is not TaskState.RUNNING for record in self.others.values()
        )


class RecordStore:
    """Records by submission and task index.

    Above the limit of bytes the oldest bodies are dropped first; a caller that asks
    for such an answer is told that it is no longer kept. Then the oldest settled
    submissions are dropped. No record after ``known_since`` is missing; an older
    submission without a record may still have started. The records of one
    submission are dropped together, so that a part is never taken for the whole.

    :param retention: seconds that a submission is kept after its last change.
    :param maximum_bytes: limit above which bodies and then records are dropped.
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
        self.by_submission: dict[str, SubmissionRecords] = {}
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
        """Store a record, replacing an earlier one of the same task."""
        kept = self.by_submission.get(record.submission)
        if kept is None:
            self.by_submission[record.submission] = SubmissionRecords(record, now, now)
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

    def has_capacity(self) -> bool:
        """Tell whether another start can be recorded within the limit."""
        if self.count * RECORD_BYTES < self.maximum_bytes:
            return True
        return any(kept.is_settled() for kept in self.by_submission.values())

    def changed_since(self, moment: float) -> list[Record]:
        """Return the records of submissions that run or changed since a time."""
        return [
            record
            for kept in self.by_submission.values()
            if kept.changed_at >= moment or not kept.is_settled()
            for record in kept.records()
        ]

    def expire(self, now: float) -> None:
        """Remove the submissions whose retention has passed."""
        while self.expiries and self.expiries[0][0] <= now:
            _, submission = heapq.heappop(self.expiries)
            kept = self.by_submission.get(submission)
            if kept is None:
                continue
            due = kept.changed_at + self.retention
            if due > now:
                # Queued by its new expiry; behind later entries it would be kept
                # for up to twice the retention.
                heapq.heappush(self.expiries, (due, submission))
                continue
            self._forget(submission, kept)

    def all(self) -> list[Record]:
        """Return every record, oldest submission first."""
        return [
            record for kept in self.by_submission.values() for record in kept.records()
        ]

    def _forget_oldest(self) -> bool:
        """Remove the oldest settled submission; False if there is none."""
        for submission, kept in self.by_submission.items():
            if kept.is_settled():
                self.known_since = max(self.known_since, kept.began_at)
                self._forget(submission, kept)
                return True
        return False

    def _forget(self, submission: str, kept: SubmissionRecords) -> None:
        for record in kept.records():
            self._subtract(record)
        del self.by_submission[submission]
        self._compact_expiries()
        # Otherwise the queue of bodies would keep removed records in memory.
        while self.bodies and not self._is_current(self.bodies[0]):
            self.bodies.popleft()

    def _compact_expiries(self) -> None:
        """Drop the expiries of submissions that were removed early.

        They would stay for the whole retention: at 700 requests a second and ten
        minutes, 420,000 names beyond the memory limit of the records.
        """
        if len(self.expiries) <= 2 * len(self.by_submission) + MAX_STALE_EXPIRIES:
            return
        self.expiries = [
            (kept.changed_at + self.retention, submission)
            for submission, kept in self.by_submission.items()
        ]
        heapq.heapify(self.expiries)

    def _is_current(self, record: Record) -> bool:
        return self.get(record.submission, record.index) is record

    def _subtract(self, record: Record) -> None:
        self.count -= 1
        self.bytes -= _size(record)

    def _drop_bodies(self) -> None:
        while self.bytes > self.maximum_bytes and self.bodies:
            record = self.bodies.popleft()
            if not self._is_current(record):
                continue
            self.bytes -= _size(record)
            record.result = _without_body(record.result)
            self.bytes += _size(record)


def _size(record: Record) -> int:
    body = len(record.result.body) if record.result else 0
    return RECORD_BYTES + body


def _without_body(result: TaskResult) -> TaskResult:
    """Return a result without its dropped body."""
    if result.outcome is not TaskOutcome.DONE:
        return TaskResult(
            result.index, result.outcome, result.status, reason=result.reason
        )
    # The task ran, but its answer is gone and it won't be run again, so the caller
    # gets "failed".
    return TaskResult(
        result.index,
        TaskOutcome.FAILED,
        result.status,
        reason="it ran; its answer is no longer kept",
    )


def choose_newer(one: Record, other: Record) -> Record:
    """Return the more recent of two records of a task.

    A later attempt takes precedence, because it exists only if the earlier one was
    declined. Within an attempt, an end takes precedence over the start.
    """
    if one.attempt != other.attempt:
        return one if one.attempt > other.attempt else other
    return other if one.state is TaskState.RUNNING else one
