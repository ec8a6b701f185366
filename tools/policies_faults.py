"""Run the scheduler against workers that fail, drag, freeze, leave and return."""

import collections
import enum
from collections.abc import Callable

import msgspec

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.decisions.tasks import Assignment
from tools.measures import Measures, Report
from tools.policies_late import LateBinding, announcements
from tools.policies_models import (
    EMPTY_ROUND_TRIP,
    HOP,
    MESSAGES_PER_TASK,
    TO_ENTRY,
    Bench,
    Progress,
)
from tools.policies_plain import PlainScheduler
from tools.policies_workload import DEPLOYMENTS, Request

__all__ = ["Ending", "FaultBench", "Outcome", "Situation", "compare", "compare_hedging"]

# A refusal is "at once" within this time; the goal.
AT_ONCE_SECONDS = 0.005


class Ending(enum.Enum):
    """How a task ends at its upstream."""

    DONE = "done"
    FAILED = "failed"
    FROZEN = "frozen"


# (bench, worker, request, index) -> seconds that the task takes, and its ending
Behaviour = Callable[["FaultBench", str, Request, int], tuple[float, Ending]]


def sound(
    bench: "FaultBench", worker: str, request: Request, index: int
) -> tuple[float, Ending]:
    """Behave as declared in the request."""
    return request.own[index], Ending.DONE


class Situation(msgspec.Struct):
    """A load pattern or a fault, with the arrivals that meet it.

    :param group_of: names the callers that are looked at together.
    :param events: things that happen to the bench at given times.
    """

    name: str
    seconds: float
    requests: list[Request]
    behaviour: Behaviour = sound
    group_of: Callable[[Request], str] = lambda request: "all"
    events: list[tuple[float, Callable[["FaultBench"], None]]] = []
    memory_mb: int = 0


class Outcome(msgspec.Struct):
    """What the callers of one group received.

    :param at_once: refusals within 5 ms, as a part of all refusals.
    """

    report: Report
    at_once: float

    @property
    def answered(self) -> float:
        """Return the part that was answered before the deadline."""
        return self.report.answered / max(1, self.report.offered)


class Group(Measures):
    """Measures of a group that also count refusals at once."""

    def __init__(self) -> None:
        super().__init__(EMPTY_ROUND_TRIP)
        self.refused_at_once = 0

    def refuse(self, response_seconds: float) -> None:
        """Record a refusal."""
        super().refuse(response_seconds)
        self.refused_at_once += response_seconds <= AT_ONCE_SECONDS


class FaultBench(LateBinding):
    """Late binding with a situation's workers; one ``Measures`` a group."""

    def __init__(
        self,
        situation: Situation,
        scheduler: Scheduler | PlainScheduler,
        hedging: bool = False,
    ) -> None:
        super().__init__(DEPLOYMENTS["glenmorrow"], situation.seconds, 1)
        self.situation = situation
        self.hedging = hedging
        self.hedged = 0
        self.scheduler = scheduler
        self.groups: dict[str, Group] = collections.defaultdict(Group)
        self.notes: dict = collections.defaultdict(int)
        for announcement in announcements(self.deployment):
            announcement.capacity.memory_mb = situation.memory_mb
            scheduler.set_worker(announcement, True, 0.0)
        for time, action in situation.events:
            self.at(time, action, self)

    def arrive(self, progress: Progress) -> None:
        """Take a request at an entry, counted in its group."""
        self.for_group(progress, super().arrive)

    def for_group(
        self, progress: Progress, action: Callable, *arguments: object
    ) -> None:
        """Do something whose figures belong to the request's group."""
        self.measures = self.groups[self.situation.group_of(progress.request)]
        action(progress, *arguments)

    def refuse(self, progress: Progress) -> None:
        """Count a refusal in its group."""
        self.for_group(progress, super().refuse)

    def give_up(self, progress: Progress) -> None:
        """Count a caller that gave up in its group."""
        self.for_group(progress, super().give_up)

    def count_waste_of_failed(self, progress: Progress) -> None:
        """Count waste in its group."""
        self.for_group(progress, super().count_waste_of_failed)

    def tick(self) -> None:
        """Ask for second attempts as well, where the run is to have them."""
        if self.hedging:
            for decision in self.scheduler.start_hedges(self.now):
                progress = self.known[decision.task.job.submission]
                self.hedged += 1
                self.at(self.now + HOP, self.start, progress, decision)
        super().tick()

    def deliver(self, progress: Progress, index: int) -> None:
        """Count an answer in its group; the second of two attempts is waste."""
        if progress.left == 0:
            self.measures.waste(messages=MESSAGES_PER_TASK)
            return
        self.for_group(progress, super().deliver, index)

    def start(self, progress: Progress, decision: Assignment) -> None:
        """Run a task as its worker behaves now."""
        index = decision.task.index
        self.spend(progress, index)
        seconds, ending = self.situation.behaviour(
            self, decision.worker, progress.request, index
        )
        ends = self.now + seconds
        if ending is Ending.DONE:
            self.at(ends + HOP, self.result, progress, decision, self.now)
            return
        if ending is Ending.FROZEN:
            ends = max(self.now, progress.request.deadline)
        self.at(ends + HOP, self.failed, progress, decision, self.now)

    def failed(self, progress: Progress, decision: Assignment, began: float) -> None:
        """Take a failure at the owner: the job fails as a whole."""
        task = decision.task
        elapsed_ms = int((self.now - began) * 1000)
        self.scheduler.record_result(
            task.job.submission,
            task.index,
            decision.worker,
            False,
            elapsed_ms,
            self.now,
        )
        self.scheduler.cancel(task.job.submission, self.now)
        self.at(self.now + HOP + TO_ENTRY, self.fail_job, progress)
        self.assign()

    def fail_job(self, progress: Progress) -> None:
        """Tell the caller that its job failed."""
        self.for_group(progress, lambda one: Bench.give_up(self, one))

    def outcomes(self) -> dict[str, Outcome]:
        """Return what each group received."""
        slots = self.deployment.total_slots
        return {
            name: Outcome(
                measures.report(slots, self.seconds),
                measures.refused_at_once
                / max(1, measures.offered - measures.answered - measures.failed),
            )
            for name, measures in self.groups.items()
        }


def compare(
    situation: Situation, prepare: Callable[[Scheduler], None] | None = None
) -> tuple[dict[str, Outcome], dict[str, Outcome]]:
    """Return what callers get with the decisions, and without them.

    :param prepare: sets quotas and the like before the run.
    """
    scheduler = Scheduler()
    if prepare is not None:
        prepare(scheduler)
    with_decisions = FaultBench(situation, scheduler)
    with_decisions.run(situation.requests)
    without = FaultBench(situation, PlainScheduler())
    without.run(situation.requests)
    return with_decisions.outcomes(), without.outcomes()


def compare_hedging(situation: Situation) -> tuple[FaultBench, FaultBench]:
    """Return runs of the same arrivals with hedging, and without it."""
    hedged = FaultBench(situation, Scheduler(), hedging=True)
    hedged.run(situation.requests)
    unhedged = FaultBench(situation, Scheduler())
    unhedged.run(situation.requests)
    return hedged, unhedged
