"""What must always hold, checked from what callers and upstreams saw."""

import collections

from cactuswalk.model import Outcome, TaskOutcome
from features.support.bag import Bag, Began, Handed


def violations(bag: Bag) -> list[str]:
    """Return a sentence for each promise that was broken."""
    by_task: dict[tuple[str, int], list[Began]] = collections.defaultdict(list)
    for began in bag.starts():
        by_task[(began.submission, began.index)].append(began)
    found = _double_starts(bag, by_task)
    for handed in bag.handed.values():
        if handed.reply is None:
            if handed.entry.alive:
                found.append(f"{handed.waiter} got no answer")
            continue
        found += _not_whole(handed)
        found += _untrue(bag, handed, by_task)
    return found


def _double_starts(bag: Bag, by_task: dict) -> list[str]:
    repeatable = {
        handed.job.submission
        for handed in bag.handed.values()
        if handed.job.request and handed.job.idempotent
    }
    return [
        f"task {index} of {submission} started {len(starts)} times: "
        + ", ".join(f"{one.worker} at {one.at:.3f}" for one in starts)
        for (submission, index), starts in by_task.items()
        if len(starts) > 1 and submission not in repeatable
    ]


def _not_whole(handed: Handed) -> list[str]:
    reply, job = handed.reply, handed.job
    if reply.outcome is not Outcome.ANSWERED:
        return []
    bodies = [result.body for result in reply.results]
    if bodies != [b"answer to " + task.body for task in job.tasks]:
        return [f"{handed.waiter} got an answer that is not whole or not its own"]
    return []


def _untrue(bag: Bag, handed: Handed, by_task: dict) -> list[str]:
    """Return where "not run" was said of a task that had run, or ran later.

    A start after the word was given is true to it only if another submission of
    the same key, by the caller, was open at the time.
    """
    found = []
    for index in _said_not_run(handed):
        for began in by_task.get((handed.job.submission, index), []):
            if began.at <= handed.decided_at:
                found.append(
                    f"{handed.waiter} was told at {handed.decided_at:.3f} that task "
                    f"{index} had not run; it started at {began.at:.3f}"
                )
            elif not _asked_again(bag, handed, began):
                found.append(
                    f"{handed.waiter} was told that task {index} did not run; it "
                    f"started {began.at - handed.decided_at:.3f} s later"
                )
    return found


def _said_not_run(handed: Handed) -> list[int]:
    reply = handed.reply
    if reply.outcome is Outcome.NOT_RUN:
        if reply.refusal and reply.refusal.code == "key_reused":
            return []
        return list(range(len(handed.job.tasks)))
    return [
        result.index
        for result in reply.results
        if result.outcome is TaskOutcome.NOT_RUN
    ]


def _asked_again(bag: Bag, handed: Handed, began: Began) -> bool:
    return any(
        other is not handed
        and other.job.submission == handed.job.submission
        and other.at <= began.at <= other.replied_at
        for other in bag.handed.values()
    )
