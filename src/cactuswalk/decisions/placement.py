"""Choose a worker for a task; a task is bound only when a slot is free.

Load pattern: heavy-tailed run times. A policy that binds each task on arrival to a
worker's own queue puts some behind a task of several seconds while slots elsewhere are
free. Here a task waits in its lane until a slot is free: with exact knowledge of the
cell this equals one shared queue over all slots, apart from the message delay.

The free worker with the smallest used part of its slots is chosen; ties go to the rack
with the smallest used part, so that the loss of a rack costs no more than its share of
the work. Slow workers and workers on trial come last, except for idempotent requests,
which a trial can't harm. Only workers with a free slot are examined, so a full cell
costs nothing.
"""

import msgspec

from cactuswalk.decisions.affinity import choose_preferred
from cactuswalk.decisions.ejection import Health
from cactuswalk.model import Announcement, Job, matches, parse_selector, worker_labels

__all__ = [
    "Choice",
    "Group",
    "Pool",
    "Rack",
    "RunningTask",
    "Worker",
    "choose_worker",
    "shortage_reason",
]


class RunningTask(msgspec.Struct, eq=False):
    """A task that holds a slot, and the resources reserved for it.

    :param charged: slot seconds charged to its team and caller.
    :param memory_mb: corrected memory that is reserved.
    :param owner: the scheduler's ``QueuedJob`` of its job.
    :param lane: the lane that it was queued in.
    """

    index: int
    started_at: float
    charged: float
    memory_mb: float
    accelerators: int
    owner: object
    lane: object


class Rack(msgspec.Struct, eq=False):
    """The slots of a service in one rack."""

    slots: int = 0
    running: int = 0

    @property
    def load(self) -> float:
        """Return the used part of the slots."""
        return self.running / self.slots if self.slots else 1.0


class Worker(msgspec.Struct, eq=False):
    """The scheduler's state of a worker.

    :param usable: the owner may start tasks there now.
    :param usable_slots: slots that count as capacity; 0 while it is unavailable.
    :param free: slots that can take a task now.
    :param memory_mb: memory reserved by its running tasks.
    :param accelerators: accelerators reserved by its running tasks.
    :param inherited: tasks that an earlier owner started there; each holds a slot, and
        nothing else is known of them.
    """

    announcement: Announcement
    labels: dict[str, str]
    usable: bool
    rack: Rack
    drained: bool = False
    health: Health = msgspec.field(default_factory=Health)
    running: dict[tuple[str, int], RunningTask] = msgspec.field(default_factory=dict)
    inherited: set[tuple[str, int]] = msgspec.field(default_factory=set)
    groups: list["Group"] = msgspec.field(default_factory=list)
    memory_mb: float = 0.0
    accelerators: int = 0
    usable_slots: int = 0
    free: int = 0

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.announcement.worker

    @property
    def slots(self) -> int:
        """Return its slots, at most its connections: each task holds one of both."""
        capacity = self.announcement.capacity
        return min(capacity.slots, capacity.connections)

    @property
    def load(self) -> float:
        """Return the used part of its slots."""
        return self.held / self.slots if self.slots else 1.0

    @property
    def held(self) -> int:
        """Return the number of used slots."""
        return len(self.running) + len(self.inherited)

    def unavailable_reason(self, mean: float, now: float) -> str:
        """Return why it takes no tasks now, an empty text if it does."""
        if not self.announcement.ready:
            return "its upstream is not ready"
        if not self.usable:
            return "the owner has not heard from it lately"
        if self.drained:
            return "it is drained"
        oldest = next(iter(self.running.values()), None)
        started = oldest.started_at if oldest else now
        if self.health.is_hung(len(self.running), started, mean, now):
            return "it hangs: none of its tasks has ended for too long"
        return self.health.unavailable_reason(now)


class Group(msgspec.Struct, eq=False):
    """The workers of a service that match one selector.

    :param open: members with a free slot, by name.
    :param slots: usable slots of all members.
    """

    members: dict[str, Worker] = msgspec.field(default_factory=dict)
    open: dict[str, Worker] = msgspec.field(default_factory=dict)
    slots: int = 0


class Choice(msgspec.Struct):
    """The worker chosen for a task, and the reason for the log."""

    worker: Worker
    reason: str


def shortage_reason(worker: Worker, memory_mb: float, accelerators: int) -> str:
    """Return why a worker's free resources don't suffice for a task, empty if they do.

    A task whose corrected memory exceeds the whole worker, but whose declared memory
    doesn't, may run there alone: otherwise the correction could turn a job of a kind
    that ran yesterday into one that never fits.
    """
    capacity = worker.announcement.capacity
    alone = not worker.running
    if capacity.memory_mb and memory_mb and not alone:
        if worker.memory_mb + memory_mb > capacity.memory_mb:
            return "too little of its memory is free"
    if worker.accelerators + accelerators > capacity.accelerators:
        return "too few of its accelerators are free"
    return ""


class Pool:
    """The workers of a cell, grouped by the selectors that are in use."""

    def __init__(self) -> None:
        self.workers: dict[str, Worker] = {}
        self.groups: dict[tuple[str, str], Group] = {}
        self.racks: dict[tuple[str, str], Rack] = {}

    def put(self, announcement: Announcement, usable: bool) -> Worker:
        """Add a worker, or update a known one from its announcement."""
        known = self.workers.get(announcement.worker)
        if known is not None:
            self.detach(known)
        rack_key = (announcement.service, announcement.rack)
        rack = self.racks.setdefault(rack_key, Rack())
        if known is None:
            labels = worker_labels(announcement)
            known = Worker(announcement, labels, usable, rack)
        known.announcement = announcement
        known.labels = worker_labels(announcement)
        known.usable = usable
        known.rack = rack
        rack.slots += known.slots
        rack.running += len(known.running)
        self.workers[announcement.worker] = known
        for (service, selector), group in self.groups.items():
            if self.is_member(known, service, selector):
                self.add_to_group(known, group)
        return known

    def remove(self, name: str) -> Worker | None:
        """Remove a worker and return it."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.detach(worker)
        return worker

    def detach(self, worker: Worker) -> None:
        """Remove a worker from its groups and its rack."""
        worker.rack.slots -= worker.slots
        worker.rack.running -= len(worker.running)
        for group in worker.groups:
            del group.members[worker.name]
            group.open.pop(worker.name, None)
            group.slots -= worker.usable_slots
        worker.groups = []
        worker.usable_slots = worker.free = 0

    def add_to_group(self, worker: Worker, group: Group) -> None:
        """Add a worker to a group."""
        group.members[worker.name] = worker
        group.slots += worker.usable_slots
        worker.groups.append(group)
        if worker.free > 0:
            group.open[worker.name] = worker

    def is_member(self, worker: Worker, service: str, selector: str) -> bool:
        """Return whether a worker belongs to the group of a service and selector."""
        if worker.announcement.service != service:
            return False
        return matches(parse_selector(selector), worker.labels)

    def group(self, service: str, selector: str) -> Group:
        """Return the group of a selector; create it on first use."""
        known = self.groups.get((service, selector))
        if known is None:
            known = self.groups[service, selector] = Group()
            for worker in self.workers.values():
                if self.is_member(worker, service, selector):
                    self.add_to_group(worker, known)
        return known

    def drop_group(self, service: str, selector: str) -> None:
        """Delete a group that no queued task uses."""
        group = self.groups.pop((service, selector), None)
        if group is None:
            return
        for worker in group.members.values():
            worker.groups.remove(group)

    def refresh(self, worker: Worker, mean: float, now: float) -> None:
        """Update a worker's usable and free slots, and those of its groups."""
        usable_slots = 0
        if not worker.unavailable_reason(mean, now):
            usable_slots = worker.health.usable_slots(worker.slots)
        free = max(0, usable_slots - worker.held)
        change = usable_slots - worker.usable_slots
        worker.usable_slots, worker.free = usable_slots, free
        for group in worker.groups:
            group.slots += change
            if free > 0:
                group.open[worker.name] = worker
            else:
                group.open.pop(worker.name, None)

    def occupy(self, worker: Worker, submission: str, task: RunningTask) -> None:
        """Assign a slot, memory and accelerators to a task."""
        worker.running[submission, task.index] = task
        worker.rack.running += 1
        worker.memory_mb += task.memory_mb
        worker.accelerators += task.accelerators

    def release(
        self, worker: Worker, submission: str, index: int
    ) -> RunningTask | None:
        """Release what a task held; return the task, None if it held nothing."""
        task = worker.running.pop((submission, index), None)
        if task is None:
            return None
        worker.rack.running -= 1
        worker.memory_mb -= task.memory_mb
        worker.accelerators -= task.accelerators
        return task


def choose_worker(
    group: Group,
    job: Job,
    memory_mb: float,
    accelerators: int,
    reserved: Worker | None = None,
) -> Choice | None:
    """Return the best worker of a group with room for a task, None if none has.

    :param reserved: a worker that is reserved for another task.
    """
    candidates = [
        worker
        for worker in group.open.values()
        if worker is not reserved
        and not shortage_reason(worker, memory_mb, accelerators)
    ]
    if not candidates:
        return None
    can_try_unhealthy = job.request and job.idempotent
    if can_try_unhealthy:
        for worker in candidates:
            if worker.health.is_on_trial and not worker.running:
                return Choice(worker, "trial of a returning worker")
    healthy = [worker for worker in candidates if is_healthy(worker)]
    if not healthy:
        return Choice(min(candidates, key=load_order), "no healthy worker is free")
    if job.key:
        worker = choose_preferred(job.key, healthy)
        if worker is not None:
            return Choice(worker, "preferred worker of its key")
    return Choice(min(healthy, key=load_order), "least loaded of the free workers")


def is_healthy(worker: Worker) -> bool:
    """Return whether a worker is neither slow nor on trial."""
    return not worker.health.is_slow and worker.health.trial_slots is None


def load_order(worker: Worker) -> tuple[float, float]:
    """Sort key: a worker's load, then the load of its rack."""
    return worker.load, worker.rack.load
