"""Random faults on the real dispatch programs, while callers come all the time.

Entries and agents are killed, frozen and told to stop, the store fails in its ways,
workers fail, stall and drain; the workers' stand-ins keep a record of every run. A
seed repeats the order of faults and jobs, though not the moment to the millisecond.

    python -m tools.soak_processes --first 1 --days 5

Prints each day; exit status 1 if a day breaks a promise: a task ran twice at once, a
caller who stayed got no answer, or a job that was refused as not run had run.
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

# A day's load: each caller hands in a job, waits for its end and goes on.
CALLERS = 6
SHORTEST_MS = 20
LONGEST_MS = 900
MOST_TASKS = 4

RESEND_SECONDS = 1.3
FAULT_GAP_SECONDS = 0.7
FREEZE_SECONDS = 2.0
READY_SECONDS = 15.0

# Ended, refused, not finished in time; and a connection that broke.
TRUE_STATUSES = {200, 503, 504, 0}

STORE_MODES = ("silent", "busy", "reset")
WORKER_MODES = ("fails", "mute", "draining")


class Job(msgspec.Struct):
    """A job as its caller saw it.

    :param statuses: of its tries, 0 for a connection that broke.
    """

    name: str
    statuses: list[int] = msgspec.field(default_factory=list)


class Day:
    """Plays one seed.

    :ivar faults: what was done, in order.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self.generator = random.Random(seed)
        self.seconds = seconds
        self.deployment = Deployment(ENTRIES, WORKERS, WORKER_CPU)
        self.jobs: list[Job] = []
        self.numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.over = threading.Event()
        self.faults: list[str] = []

    def play(self) -> list[str]:
        """Return the promises that were broken."""
        with self.deployment as deployment:
            deployment.wait_ready()
            callers = [
                threading.Thread(target=self._call, args=(random.Random(number),))
                for number in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                time.sleep(self.generator.uniform(0.2, 2 * FAULT_GAP_SECONDS))
                self._fault()
            self.over.set()
            for caller in callers:
                caller.join()
            return self._judge()

    # Callers.

    def _call(self, generator: random.Random) -> None:
        while not self.over.is_set():
            with self.lock:
                job = Job(f"{next(self.numbers):016x}")
                self.jobs.append(job)
            tasks = generator.randint(1, MOST_TASKS)
            ms = generator.randint(SHORTEST_MS, LONGEST_MS)
            self._hand_in(job, tasks, ms, generator.randrange(ENTRIES))

    def _hand_in(self, job: Job, tasks: int, ms: int, entry: int) -> None:
        """Hand a job in, and again at the other entry while connections break."""
        for attempt in range(ENTRIES * 4):
            status = self._try(job, tasks, ms, (entry + attempt) % ENTRIES)
            job.statuses.append(status)
            if status:
                return
            time.sleep(RESEND_SECONDS)

    def _try(self, job: Job, tasks: int, ms: int, entry: int) -> int:
        try:
            status, _, _ = self.deployment.submit(entry, tasks, ms, job.name)
        except OSError:
            return 0
        return status

    # Faults.

    def _fault(self) -> None:
        kinds = (self._freeze, self._stop, self._store, self._worker)
        self.generator.choice((self._kill, self._kill, *kinds))()

    def _process(self) -> str:
        names = [f"entry-{number}" for number in range(ENTRIES)]
        names += [f"agent-{number}" for number in range(WORKERS)]
        return self.generator.choice(names)

    def _kill(self) -> None:
        name = self._process()
        self.faults.append(f"kill {name}")
        self.deployment[name].kill()
        time.sleep(self.generator.uniform(0.0, 1.0))
        self._start(name)

    def _freeze(self) -> None:
        name = self._process()
        self.faults.append(f"freeze {name}")
        self.deployment[name].freeze()
        time.sleep(self.generator.uniform(0.1, FREEZE_SECONDS))
        self.deployment[name].unfreeze()

    def _stop(self) -> None:
        name = self._process()
        self.faults.append(f"stop {name}")
        self.deployment[name].terminate()
        self.deployment[name].wait()
        self._start(name)

    def _start(self, name: str) -> None:
        self.deployment[name].start()
        if name.startswith("entry"):
            number = int(name[-1])
            wait_until(lambda: self.deployment.is_ready(number), READY_SECONDS, name)

    def _store(self) -> None:
        mode = self.generator.choice(STORE_MODES)
        self.faults.append(f"store {mode}")
        self.deployment.set_store_fault(mode)
        time.sleep(self.generator.uniform(0.2, 2.0))
        self.deployment.set_store_fault("")

    def _worker(self) -> None:
        number = self.generator.randrange(WORKERS)
        mode = self.generator.choice(WORKER_MODES)
        self.faults.append(f"worker {number} {mode}")
        self.deployment.set_worker_faults(number, **{mode: True})
        time.sleep(self.generator.uniform(0.2, 1.5))
        self.deployment.set_worker_faults(number)

    # Verdict.

    def _judge(self) -> list[str]:
        broken = [f"twice at once: {task}" for task in self.deployment.find_overlaps()]
        for name, process in self.deployment.processes.items():
            _, found, rest = process.tail(1_000_000).partition("Traceback")
            if found:
                broken.append(f"{name} raised: {rest[:2000]}")
        ran = {task.partition(".")[0] for task in self.deployment.list_started_tasks()}
        for job in self.jobs:
            if not job.statuses[-1]:
                broken.append(f"no answer: {job.name} {job.statuses}")
            if not TRUE_STATUSES.issuperset(job.statuses):
                broken.append(f"no answer of ours: {job.name} {job.statuses}")
            if set(job.statuses) == {503} and job.name in ran:
                broken.append(f"refused as not run, and has run: {job.name}")
        return broken

    def summary(self) -> str:
        """Return how many jobs ended how."""
        ends = [job.statuses[-1] for job in self.jobs]
        counts = ", ".join(f"{end}: {ends.count(end)}" for end in sorted(set(ends)))
        return f"{len(ends)} jobs ({counts}), {len(self.faults)} faults"


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
            broken = day.play()
        except LaunchError as error:
            broken = [str(error)]
        failed += bool(broken)
        click.echo(f"seed {seed}: {day.summary()}")
        for promise in broken[:5]:
            click.echo(f"  broken: {promise}; faults: {', '.join(day.faults)}")
    click.echo(f"{days} days, {failed} with a promise broken")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
