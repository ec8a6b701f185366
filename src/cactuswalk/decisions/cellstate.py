"""State that the scheduling decisions of one cell share, and its bookkeeping."""

from cactuswalk.decisions.ejection import PeerHealth, is_worker_at_fault
from cactuswalk.decisions.fitting import DepartedWorkers, misfit_reason
from cactuswalk.decisions.joborder import JobOrder
from cactuswalk.decisions.placement import Pool, RunningTask, Worker
from cactuswalk.decisions.queueing import Lane, QueuedJob
from cactuswalk.decisions.service import Service
from cactuswalk.model import Job, TaskSpec

__all__ = ["CellState"]


class CellState:
    """Workers, services and jobs of a cell.

    :param order: the order of jobs with the same fair-share level.
    :param jobs_opened: number of jobs so far; breaks ties in the order.
    :param hedgeable: running requests that may be hedged, oldest first.
    """

    def __init__(self, order: JobOrder) -> None:
        self.order = order
        self.jobs_opened = 0
        self.pool = Pool()
        self.departed = DepartedWorkers()
        self.services: dict[str, Service] = {}
        self.jobs: dict[str, QueuedJob] = {}
        self.hedgeable: dict[str, tuple[Worker, RunningTask]] = {}

    def new_queued_job(self, job: Job, queued_at: float, deadline: float) -> QueuedJob:
        """Return the scheduler's record of a job, with nothing queued yet."""
        state = self.service(job.service)
        expected = [state.durations.predict(task.duration_ms) for task in job.tasks]
        slots = self.pool.group(job.service, job.selector).slots
        self.jobs_opened += 1
        place = self.order(queued_at, deadline, expected, slots)
        order = (place, self.jobs_opened)
        team, caller = state.shares(job.team, job.caller)
        queued = QueuedJob(
            job, queued_at, deadline, order, team, caller, expected, [], {}
        )
        queued.lanes = [
            state.lane(queued, spec, seconds)
            for spec, seconds in zip(job.tasks, expected, strict=True)
        ]
        return queued

    def slots_for(self, job: Job, spec: TaskSpec) -> int:
        """Return how many tasks with this spec the workers can run at once."""
        group = self.pool.group(job.service, job.selector)
        if not spec.memory_mb and not spec.accelerators:
            return group.slots
        return sum(
            slots_for_spec(worker, spec)
            for worker in group.members.values()
            if worker.usable_slots and not misfit_reason(worker.announcement, job, spec)
        )

    def constrained_wait(self, queued: QueuedJob) -> float:
        """Return the predicted wait for workers with the resources a job needs.

        It is 0 for most jobs, which need no memory or accelerators.
        """
        constrained: dict[Lane, TaskSpec] = {}
        job_seconds: dict[Lane, float] = {}
        for spec, lane, seconds in zip(
            queued.job.tasks, queued.lanes, queued.expected, strict=True
        ):
            if spec.memory_mb or spec.accelerators:
                constrained[lane] = spec
                job_seconds[lane] = job_seconds.get(lane, 0.0) + seconds
        waits = [0.0]
        for lane, spec in constrained.items():
            slots = self.slots_for(queued.job, spec)
            work = lane.queued_seconds + job_seconds[lane]
            if lane.queued + len(job_seconds) > slots:
                waits.append(work / max(1, slots))
        return max(waits)

    def withdraw(self, queued: QueuedJob) -> list[int]:
        """Remove all queued tasks of a job from their lanes; return their indexes."""
        state = self.service(queued.job.service)
        removed = []
        for lane in list(queued.pending):
            indexes = lane.clear(queued)
            state.record_removal(queued, lane, indexes)
            removed.extend(indexes)
        self.forget_if_done(queued)
        return sorted(removed)

    def forget_if_done(self, queued: QueuedJob) -> None:
        """Delete the record of a job that has nothing queued and nothing running."""
        if queued.queued == 0 and queued.running == 0:
            self.jobs.pop(queued.job.submission, None)

    def learn_from_success(
        self,
        state: Service,
        worker: Worker,
        task: RunningTask,
        seconds: float,
        now: float,
    ) -> None:
        """Update the service's estimates and the worker's health from a success."""
        spec = task.owner.job.tasks[task.index]
        relative = seconds / max(0.001, state.durations.predict(spec.duration_ms))
        worker.health.record_success(relative, worker.slots, now)
        state.durations.observe(spec.duration_ms, seconds)
        state.high_percentile.observe(seconds)

    def attribute_failure(self, worker: Worker, task: RunningTask, now: float) -> None:
        """Count a failure against its worker, unless the caller caused it."""
        queued: QueuedJob = task.owner
        held = now - task.started_at
        if is_worker_at_fault(
            queued.cancelled, held, task.charged, queued.deadline, now
        ):
            name = queued.job.submission
            worker.health.record_failure(name, self.peer_health(worker, now), now)

    def peer_health(self, worker: Worker, now: float) -> PeerHealth:
        """Return the health of the other workers of the same service."""
        service = worker.announcement.service
        peers = [
            peer
            for peer in self.pool.workers.values()
            if peer is not worker and peer.announcement.service == service
        ]
        if not peers:
            return PeerHealth(1.0, 1.0)
        failure_rate = sum(peer.health.failure_rate for peer in peers) / len(peers)
        ejected = sum(now < peer.health.ejected_until for peer in peers)
        return PeerHealth(failure_rate, (ejected + 1) / (len(peers) + 1))

    def start_task(self, worker: Worker, task: RunningTask, now: float) -> None:
        """Assign a task to a slot of a worker."""
        self.pool.occupy(worker, task.owner.job.submission, task)
        self.refresh_capacity(worker, now)

    def release(self, worker: Worker, submission: str, index: int, now: float) -> None:
        """Release a task's slot and charge the time that it used."""
        task = self.pool.release(worker, submission, index)
        if task is None:
            return
        queued: QueuedJob = task.owner
        state = self.service(queued.job.service)
        state.record_end(queued, task.lane, task.charged, now - task.started_at)
        self.hedgeable.pop(submission, None)
        self.forget_if_done(queued)
        self.refresh_capacity(worker, now)

    def refresh_capacity(self, worker: Worker, now: float) -> None:
        """Update how many slots a worker offers."""
        state = self.service(worker.announcement.service)
        self.pool.refresh(worker, state.durations.mean, now)

    def service(self, name: str) -> Service:
        """Return the state of a service; create it if the name is new."""
        known = self.services.get(name)
        if known is None:
            known = self.services[name] = Service.empty(name)
        return known


def slots_for_spec(worker: Worker, spec: TaskSpec) -> int:
    """Return how many tasks with this spec an otherwise empty worker can run."""
    capacity = worker.announcement.capacity
    slots = worker.usable_slots
    if spec.memory_mb and capacity.memory_mb:
        slots = min(slots, capacity.memory_mb // spec.memory_mb)
    if spec.accelerators:
        slots = min(slots, capacity.accelerators // spec.accelerators)
    return slots
