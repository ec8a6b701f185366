"""Measure the processor time that the scheduler spends on a task.

``python -m tools.policies_cost`` keeps a queue at a length while tasks end and
start one by one, as under load, and prints microseconds of processor time.
"""

import random
import sys
import time

import click

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.decisions.tasks import Assignment
from cactuswalk.model import Announcement, Capacity, Job, TaskSpec

__all__ = ["main"]

SLOTS = 8
LARGEST_JOB = 20
FAR_DEADLINE = 1e9
MEASURED_TASKS = 5000
MICROSECONDS = 1e6


class Load:
    """A scheduler with a queue that is kept at a length."""

    def __init__(self, workers: int, queue: int) -> None:
        self.generator = random.Random(1)
        self.scheduler = Scheduler()
        self.queue = queue
        self.queued = 0
        self.jobs = 0
        self.now = 0.0
        self.admitting = 0.0
        self.running: list[Assignment] = []
        for number in range(workers):
            announcement = Announcement(
                f"w{number}", "s", "dc", f"r{number // 3}", {}, Capacity(SLOTS)
            )
            self.scheduler.set_worker(announcement, True, 0.0)
        self.fill()
        self.assign()
        self.fill()

    def fill(self) -> None:
        """Admit jobs until the queue is as long as wanted."""
        draw = self.generator
        began = time.process_time()
        while self.queued < self.queue + SLOTS:
            tasks = 1 if draw.random() < 0.7 else draw.randint(2, LARGEST_JOB)
            self.jobs += 1
            team = f"t{draw.randrange(20)}"
            specs = [TaskSpec(b"", draw.randint(50, 1000)) for _ in range(tasks)]
            job = Job(f"{team}/{self.jobs}", b"", "s", team, specs)
            job.caller = f"c{draw.randrange(100)}"
            if self.scheduler.admit(job, FAR_DEADLINE, self.now) is None:
                self.queued += tasks
        self.admitting += time.process_time() - began

    def assign(self) -> None:
        """Start what can be started."""
        started = self.scheduler.assign(self.now)
        self.queued -= len(started)
        self.running.extend(started)

    def end_one(self) -> None:
        """End a running task and start the next."""
        place = self.generator.randrange(len(self.running))
        self.running[place], self.running[-1] = self.running[-1], self.running[place]
        ended = self.running.pop()
        self.now += 0.001
        task = ended.task
        self.scheduler.record_result(
            task.job.submission, task.index, ended.worker, True, 300, self.now
        )
        self.assign()


def measure(workers: int, queue: int) -> tuple[float, float]:
    """Return microseconds per admitted job, and per task ended and started."""
    load = Load(workers, queue)
    load.admitting, jobs = 0.0, load.jobs
    spent = 0.0
    for _ in range(MEASURED_TASKS):
        began = time.process_time()
        load.end_one()
        spent += time.process_time() - began
        load.fill()
    admitted = max(1, load.jobs - jobs)
    per_job = load.admitting / admitted * MICROSECONDS
    return per_job, spent / MEASURED_TASKS * MICROSECONDS


def measure_cancel(queue: int) -> float:
    """Return microseconds per cancelled job with so many queued."""
    load = Load(11, queue)
    names = list(load.scheduler.cell.jobs)
    began = time.process_time()
    for name in names:
        load.scheduler.cancel(name, load.now)
    return (time.process_time() - began) / len(names) * MICROSECONDS


@click.command()
def main() -> None:
    """Print the cost for cells and queues of several sizes."""
    click.echo("| workers | queued tasks | us a job admitted | us a task |")
    click.echo("|---|---|---|---|")
    for workers in (11, 64):
        for queue in (10, 1000, 10_000):
            per_job, per_task = measure(workers, queue)
            click.echo(f"| {workers} | {queue} | {per_job:.0f} | {per_task:.0f} |")
    for queue in (1000, 10_000):
        click.echo(f"cancel, {queue} queued: {measure_cancel(queue):.0f} us a job")


if __name__ == "__main__":
    sys.exit(main())
