"""Changes of the configuration that take effect on jobs that wait already."""

import msgspec

from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.jobstate import JobState
from cactuswalk.dispatch.ordering import compute_time_limits
from cactuswalk.dispatch.routing import Queue, Queues

__all__ = ["update_waiting_jobs"]


def update_waiting_jobs(state: EntryState, queues: Queues) -> None:
    """Apply changed priorities and targets to the jobs that have not started.

    An operator who raises a queue's priority in an overload wants it to help the jobs
    that are waiting. A job keeps its service, and its queue if the configuration has
    dropped it: it was accepted for these.
    """
    changed = 0
    for job in state.jobs.values():
        queue = queues.by_name.get(job.queue.name)
        if queue is None or job.has_started:
            continue
        queue = msgspec.structs.replace(queue, service=job.queue.service)
        if queue != job.queue:
            _apply_queue(job, queue)
            changed += 1
    if changed:
        state.placement_needed = True
        state.say("applied the configuration to waiting jobs", jobs=changed)


def _apply_queue(job: JobState, queue: Queue) -> None:
    job.queue = queue
    limits = compute_time_limits(queue, job.expected_seconds, job.arrived_at)
    job.latest_start_at, job.due_at = limits.latest_start_at, limits.due_at
