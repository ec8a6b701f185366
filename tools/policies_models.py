"""Policies on a virtual clock: a heap of events, and what callers receive.

This compares ways to bind tasks to workers on the same arrivals. It models the
message delays of the brief and nothing else that a cluster does: no losses, no
failures, no processor time.
"""

import collections
import heapq
import random
from collections.abc import Callable

import msgspec

from tools.measures import Measures
from tools.policies_workload import Deployment, Request

__all__ = [
    "EMPTY_ROUND_TRIP",
    "HOP",
    "MESSAGES_PER_TASK",
    "POLICIES",
    "TO_ENTRY",
    "Bench",
    "Credits",
    "LeastOfTwo",
    "RandomWorker",
    "SharedQueue",
]

# The brief: one way about 1 ms to clients and 0.5 ms between data centres.
TO_ENTRY = 0.001
HOP = 0.0005

# Caller, entry, owner, agent and back.
EMPTY_ROUND_TRIP = 2 * (TO_ENTRY + 2 * HOP)

# Start and result, and the call to the upstream.
MESSAGES_PER_TASK = 3

ENTRIES = 3


class Progress(msgspec.Struct, eq=False):
    """How far a request has come in one policy's run."""

    request: Request
    left: int
    task_seconds: list[float]
    spent: float = 0.0
    sent: int = 0
    over: bool = False


class Bench:
    """Runs requests through a policy; a policy overrides ``arrive``."""

    name = "none"

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        self.deployment = deployment
        self.seconds = seconds
        self.generator = random.Random(seed)
        self.measures = Measures(EMPTY_ROUND_TRIP)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.serial = 0

    def at(self, time: float, action: Callable, *arguments: object) -> None:
        """Do something at a time."""
        self.serial += 1
        heapq.heappush(self.events, (time, self.serial, action, arguments))

    def run(self, requests: list[Request]) -> Measures:
        """Run all requests to their end and return what callers received."""
        for request in requests:
            progress = Progress(request, len(request.own), [0.0] * len(request.own))
            self.at(request.arrival + TO_ENTRY, self.arrive, progress)
            self.at(request.deadline, self.give_up, progress)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.measures

    def arrive(self, progress: Progress) -> None:
        """Take a request at an entry."""
        raise NotImplementedError

    def spend(self, progress: Progress, index: int) -> float:
        """Run a task on a slot from now on; return when it ends."""
        own = progress.request.own[index]
        progress.sent += MESSAGES_PER_TASK
        progress.spent += max(0.0, min(self.seconds, self.now + own) - self.now)
        return self.now + own

    def deliver(self, progress: Progress, index: int) -> None:
        """Take a task's result at the caller."""
        request = progress.request
        progress.left -= 1
        progress.task_seconds[index] = self.now - request.arrival
        if progress.over or progress.left:
            return
        progress.over = True
        response = self.now - request.arrival
        self.measures.answer(
            response, request.own, progress.task_seconds, progress.spent
        )

    def give_up(self, progress: Progress) -> None:
        """Let the caller give up at its deadline."""
        if progress.over:
            return
        progress.over = True
        self.measures.fail()
        self.at(
            self.now + self.deployment.total_slots, self.count_waste_of_failed, progress
        )

    def count_waste_of_failed(self, progress: Progress) -> None:
        """Count what was sent for a request that failed, late starts included."""
        self.measures.waste(messages=progress.sent)


class SharedQueue(Bench):
    """The bound: one queue, first come first served, that knows every slot."""

    name = "shared queue (bound)"

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        super().__init__(deployment, seconds, seed)
        self.queue: collections.deque[tuple[Progress, int]] = collections.deque()
        self.free = deployment.total_slots

    def arrive(self, progress: Progress) -> None:
        """Queue all tasks, one and a half hops later than at the entry."""
        self.at(self.now + 2 * HOP, self.enqueue, progress)

    def enqueue(self, progress: Progress) -> None:
        """Queue the tasks of a request."""
        self.queue.extend((progress, index) for index in range(progress.left))
        self.fill()

    def fill(self) -> None:
        """Start tasks while there are free slots; drop those given up."""
        while self.free and self.queue:
            progress, index = self.queue.popleft()
            if progress.over:
                continue
            self.free -= 1
            self.at(self.spend(progress, index), self.end, progress, index)

    def end(self, progress: Progress, index: int) -> None:
        """Free the slot at once."""
        self.free += 1
        self.at(self.now + TO_ENTRY + 2 * HOP, self.deliver, progress, index)
        self.fill()


class LocalQueue(msgspec.Struct, eq=False):
    """A worker with a queue of its own."""

    free: int
    queue: collections.deque

    @property
    def length(self) -> int:
        """Return its queue, counting free slots as less than none."""
        return len(self.queue) - self.free


class RandomWorker(Bench):
    """Each task goes to a worker drawn by chance, and waits there."""

    name = "random"

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        super().__init__(deployment, seconds, seed)
        self.workers = [
            LocalQueue(deployment.slots, collections.deque())
            for _ in range(deployment.workers)
        ]

    def arrive(self, progress: Progress) -> None:
        """Send each task to a worker."""
        for index in range(progress.left):
            worker = self.generator.choice(self.workers)
            self.at(self.now + HOP, self.enqueue, worker, progress, index)

    def enqueue(self, worker: LocalQueue, progress: Progress, index: int) -> None:
        """Queue a task at its worker."""
        worker.queue.append((progress, index))
        self.fill(worker)

    def fill(self, worker: LocalQueue) -> None:
        """Start tasks while there are free slots; drop those given up."""
        while worker.free and worker.queue:
            progress, index = worker.queue.popleft()
            if progress.over:
                progress.sent += 1
                continue
            worker.free -= 1
            self.at(self.spend(progress, index), self.end, worker, progress, index)

    def end(self, worker: LocalQueue, progress: Progress, index: int) -> None:
        """Free the slot and send the result."""
        worker.free += 1
        self.at(self.now + HOP + TO_ENTRY, self.deliver, progress, index)
        self.fill(worker)


class LeastOfTwo(RandomWorker):
    """Each task asks two workers and goes to the one with the shorter queue."""

    name = "least loaded of two"

    def arrive(self, progress: Progress) -> None:
        """Send two probes for each task; one of them is for nothing."""
        for index in range(progress.left):
            pair = self.generator.sample(self.workers, 2)
            self.measures.waste(messages=2)
            self.at(self.now + HOP, self.probe, pair, progress, index)

    def probe(self, pair: list[LocalQueue], progress: Progress, index: int) -> None:
        """Read both queues; the answer and then the task travel on."""
        worker = min(pair, key=lambda one: one.length)
        self.at(self.now + 2 * HOP, self.enqueue, worker, progress, index)


# An entry sends a credit back that it has not used for this long.
CREDIT_SECONDS = 0.05


class Credits(Bench):
    """Agents hand out their free slots to entries, which spend or return them."""

    name = "credits from agents"

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        super().__init__(deployment, seconds, seed)
        self.queues = [collections.deque() for _ in range(ENTRIES)]
        self.credits: list[dict[int, int]] = [{} for _ in range(ENTRIES)]
        self.backlogs = [[0] * ENTRIES for _ in range(deployment.workers)]
        self.turn = 0
        self.serial_of_credit = 0
        for slot in range(deployment.total_slots):
            self.receive(slot % ENTRIES, slot % deployment.workers)

    def arrive(self, progress: Progress) -> None:
        """Queue the tasks at the entry that the balancer picks."""
        entry = self.generator.randrange(ENTRIES)
        self.queues[entry].extend((progress, index) for index in range(progress.left))
        self.fill(entry)

    def receive(self, entry: int, worker: int) -> None:
        """Take a credit at an entry, and look later whether it was used."""
        self.serial_of_credit += 1
        self.credits[entry][self.serial_of_credit] = worker
        self.at(self.now + CREDIT_SECONDS, self.send_back, entry, self.serial_of_credit)
        self.fill(entry)

    def fill(self, entry: int) -> None:
        """Spend the oldest credits on the oldest tasks."""
        credits, queue = self.credits[entry], self.queues[entry]
        while credits and queue:
            progress, index = queue.popleft()
            if progress.over:
                continue
            worker = credits.pop(next(iter(credits)))
            backlog = len(queue)
            self.at(self.now + HOP, self.start, entry, worker, progress, index, backlog)

    def send_back(self, entry: int, serial: int) -> None:
        """Return a credit that was not used: two messages for nothing."""
        worker = self.credits[entry].pop(serial, None)
        if worker is None or self.now > self.seconds:
            return
        self.measures.waste(messages=2)
        self.backlogs[worker][entry] = 0
        self.at(self.now + HOP, self.grant, worker)

    def grant(self, worker: int) -> None:
        """Give a credit to the entry that last told of the longest queue."""
        backlogs = self.backlogs[worker]
        self.turn = (self.turn + 1) % ENTRIES
        entry = max(
            range(ENTRIES),
            key=lambda one: (backlogs[one], (one - self.turn) % ENTRIES),
        )
        backlogs[entry] = max(0, backlogs[entry] - 1)
        self.at(self.now + HOP, self.receive, entry, worker)

    def start(
        self, entry: int, worker: int, progress: Progress, index: int, backlog: int
    ) -> None:
        """Run a task whose slot was kept for it."""
        self.backlogs[worker][entry] = backlog
        ends = self.spend(progress, index)
        self.at(ends, self.end, worker, progress, index)

    def end(self, worker: int, progress: Progress, index: int) -> None:
        """Send the result and grant the slot anew."""
        self.at(self.now + HOP + TO_ENTRY, self.deliver, progress, index)
        self.grant(worker)


POLICIES: list[type[Bench]] = [SharedQueue, RandomWorker, LeastOfTwo, Credits]
