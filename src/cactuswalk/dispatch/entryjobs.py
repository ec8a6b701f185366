"""Jobs at the entry that accepted them, from arrival to answer."""

from cactuswalk.decisions.estimation import DurationEstimate
from cactuswalk.dispatch.bounds import STOP_MARGIN_SECONDS
from cactuswalk.dispatch.effects import Answer
from cactuswalk.dispatch.entryadmission import (
    find_late_reason,
    prospect_fields,
    retry_pause,
    was_sent_before,
)
from cactuswalk.dispatch.entryattempts import find_earlier_attempt
from cactuswalk.dispatch.entrycrashes import restore_crashes
from cactuswalk.dispatch.entryevents import (
    JobArrived,
    JobCancelled,
    WaiterLeft,
)
from cactuswalk.dispatch.entryheadroom import record_demand
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.job import JobRequest, JobVerdict
from cactuswalk.dispatch.jobstate import JobState, make_tasks
from cactuswalk.dispatch.leaving import ends_before_stop
from cactuswalk.dispatch.messages import AttemptEnded, EndAttempt
from cactuswalk.dispatch.ordering import (
    ANSWER_MARGIN_SECONDS,
    compute_time_limits,
    critical_path_seconds,
    is_still_useful,
)
from cactuswalk.dispatch.placement import any_large_enough, can_ever_run
from cactuswalk.dispatch.routing import Queue

__all__ = [
    "answer_job",
    "answer_overdue_waiters",
    "find_unservable_reason",
    "give_up_job",
    "handle_cancellation",
    "handle_end_attempt",
    "handle_job_arrival",
    "handle_waiter_left",
]


def handle_job_arrival(state: EntryState, event: JobArrived, now: float) -> None:
    """Accept or refuse a job, or add a caller to one that is in progress."""
    known = state.jobs.get(event.request.identifier)
    if known is not None:
        known.waiters[event.waiter] = now + event.wait_seconds
        return
    job = _make_job(state, event, now)
    if state.stop_at and not ends_before_stop(
        job.expected_seconds, state.stop_at - STOP_MARGIN_SECONDS - now
    ):
        _refuse_waiters(state, job, "this entry is stopping")
        return
    reason = find_unservable_reason(state, event.request, event.queue)
    if reason:
        _refuse_waiters(state, job, reason)
        return
    state.jobs[job.request.identifier] = job
    state.arrived_at[event.queue.service, event.queue.priority] = now
    if state.policy.places_by_end:
        mean = state.estimates[event.queue.name].mean
        state.shortest_kind.record(event.queue.service, event.queue.name, mean, now)
    record_demand(state, job, now)
    make_tasks(job)
    state.observe("jobs", event.queue.name)
    if restore_crashes(state, job):
        answer_job(state, job, JobVerdict.FAILED, "a task crashes its workers", now)
        return
    find_earlier_attempt(state, job, now)
    late_reason = _find_useless_reason(state, job, now) or find_late_reason(
        state, job, now
    )
    if late_reason:
        answer_job(state, job, JobVerdict.NOT_RUN, late_reason, now)
        return
    state.note_waiting(job)
    state.placement_needed = True


def _find_useless_reason(state: EntryState, job: JobState, now: float) -> str:
    """Return why the answer of a new job would be useless to its caller, or nothing.

    A job that may run from an earlier submission can't be refused as not run.
    """
    if not state.policy.serves_late or is_still_useful(job, now):
        return ""
    if job.earlier_entry or was_sent_before(state, job):
        return ""
    return "can't end while its caller waits"


def find_unservable_reason(state: EntryState, request: JobRequest, queue: Queue) -> str:
    """Return why no known worker can run a job, or an empty string."""
    steps, service = request.steps, queue.service
    known = list(state.views.values())
    if not all(can_ever_run(known, step, service) for step in steps):
        return "no worker is large enough for a task"
    if not state.evacuations.data_centres:
        return ""
    usable = [view for view in state.usable_views() if view.report.service == service]
    if all(any_large_enough(usable, step, service) for step in steps):
        return ""
    if not usable and state.knows_usable_data_centre():
        # The entries there are being asked for agents.
        return ""
    return "the workers that could run it are evacuated"


def _make_job(state: EntryState, event: JobArrived, now: float) -> JobState:
    queue = event.queue
    estimate = state.estimates.get(queue.name)
    if estimate is None:
        declared_ms = max((step.estimate_ms for step in event.request.steps), default=0)
        estimate = DurationEstimate.for_uniform_tasks(declared_ms)
        state.estimates[queue.name] = estimate
    seconds = [estimate.predict(step.estimate_ms) for step in event.request.steps]
    expected_seconds = critical_path_seconds(event.request, seconds)
    limits = compute_time_limits(queue, expected_seconds, now)
    return JobState(
        event.request,
        queue,
        {event.waiter: now + event.wait_seconds},
        now,
        expected_seconds,
        limits.latest_start_at,
        limits.due_at,
    )


def handle_waiter_left(state: EntryState, event: WaiterLeft, now: float) -> None:
    """Give up a job when its last caller has disconnected."""
    job = state.jobs.get(event.job)
    if job is None or event.waiter not in job.waiters:
        return
    if len(job.waiters) > 1:
        del job.waiters[event.waiter]
        return
    state.say("the caller has disconnected", job=event.job, waited=now - job.arrived_at)
    _remove_job(state, job, now)


def answer_overdue_waiters(state: EntryState, job: JobState, now: float) -> None:
    """Answer the callers of a job who stop waiting before the last one does."""
    if len(job.waiters) == 1:
        return
    last = job.give_up_at
    for waiter, until in list(job.waiters.items()):
        if until < last and now >= until - ANSWER_MARGIN_SECONDS:
            # The job may run for the others, though it has not started yet.
            unfinished = Answer(waiter, JobVerdict.UNFINISHED, "out of time")
            state.effects.append(unfinished)
            del job.waiters[waiter]


def handle_cancellation(state: EntryState, event: JobCancelled, now: float) -> None:
    """Give up a job at its caller's request."""
    job = state.jobs.get(event.job)
    if job is None:
        return
    give_up_job(state, job, "cancelled", now)


def handle_end_attempt(
    state: EntryState, sender: str, message: EndAttempt, now: float
) -> None:
    """End this entry's attempt at a job, and tell the sender once it has ended."""
    job = state.jobs.get(message.job)
    if job is not None:
        reason = "its caller has submitted it to another entry"
        give_up_job(state, job, reason, now)
    if not any(key.job == message.job for key in state.stopping_tasks):
        state.send(sender, AttemptEnded(message.job, message.stamp))


def give_up_job(state: EntryState, job: JobState, reason: str, now: float) -> None:
    """Answer a job that is not completed, by whether a task may have run."""
    verdict = JobVerdict.UNFINISHED if job.has_started else JobVerdict.NOT_RUN
    answer_job(state, job, verdict, reason, now)


def answer_job(
    state: EntryState, job: JobState, verdict: JobVerdict, reason: str, now: float
) -> None:
    """Answer the callers of a job and remove it."""
    pause = 0.0
    if verdict is not JobVerdict.COMPLETED:
        pause = retry_pause(state, job, now)
    for waiter in job.waiters:
        state.effects.append(Answer(waiter, verdict, reason, pause))
    state.observe("answers", f"{job.queue.name} {verdict.value}")
    state.observe("job_seconds", job.queue.name, now - job.arrived_at)
    state.say(
        "a job is answered",
        job=job.request.identifier,
        queue=job.queue.name,
        verdict=verdict.value,
        reason=reason,
        tasks=len(job.tasks),
        took=round(now - job.arrived_at, 4),
        first_start=round((job.first_start_at or now) - job.arrived_at, 4),
        expected=round(job.expected_seconds, 4),
        aim=round(job.due_at - job.arrived_at, 4),
        wait=round(job.give_up_at - job.arrived_at, 4),
        lost=job.lost_runs,
        declined=job.declined_runs,
        **_last_task(job),
        **_room_seen(state, job, verdict, now),
        **_prospect_seen(job, verdict, now),
        version=state.version,
    )
    _remove_job(state, job, now)


def _refuse_waiters(state: EntryState, job: JobState, reason: str) -> None:
    state.say("refuses a job", job=job.request.identifier, reason=reason)
    for waiter in job.waiters:
        state.effects.append(Answer(waiter, JobVerdict.NOT_RUN, reason, 1.0))


def _remove_job(state: EntryState, job: JobState, now: float) -> None:
    """Remove a job and stop its running tasks."""
    del state.jobs[job.request.identifier]
    job.waiting.clear()
    for task in job.tasks:
        if task.agent_address:
            view = state.views[task.agent_address]
            placed = view.placed[task.sequence]
            placed.task = None
            state.stopping_tasks.add(task.key)
            state.send_stop(view, placed, now)
    state.placement_needed = True


def _room_seen(
    state: EntryState, job: JobState, verdict: JobVerdict, now: float
) -> dict[str, object]:
    """Return log fields on the known workers if the job is refused."""
    if verdict is not JobVerdict.NOT_RUN:
        return {}
    views = [
        view
        for view in state.views.values()
        if view.report.service == job.queue.service
    ]
    open_views = [view for view in views if view.is_open(now)]
    return {
        "workers": len(views),
        "open_workers": len(open_views),
        "free_cpu": sum(view.free_cpu for view in open_views),
        "most_free_cpu": max((view.free_cpu for view in open_views), default=0),
        "oldest_report": round(
            max((now - view.heard_at for view in views), default=0.0), 3
        ),
        "waiting_jobs": len(state.waiting_jobs()),
    }


def _prospect_seen(job: JobState, verdict: JobVerdict, now: float) -> dict[str, object]:
    """Return log fields on what was predicted, unless the job is on time."""
    is_on_time = verdict is JobVerdict.COMPLETED and now <= job.due_at
    return {} if is_on_time else prospect_fields(job)


def _last_task(job: JobState) -> dict[str, object]:
    """Return log fields on how long a job's last task waited and ran."""
    task = job.last_task
    if task is None:
        return {}
    return {
        "last_agent": task.last_agent_address,
        "last_placed": round(task.placed_at - job.arrived_at, 4),
        "last_held": round(task.outstanding_seconds, 4),
        "last_ran": task.ran_ms / 1000,
        "last_run": task.runs,
        "last_estimate": task.step.estimate_ms / 1000,
    }
