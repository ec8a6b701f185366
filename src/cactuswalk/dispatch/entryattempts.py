"""Attempts at one job at several entries.

A caller whose connection has broken submits its job to another entry. The entry that
has the job may learn of that late, or never: the packets that close a connection can be
lost in a cut that ends no lease. Its tasks would then run beside those of the second
attempt. So entries list their jobs to one another. An entry that gets a job which
another one lists asks for the end of that attempt, and places the job afterwards.
"""

from cactuswalk.dispatch.bounds import agent_lapse_seconds
from cactuswalk.dispatch.entryisolation import may_place
from cactuswalk.dispatch.entryknown import KnownEntry
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.jobstate import JobState
from cactuswalk.dispatch.messages import AttemptEnded, EndAttempt

__all__ = [
    "find_earlier_attempt",
    "handle_attempt_ended",
    "has_earlier_attempt",
    "list_jobs",
    "note_listed_jobs",
    "request_ends",
]

# Jobs are listed from this age on. A second attempt comes RESEND_SECONDS after the
# first one's arrival at the earliest, and a list or two may be lost in a cut by then.
LISTED_AGE_SECONDS = 0.4


def list_jobs(state: EntryState, now: float) -> list[str]:
    """Return the jobs of which tasks may run when a second attempt comes."""
    jobs = {
        identifier
        for identifier, job in state.jobs.items()
        if now - job.arrived_at >= LISTED_AGE_SECONDS and _may_run(state, job, now)
    }
    jobs.update(
        placed.start.key.job
        for view in state.views.values()
        if now - view.heard_at < agent_lapse_seconds()
        for placed in view.placed.values()
        if placed.task is None
    )
    return sorted(jobs)


def _may_run(state: EntryState, job: JobState, now: float) -> bool:
    """Return whether a task of a job runs for this entry, or may be started.

    The leases of starts at an agent have expired when it was silent for this time.
    """
    if job.waiting and may_place(state, job, now):
        return True
    return any(
        now - state.views[task.agent_address].heard_at < agent_lapse_seconds()
        for task in job.tasks
        if task.agent_address
    )


def find_earlier_attempt(state: EntryState, job: JobState, now: float) -> None:
    """Note the entry that lists a job which has just arrived here."""
    for address, entry in state.entries.items():
        if _lists(entry, job.request.identifier, now):
            _note_earlier_attempt(state, job, address, now)
            return


def note_listed_jobs(
    state: EntryState, address: str, listed: list[str], now: float
) -> None:
    """Store the jobs that another entry lists, and note earlier attempts among them.

    A list may come right after the second attempt, as to an entry that was paused. A
    job that has been here for as long as listed ones have been there is the earlier
    attempt itself.
    """
    entry = state.entries[address]
    entry.jobs, entry.jobs_listed_at = frozenset(listed), now
    for identifier in entry.jobs & state.jobs.keys():
        job = state.jobs[identifier]
        if not job.earlier_entry and now - job.arrived_at < LISTED_AGE_SECONDS:
            _note_earlier_attempt(state, job, address, now)


def _note_earlier_attempt(
    state: EntryState, job: JobState, address: str, now: float
) -> None:
    state.observe("earlier_attempts")
    state.say(
        "waits for the end of a job's earlier attempt",
        job=job.request.identifier,
        entry=address,
        listed_ago=round(now - state.entries[address].jobs_listed_at, 3),
        started=job.has_started,
    )
    job.earlier_entry = address
    # Its tasks have run there, so that it can't be refused as not run.
    job.may_have_run = True
    _request_end(state, job, now)


def has_earlier_attempt(state: EntryState, job: JobState, now: float) -> bool:
    """Return whether a job's tasks may still run for another entry."""
    if not job.earlier_entry:
        return False
    entry = state.entries.get(job.earlier_entry)
    if entry is not None and _lists(entry, job.request.identifier, now):
        return True
    job.earlier_entry = ""
    return False


def _lists(entry: KnownEntry, identifier: str, now: float) -> bool:
    """Return whether an entry lists a job, in a status that is recent enough.

    If it has ended since, its leases have expired after the same time.
    """
    return (
        identifier in entry.jobs and now - entry.jobs_listed_at < agent_lapse_seconds()
    )


def request_ends(state: EntryState, now: float) -> None:
    """Ask again for the ends of earlier attempts that have not been reported."""
    for job in state.waiting_jobs():
        if has_earlier_attempt(state, job, now):
            _request_end(state, job, now)


def _request_end(state: EntryState, job: JobState, now: float) -> None:
    """Ask for the end of an earlier attempt, once the job may be placed here.

    Right after a pause or a cut this may be a request out of a socket's buffer, whose
    caller has gone to the other entry since.
    """
    if state.waits_after_pause(now) or not may_place(state, job, now):
        return
    request = EndAttempt(job.request.identifier, int(now * 1000))
    state.send(job.earlier_entry, request)


def handle_attempt_ended(
    state: EntryState, sender: str, message: AttemptEnded, now: float
) -> None:
    """Have a job's tasks placed, since its earlier attempt has ended."""
    job = state.jobs.get(message.job)
    if job is None or job.earlier_entry != sender:
        return
    if message.stamp < int(job.arrived_at * 1000):
        # The answer to a request for an earlier submission of the job to this entry.
        return
    job.earlier_entry = ""
    state.placement_needed = True
    state.say(
        "a job's earlier attempt has ended",
        job=message.job,
        entry=sender,
        waited=round(now - job.arrived_at, 4),
    )
