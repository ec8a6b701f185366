"""Slopes of a cell's scheduler by workers, teams and queued tasks."""

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.decisions.tasks import Assignment
from cactuswalk.model import Announcement, Capacity, Job, TaskSpec
from tools.metered import allocated_by, processor_seconds
from tools.series import Point, Series

__all__ = ["scheduler_series"]

SERVICE = "route-planning"
WORKERS = (4, 8, 16, 32, 64)
TEAMS = (50, 100, 200, 400)
QUEUED = (500, 1000, 2000, 4000)

# Tasks that are started and ended for each time; the queue stays as long.
TURNS = 200
TASK_MS = 100
DEADLINE_S = 3600.0


def scheduler_series() -> list[Series]:
    """Return all series of the scheduler, not measured yet."""
    return [
        Series("the scheduler by workers", "workers", WORKERS, by_workers),
        Series("the scheduler by teams", "teams", TEAMS, by_teams),
        Series("the scheduler by queued tasks", "queued", QUEUED, by_queued),
    ]


def scheduler_of(workers: int) -> Scheduler:
    """Return a scheduler with so many workers of eight slots."""
    scheduler = Scheduler()
    for number in range(workers):
        announcement = Announcement(
            f"worker-{number}",
            SERVICE,
            "inverness",
            f"rack-{number // 3}",
            {},
            Capacity(8),
        )
        scheduler.set_worker(announcement, True, 0.0)
    return scheduler


def fill(scheduler: Scheduler, tasks: int, teams: int, serial: str) -> None:
    """Admit so many requests, of the teams in turn."""
    for number in range(tasks):
        team = f"team-{number % teams}"
        task = TaskSpec(b"{}", duration_ms=TASK_MS)
        name = f"{team}/{serial}-{number}"
        job = Job(name, b"", SERVICE, team, [task], request=True)
        refusal = scheduler.admit(job, DEADLINE_S, 0.0)
        if refusal is not None:
            raise RuntimeError(f"{name} was refused: {refusal}")


def turn_over(scheduler: Scheduler, teams: int) -> int:
    """Start what can start, end it, admit as much again; return the starts."""
    started, now = 0, 0.001
    while started < TURNS:
        decided = scheduler.assign(now)
        assigned = [one for one in decided if isinstance(one, Assignment)]
        if not assigned:
            raise RuntimeError("nothing could be started")
        now += TASK_MS / 1000
        for one in assigned:
            job, index = one.task.job, one.task.index
            scheduler.record_result(
                job.submission, index, one.worker, True, TASK_MS, now
            )
        fill(scheduler, len(assigned), teams, f"again-{started}")
        started += len(assigned)
    return started


def measured(workers: int, teams: int, queued: int) -> Point:
    """Return what a task costs, from admission to its end."""
    scheduler = scheduler_of(workers)
    point = Point()
    filled = allocated_by(lambda: fill(scheduler, queued, teams, "first"))
    point.time("queue bytes", filled)
    starts = 0

    def work() -> None:
        nonlocal starts
        starts = turn_over(scheduler, teams)

    took = processor_seconds(work)
    point.time("processor ms/task", took * 1000 / starts)
    return point


def by_workers(workers: int) -> Point:
    """Measure with so many workers, 4 teams and 600 tasks queued."""
    return measured(workers, 4, 600)


def by_teams(teams: int) -> Point:
    """Measure with so many teams, 16 workers and 800 tasks queued."""
    return measured(16, teams, 800)


def by_queued(queued: int) -> Point:
    """Measure with so many tasks queued, 16 workers and 4 teams."""
    return measured(16, 4, queued)
