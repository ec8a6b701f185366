"""Late binding as the product does it: the real ``Scheduler`` on a virtual clock."""

import random

from cactuswalk.decisions.joborder import JobOrder, by_tolerable_delay
from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.decisions.tasks import Assignment, Shed
from cactuswalk.model import Announcement, Capacity, Job, TaskSpec
from tools.policies_models import HOP, TO_ENTRY, Bench, Progress
from tools.policies_workload import Deployment, Request, ordinary_shares

__all__ = ["LateBinding", "LateBindingWithQuotas", "announcements", "make_job"]

# The owner's tick.
TICK_SECONDS = 0.05

SERVICE = "service"
WORKERS_PER_RACK = 3


def announcements(deployment: Deployment) -> list[Announcement]:
    """Return the announcements of a deployment's workers."""
    return [
        Announcement(
            f"w{number}",
            SERVICE,
            f"dc{number % deployment.data_centres}",
            f"rack{number // WORKERS_PER_RACK}",
            {},
            Capacity(deployment.slots),
        )
        for number in range(deployment.workers)
    ]


def make_job(request: Request) -> Job:
    """Return a request as the owner gets it."""
    return Job(
        submission=f"{request.team}/{request.number}",
        fingerprint=b"",
        service=SERVICE,
        team=request.team,
        tasks=[
            TaskSpec(b"", declared, request.memory_mb)
            for declared in request.declared_ms
        ],
        caller=request.caller,
        selector=request.selector,
        key=request.key,
        idempotent=request.idempotent,
        request=len(request.own) == 1,
    )


class LateBinding(Bench):
    """The owner queues all tasks of its cell and binds each to a free slot."""

    name = "late binding"
    order: JobOrder = staticmethod(by_tolerable_delay)

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        super().__init__(deployment, seconds, seed)
        self.scheduler = Scheduler(random.Random(seed), type(self).order)
        for announcement in announcements(deployment):
            self.scheduler.set_worker(announcement, True, 0.0)
        self.known: dict[str, Progress] = {}
        self.at(0.0, self.tick)

    def tick(self) -> None:
        """Look for what time alone has changed."""
        self.assign()
        if self.now < self.seconds or self.known:
            self.at(self.now + TICK_SECONDS, self.tick)

    def arrive(self, progress: Progress) -> None:
        """Send the request on to the owner."""
        self.at(self.now + HOP, self.submit, progress)

    def submit(self, progress: Progress) -> None:
        """Admit a request at the owner or refuse it."""
        job = make_job(progress.request)
        deadline = progress.request.deadline - HOP - TO_ENTRY
        if self.scheduler.admit(job, deadline, self.now) is not None:
            self.refuse(progress)
            return
        self.known[job.submission] = progress
        self.assign()

    def refuse(self, progress: Progress) -> None:
        """Tell the caller that nothing was run; two messages came to nothing."""
        if progress.over:
            return
        progress.over = True
        response = self.now + HOP + TO_ENTRY - progress.request.arrival
        self.measures.refuse(response)
        self.measures.waste(messages=2)

    def give_up(self, progress: Progress) -> None:
        """Let the caller give up, and cancel what is queued."""
        request = progress.request
        submission = f"{request.team}/{request.number}"
        if not progress.over:
            self.scheduler.cancel(submission, self.now)
        self.known.pop(submission, None)
        super().give_up(progress)

    def assign(self) -> None:
        """Carry out what the scheduler decides."""
        for decision in self.scheduler.assign(self.now):
            progress = self.known.get(decision.task.job.submission)
            if isinstance(decision, Shed):
                self.shed(progress)
            else:
                self.at(self.now + HOP, self.start, progress, decision)

    def shed(self, progress: Progress | None) -> None:
        """Refuse a job, or fail it if a part of it has been started."""
        if progress is None or progress.over:
            return
        if progress.sent:
            super().give_up(progress)
        else:
            self.refuse(progress)

    def start(self, progress: Progress, decision: Assignment) -> None:
        """Run a task at its worker."""
        ends = self.spend(progress, decision.task.index)
        self.at(ends + HOP, self.result, progress, decision, self.now)

    def result(self, progress: Progress, decision: Assignment, began: float) -> None:
        """Take a result at the owner."""
        task = decision.task
        elapsed_ms = int((self.now - HOP - began) * 1000)
        self.scheduler.record_result(
            task.job.submission,
            task.index,
            decision.worker,
            True,
            elapsed_ms,
            self.now,
        )
        self.at(self.now + HOP + TO_ENTRY, self.deliver, progress, task.index)
        self.assign()

    def deliver(self, progress: Progress, index: int) -> None:
        """Take a task's result at the caller."""
        super().deliver(progress, index)
        if progress.over:
            request = progress.request
            self.known.pop(f"{request.team}/{request.number}", None)


class LateBindingWithQuotas(LateBinding):
    """The same, where each team's weight is what it ordinarily sends."""

    name = "late binding, quotas set"

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        super().__init__(deployment, seconds, seed)
        shares = ordinary_shares()
        for team, share in shares.items():
            # Relative to 1.0, the weight of a team without a quota.
            self.scheduler.set_quota(SERVICE, team, share * len(shares))
