"""Steps for the scheduler's accounting of tasks and slots."""

import random

from behave import given, then, when
from hypothesis import given as drawn, settings, strategies

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.decisions.tasks import Assignment, Shed
from cactuswalk.model import Announcement, Capacity, Job, TaskSpec


def announce(name, slots=2, memory_mb=0, accelerators=0, labels=None):
    capacity = Capacity(slots, 64, memory_mb, accelerators)
    rack = f"r{int(name[1:]) // 3}"
    return Announcement(name, "booking", "cluj", rack, labels or {}, capacity)


def make_job(name, tasks=1, team="t", **extra):
    specs = [TaskSpec(b"", 300) for _ in range(tasks)]
    return Job(f"{team}/{name}", b"", "booking", team, specs, **extra)


class EventSequence:
    """Applies random events to a scheduler and checks its counts."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.scheduler = Scheduler()
        self.now = 0.0
        self.jobs = 0
        self.queued = {}
        self.running = {}
        for index in range(3):
            self.set_worker(f"w{index}")

    def set_worker(self, name):
        memory_mb = self.generator.choice([0, 100])
        labels = {"tier": self.generator.choice(["gold", "tin"])}
        announcement = announce(name, 3, memory_mb, 1, labels)
        self.scheduler.set_worker(announcement, True, self.now)

    def admit(self):
        self.jobs += 1
        draw = self.generator
        specs = [
            TaskSpec(b"", draw.choice([0, 100, 5000]), draw.choice([0, 60]), 0)
            for _ in range(draw.randint(1, 6))
        ]
        team, caller = draw.choice("ab"), draw.choice("xyz")
        selector = draw.choice(["", "tier=gold", "tier=lead"])
        job = Job(f"{team}/{self.jobs}", b"", "booking", team, specs, caller, selector)
        deadline = self.now + draw.choice([0.1, 2.0, 30.0])
        if self.scheduler.admit(job, deadline, self.now) is None:
            for index in range(len(specs)):
                self.queued[job.submission, index] = None

    def assign(self):
        for decision in self.scheduler.assign(self.now):
            task = decision.task
            name = (task.job.submission, task.index)
            assert name in self.queued, f"{name} left the queue twice"
            del self.queued[name]
            if isinstance(decision, Assignment):
                self.running[name] = (task, decision.worker)
            else:
                assert isinstance(decision, Shed)

    def end(self):
        if not self.running:
            return
        name = self.generator.choice(list(self.running))
        task, worker = self.running.pop(name)
        if self.generator.random() < 0.2:
            self.scheduler.requeue(task, worker, self.now)
            self.queued[name] = None
            return
        succeeded = self.generator.random() < 0.7
        self.scheduler.record_result(*name, worker, succeeded, 100, self.now)

    def cancel(self):
        if not self.queued:
            return
        submission = self.generator.choice(list(self.queued))[0]
        for task in self.scheduler.cancel(submission, self.now):
            del self.queued[task.job.submission, task.index]
        assert not any(name[0] == submission for name in self.queued)

    def lose_worker(self):
        name = f"w{self.generator.randrange(3)}"
        self.scheduler.remove_worker(name, self.now)
        lost = [key for key, (_, worker) in self.running.items() if worker == name]
        for key in lost:
            task, _ = self.running.pop(key)
            if self.generator.random() < 0.5:
                self.scheduler.requeue(task, name, self.now)
                self.queued[key] = None
        self.set_worker(name)

    def step(self):
        self.now += self.generator.choice([0.0, 0.01, 0.3])
        actions = [self.admit, self.assign, self.assign, self.end, self.end]
        actions += [self.cancel, self.lose_worker]
        weights = [4, 4, 4, 4, 4, 1, 1]
        self.generator.choices(actions, weights)[0]()
        self.check()

    def check(self):
        assert sum(self.scheduler.count_queued().values()) == len(self.queued)
        for name, worker in self.scheduler.cell.pool.workers.items():
            held = {key for key, (_, where) in self.running.items() if where == name}
            assert set(worker.running) == held
            assert len(held) <= worker.slots
            assert worker.memory_mb >= 0

    def finish_all(self):
        for _ in range(2000):
            self.now += 0.3
            self.assign()
            if not self.queued and not self.running:
                break
            for name, (_, worker) in list(self.running.items()):
                del self.running[name]
                self.scheduler.record_result(*name, worker, True, 100, self.now)
        assert not self.queued, "a task never left the queue"
        assert not self.scheduler.cell.jobs
        state = self.scheduler.cell.service("booking")
        assert (state.jobs_queued, state.long_running) == (0, 0)
        assert all(share.running == 0 for share in state.teams.shares.values())


@then(
    "{count:d} random event sequences keep the scheduler's tasks and slots consistent"
)
def step_event_sequences(context, count):
    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @drawn(strategies.integers(0, 2**32), strategies.integers(1, 120))
    def check(seed, steps):
        sequence = EventSequence(seed)
        for _ in range(steps):
            sequence.step()
        sequence.finish_all()

    check()


@given("a scheduler with {workers:d} workers of {slots:d} slots")
@given("a scheduler with {workers:d} workers of {slots:d} slot")
def step_scheduler(context, workers, slots):
    context.scheduler = Scheduler()
    for index in range(workers):
        context.scheduler.set_worker(announce(f"w{index}", slots), True, 0.0)


@when('scheduler worker "{name}" is drained')
def step_drain(context, name):
    context.scheduler.set_drained(name, True, 0.0)


@when("{count:d} single scheduler jobs are admitted and assigned")
def step_admit(context, count):
    for index in range(count):
        assert context.scheduler.admit(make_job(f"j{index}"), 30.0, 0.0) is None
    context.started = context.scheduler.assign(0.0)


@when("the first started task is declined by its worker {times:d} times in a row")
def step_decline(context, times):
    first = context.started[0]
    context.worker = first.worker
    for _ in range(times):
        context.scheduler.requeue(first.task, context.worker, 0.01)
        context.again = context.scheduler.assign(0.01)


@then("{count:d} scheduler tasks are queued")
def step_queued(context, count):
    assert context.scheduler.count_queued() == {"booking": count}


@then("that scheduler task was started again before the third job")
def step_first_again(context):
    second = context.started[1]
    submission, index = second.task.job.submission, second.task.index
    scheduler = context.scheduler
    scheduler.record_result(submission, index, second.worker, True, 10, 0.02)
    started = context.again + scheduler.assign(0.02)
    assert started[0].task.job.submission == "t/j0", started


@then("the declining worker is paused for a while")
def step_paused(context):
    pool = context.scheduler.cell.pool
    assert pool.workers[context.worker].free == 0
    context.scheduler.assign(10.0)
    assert pool.workers[context.worker].running


@then('scheduler worker "{name}" has {held:d} tasks and {queued:d} task is queued')
def step_held(context, name, held, queued):
    assert len(context.scheduler.cell.pool.workers[name].running) == held
    assert context.scheduler.count_queued() == {"booking": queued}


@then('the scheduler explains that "{name}" takes nothing because "{reason}"')
def step_explained(context, name, reason):
    explained = context.scheduler.explain(make_job("x"), 0.0)
    verdicts = {explanation.worker: explanation.verdict for explanation in explained}
    assert reason in verdicts[name], verdicts


def admit_one(context):
    context.number = getattr(context, "number", 0) + 1
    job = make_job(f"x{context.number}")
    assert context.scheduler.admit(job, context.now + 30, context.now) is None
    started = context.scheduler.assign(context.now)
    assert len(started) == 1, started
    return started[0]


def end_one(context, started):
    name = (started.task.job.submission, started.task.index)
    context.scheduler.record_result(*name, started.worker, True, 100, context.now)


@when(
    'two scheduler tasks hang on "{hung}" for {seconds:g} seconds while "{other}" '
    "goes on"
)
def step_hang_on(context, hung, seconds, other):
    context.now = 0.0
    context.hanging = []
    while len(context.hanging) < 2:
        started = admit_one(context)
        if started.worker == hung:
            context.hanging.append(started)
    while context.now < seconds:
        context.now += 0.1
        started = admit_one(context)
        if started.worker == other:
            end_one(context, started)


@then('{count:d} more scheduler tasks all go to "{worker}"')
def step_all_go(context, count, worker):
    chosen = {admit_one(context).worker for _ in range(count)}
    assert chosen == {worker}, chosen


@when("one of the hanging scheduler tasks ends")
def step_one_ends(context):
    end_one(context, context.hanging[0])


@then('the next scheduler task goes to "{worker}"')
def step_goes(context, worker):
    assert admit_one(context).worker == worker
