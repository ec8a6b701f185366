"""The choice among workers by the expected ends of tasks, in one placement round."""

import bisect
import enum
import math
from collections.abc import Iterator
from typing import NamedTuple

from cactuswalk.decisions.expectedend import (
    ShortestKind,
    class_of,
    highest_pace,
    is_patient,
    patient_cost,
    should_wait_for_rack,
)
from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.job import JobRequest
from cactuswalk.dispatch.jobstate import JobState, TaskState

__all__ = ["Choice", "ExpectedEnds", "Purpose", "task_times"]

# A worker whose run times exceed this multiple of the median ends no usual task in
# time. It gets probes.
PROBED_RATIO = 2.5

# Interval of an entry's probes of a worker while others have capacity: each costs a job
# its due time, and with three entries a recovery is noticed within two seconds.
PROBE_SECONDS = 4.0


class Purpose(enum.Enum):
    """What a task is sent to a worker for."""

    IN_TIME = "in time"
    PROBE = "probe"
    LATE = "late"


class Choice(NamedTuple):
    """What a task's choice of workers depends on.

    :param task_class: by the slowest worker that ends it in time.
    :param is_late: its job has started and is late even at the median worker.
    :param may_probe: it may run at a worker that is far too slow.
    """

    task_class: int
    is_late: bool
    may_probe: bool


class ExpectedEnds:
    """Says which workers may run a task, in which order they are tried.

    :param shortest: kinds of recent jobs.
    :param median_pace: of the known workers.
    :param far_factor: by which a task takes longer outside its data's rack.
    :ivar purpose: of the ranking that was yielded last.
    :ivar patient: the agents in the order in which patient tasks try them; None until
        there is such a task.
    :ivar smallest_cpu: of a known worker, in thousandths of a core.
    :ivar probed: agents whose workers are far too slow, and empty.
    """

    def __init__(
        self,
        shortest: ShortestKind,
        median_pace: float,
        far_factor: float,
        now: float,
    ) -> None:
        self.shortest = shortest
        self.median_pace = median_pace
        self.far_factor = far_factor
        self.now = now
        self.purpose = Purpose.IN_TIME
        self.views: list[AgentView] = []
        self.ranking: list[AgentView] = []
        self.patient: list[AgentView] | None = None
        self.smallest_cpu = 0
        self.probed: list[AgentView] = []

    def rank(self, ranking: list[AgentView], views: list[AgentView]) -> None:
        """Take over the agents that may have room, the cheapest first."""
        self.views = views
        self.ranking = ranking
        self.smallest_cpu = min((view.report.cpu for view in views), default=0)
        limit = PROBED_RATIO * self.median_pace
        self.probed = [
            view
            for view in ranking
            if view.report.pace > limit and not view.placed and view.is_empty()
        ]

    def record_start(self, view: AgentView) -> None:
        """Note that a task was sent to a worker."""
        if self.patient is not None:
            self.patient.remove(view)
            bisect.insort(self.patient, view, key=self._patient_key)
        if view in self.probed:
            self.probed.remove(view)

    def choice_of(self, task: TaskState) -> Choice:
        """Return what a task's choice of workers depends on."""
        job = task.job
        seconds, after = task_times(job, task.key.step)
        task_class = class_of(seconds, job.due_at - after - self.now)
        return Choice(
            task_class,
            task_class < 0 and job.has_started,
            bool(self.probed)
            and self.shortest.is_shortest(job.queue.service, job.queue.name, self.now),
        )

    def pace_limit(self, choice: Choice) -> float:
        """Return the pace of the slowest worker where a task ends in time."""
        return highest_pace(choice.task_class, self.median_pace)

    def record_narrower(
        self,
        sizes: dict[tuple[str, float, Choice | None], tuple[int, int, int]],
        kind: tuple[str, float, Choice],
        size: tuple[int, int, int],
    ) -> None:
        """Record a size that fits no worker for tasks that may use fewer of them.

        Only for those for which the median worker is fast enough: others may have to
        run where they end late, and so may tasks that are too large for some workers.

        :param sizes: the least ones that fit no worker, by kind of task.
        """
        service, reserve, choice = kind
        if size[0] > self.smallest_cpu:
            return
        for task_class in range(choice.task_class):
            narrower = choice._replace(task_class=task_class)
            known = sizes.get((service, reserve, narrower))
            if known is None or size < known:
                sizes[service, reserve, narrower] = size

    def rankings(
        self, task: TaskState, choice: Choice
    ) -> Iterator[tuple[list[AgentView], float]]:
        """Yield the workers to be tried in turn, and the highest pace among them."""
        if choice.may_probe:
            self.purpose = Purpose.PROBE
            yield [view for view in self.probed if self._is_probe_due(view)], math.inf
        limit = self.pace_limit(choice)
        has_preferences = task.step.rack or task.avoided_agents
        self.purpose = Purpose.IN_TIME
        if is_patient(choice.task_class) and not has_preferences:
            yield self._rank_for_patient(), limit
        else:
            yield self.ranking, limit
        if choice.may_probe:
            self.purpose = Purpose.PROBE
            yield self.probed, math.inf
        self.purpose = Purpose.LATE
        if choice.is_late:
            limit = PROBED_RATIO * self.median_pace
            yield self.ranking, limit
        if not self._has_worker_within(task, limit):
            yield self.ranking, math.inf

    def _rank_for_patient(self) -> list[AgentView]:
        if self.patient is None:
            self.patient = sorted(self.ranking, key=self._patient_key)
        return self.patient

    def _is_probe_due(self, view: AgentView) -> bool:
        return self.now - view.start_sent_at >= PROBE_SECONDS

    def _has_worker_within(self, task: TaskState, limit: float) -> bool:
        """Return whether a worker up to a pace would take a task if it were empty.

        Without one a task would wait in vain, and its job be refused.
        """
        step, service = task.step, task.job.queue.service
        return any(
            view.report.pace <= limit
            and view.report.service == service
            and view.report.cpu >= step.cpu
            and (not step.label or step.label in view.report.labels)
            and view.report.open
            and not view.report.leaves_in_ms
            and view.is_live(self.now)
            for view in self.views
        )

    def waits_for_rack(self, task: TaskState, best: AgentView) -> bool:
        """Return whether a task waits for a worker in the rack of its data."""
        step = task.step
        if not step.rack or step.rack in best.report.labels:
            return False
        room_in = min(
            (
                self._room_in(view, step.cpu)
                for view in self.views
                if step.rack in view.report.labels
                and view.report.service == task.job.queue.service
                and view.is_open(self.now)
            ),
            default=math.inf,
        )
        seconds, _ = task_times(task.job, task.key.step)
        spare = task.job.latest_start_at - self.now
        return should_wait_for_rack(seconds, room_in, self.far_factor, spare)

    def _room_in(self, view: AgentView, cpu: int) -> float:
        """Return in how many seconds a task of this entry frees enough of a worker.

        A run that takes longer than expected may take any time.
        """
        ends = [
            placed.sent_at
            + placed.start.estimate_ms / 1000 * view.report.pace
            - self.now
            for placed in view.placed.values()
            if view.free_cpu + placed.start.cpu >= cpu
        ]
        return min((end for end in ends if end > 0), default=math.inf)

    def _patient_key(self, view: AgentView) -> tuple[float, int]:
        cost = patient_cost(view.cost, view.report.pace, self.median_pace)
        return cost, view.number


def task_times(job: JobState, step: int) -> tuple[float, float]:
    """Return the expected run time of a step's task, and that of the steps after it.

    In seconds: parts of the job's expected run time, by the callers' estimates.
    """
    steps = job.request.steps
    if len(steps) == 1:
        return job.expected_seconds, 0.0
    whole = max(_chain_ms(job.request, number) for number in range(len(steps)))
    if not whole:
        return job.expected_seconds, 0.0
    part = job.expected_seconds / whole
    own = steps[step].estimate_ms
    return own * part, (_chain_ms(job.request, step) - own) * part


def _chain_ms(request: JobRequest, step: int) -> int:
    """Return the estimate of a step and of the longest chain of those after it."""
    later = [
        number for number, other in enumerate(request.steps) if step in other.after
    ]
    after = max((_chain_ms(request, number) for number in later), default=0)
    return request.steps[step].estimate_ms + after
