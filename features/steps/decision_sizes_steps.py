"""Steps for tasks that need a large part of a worker's memory."""

import heapq

from behave import given, then, when

from cactuswalk.decisions.guard import Usage
from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.model import Announcement, Capacity, Job, TaskSpec

RUN_SECONDS = 0.3


class MemoryLoad:
    """Runs tasks of given memory sizes, 300 ms each, on a virtual clock."""

    def __init__(self, workers, slots, memory_mb):
        self.scheduler = Scheduler()
        self.now = 0.0
        self.jobs = 0
        self.running = []
        self.started = {}
        for number in range(workers):
            capacity = Capacity(slots, 64, memory_mb, 0)
            announcement = Announcement(
                f"w{number}", "plans", "cluj", f"r{number}", {}, capacity
            )
            self.scheduler.set_worker(announcement, True, 0.0)

    def submit(self, memory_mb):
        self.jobs += 1
        job = Job(f"t/{self.jobs}", b"", "plans", "t", [TaskSpec(b"", 300, memory_mb)])
        self.scheduler.admit(job, self.now + 20, self.now)
        return job.submission

    def step(self, seconds):
        self.now += seconds
        while self.running and self.running[0][0] <= self.now:
            _, _, name, worker = heapq.heappop(self.running)
            self.scheduler.record_result(name, 0, worker, True, 300, self.now)
        for assignment in self.scheduler.assign(self.now):
            name = assignment.task.job.submission
            self.started[name] = self.now
            # Staggered ends free the memory in small pieces.
            ends = self.now + RUN_SECONDS + 0.01 * (len(self.started) % 7)
            serial = len(self.started)
            heapq.heappush(self.running, (ends, serial, name, assignment.worker))

    def keep_queued(self, memory_mb, seconds):
        until = self.now + seconds
        while self.now < until:
            while sum(self.scheduler.count_queued().values()) < 20:
                self.submit(memory_mb)
            self.step(0.01)


@given(
    "a sizing scheduler with {workers:d} workers of {slots:d} slots and {memory:d} MB"
)
def step_sizes(context, workers, slots, memory):
    context.load = MemoryLoad(workers, slots, memory)


@when("tasks of {small:d} MB come all the time and one of {large:d} MB after 1 second")
def step_large(context, small, large):
    context.load.keep_queued(small, 1.0)
    context.large = context.load.submit(large)
    context.before = len(context.load.started)
    context.submitted_at = context.load.now
    context.load.keep_queued(small, 8.0)


@then("the sizing scheduler starts the large task within {seconds:d} seconds")
def step_started(context, seconds):
    assert context.large in context.load.started, "the large task never started"
    waited = context.load.started[context.large] - context.submitted_at
    assert waited <= seconds, waited


@then("small tasks were started meanwhile")
def step_small_started(context):
    # One of two workers is reserved for a while: half of 8 s at 6 tasks in 0.33 s.
    assert len(context.load.started) - context.before > 72


@when("tasks of {size:d} MB come all the time, and reports say that each uses {used:d}")
def step_reports(context, size, used):
    context.size = size
    report_usage(context, used)


@when("reports say that each uses {used:d}")
def step_reports_again(context, used):
    report_usage(context, used)


def report_usage(context, used):
    load = context.load
    for _ in range(150):
        load.keep_queued(context.size, 0.1)
        usages = [
            Usage(name, context.size, used) for _, _, name, worker in load.running
        ]
        load.scheduler.process_usage_report("w0", usages, load.now)
    load.keep_queued(context.size, 1.0)


@then("the sizing scheduler runs {count:d} of them at a time")
def step_at_a_time(context, count):
    assert len(context.load.running) == count, len(context.load.running)
