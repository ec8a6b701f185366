"""Distinguish jobs that can never run from jobs that can't run now.

Load pattern: jobs whose labels or sizes no worker satisfies. If they were accepted,
they would wait until their deadline, be refused, and be retried without end. If a job
were refused for good while its only worker restarts, its caller would give up on work
that could run a second later.

A job never fits if some task of it could not run, even on an idle worker, on any known
worker of the service or on any that left recently. Any other misfit is temporary, and
the refusal contains a retry delay.
"""

import msgspec

from cactuswalk.model import (
    Announcement,
    Job,
    Refusal,
    RefusalCode,
    SelectorError,
    TaskSpec,
    matches,
    parse_selector,
    worker_labels,
)

__all__ = ["DepartedWorkers", "check_fit", "misfit_reason"]

# A worker that left within this time may return: each of the 1,100 restarts and
# replacements a day finishes well within the hour.
DEPARTED_TTL_SECONDS = 3600.0
MAX_DEPARTED = 256

# A restarted worker announces itself about a second after its start.
RETRY_AFTER_MS = 1000


class DepartedWorkers(msgspec.Struct):
    """Recently departed workers, by name, with the time of departure."""

    workers: dict[str, tuple[Announcement, float]] = msgspec.field(default_factory=dict)

    def add(self, announcement: Announcement, now: float) -> None:
        """Add a worker that has left; drop the oldest above MAX_DEPARTED."""
        self.workers.pop(announcement.worker, None)
        self.workers[announcement.worker] = (announcement, now)
        if len(self.workers) > MAX_DEPARTED:
            del self.workers[next(iter(self.workers))]

    def recent(self, now: float) -> list[Announcement]:
        """Return the workers that left within DEPARTED_TTL_SECONDS."""
        oldest = now - DEPARTED_TTL_SECONDS
        return [
            announcement
            for announcement, left in self.workers.values()
            if left >= oldest
        ]


def misfit_reason(announcement: Announcement, job: Job, spec: TaskSpec) -> str:
    """Return why a worker can never run a task, empty if it could when idle."""
    if announcement.service != job.service:
        return f"it serves {announcement.service}, not {job.service}"
    if not matches(parse_selector(job.selector), worker_labels(announcement)):
        return f"its labels do not match {job.selector!r}"
    capacity = announcement.capacity
    if capacity.memory_mb and spec.memory_mb > capacity.memory_mb:
        return f"a task needs {spec.memory_mb} MB, it has {capacity.memory_mb} MB"
    if spec.accelerators > capacity.accelerators:
        found = capacity.accelerators
        return f"a task needs {spec.accelerators} accelerators, it has {found}"
    if min(capacity.slots, capacity.connections) < 1:
        return "it has no slots"
    return ""


def largest_needs(tasks: list[TaskSpec]) -> TaskSpec:
    """Return a spec with the largest value of each resource of these tasks."""
    memory_mb = max(task.memory_mb for task in tasks)
    accelerators = max(task.accelerators for task in tasks)
    return TaskSpec(b"", 0, memory_mb, accelerators)


def check_fit(
    job: Job, present: list[Announcement], departed: list[Announcement]
) -> Refusal | None:
    """Return why these workers can't run a job, None if they can.

    :param present: announcements of the present workers, of any service.
    :param departed: announcements of workers that left recently.
    """
    try:
        parse_selector(job.selector)
    except SelectorError as error:
        # Entries validate selectors. An entry of another release may accept a selector
        # that this release can't parse, and the owner must not fail over it.
        return Refusal(RefusalCode.NEVER_FITS, error.message)
    here = [
        announcement for announcement in present if announcement.service == job.service
    ]
    departed_here = [
        announcement for announcement in departed if announcement.service == job.service
    ]
    if not here:
        return Refusal(
            RefusalCode.NO_WORKER_NOW,
            f"no worker of {job.service} is available now",
            RETRY_AFTER_MS,
        )
    ready = [announcement for announcement in here if announcement.ready]
    if any(
        not misfit_reason(announcement, job, largest_needs(job.tasks))
        for announcement in ready
    ):
        return None
    for spec in distinct_sizes(job.tasks):
        if any(not misfit_reason(announcement, job, spec) for announcement in ready):
            continue
        return misfit_refusal(job, spec, here, departed_here)
    return None


def distinct_sizes(tasks: list[TaskSpec]) -> list[TaskSpec]:
    """Return one task of each size."""
    sizes = {(task.memory_mb, task.accelerators): task for task in tasks}
    return list(sizes.values())


def misfit_refusal(
    job: Job,
    spec: TaskSpec,
    here: list[Announcement],
    departed_here: list[Announcement],
) -> Refusal:
    """Return the refusal of a job with a task that no ready worker can run."""
    if any(
        not misfit_reason(announcement, job, spec)
        for announcement in here + departed_here
    ):
        return Refusal(
            RefusalCode.NO_WORKER_NOW,
            f"the workers of {job.service} that could run it are unavailable",
            RETRY_AFTER_MS,
        )
    reason = misfit_reason(here[0], job, spec)
    return Refusal(
        RefusalCode.NEVER_FITS,
        f"none of the {len(here)} workers of {job.service} can ever run it; "
        f"{here[0].worker}: {reason}",
    )
