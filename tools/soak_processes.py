"""Random faults on the real dispatch programs under continuous load.

Entries and agents are killed, frozen and stopped, the store fails in several modes,
and workers fail, stall and drain; the workers' stand-ins record every run. A seed
repeats the order of faults and jobs, but not their exact times.

    python -m tools.soak_processes --first 1 --days 5

Prints each day. The exit status is 1 if a day violates a guarantee: two runs of a
task overlapped, a caller that kept waiting got no response, or a job refused as not
run had run.
"""

import itertools
import random
import sys
import threading
import time

import click
import msgspec

from tools.deployment import Deployment
from tools.processes import LaunchError, wait_until

__all__ = ["Day", "main"]

ENTRIES = 2
WORKERS = 3
WORKER_CPU = 16_000

# Load of a day: each caller submits one job after another and waits for each.
CALLERS = 6
MIN_TASK_MS = 20
MAX_TASK_MS = 900
MAX_TASKS = 4

RESEND_SECONDS = 1.3
FAULT_GAP_SECONDS = 0.7
FREEZE_SECONDS = 2.0
READY_SECONDS = 15.0

# Ended, refused, not finished in time, and 0 for a broken connection.
EXPECTED_STATUSES = {200, 503, 504, 0}

STORE_MODES = ("silent", "busy", "reset")
WORKER_MODES = ("fails", "mute", "draining")


class Job(msgspec.Struct):
    """A job from its caller's view.

    :param statuses: response status of each attempt, 0 for a broken connection.
    """

    name: str
    statuses: list[int] = msgspec.field(default_factory=list)


class Day:
    """One day of load and faults, repeatable by its seed.

    :ivar faults: description of each fault, in order.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self.generator = random.Random(seed)
        self.seconds = seconds
        self.deployment = Deployment(ENTRIES, WORKERS, WORKER_CPU)
        self.jobs: list[Job] = []
        self.numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.faults: list[str] = []

    def play(self) -> list[str]:
        """Play the day and return the violated guarantees."""
        with self.deployment as deployment:
            deployment.wait_ready()
            callers = [
                threading.Thread(target=self._run_caller, args=(random.Random(number),))
                for number in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                time.sleep(self.generator.uniform(0.2, 2 * FAULT_GAP_SECONDS))
                self._inject_fault()
            self.ended.set()
            for caller in callers:
                caller.join()
            return self._find_violations()

    # Callers.

    def _run_caller(self, generator: random.Random) -> None:
        while not self.ended.is_set():
            with self.lock:
                job = Job(f"{next(self.numbers):016x}")
                self.jobs.append(job)
            tasks = generator.randint(1, MAX_TASKS)
            ms = generator.randint(MIN_TASK_MS, MAX_TASK_MS)
            self._submit_until_answered(job, tasks, ms, generator.randrange(ENTRIES))

    def _submit_until_answered(self, job: Job, tasks: int, ms: int, entry: int) -> None:
        """Submit a job; resubmit it to the next entry while connections break."""
        for attempt in range(ENTRIES * 4):
            status = self._submit_once(job, tasks, ms, (entry + attempt) % ENTRIES)
            job.statuses.append(status)
            if status:
                return
            time.sleep(RESEND_SECONDS)

    def _submit_once(self, job: Job, tasks: int, ms: int, entry: int) -> int:
        try:
            status, _, _ = self.deployment.submit(entry, tasks, ms, job.name)
        except OSError:
            return 0
        return status

    # Faults.

    def _inject_fault(self) -> None:
        other_faults = (
            self._freeze_process,
            self._stop_process,
            self._fail_store,
            self._fail_worker,
        )
        self.generator.choice((self._kill_process, self._kill_process, *other_faults))()

    def _choose_process(self) -> str:
        names = [f"entry-{number}" for number in range(ENTRIES)]
        names += [f"agent-{number}" for number in range(WORKERS)]
        return self.generator.choice(names)

    def _kill_process(self) -> None:
        name = self._choose_process()
        self.faults.append(f"kill {name}")
        self.deployment[name].kill()
        time.sleep(self.generator.uniform(0.0, 1.0))
        self._start_process(name)

    def _freeze_process(self) -> None:
        name = self._choose_process()
        self.faults.append(f"freeze {name}")
        self.deployment[name].freeze()
        time.sleep(self.generator.uniform(0.1, FREEZE_SECONDS))
        self.deployment[name].unfreeze()

    def _stop_process(self) -> None:
        name = self._choose_process()
        self.faults.append(f"stop {name}")
        self.deployment[name].terminate()
        self.deployment[name].wait()
        self._start_process(name)

    def _start_process(self, name: str) -> None:
        self.deployment[name].start()
        if name.startswith("entry"):
            number = int(name[-1])
            wait_until(lambda: self.deployment.is_ready(number), READY_SECONDS, name)

    def _fail_store(self) -> None:
        mode = self.generator.choice(STORE_MODES)
        self.faults.append(f"store {mode}")
        self.deployment.set_store_fault(mode)
        time.sleep(self.generator.uniform(0.2, 2.0))
        self.deployment.set_store_fault("")

    def _fail_worker(self) -> None:
        number = self.generator.randrange(WORKERS)
        mode = self.generator.choice(WORKER_MODES)
        self.faults.append(f"worker {number} {mode}")
        self.deployment.set_worker_faults(number, **{mode: True})
        time.sleep(self.generator.uniform(0.2, 1.5))
        self.deployment.set_worker_faults(number)

    # Check of the results.

    def _find_violations(self) -> list[str]:
        violations = [
            f"overlapping runs: {task}" for task in self.deployment.find_overlaps()
        ]
        for name, process in self.deployment.processes.items():
            _, has_traceback, rest = process.tail(1_000_000).partition("Traceback")
            if has_traceback:
                violations.append(f"{name} raised: {rest[:2000]}")
        started_jobs = {
            task.partition(".")[0] for task in self.deployment.list_started_tasks()
        }
        for job in self.jobs:
            if not job.statuses[-1]:
                violations.append(f"no answer: {job.name} {job.statuses}")
            if not EXPECTED_STATUSES.issuperset(job.statuses):
                violations.append(f"unexpected status: {job.name} {job.statuses}")
            if set(job.statuses) == {503} and job.name in started_jobs:
                violations.append(f"refused as not run, but had run: {job.name}")
        return violations

    def summary(self) -> str:
        """Return the number of jobs by last status, and of faults, as a line."""
        last_statuses = [job.statuses[-1] for job in self.jobs]
        counts = ", ".join(
            f"{status}: {last_statuses.count(status)}"
            for status in sorted(set(last_statuses))
        )
        return f"{len(last_statuses)} jobs ({counts}), {len(self.faults)} faults"


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--days", default=5, show_default=True, help="Seeds to play.")
@click.option("--seconds", default=12.0, show_default=True, help="Length of a day.")
def main(first: int, days: int, seconds: float) -> None:
    """Play days of random faults on real processes."""
    failed = 0
    for seed in range(first, first + days):
        day = Day(seed, seconds)
        try:
            violations = day.play()
        except LaunchError as error:
            violations = [str(error)]
        failed += bool(violations)
        click.echo(f"seed {seed}: {day.summary()}")
        for violation in violations[:5]:
            click.echo(f"  violated: {violation}; faults: {', '.join(day.faults)}")
    click.echo(f"{days} days, {failed} with a guarantee violated")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
