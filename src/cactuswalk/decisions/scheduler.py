"""The scheduler of one cell: binds queued tasks to workers as late as possible.

The owner's reducer calls only this module, which combines the others. Nothing here
sends messages, reads a clock or knows an address.
"""

import random

from cactuswalk.decisions.admission import check_admission
from cactuswalk.decisions.binding import (
    assign_service,
    drop_empty_lanes,
    shed_late_jobs,
)
from cactuswalk.decisions.budget import can_be_repeated
from cactuswalk.decisions.cellstate import CellState
from cactuswalk.decisions.damping import FlapDamping
from cactuswalk.decisions.ejection import MAX_EJECTED_PART
from cactuswalk.decisions.explaining import explain_worker
from cactuswalk.decisions.fairness import MIN_WEIGHT, Quota
from cactuswalk.decisions.fitting import check_fit
from cactuswalk.decisions.guard import GuardAction, Usage, choose_guard_actions
from cactuswalk.decisions.joborder import JobOrder, by_tolerable_delay
from cactuswalk.decisions.placement import Worker
from cactuswalk.decisions.queueing import Lane
from cactuswalk.decisions.secondattempts import start_hedges
from cactuswalk.decisions.tasks import Assignment, Explanation, QueuedTask, Shed
from cactuswalk.model import Announcement, Job, Refusal, RefusalCode

__all__ = ["Assignment", "Explanation", "QueuedTask", "Scheduler", "Shed"]

# Interval at which all workers are checked for changes that come with time alone (an
# ejection that ends, a worker that hangs): two ticks of the runtime.
REVIEW_SECONDS = 0.1

# Seed of the default generator, so that runs can be repeated.
DEFAULT_SEED = 20261202


class Scheduler:
    """Admits, queues, assigns and sheds the jobs of one cell.

    :param generator: draws the jitter of retry delays.
    :param order: the order of jobs with the same fair-share level.
    """

    def __init__(
        self,
        generator: random.Random | None = None,
        order: JobOrder = by_tolerable_delay,
    ) -> None:
        self.generator = generator or random.Random(DEFAULT_SEED)
        self.cell = CellState(order)
        self.damping = FlapDamping()
        self.next_review = 0.0

    # Workers.

    def set_worker(self, announcement: Announcement, usable: bool, now: float) -> None:
        """Add a worker, or update a known one from its announcement.

        A worker that left this cell recently and returns begins on trial: it may be
        cold, or may have left because of a fault.
        """
        is_new = announcement.worker not in self.cell.pool.workers
        worker = self.cell.pool.put(announcement, usable)
        if is_new and self.has_departed_recently(announcement, now):
            worker.health.begin_trial()
            self._suppress_flapping(worker, now)
        self.cell.refresh_capacity(worker, now)

    def has_departed_recently(self, announcement: Announcement, now: float) -> bool:
        """Return whether a worker has recently left this cell."""
        name = announcement.worker
        return any(
            departed.worker == name for departed in self.cell.departed.recent(now)
        )

    def _suppress_flapping(self, worker: Worker, now: float) -> None:
        """Suppress a worker that repeatedly dies.

        Not if too many workers would be out: when all hosts of a cell restart together,
        none is worse than the others.
        """
        until = self.damping.suppressed_until(worker.name, now)
        if self.cell.peer_health(worker, now).ejected_part <= MAX_EJECTED_PART:
            worker.health.ejected_until = until

    def record_worker_death(self, worker: str, now: float) -> None:
        """Record that a worker has died without a planned stop."""
        self.damping.record_death(worker, now)

    def remove_worker(self, worker: str, now: float) -> None:
        """Remove a worker; the owner settles the tasks that run there."""
        known = self.cell.pool.workers.get(worker)
        if known is None:
            return
        for submission, index in list(known.running):
            self.cell.release(known, submission, index, now)
        self.cell.pool.remove(worker)
        self.cell.departed.add(known.announcement, now)

    def set_drained(self, worker: str, drained: bool, now: float) -> None:
        """Stop or resume assigning tasks to a worker."""
        known = self.cell.pool.workers.get(worker)
        if known is not None:
            known.drained = drained
            self.cell.refresh_capacity(known, now)

    def set_quota(
        self,
        service: str,
        team: str,
        weight: float = 1.0,
        maximum_running: int | None = None,
    ) -> None:
        """Apply a team's weight and limit in a service."""
        state = self.cell.service(service)
        quota = Quota(max(weight, MIN_WEIGHT), maximum_running)
        state.teams.set_quota(team, quota)
        for lane in state.lanes.values():
            lane.unpark(team)

    def process_usage_report(
        self, worker: str, usages: list[Usage], now: float
    ) -> dict[str, GuardAction]:
        """Process a delayed usage report of a worker; return the guard's actions."""
        known = self.cell.pool.workers.get(worker)
        if known is None:
            return {}
        declared = sum(usage.declared_mb for usage in usages)
        used = sum(usage.used_mb for usage in usages if usage.declared_mb)
        state = self.cell.service(known.announcement.service)
        state.sizes.observe(declared, used)
        capacity = known.announcement.capacity
        return choose_guard_actions(usages, capacity.memory_mb, capacity.slots)

    # Jobs.

    def admit(self, job: Job, deadline: float, now: float) -> Refusal | None:
        """Queue a whole job, or return why none of it is accepted.

        A submission that is known already is accepted again without effect.

        :param deadline: on the owner's monotonic clock, in seconds.
        """
        if job.submission in self.cell.jobs:
            return None
        present = [worker.announcement for worker in self.cell.pool.workers.values()]
        refusal = check_fit(job, present, self.cell.departed.recent(now))
        if refusal is not None:
            return refusal
        queued = self.cell.new_queued_job(job, now, deadline)
        state = self.cell.service(job.service)
        group = self.cell.pool.group(job.service, job.selector)
        free = sum(worker.free for worker in group.open.values())
        constrained_wait = self.cell.constrained_wait(queued)
        backlog = state.backlog(queued, group.slots, free, constrained_wait, now)
        refusal = check_admission(backlog, deadline - now, self.generator.random())
        if not backlog.sustained:
            late = refusal is not None and refusal.code is RefusalCode.OVERLOADED
            state.overload.record_admission(late)
        if refusal is not None:
            return refusal
        queued.in_peak = not backlog.sustained
        if backlog.sustained:
            queued.predicted_wait = backlog.wait / backlog.margin
        self.cell.jobs[job.submission] = queued
        by_lane: dict[Lane, list[int]] = {}
        for index, lane in enumerate(queued.lanes):
            by_lane.setdefault(lane, []).append(index)
        for lane, indexes in by_lane.items():
            state.enqueue(queued, lane, indexes, now)
        state.deadlines.add(queued, state.jobs_queued)
        return None

    def requeue(self, task: QueuedTask, worker: str, now: float) -> None:
        """Put a task that its worker has declined back at the front.

        A task that is queued already stays as it is: a decline that the network
        duplicates would otherwise queue the task twice, and start it twice.
        """
        submission = task.job.submission
        queued = self.cell.jobs.get(submission)
        if queued is None:
            queued = self.cell.new_queued_job(task.job, task.queued_at, task.deadline)
            self.cell.jobs[submission] = queued
        state = self.cell.service(task.job.service)
        lane = queued.lanes[task.index]
        lane = queued.lanes[task.index] = state.lanes.setdefault(lane.key, lane)
        if task.index in queued.pending.get(lane, ()):
            return
        state.enqueue(queued, lane, [task.index], now, front=True)
        state.deadlines.add(queued, state.jobs_queued)
        known = self.cell.pool.workers.get(worker)
        if known is not None and (submission, task.index) in known.inherited:
            known.inherited.discard((submission, task.index))
            self.cell.refresh_capacity(known, now)
        if known is not None and (submission, task.index) in known.running:
            known.health.record_decline(now)
            self.cell.release(known, submission, task.index, now)

    def inherit(self, submission: str, index: int, worker: str, now: float) -> None:
        """Count a task that an earlier owner started against its worker's slots."""
        known = self.cell.pool.workers.get(worker)
        if known is not None:
            known.inherited.add((submission, index))
            self.cell.refresh_capacity(known, now)

    def record_result(
        self,
        submission: str,
        index: int,
        worker: str,
        succeeded: bool,
        elapsed_ms: int,
        now: float,
        excused: bool = False,
    ) -> None:
        """Release what a task held on a worker, and learn from its outcome.

        :param excused: it failed, but not through its worker's fault.
        """
        known = self.cell.pool.workers.get(worker)
        if known is None:
            return
        if (submission, index) in known.inherited:
            known.inherited.discard((submission, index))
            self.cell.refresh_capacity(known, now)
            return
        if (submission, index) not in known.running:
            return
        task = known.running[submission, index]
        service = task.owner.job.service
        state = self.cell.service(service)
        if succeeded:
            self.cell.learn_from_success(state, known, task, elapsed_ms / 1000, now)
        elif not excused:
            self.cell.attribute_failure(known, task, now)
        self.cell.release(known, submission, index, now)

    def cancel(self, submission: str, now: float) -> list[QueuedTask]:
        """Remove the queued tasks of a submission and return them."""
        queued = self.cell.jobs.get(submission)
        if queued is None:
            return []
        queued.cancelled = True
        indexes = self.cell.withdraw(queued)
        return [queued.task(index) for index in indexes]

    # Decisions.

    def assign(self, now: float) -> list[Assignment | Shed]:
        """Return all tasks that can be started or must be refused now."""
        if now >= self.next_review:
            self.review(now)
        decided: list[Assignment | Shed] = []
        for state in self.cell.services.values():
            if state.queued:
                shed_late_jobs(self.cell, state, now, decided)
                assign_service(self.cell, state, now, decided)
        return decided

    def review(self, now: float) -> None:
        """Update all workers for changes that come with time alone."""
        self.next_review = now + REVIEW_SECONDS
        for worker in self.cell.pool.workers.values():
            self.cell.refresh_capacity(worker, now)
        for state in self.cell.services.values():
            state.sample_running()
            drop_empty_lanes(self.cell, state)

    # Second attempts.

    def may_retry(self, task: QueuedTask, now: float) -> bool:
        """Return whether a failed request may be retried; spend a retry token if so."""
        if not can_be_repeated(task.job) or now >= task.deadline:
            return False
        return self.cell.service(task.job.service).retries.spend()

    def start_hedges(
        self, now: float, services: frozenset[str] | None = None
    ) -> list[Assignment]:
        """Start and return hedges of stragglers, on idle slots and within the budget.

        The owner takes the first answer. Each attempt ends with ``record_result``.

        :param services: services to hedge; None for all.
        """
        return start_hedges(self.cell, now, services)

    # Reports.

    def count_free_slots(self) -> dict[str, int]:
        """Return the number of free slots per service."""
        free: dict[str, int] = {}
        for worker in self.cell.pool.workers.values():
            service = worker.announcement.service
            free[service] = free.get(service, 0) + worker.free
        return free

    def count_queued(self) -> dict[str, int]:
        """Return the number of queued tasks per service."""
        return {
            name: state.queued
            for name, state in self.cell.services.items()
            if state.queued
        }

    def explain(self, job: Job, now: float) -> list[Explanation]:
        """Explain for each worker whether it could take the job, and why not."""
        return [
            explain_worker(self.cell, worker, job, now)
            for _, worker in sorted(self.cell.pool.workers.items())
        ]
