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

import bisect
import math
import operator
import statistics

from cactuswalk.decisions.recovery import count_free_slots
from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.costs import RESERVED_SHARE
from cactuswalk.dispatch.crashes import is_suspect
from cactuswalk.dispatch.expectedends import Choice, ExpectedEnds
from cactuswalk.dispatch.headroom import Headroom
from cactuswalk.dispatch.job import Step
from cactuswalk.dispatch.jobstate import JobState, TaskState
from cactuswalk.dispatch.leaving import can_finish_in_time

__all__ = [
    "SLOW_FACTOR",
    "WorkerChooser",
    "any_large_enough",
    "can_ever_run",
    "has_own_choice",
    "median_pace",
]

# A worker with run times above this multiple of the median gets probe tasks only: a job
# is on time within 1.6 times its run time.
SLOW_FACTOR = 2.0

# Tasks that each entry sends to a slow worker at a time, to detect its recovery.
MAX_PROBES = 1


BY_COST = operator.attrgetter("cost")
BY_COST_AND_NUMBER = operator.attrgetter("cost", "number")


def median_pace(views: list[AgentView]) -> float:
    """Return the median worker's run times relative to the callers' estimates."""
    paces = [view.report.pace for view in views]
    return statistics.median(paces) or 1.0 if paces else 1.0


class WorkerChooser:
    """Chooses workers for the tasks of one placement round.

    :param views: agents in data centres that are not evacuated.
    :param least_cpu: that a waiting task needs.
    :param slow_pace: pace from which a worker gets probe tasks only.
    :param far_factor: by which a task takes longer outside its data's rack.
    :param urgent_priorities: by service, the most urgent priority of recent jobs.
    :param ends: by which workers are chosen; None to choose them by cost alone.
    :param headroom: the shares that tasks leave free; None for the constant one.
    :ivar ranking: the agents whose workers may have room, the cheapest first.
    """

    def __init__(
        self,
        views: list[AgentView],
        least_cpu: int,
        slow_pace: float,
        far_factor: float,
        urgent_priorities: dict[str, int],
        now: float,
        ends: ExpectedEnds | None = None,
        headroom: Headroom | None = None,
    ) -> None:
        self.views = views
        self.ends = ends
        self.headroom = headroom
        self.slow_pace = slow_pace
        self.far_factor = far_factor
        self.urgent_priorities = urgent_priorities
        self.now = now
        self.ranking = sorted(
            [view for view in views if view.free_cpu >= least_cpu], key=BY_COST
        )
        # By service, the share that is reserved, and the choice by expected end, the
        # last size that no worker could take; equal or larger tasks are skipped. In a
        # burst hundreds of tasks wait, and trying each of them on all workers in every
        # round would take longer than placing those that fit.
        self.unplaceable_sizes: dict[
            tuple[str, float, Choice | None], tuple[int, int, int]
        ] = {}
        if ends is not None:
            ends.rank(self.ranking, views)

    def record_start(self, view: AgentView) -> None:
        """Note that a task was sent to a worker, which costs more from now on."""
        self.ranking.remove(view)
        bisect.insort(self.ranking, view, key=BY_COST_AND_NUMBER)
        if self.ends is not None:
            self.ends.record_start(view)

    def has_room_to_begin(self, job: JobState) -> bool:
        """Return whether a late job's tasks all fit beside the reserved shares.

        A job that has begun can't be refused any more; other jobs begin with any task.
        """
        if job.has_started or not job.is_late:
            return True
        workers = [
            (view.free_cpu, view.report.cpu)
            for view in self.ranking
            if view.report.service == job.queue.service and view.is_open(self.now)
        ]
        task_cpu = max(task.step.cpu for task in job.waiting)
        slots = count_free_slots(workers, task_cpu, RESERVED_SHARE)
        return slots >= len(job.waiting)

    def choose_worker(self, task: TaskState, service: str) -> AgentView | None:
        """Return the agent for a task, or None if the task has to wait."""
        step = task.step
        size = (step.cpu, step.memory_mb, step.gpu)
        reserve = self._reserved_share(task, service)
        choice = self.ends.choice_of(task) if self.ends is not None else None
        kind = (service, reserve, choice)
        least = self.unplaceable_sizes.get(kind)
        if least is not None and all(map(operator.ge, size, least)):
            return None
        if choice is None:
            best = self._find_cheapest(task, service, reserve, self.ranking)
        else:
            best = self._find_by_end(task, service, reserve, choice)
        is_alone = step.label or step.per_worker or has_own_choice(task)
        if best is None and not is_alone and not (choice and step.rack):
            self.unplaceable_sizes[kind] = size
            if choice is not None:
                self.ends.record_narrower(self.unplaceable_sizes, kind, size)
        return best

    def _find_by_end(
        self, task: TaskState, service: str, reserve: float, choice: Choice
    ) -> AgentView | None:
        """Return the first worker of those that the expected ends allow."""
        for ranking, highest_pace in self.ends.rankings(task, choice):
            best = self._find_cheapest(task, service, reserve, ranking, highest_pace)
            if best is not None:
                return None if self.ends.waits_for_rack(task, best) else best
        return None

    def count_fitting(self, task: TaskState, service: str, most: int) -> int:
        """Return how many tasks like one fit the workers now, up to a number."""
        step = task.step
        size = (step.cpu, step.memory_mb, step.gpu)
        reserve = self._reserved_share(task, service)
        choice = self.ends.choice_of(task) if self.ends is not None else None
        least = self.unplaceable_sizes.get((service, reserve, choice))
        if least is not None and all(map(operator.ge, size, least)):
            return 0
        limit = math.inf if choice is None else self.ends.pace_limit(choice)
        count = 0
        for view in self.ranking:
            if view.free_cpu < step.cpu or view.report.service != service:
                continue
            if reserve and not _has_reserve(view, step.cpu, reserve):
                continue
            if not view.fits(step.cpu, step.memory_mb, step.gpu):
                continue
            if self._is_eligible(view, task, limit):
                count += _count_in(view, step, reserve)
                if count >= most:
                    return most
        return count

    def _find_cheapest(
        self,
        task: TaskState,
        service: str,
        reserve: float,
        ranking: list[AgentView],
        highest_pace: float = math.inf,
    ) -> AgentView | None:
        trusted_only = self._needs_trusted_worker(task, service)
        step = task.step
        cpu = step.cpu
        has_preferences = bool(step.rack or task.avoided_agents)
        best = None
        best_cost = math.inf
        for view in ranking:
            if view.cost > best_cost:
                # Preferences make a worker dearer, never cheaper.
                break
            if cpu > view.free_cpu or view.report.service != service:
                continue
            if reserve and not _has_reserve(view, cpu, reserve):
                continue
            if not view.fits(cpu, step.memory_mb, step.gpu):
                continue
            if not self._is_eligible(view, task, highest_pace):
                continue
            if trusted_only and not _is_trusted(view, task):
                continue
            if not has_preferences:
                return view
            cost = self._cost(view, task)
            if cost < best_cost or (cost == best_cost and view.number < best.number):
                best, best_cost = view, cost
        return best

    def _needs_trusted_worker(self, task: TaskState, service: str) -> bool:
        """Return whether a task's last attempt is reserved for a trusted worker.

        A worker that fails every task has the most free capacity. The last attempt
        would go there again, and the job would fail though other workers could run it.
        """
        if not task.failures or task.failures + 1 < task.job.queue.attempts:
            return False
        trusted = [
            view
            for view in self.views
            if view.is_live(self.now) and _is_trusted(view, task)
        ]
        return any(is_large_enough(view, task.step, service) for view in trusted)

    def _reserved_share(self, task: TaskState, service: str) -> float:
        """Return the share of a worker that a task leaves to more urgent ones."""
        share = self._share_by_priority(task.job.queue.priority, service)
        return max(share, RESERVED_SHARE) if task.job.is_late else share

    def _share_by_priority(self, priority: int, service: str) -> float:
        if self.headroom is not None and (service, priority) in self.headroom.shares:
            return self.headroom.shares[service, priority]
        is_urgent = priority <= self.urgent_priorities.get(service, priority)
        return 0.0 if is_urgent else RESERVED_SHARE

    def _cost(self, view: AgentView, task: TaskState) -> float:
        """Return a worker's cost for a task with data in a rack, or avoided agents."""
        cost = view.cost
        if task.step.rack and task.step.rack not in view.report.labels:
            cost *= self.far_factor
        if view.address in task.avoided_agents:
            cost *= SLOW_FACTOR
        return cost

    def _pace_for(self, view: AgentView, step: Step) -> float:
        """Return a worker's pace, longer if it is far from the step's data."""
        pace = view.report.pace
        if step.rack and step.rack not in view.report.labels:
            pace *= self.far_factor
        return pace

    def _is_eligible(
        self, view: AgentView, task: TaskState, highest_pace: float
    ) -> bool:
        if not view.is_open(self.now):
            return False
        step = task.step
        if self._pace_for(view, step) > highest_pace:
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
        if view.report.pace > self.slow_pace and len(view.placed) >= MAX_PROBES:
            return False
        return not step.per_worker or _count_step_tasks(view, task) < step.per_worker


def _has_reserve(view: AgentView, cpu: int, share: float) -> bool:
    """Return whether a task leaves the reserved share of a worker free.

    An empty worker takes any task: one that needs the whole worker would never fit
    beside the reserved share.
    """
    reserve = int(share * view.report.cpu)
    return view.free_cpu >= cpu + reserve or view.is_empty()


def _count_in(view: AgentView, step: Step, reserve: float) -> int:
    """Return how many tasks of a step a worker has room for."""
    free_cpu = view.free_cpu - int(reserve * view.report.cpu)
    if view.report.trial:
        # It takes one task at a time.
        return 1
    count = max(1, free_cpu // max(1, step.cpu))
    if step.memory_mb:
        count = min(count, view.free_memory_mb // step.memory_mb)
    if step.gpu:
        count = min(count, view.free_gpu // step.gpu)
    return min(count, step.per_worker) if step.per_worker else count


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
    is_known = False
    for view in views:
        if is_large_enough(view, step, service):
            return True
        is_known |= view.report.service == service
    return not is_known


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
