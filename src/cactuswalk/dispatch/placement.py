"""Choice of the worker that runs a task.

Load pattern: workers' speeds differ by half, some become several times slower for
seconds, and the last task of a wide job decides when its caller is answered. If tasks
went to any worker with free capacity, most wide jobs would have one on the slowest.

Several entries share the workers, and each learns of the others' starts with a delay.
If all chose the fastest worker with free capacity, their starts would collide there
and be declined. So a task goes to the worker with the lowest cost, which grows with
the worker's run times and with its utilization: on a worker that is a quarter slower
a task is still on time, after a wait of a tenth of a second it may not be. Workers in
the entry's own data centre are preferred: fewer entries share them, and traffic between
data centres is paid for.

Load pattern: in a burst all workers are full of tasks of a second or two, and a lookup
of eight tasks gets capacity for only some of them in the seventh of a second that it
can wait, even at the head of the queue. So while urgent jobs arrive, less urgent ones
leave a share of each worker free.
"""

import operator
import statistics

from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.crashes import is_suspect
from cactuswalk.dispatch.job import Step
from cactuswalk.dispatch.jobstate import TaskState
from cactuswalk.dispatch.leaving import can_finish_in_time

__all__ = [
    "WorkerChooser",
    "any_large_enough",
    "can_ever_run",
    "compute_relative_paces",
    "has_own_choice",
]

# Cost factor of a worker in another data centre.
REMOTE_FACTOR = 1.3

# Added to the free fraction in the cost's divisor. A full worker costs
# (FULL_WORKER_WEIGHT + 1) / FULL_WORKER_WEIGHT times as much as an empty one, twice
# the factor between the slowest and the fastest healthy worker.
FULL_WORKER_WEIGHT = 0.4

# A worker with run times above this multiple of the median gets probe tasks only: a job
# is on time within 1.6 times its run time.
SLOW_FACTOR = 2.0

# Share of each worker that less urgent tasks leave free. With more, long tasks lose
# more than short ones gain.
RESERVED_SHARE = 0.1

# Tasks that each entry sends to a slow worker at a time, to detect its recovery.
MAX_PROBES = 1


def compute_relative_paces(views: list[AgentView]) -> dict[str, float]:
    """Return each worker's run times relative to the median worker's."""
    if not views:
        return {}
    middle = statistics.median(view.report.pace for view in views) or 1.0
    return {view.address: view.report.pace / middle for view in views}


class WorkerChooser:
    """Chooses workers for the tasks of one placement round.

    :param live_views: agents that have reported recently.
    :param views: those of them whose workers accept tasks.
    :param paces: workers' run times relative to the median worker's, by address.
    :param data_centre: the entry's own.
    :param far_factor: by which a task takes longer outside its data's rack.
    :param urgent_priorities: by service, the most urgent priority of recent jobs.
    """

    def __init__(
        self,
        live_views: list[AgentView],
        views: list[AgentView],
        paces: dict[str, float],
        data_centre: str,
        far_factor: float,
        urgent_priorities: dict[str, int],
    ) -> None:
        self.live_views = live_views
        self.urgent_priorities = urgent_priorities
        self.paces = paces
        self.data_centre = data_centre
        self.far_factor = far_factor
        self.views = views
        # By service, and whether a share is reserved, the last size that no worker
        # could take; equal or larger tasks are skipped. In a burst hundreds of tasks
        # wait, and trying each of them on all workers in every round would take longer
        # than placing those that fit.
        self.unplaceable_sizes: dict[tuple[str, bool], tuple[int, int, int]] = {}

    def choose_worker(self, task: TaskState, service: str) -> AgentView | None:
        """Return the agent for a task, or None if the task has to wait."""
        step = task.step
        size = (step.cpu, step.memory_mb, step.gpu)
        reserves_room = self._reserves_room(task, service)
        least = self.unplaceable_sizes.get((service, reserves_room))
        if least is not None and all(map(operator.ge, size, least)):
            return None
        best = self._find_cheapest(task, service, reserves_room)
        if best is None and not (step.label or step.per_worker or has_own_choice(task)):
            self.unplaceable_sizes[service, reserves_room] = size
        return best

    def _find_cheapest(
        self, task: TaskState, service: str, reserves_room: bool
    ) -> AgentView | None:
        trusted_only = self._needs_trusted_worker(task, service)
        best = None
        best_cost = 0.0
        step = task.step
        for view in self.views:
            cpu = step.cpu
            if cpu > view.free_cpu:
                continue
            # An empty worker takes any task: one that needs the whole worker would
            # never fit beside the reserved share.
            if reserves_room and not view.is_empty():
                cpu += int(RESERVED_SHARE * view.report.cpu)
            if not view.fits(cpu, step.memory_mb, step.gpu):
                continue
            if not self._is_eligible(view, task, service):
                continue
            if trusted_only and not _is_trusted(view, task):
                continue
            cost = self._cost(view, task)
            if best is None or cost < best_cost:
                best, best_cost = view, cost
        return best

    def _needs_trusted_worker(self, task: TaskState, service: str) -> bool:
        """Return whether a task's last attempt is reserved for a trusted worker.

        A worker that fails every task has the most free capacity. The last attempt
        would go there again, and the job would fail though other workers could run it.
        """
        if not task.failures or task.failures + 1 < task.job.queue.attempts:
            return False
        trusted = [view for view in self.live_views if _is_trusted(view, task)]
        return any(is_large_enough(view, task.step, service) for view in trusted)

    def _reserves_room(self, task: TaskState, service: str) -> bool:
        """Return whether a task leaves the reserved share to more urgent ones."""
        priority = task.job.queue.priority
        return priority > self.urgent_priorities.get(service, priority)

    def _cost(self, view: AgentView, task: TaskState) -> float:
        cost = self.paces[view.address]
        if view.report.data_centre != self.data_centre:
            cost *= REMOTE_FACTOR
        cost /= FULL_WORKER_WEIGHT + view.free_fraction()
        if task.step.rack and task.step.rack not in view.report.labels:
            cost *= self.far_factor
        if view.address in task.avoided_agents:
            cost *= SLOW_FACTOR
        return cost

    def _is_eligible(self, view: AgentView, task: TaskState, service: str) -> bool:
        step = task.step
        if view.report.service != service:
            return False
        if step.label and step.label not in view.report.labels:
            return False
        if view.report.trial and view.placed:
            return False
        if is_suspect(task.crashed) and view.has_suspect():
            return False
        left_ms = view.report.leaves_in_ms
        if left_ms and not can_finish_in_time(
            step.estimate_ms * view.report.pace, left_ms
        ):
            return False
        if self.paces[view.address] > SLOW_FACTOR and len(view.placed) >= MAX_PROBES:
            return False
        return not step.per_worker or _count_step_tasks(view, task) < step.per_worker


def has_own_choice(task: TaskState) -> bool:
    """Return whether fewer workers may run a task than others of its size."""
    return bool(task.avoided_agents) or is_suspect(task.crashed)


def _is_trusted(view: AgentView, task: TaskState) -> bool:
    """Return whether a worker is healthy and has not failed this task before."""
    return not view.report.trial and view.address not in task.avoided_agents


def _count_step_tasks(view: AgentView, task: TaskState) -> int:
    return sum(
        placed.start.key.job == task.key.job and placed.start.key.step == task.key.step
        for placed in view.placed.values()
    )


def can_ever_run(views: list[AgentView], step: Step, service: str) -> bool:
    """Return whether a known worker of a service is large enough for a task.

    True if no worker of the service is known yet, since one may still appear.
    """
    workers = [view for view in views if view.report.service == service]
    return not workers or any_large_enough(workers, step, service)


def any_large_enough(views: list[AgentView], step: Step, service: str) -> bool:
    """Return whether one of these workers is large enough for a task."""
    return any(is_large_enough(view, step, service) for view in views)


def is_large_enough(view: AgentView, step: Step, service: str) -> bool:
    """Return whether a worker of the service could run a task if it were empty."""
    return (
        view.report.service == service
        and view.report.cpu >= step.cpu
        and (not step.label or step.label in view.report.labels)
    )
