"""A bounded load on a deployment of real processes, and the check of its results.

Callers send requests and jobs in a separate thread while a scenario kills, freezes
and replaces processes. A caller whose connection breaks retries with the same key
through another entry, as the callers' documentation requires. Results are checked
by the upstreams' own records, independently of the code under test.
"""

import asyncio
import random
import threading
import time

import aiohttp

from cactuswalk.model import format_submission_name, generate_identifier
from tools.cluster import Cluster, Worker
from tools.demo import faults_of
from tools.load import Sent, body_of, headers_of, judge, work_of
from tools.processes import wait_until
from tools.workloads import LABUTA, Arrival, Kind

__all__ = ["Load", "find_owner", "send_request", "small_cluster"]

# An outer bound only: a busy machine takes seconds where an idle one takes none.
MAX_WAIT_S = 60.0
DEADLINE_MS = 20_000
# How long a balancer waits before it retries when no entry accepts connections.
RETRY_PAUSE_S = 0.1
# Interval of the readiness checks of the balancer described in the issue.
READINESS_INTERVAL_S = 0.5
# Time between two arrivals; uses some 60% of twenty slots at 100 ms a task.
ARRIVAL_INTERVAL_MS = 40

REQUEST = Kind("pen-confirmation", *LABUTA, 0.0, False, False, DEADLINE_MS)
IDEMPOTENT_REQUEST = Kind("free-run", *LABUTA, 0.0, True, False, DEADLINE_MS)
JOB = Kind("vaccination-record", *LABUTA, 0.0, False, True, DEADLINE_MS)


def small_cluster(workers=5, entries=2, **options) -> Cluster:
    """Return a deployment of one cell that is not started yet."""
    names = [f"w{number}" for number in range(1, workers + 1)]
    return Cluster(
        entries, [Worker(name, LABUTA[0], slots=4) for name in names], **options
    )


def find_owner(cluster: Cluster) -> str:
    """Return the worker whose agent has logged that it serves the newest epoch."""
    newest_epoch, owner = 0, ""
    for name in cluster.workers:
        path = cluster[f"agent-{name}"].log
        for line in path.read_text(encoding="utf-8").splitlines():
            if '"message":"owner: serves"' in line:
                epoch = int(line.partition('"epoch":')[2].partition(",")[0])
                if epoch > newest_epoch:
                    newest_epoch, owner = epoch, name
    return owner


class Load:
    """Sends arrivals at a constant rate in a separate thread until it is stopped.

    :param balanced: check ``/ready`` and send to ready entries only.
    """

    def __init__(self, cluster: Cluster, seed: int = 5, balanced: bool = False) -> None:
        self.entries = [cluster.urls[name] for name in cluster.entry_names]
        self.ready_entries = list(self.entries)
        self.generator = random.Random(seed)
        self.balanced = balanced
        self.stopping = threading.Event()
        self.sent: list[Sent] = []
        self.disconnects = 0
        self.sent_copies = 0
        self.failure: BaseException | None = None
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending."""
        self.thread.start()

    def finish(self) -> list[Sent]:
        """Stop sending, wait for pending callers and return the results."""
        self.stopping.set()
        self.thread.join(2 * MAX_WAIT_S)
        assert not self.thread.is_alive(), "callers still wait for answers"
        if self.failure is not None:
            raise self.failure
        return self.sent

    def answered(self) -> int:
        """Return how many arrivals have got a complete answer so far."""
        return sum(one.outcome == "answered" for one in list(self.sent))

    def wait_answered(self, more: int) -> None:
        """Return once this many more arrivals have been answered."""
        goal = self.answered() + more
        wait_until(lambda: self.answered() >= goal, MAX_WAIT_S, f"{more} more answers")

    def _run(self) -> None:
        try:
            asyncio.run(self._send_all())
        except BaseException as error:
            self.failure = error

    async def _send_all(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            readiness_checks = asyncio.create_task(self._check_readiness(session))
            tasks = []
            while not self.stopping.is_set():
                tasks.append(asyncio.create_task(self._submit(session, len(tasks))))
                await asyncio.sleep(ARRIVAL_INTERVAL_MS / 1000)
            await asyncio.gather(*tasks)
            readiness_checks.cancel()

    async def _check_readiness(self, session) -> None:
        """Check each entry's readiness at an interval, as a balancer does."""
        while self.balanced:
            found_ready = []
            for entry in self.entries:
                try:
                    async with session.get(f"{entry}/ready") as response:
                        found_ready += [entry] if response.status == 200 else []
                except aiohttp.ClientError:
                    pass
            self.ready_entries = found_ready
            await asyncio.sleep(READINESS_INTERVAL_S)

    def _arrival(self, number: int) -> Arrival:
        """Return a job for every fifth arrival, a request for the others."""
        if number % 5 == 4:
            tasks = self.generator.randint(2, 5)
            durations = [self.generator.randint(20, 150) for _ in range(tasks)]
            return Arrival(0.0, JOB, durations)
        kind = IDEMPOTENT_REQUEST if number % 5 == 0 else REQUEST
        return Arrival(0.0, kind, [self.generator.randint(20, 150)])

    async def _submit(self, session, number: int) -> None:
        """Send one arrival, every seventh through two entries at once."""
        arrival = self._arrival(number)
        key = generate_identifier(int(time.time() * 1000), self.generator)
        copies = 2 if number % 7 == 3 and not self.balanced else 1
        await asyncio.gather(
            *(self._send_until_answered(session, arrival, key) for _ in range(copies))
        )

    async def _send_until_answered(self, session, arrival: Arrival, key: str) -> None:
        started_at = time.monotonic()
        while True:
            sent = Sent(arrival, key, "lost", "", 0.0)
            await self._post(session, sent)
            sent.response_s = time.monotonic() - started_at
            if sent.outcome != "lost" or sent.response_s > MAX_WAIT_S:
                break
            self.disconnects += 1
            await asyncio.sleep(RETRY_PAUSE_S)
        self.sent.append(sent)

    async def _post(self, session, sent: Sent) -> None:
        """Send one copy; ``lost`` stays if the connection breaks."""
        ready_entries = self.ready_entries or self.entries
        self.sent_copies += 1
        arrival = sent.arrival
        works = [work_of(sent.key, index) for index in range(len(arrival.durations_ms))]
        resource = "jobs" if arrival.kind.job else "requests"
        entry = ready_entries[self.sent_copies % len(ready_entries)]
        try:
            async with session.post(
                f"{entry}/v1/services/{arrival.kind.service}/{resource}",
                data=body_of(arrival, works),
                headers=headers_of(arrival, sent.key),
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 5),
            ) as response:
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            sent.fault = f"no answer: {type(error).__name__}"
            return
        sent.fault = ""
        judge(sent, status, body, works)


def send_request(cluster: Cluster, entry: int = 0) -> Sent:
    """Send one request that is not part of a load, and return its result."""
    arrival = Arrival(0.0, REQUEST, [20])
    key = generate_identifier(int(time.time() * 1000), random.Random())
    sent = Sent(arrival, key, "lost", "", 0.0)
    works = [work_of(key, 0)]
    url = f"{cluster.entry_url(entry)}/v1/services/{arrival.kind.service}/requests"
    headers = headers_of(arrival, key)
    try:
        status, body = cluster.request(
            "POST", url, {"work": works[0], "duration_ms": 20}, headers, MAX_WAIT_S
        )
    except OSError as error:
        sent.fault = f"no answer: {type(error).__name__}"
        return sent
    judge(sent, status, body, works)
    return sent


def find_idempotent_submissions(sent: list[Sent]) -> frozenset[str]:
    """Return the submissions that their callers declared idempotent."""
    return frozenset(
        format_submission_name(one.arrival.kind.team, one.key)
        for one in sent
        if one.arrival.kind.idempotent
    )


def find_faults(
    sent: list[Sent], cluster: Cluster, repeatable: frozenset[str] = frozenset()
) -> list[str]:
    """Return the faults that the upstreams' records and the answers show.

    :param repeatable: submissions whose tasks may start again after a fault, see
        ``faults_of``; none where no fault justifies a retry.
    """
    found = faults_of(sent, cluster.starts(), repeatable)
    found += [f"{one.key}: no answer" for one in sent if one.outcome == "lost"]
    return found
