"""Admission of whole jobs at an entry, by the capacity that is predicted for them.

An entry decides on each job that arrives, and in each placement round on each job that
would begin. What it predicts from is in its own state and in the latest statuses of
other entries (``decisions.prospects``).
"""

import math

from cactuswalk.decisions.prospects import Demand, spread_pause
from cactuswalk.dispatch.entrychooser import make_chooser
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.jobstate import JobState, TaskState
from cactuswalk.dispatch.messages import QueuedWork
from cactuswalk.dispatch.ordering import (
    MAX_RETRY_SECONDS,
    retry_after_seconds,
)
from cactuswalk.dispatch.placement import WorkerChooser

__all__ = [
    "find_late_reason",
    "list_queued",
    "may_begin",
    "neighbours_cpu",
    "prospect_fields",
    "record_missed_start",
    "record_round",
    "record_task_start",
    "retry_pause",
    "was_sent_before",
]

# Older statuses count as none: entries send one every 0.3 s.
STATUS_SECONDS = 1.0

# Share of its slack that an admitted job may wait. It is admitted by a shorter one
# (``QUEUEING_SLACK_SHARE``), and a refusal would come late for its caller.
ADMITTED_SLACK_SHARE = 0.8

# A job that can wait for less than this is admitted as if it could wait so long: ticks
# come each 0.05 s, reports up to 0.08 s apart, and shorter waits can't be predicted.
MIN_LIMIT_SECONDS = 0.1


def find_late_reason(state: EntryState, job: JobState, now: float) -> str:
    """Return why a job that has just arrived would start too late, or nothing.

    Its tasks have not been sent, so that a refusal is true. A job that another entry
    may still run, or this one from an earlier submission, is not refused here.
    """
    if not state.policy.predicts_admission or not job.waiting:
        return ""
    if not _can_predict(state, now) or job.earlier_entry or was_sent_before(state, job):
        return ""
    admitted_until = job.latest_start_at
    slack = job.due_at - job.expected_seconds - job.arrived_at
    job.latest_start_at = job.arrived_at + slack * ADMITTED_SLACK_SHARE
    key = _key(job)
    job.prospect = state.prospects.predict(key, _demand(state, job, now), now)
    if job.prospect is None:
        job.latest_start_at = admitted_until
        return ""
    state.observe("predicted_wait_seconds", job.queue.name, job.prospect.wait)
    least = min(job.latest_start_at, now + MIN_LIMIT_SECONDS)
    if not job.prospect.exceeds(max(admitted_until, least) - now):
        return ""
    state.observe("refused_at_arrival", job.queue.name)
    return "no capacity for all of its tasks is predicted in time"


def _can_predict(state: EntryState, now: float) -> bool:
    """Return whether this entry has the knowledge that a prediction is based on."""
    return (
        state.has_usable_agent(now)
        and not state.is_discovering_workers(now)
        and not state.waits_after_pause(now)
        and not state.isolated_at
    )


def was_sent_before(state: EntryState, job: JobState) -> bool:
    """Return whether a task may still run from an earlier submission of the job."""
    return bool(state.stopping_tasks) and any(
        task.key in state.stopping_tasks for task in job.tasks
    )


def _key(job: JobState) -> tuple[str, int]:
    return job.queue.service, job.queue.priority


def _waiting_cpu(job: JobState) -> int:
    """Return the size of a job's waiting tasks; those of one step are alike."""
    if len(job.opened_steps) == 1:
        return len(job.waiting) * job.waiting[0].step.cpu
    return sum(task.step.cpu for task in job.waiting)


def _demand(state: EntryState, job: JobState, now: float) -> Demand:
    task = job.waiting[0]
    cpu = task.step.cpu
    ahead_cpu = _ahead_cpu(state, job)
    # Also what is free for the tasks that go before: they may wait for something else
    # than processors, and then the rate at which they are served says nothing.
    most = len(job.waiting) + math.ceil(ahead_cpu / max(1, cpu))
    fitting = make_chooser(state, cpu, now).count_fitting(task, job.queue.service, most)
    elsewhere_cpu = 0
    if fitting < most:
        elsewhere_cpu = _elsewhere_cpu(state, now)
    neighbours = neighbours_cpu(state, now)
    return Demand(
        _waiting_cpu(job),
        ahead_cpu,
        neighbours.get(_key(job), 0),
        fitting * cpu,
        elsewhere_cpu,
    )


def _ahead_cpu(state: EntryState, job: JobState) -> int:
    """Return what waits here and goes before a job that has not started."""
    key = _key(job)
    return sum(
        _waiting_cpu(other)
        for other in state.waiting_jobs()
        if other is not job
        and _key(other) == key
        and (other.latest_start_at <= job.latest_start_at or other.has_started)
    )


def neighbours_cpu(state: EntryState, now: float) -> dict[tuple[str, int], int]:
    """Return what waits at the other entries of this data centre."""
    totals: dict[tuple[str, int], int] = {}
    for entry in state.entries.values():
        if entry.data_centre != state.data_centre or not entry.queued:
            continue
        if now - entry.heard_at < STATUS_SECONDS:
            for row in entry.queued:
                key = (row.service, row.priority)
                totals[key] = totals.get(key, 0) + row.cpu
    return totals


def _elsewhere_cpu(state: EntryState, now: float) -> int:
    """Return this entry's part of what is free in other data centres.

    Entries of a data centre share their agents and report the same capacity. What is
    free here while tasks wait is too little for any of them, and so is as much there.
    """
    most: dict[str, int] = {}
    sharers = 1
    for entry in state.entries.values():
        if now - entry.heard_at >= STATUS_SECONDS:
            continue
        if entry.data_centre == state.data_centre:
            sharers += 1
        elif entry.data_centre not in state.evacuations.data_centres:
            free_cpu = max(entry.free_cpu, most.get(entry.data_centre, 0))
            most[entry.data_centre] = free_cpu
    own = state.free_cpu(now)
    return sum(max(0, free_cpu - own) for free_cpu in most.values()) // sharers


def may_begin(
    state: EntryState, job: JobState, chooser: WorkerChooser, now: float
) -> bool:
    """Return whether all tasks of a job have capacity, or will have it in time.

    A job that has started goes on: what it has got would be lost.
    """
    if not state.policy.predicts_admission or job.has_started:
        return True
    task, most = job.waiting[0], len(job.waiting)
    if most == 1 or not _can_predict(state, now):
        return True
    fitting = chooser.count_fitting(task, job.queue.service, most)
    if not fitting or fitting == most:
        return True
    cpu = (most - fitting) * task.step.cpu
    demand = Demand(cpu, _begun_cpu(state, job), 0, 0, 0)
    prospect = state.prospects.predict(_key(job), demand, now)
    if prospect is None:
        return True
    if not prospect.exceeds(job.due_at - job.expected_seconds - now):
        return True
    state.observe("begun_later", job.queue.name)
    return False


def _begun_cpu(state: EntryState, job: JobState) -> int:
    """Return what waits here for jobs that have started."""
    key = _key(job)
    return sum(
        _waiting_cpu(other)
        for other in state.waiting_jobs()
        if other.has_started and other.waiting and _key(other) == key
    )


def record_task_start(
    state: EntryState, job: JobState, task: TaskState, is_last: bool, now: float
) -> None:
    """Record that a task was sent to a worker.

    :param is_last: no other task of the job waits.
    """
    if not state.policy.predicts_admission:
        return
    state.prospects.record_start(_key(job), task.step.cpu, now)
    if is_last and job.prospect is not None and task.runs == 1:
        margin = state.prospects.margin(_key(job))
        margin.record_start(now - job.arrived_at, job.prospect.wait)


def record_missed_start(state: EntryState, job: JobState) -> None:
    """Record that an admitted job has not started in time."""
    if job.prospect is not None and job.prospect.wait > 0:
        state.prospects.margin(_key(job)).record_shed()


def record_round(state: EntryState, now: float) -> None:
    """Record what waits after a placement round."""
    if not state.policy.predicts_admission:
        return
    waiting = state.waiting_jobs()
    if not waiting and not state.prospects.has_backlog:
        return
    own: dict[tuple[str, int], int] = {}
    for job in waiting:
        key = _key(job)
        own[key] = own.get(key, 0) + _waiting_cpu(job)
    neighbours = neighbours_cpu(state, now) if own else {}
    state.prospects.record_backlogs(own, neighbours, now)


def list_queued(state: EntryState) -> list[QueuedWork]:
    """Return what waits here, by service and priority, for other entries."""
    if not state.policy.predicts_admission:
        return []
    totals: dict[tuple[str, int], tuple[int, float]] = {}
    for job in state.waiting_jobs():
        cpu, work = totals.get(_key(job), (0, 0.0))
        waiting = _waiting_cpu(job)
        totals[_key(job)] = (cpu + waiting, work + waiting * job.expected_seconds)
    return [
        QueuedWork(priority, cpu, math.ceil(work), service)
        for (service, priority), (cpu, work) in totals.items()
    ]


def retry_pause(state: EntryState, job: JobState, now: float) -> float:
    """Return after how many seconds the caller of a refused job should retry.

    None comes back before the queue has drained, and then they are spread over as long.
    """
    if not state.policy.predicts_admission:
        return retry_after_seconds(state.queued_seconds())
    drain_seconds = _drain_seconds(state, now)
    least = retry_after_seconds(drain_seconds)
    pause = spread_pause(job.request.identifier, least, drain_seconds)
    return min(MAX_RETRY_SECONDS, pause)


def _drain_seconds(state: EntryState, now: float) -> float:
    """Return the work that waits here and at neighbours, in all workers' time."""
    capacity = sum(max(0, view.report.cpu) for view in state.usable_views())
    if capacity <= 0:
        return MAX_RETRY_SECONDS
    own = sum(_waiting_cpu(job) * job.expected_seconds for job in state.waiting_jobs())
    neighbours = sum(
        row.work
        for entry in state.entries.values()
        if entry.data_centre == state.data_centre
        and now - entry.heard_at < STATUS_SECONDS
        for row in entry.queued
    )
    return (own + neighbours) / capacity


def prospect_fields(job: JobState) -> dict[str, object]:
    """Return log fields on what was predicted for a job, and what stood before it."""
    prospect = job.prospect
    if prospect is None:
        return {}
    demand = prospect.demand
    return {
        "predicted_wait": round(prospect.wait, 4),
        "wait_margin": round(prospect.margin, 3),
        "drain_rate": round(prospect.rate),
        "needed_cpu": demand.cpu,
        "ahead_cpu": demand.ahead_cpu,
        "neighbours_cpu": demand.neighbours_cpu,
        "fitting_cpu": demand.free_cpu,
        "elsewhere_cpu": demand.elsewhere_cpu,
    }
