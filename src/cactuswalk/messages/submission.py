"""Messages between entries and the owners of cells."""

import msgspec

from cactuswalk.messages.configuration import ConfigurationOffer
from cactuswalk.model.answer import Outcome, Refusal, TaskResult
from cactuswalk.model.job import Job
from cactuswalk.model.worker import Announcement

__all__ = [
    "Answer",
    "Cancel",
    "CellReport",
    "Explain",
    "Explanation",
    "Verdict",
    "JobState",
    "NotHeld",
    "NotOwner",
    "Query",
    "Submit",
    "Subscribe",
]


class Submit(msgspec.Struct, array_like=True, tag=1, gc=False):
    """An entry submits a job to the owner; a repetition joins the first submission.

    :param attempt: number of this entry's attempt; the answer repeats it.
    :param fresh: the entry generated the identifier and has not sent it before, so
        that no task of it can have been started elsewhere.
    :param remaining_ms: time until the caller's deadline, when it was sent.
    :param age_ms: time since the identifier was created, by the entry's wall clock.
    :param stamp: the owner's clock, from its latest report to this entry. The owner
        refuses an old one, so that a copy that was delayed in the network can't run
        after the caller was told that nothing ran.
    """

    job: Job
    attempt: int
    fresh: bool
    remaining_ms: int
    age_ms: int
    epoch: int
    stamp: int


class Answer(msgspec.Struct, array_like=True, tag=2, gc=False):
    """The final answer to a submission; the first one given is never changed.

    :param results: of every task, in order, for ``answered`` and ``failed``.
    :param digest: of the fingerprint and the results' digests; the entry checks it.
    :param epoch: of the owner that answers.
    :param stamp: the owner's clock, as in its reports, so that an entry that gets
        answers need not ask for a report.
    """

    submission: str
    attempt: int
    fingerprint: bytes
    outcome: Outcome
    results: list[TaskResult]
    refusal: Refusal | None
    digest: bytes
    epoch: int = 0
    stamp: int = 0


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Cancel a submission: its tasks that have not started never will."""

    submission: str


class Query(msgspec.Struct, array_like=True, tag=4):
    """Ask for the state of a submission; the reply repeats all fields.

    :param request: identifies a caller's query; empty for one of the entry itself.
    :param attempt: of the entry's latest ``Submit``, for a query of its own.
    """

    submission: str
    request: str
    attempt: int = 0


class JobState(msgspec.Struct, array_like=True, tag=5):
    """The state of a submission; ``answer`` is None until there is one.

    ``known`` is False if the owner has no record of the submission.

    :param attempt: of the query; the answer to a query of an earlier attempt must
        not end a later attempt, which may be running.
    """

    submission: str
    request: str
    known: bool
    total: int
    queued: int
    running: int
    finished: int
    answer: Answer | None
    attempt: int = 0


class NotOwner(msgspec.Struct, array_like=True, tag=6):
    """The sender does not own the cell and has ignored the message.

    :param owner: address of the owner as far as the sender knows; empty for none.
    :param submission: the refused submission; empty for another message.
    :param attempt: of the refused submission.
    """

    cell: str
    epoch: int
    owner: str
    submission: str
    attempt: int


class NotHeld(msgspec.Struct, array_like=True, tag=11):
    """The cell does not hold the submission; no task of it ran or will run there.

    :param holder: a cell that may hold it; empty if the owner knows of none.
    """

    cell: str
    epoch: int
    submission: str
    attempt: int
    holder: str


class Subscribe(msgspec.Struct, array_like=True, tag=7):
    """An entry asks an owner for a report now, and for changes until it asks again.

    :param epoch: of the owner that the entry knows, 0 for none; with ``serial``, it
        identifies the announcements of the cell's workers that the entry has.
    """

    cell: str
    epoch: int
    serial: int


class Explain(msgspec.Struct, array_like=True, tag=9):
    """An operator asks where a job could be placed, without placing it."""

    request: str
    job: Job


class Verdict(msgspec.Struct, array_like=True):
    """Whether a worker could take a job now, with the reason."""

    worker: str
    fits: bool
    verdict: str


class Explanation(msgspec.Struct, array_like=True, tag=10):
    """The owner's answer to ``Explain``, given by the code that places jobs."""

    request: str
    cell: str
    verdicts: list[Verdict]


class CellReport(msgspec.Struct, array_like=True, tag=8):
    """The owner's summary of its cell, from which entries choose and explain cells.

    :param free_slots: per service, less the queued tasks.
    :param workers: announcements of the cell's workers; None if the entry already
        has those of ``serial``.
    :param configuration: state of the configuration at the owner and its agents.
    :param stamp: the owner's monotonic clock in milliseconds, see ``Submit``.
    :param entries: number of entries that ask this owner; each asks less often as it
        grows.
    :param refuses_keys_ms: for how much longer a new cell refuses keys that callers
        have chosen; 0 for any other cell.
    """

    cell: str
    epoch: int
    serial: int
    free_slots: dict[str, int]
    queued: dict[str, int]
    workers: list[Announcement] | None
    configuration: ConfigurationOffer
    stamp: int
    entries: int = 1
    refuses_keys_ms: int = 0
