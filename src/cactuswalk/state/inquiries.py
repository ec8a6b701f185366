"""Queries to the owner: the state of a submission, and where a job would fit."""

import msgspec

from cactuswalk.messages import Explain, Explanation, JobState, Query, Verdict
from cactuswalk.model import Job, Outcome, TaskState
from cactuswalk.state.answers import find_submission
from cactuswalk.state.ledger import (
    Placement,
    Stage,
    Task,
    TrackedJob,
    end_task,
    find_failure,
    is_settled,
    is_superseded_attempt,
    make_answer,
)
from cactuswalk.state.owner import OwnerState, Phase

__all__ = ["make_job_state", "on_explain", "on_query"]


def on_query(state: OwnerState, sender: str, query: Query, now: float) -> None:
    """Reply to an entry with the state of a submission."""
    if state.phase is Phase.RECOVERING:
        return
    state.send(sender, make_job_state(state, query, sender))


def on_explain(state: OwnerState, sender: str, explain: Explain, now: float) -> None:
    """Reply with the workers where a job could be placed now."""
    found = state.scheduler.explain(explain.job, now)
    verdicts = [Verdict(one.worker, one.fits, one.verdict) for one in found]
    state.send(sender, Explanation(explain.request, state.cell, verdicts))


def make_job_state(state: OwnerState, query: Query, sender: str) -> JobState:
    """Return the state of a submission, from the ledger or from records."""
    tracked = find_submission(state, query.submission)
    if tracked is None:
        tracked = _from_records(state, query.submission)
    if tracked is None or _is_ahead(tracked, query, sender):
        return JobState(
            *(query.submission, query.request),
            *(False, 0, 0, 0, 0, None, query.attempt),
        )
    stages = [task.stage for task in tracked.tasks]
    return JobState(
        query.submission,
        query.request,
        True,
        len(stages),
        stages.count(Stage.QUEUED),
        stages.count(Stage.SENT) + stages.count(Stage.WITNESSING),
        stages.count(Stage.ENDED),
        tracked.answer
        and msgspec.structs.replace(tracked.answer, epoch=state.record.epoch),
        query.attempt,
    )


def _is_ahead(tracked: TrackedJob, query: Query, sender: str) -> bool:
    """Return whether an entry queries an attempt that has not arrived here yet.

    An earlier attempt was refused, but this one may run when it arrives. If it got
    the same refusal, its caller would be told "not run" and it could start after.
    """
    if query.request or tracked.answer is None:
        return False
    refused = tracked.answer.outcome is Outcome.NOT_RUN
    return refused and not is_superseded_attempt(tracked, sender, query.attempt)


def _from_records(state: OwnerState, submission: str) -> TrackedJob | None:
    """Rebuild the ledger entry of a submission that was not resubmitted."""
    records = state.recovered.of(submission)
    if not records:
        return None
    total = max(record.total for record in records.values())
    some = next(iter(records.values()))
    job = Job(submission, some.fingerprint, "", "", [])
    tracked = TrackedJob(job, 0.0, [Task() for _ in range(total)], 0.0)
    for record in records.values():
        if record.result is not None:
            end_task(tracked, record.result)
        elif record.state is TaskState.RUNNING:
            tracked.tasks[record.index].stage = Stage.SENT
            tracked.tasks[record.index].placement = Placement(
                record.worker, record.incarnation, record.attempt, 0, 0.0
            )
    if total and is_settled(tracked):
        tracked.answer = make_answer(tracked, find_failure(tracked), True)
    return tracked
