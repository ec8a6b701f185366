"""The state that the decisions of one cell share, and its bookkeeping."""

from cactuswalk.decisions.ejection import HealthEvent, blames_worker
from cactuswalk.decisions.fitting import Departed, misfit
from cactuswalk.decisions.joborder import JobOrder
from cactuswalk.decisions.placement import Pool, RunningTask, Worker
from cactuswalk.decisions.queueing import Lane, QueuedJob
from cactuswalk.decisions.service import Service
from cactuswalk.model import Job, TaskSpec

__all__ = ["CellState"]


class CellState:
    """Workers, services and jobs of a cell.

    :param hedgeable: running requests that may be hedged, oldest first.
    """

    def __init__(self, order: JobOrder) -> None:
        self.order = order
        self.opened = 0
        self.pool = Pool()
        self.departed = Departed()
        self.services: dict[str, Service] = {}
        self.jobs: dict[str, QueuedJob] = {}
        self.hedgeable: dict[str, tuple[Worker, RunningTask]] = {}

    def open(self, job: Job, queued_at: float, deadline: float) -> QueuedJob:
        """Return the entry of a job, with nothing queued yet."""
        state = self.service(job.service)
        expected = [state.durations.predict(task.duration_ms) for task in job.tasks]
        slots = self.pool.group(job.service, job.selector).slots
        self.opened += 1
        place = self.order(queued_at, deadline, expected, slots)
        order = (place, self.opened)
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
        """Return the slots that could hold tasks like this one at a time."""
        group = self.pool.group(job.service, job.selector)
        if not spec.memory_mb and not spec.accelerators:
            return group.slots
        return sum(
            slots_on(worker, spec)
            for worker in group.members.values()
            if worker.able and not misfit(worker.announcement, job, spec)
        )

    def special_wait(self, queued: QueuedJob) -> float:
        """Return the wait for workers that have what a job's tasks need.

        Most tasks need nothing special, and then it is none.
        """
        special: dict[Lane, TaskSpec] = {}
        own: dict[Lane, float] = {}
        for spec, lane, seconds in zip(
            queued.job.tasks, queued.lanes, queued.expected, strict=True
        ):
            if spec.memory_mb or spec.accelerators:
                special[lane] = spec
                own[lane] = own.get(lane, 0.0) + seconds
        waits = [0.0]
        for lane, spec in special.items():
            slots = self.slots_for(queued.job, spec)
            work = lane.queued_seconds + own[lane]
            if lane.queued + len(own) > slots:
                waits.append(work / max(1, slots))
        return max(waits)

    def withdraw(self, queued: QueuedJob) -> list[int]:
        """Take all queued tasks of a job out of their lanes."""
        state = self.service(queued.job.service)
        taken = []
        for lane in list(queued.pending):
            indexes = lane.clear(queued)
            state.count_out(queued, lane, indexes)
            taken.extend(indexes)
        self.close(queued)
        return sorted(taken)

    def close(self, queued: QueuedJob) -> None:
        """Forget a job that has nothing queued and nothing running."""
        if queued.queued == 0 and queued.running == 0:
            self.jobs.pop(queued.job.submission, None)

    def learn(
        self,
        state: Service,
        worker: Worker,
        task: RunningTask,
        seconds: float,
        now: float,
    ) -> None:
        """Correct what is expected of the service and of the worker."""
        spec = task.owner.job.tasks[task.index]
        relative = seconds / max(0.001, state.durations.predict(spec.duration_ms))
        worker.health.succeed(relative, worker.slots, now)
        state.durations.observe(spec.duration_ms, seconds)
        state.high.observe(seconds)

    def blame(self, worker: Worker, task: RunningTask, now: float) -> None:
        """Hold a failed task against its worker, unless its caller brought it about."""
        queued: QueuedJob = task.owner
        held = now - task.started_at
        if blames_worker(queued.cancelled, held, task.charged, queued.deadline, now):
            name = queued.job.submission
            worker.health.fail(name, self.others(worker, now), now)

    def others(self, worker: Worker, now: float) -> HealthEvent:
        """Return how the other workers of a service are doing."""
        service = worker.announcement.service
        others = [
            other
            for other in self.pool.workers.values()
            if other is not worker and other.announcement.service == service
        ]
        if not others:
            return HealthEvent(1.0, 1.0)
        failing = sum(other.health.failing for other in others) / len(others)
        ejected = sum(now < other.health.ejected_until for other in others)
        return HealthEvent(failing, (ejected + 1) / (len(others) + 1))

    def place(self, worker: Worker, task: RunningTask, now: float) -> None:
        """Let a task hold its slot."""
        self.pool.occupy(worker, task.owner.job.submission, task)
        self.refresh(worker, now)

    def release(self, worker: Worker, submission: str, index: int, now: float) -> None:
        """Take back what a task held, and pay for what it used."""
        task = self.pool.release(worker, submission, index)
        if task is None:
            return
        queued: QueuedJob = task.owner
        state = self.service(queued.job.service)
        state.end(queued, task.lane, task.charged, now - task.started_at)
        self.hedgeable.pop(submission, None)
        self.close(queued)
        self.refresh(worker, now)

    def refresh(self, worker: Worker, now: float) -> None:
        """Reckon again what a worker can take."""
        state = self.service(worker.announcement.service)
        self.pool.refresh(worker, state.durations.mean, now)

    def service(self, name: str) -> Service:
        """Return the state of a service, new if the name is new."""
        known = self.services.get(name)
        if known is None:
            known = self.services[name] = Service.empty(name)
        return known


def slots_on(worker: Worker, spec: TaskSpec) -> int:
    """Return how many tasks like this one a worker holds when it has no others."""
    capacity = worker.announcement.capacity
    slots = worker.able
    if spec.memory_mb and capacity.memory_mb:
        slots = min(slots, capacity.memory_mb // spec.memory_mb)
    if spec.accelerators:
        slots = min(slots, capacity.accelerators // spec.accelerators)
    return slots
