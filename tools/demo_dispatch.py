"""Serve jobs on a small deployment of the platform's programs, through faults.

The real entries and agents run against this repository's stand-ins of the store and
of the workers. The judge is the workers' own record: a task may run again, and never
twice at once. The exit status is 0 only if every job whose caller stayed was done.
"""

import itertools
import sys
import time

import click

from tools.deployment import Deployment, PendingCall
from tools.processes import wait_until

__all__ = ["main"]

JOBS = 12
TASKS = 4
TASK_MS = 400

# A caller whose connection breaks comes back after this, to another entry.
RESEND_SECONDS = 1.3


class Act:
    """One part of the demonstration: jobs, and what happens to them.

    :param title: what is shown.
    :param fault: called with the deployment once the first jobs run.
    """

    def __init__(self, title: str, fault=None) -> None:
        self.title = title
        self.fault = fault

    def play(self, deployment: Deployment, identifiers) -> tuple[int, float]:
        """Return how many jobs were done, and the longest time of one."""
        began = time.monotonic()
        names = [f"{next(identifiers):016x}" for _ in range(JOBS)]
        jobs = [
            deployment.submit_later(number % 2, TASKS, TASK_MS, identifier=name)
            for number, name in enumerate(names)
        ]
        time.sleep(TASK_MS / 2000)
        if self.fault is not None:
            self.fault(deployment)
        for job in jobs:
            job.join()
        jobs = _send_again(deployment, names, jobs)
        return sum(map(_done, jobs)), time.monotonic() - began


def _done(job: PendingCall) -> bool:
    return job.result is not None and job.result[1].get("state") == "completed"


def _send_again(
    deployment: Deployment, names: list[str], jobs: list[PendingCall]
) -> list[PendingCall]:
    """Do what callers do whose connections broke."""
    if all(job.result is not None for job in jobs):
        return jobs
    time.sleep(RESEND_SECONDS)
    again = [
        job
        if job.result is not None
        else deployment.submit_later(1, TASKS, TASK_MS, identifier=name)
        for name, job in zip(names, jobs, strict=True)
    ]
    for job in again:
        job.join()
    return again


def _kill_agent(deployment: Deployment) -> None:
    deployment["agent-0"].kill()
    deployment["agent-0"].start()


def _kill_entry(deployment: Deployment) -> None:
    deployment["entry-0"].kill()
    deployment["entry-0"].start()
    wait_until(lambda: deployment.is_ready(0), 10.0, "entry 0")


ACTS = [
    Act("a calm moment"),
    Act(
        "the store falls silent",
        lambda deployment: deployment.set_store_fault("silent"),
    ),
    Act("an agent is killed and started again", _kill_agent),
    Act("an entry is killed; its callers come back", _kill_entry),
]


@click.command()
def main() -> None:
    """Play four acts of twelve jobs each, and judge them by the workers' record."""
    identifiers = itertools.count(1)
    with Deployment(entries=2, workers=3, cpu=32_000) as deployment:
        deployment.wait_ready()
        done = 0
        for act in ACTS:
            count, seconds = act.play(deployment, identifiers)
            done += count
            click.echo(f"{act.title:45} {count:3} of {JOBS} jobs in {seconds:.1f} s")
        overlaps = deployment.find_overlaps()
        starts = len(deployment.list_started_tasks())
    wanted = len(ACTS) * JOBS
    click.echo(
        f"{starts} starts for {wanted * TASKS} tasks, {len(overlaps)} overlapped"
    )
    sys.exit(0 if done == wanted and not overlaps else 1)


if __name__ == "__main__":
    main()
