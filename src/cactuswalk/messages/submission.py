"""Messages between entries and the owner of a cell."""

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
    "Explained",
    "Verdict",
    "JobState",
    "NotHeld",
    "NotOwner",
    "Query",
    "Submit",
    "Subscribe",
]


class Submit(msgspec.Struct, array_like=True, tag=1, gc=False):
    """An entry hands a job to the owner; sent again, it joins the first.

    :param attempt: of this entry for this submission; the answer repeats it.
    :param fresh: the entry minted the identifier and never sent it before, so
        nobody else can have started any of it.
    :param remaining_ms: until the caller's deadline, at the time of sending.
    :param age_ms: since the identifier's birth, by the entry's wall clock.
    :param stamp: the owner's own clock, from its latest report to this entry;
        an old one is refused, so a copy that the network held back can't run
        after its caller was told that nothing did.
    """

    job: Job
    attempt: int
    fresh: bool
    remaining_ms: int
    age_ms: int
    epoch: int
    stamp: int


class Answer(msgspec.Struct, array_like=True, tag=2, gc=False):
    """The final answer to a submission; the first one given stands.

    :param results: of every task, in order, for ``answered`` and ``failed``.
    :param digest: over the results' digests, checked by the entry.
    :param epoch: of the owner that gives it.
    :param stamp: the owner's own clock, as in its reports; an entry that gets
        answers has no need to ask for one.
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
    """Stop a submission: what has not started never will."""

    submission: str


class Query(msgspec.Struct, array_like=True, tag=4):
    """Ask where a submission stands; the reply repeats all of it.

    :param request: names a caller's question, empty for the entry's own.
    :param attempt: of the entry's latest submit, for its own question.
    """

    submission: str
    request: str
    attempt: int = 0


class JobState(msgspec.Struct, array_like=True, tag=5):
    """Where a submission stands; ``answer`` is set once there is one.

    ``known`` is False where the owner has no record of the submission.

    :param attempt: of the query; an answer that was asked for by an earlier try
        must not end a later one, which may be running.
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
    """The receiver does not own the cell; nothing was done with the message.

    :param owner: address of the owner it knows of, empty for none.
    :param submission: the refused one, empty if it was no submission.
    :param attempt: of the refused submission.
    """

    cell: str
    epoch: int
    owner: str
    submission: str
    attempt: int


class NotHeld(msgspec.Struct, array_like=True, tag=11):
    """The cell does not hold the submission; nothing of it ran or will run there.

    :param holder: the cell that may hold it, empty if the owner knows of none.
    """

    cell: str
    epoch: int
    submission: str
    attempt: int
    holder: str


class Subscribe(msgspec.Struct, array_like=True, tag=7):
    """An entry asks an owner for a report now, and for news until it asks again.

    :param epoch: of the owner that it knows, 0 for none; with ``serial``, what
        it holds of the cell's workers.
    """

    cell: str
    epoch: int
    serial: int


class Explain(msgspec.Struct, array_like=True, tag=9):
    """An operator asks where a job could be placed; nothing is placed."""

    request: str
    job: Job


class Verdict(msgspec.Struct, array_like=True):
    """Whether a worker could take a job now, and why or why not."""

    worker: str
    fits: bool
    verdict: str


class Explained(msgspec.Struct, array_like=True, tag=10):
    """The owner's answer, by the code that places jobs."""

    request: str
    cell: str
    verdicts: list[Verdict]


class CellReport(msgspec.Struct, array_like=True, tag=8):
    """What an entry needs to choose and explain a cell, folded by its owner.

    :param free_slots: per service, after what is queued.
    :param workers: announcements of the cell's workers, None where the entry
        has those of ``serial`` already.
    :param configuration: what the owner and its agents have in force.
    :param stamp: the owner's monotonic clock in milliseconds, see ``Submit``.
    :param entries: that ask this owner; each slows down as they grow more.
    :param young_ms: for so long still a cell that has just begun refuses the keys
        that callers chose; 0 for all others.
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
    young_ms: int = 0
