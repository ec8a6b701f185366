"""Steps for the refusals of the scheduler."""

from behave import given, then, when

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.decisions.tasks import Assignment, Shed
from cactuswalk.model import Announcement, Capacity, Job, TaskSpec

SLOTS = 8


def worker(name, accelerators=0):
    capacity = Capacity(SLOTS, 64, 64, accelerators)
    return Announcement(name, "booking", "cluj", "r1", {}, capacity)


def offer(context, deadline=30.0, service="booking", selector="", **needs):
    context.offered = getattr(context, "offered", 0) + 1
    job = Job(f"t/{context.offered}", b"", service, "t", [TaskSpec(b"", **needs)])
    job.selector = selector
    context.refusal = context.scheduler.admit(job, deadline, context.now)
    return job


@given(
    'a scheduler with workers of {memory:d} MB, of which "{name}" has an accelerator'
)
def step_workers(context, memory, name):
    context.now = 0.0
    context.scheduler = Scheduler()
    for number in range(3):
        announcement = worker(f"w{number}", int(f"w{number}" == name))
        context.scheduler.set_worker(announcement, True, 0.0)


@when('a job of {count:d} accelerator is offered after "{name}" has left')
def step_offer_after(context, count, name):
    context.scheduler.remove_worker(name, 0.0)
    offer(context, accelerators=count)


@when("a job of {count:d} accelerators is offered")
def step_offer_accelerators(context, count):
    offer(context, accelerators=count)


@when("a job of {memory:d} MB is offered")
def step_offer_memory(context, memory):
    offer(context, memory_mb=memory)


@when('a job with the selector "{selector}" is offered')
def step_offer_selector(context, selector):
    offer(context, selector=selector)


@when("a job of another service is offered")
def step_offer_service(context):
    offer(context, service="routes")


@when("a job with {seconds:g} seconds left is offered")
def step_offer_deadline(context, seconds):
    offer(context, deadline=seconds)


@then('the scheduler refuses it as "{code}" with a retry delay')
def step_refused_later(context, code):
    assert context.refusal.code == code, context.refusal
    assert context.refusal.retry_after_ms > 0


@then('the scheduler refuses it as "{code}" without a retry delay')
def step_refused_never(context, code):
    assert context.refusal.code == code, context.refusal
    assert context.refusal.retry_after_ms is None


@given("a scheduler whose queue is full for deadlines of {seconds:g} seconds")
def step_full_queue(context, seconds):
    context.now = 0.0
    context.scheduler = Scheduler()
    context.scheduler.set_worker(worker("w0"), True, 0.0)
    context.running = []
    context.refusal = None
    while context.refusal is None:
        offer(context, deadline=seconds, duration_ms=300)
        start_assigned(context)


def start_assigned(context):
    for decision in context.scheduler.assign(context.now):
        if isinstance(decision, Assignment):
            context.running.append((context.now + 0.3, decision))


@when(
    "a job with {seconds:g} seconds left is refused and retried after the delay given"
)
def step_retry(context, seconds):
    context.idle_before = False
    retry_at = context.now + context.refusal.retry_after_ms / 1000
    while context.running and context.running[0][0] <= retry_at:
        context.now, ended = context.running.pop(0)
        name = (ended.task.job.submission, ended.task.index)
        context.scheduler.record_result(*name, ended.worker, True, 300, context.now)
        start_assigned(context)
    context.idle_before = context.scheduler.count_free_slots() == {"booking": SLOTS}
    context.now = retry_at
    offer(context, deadline=retry_at + seconds, duration_ms=300)


@then("it is admitted and the slots were never idle before")
def step_admitted(context):
    assert context.refusal is None, context.refusal
    assert not context.idle_before


@when('a queued job of {count:d} accelerator loses "{name}" and its deadline comes')
def step_worker_lost(context, count, name):
    for _ in range(SLOTS + 1):
        last = offer(context, deadline=5.0, accelerators=count and 1)
        context.scheduler.assign(0.0)
    context.scheduler.remove_worker(name, 1.0)
    context.last = last.submission
    context.decided = context.scheduler.assign(5.0)


@then('the scheduler sheds it as "{code}"')
def step_shed(context, code):
    sheds = [decision for decision in context.decided if isinstance(decision, Shed)]
    shed = {decision.task.job.submission: decision.refusal for decision in sheds}
    assert shed[context.last].code == code, shed


@given('a scheduler where team "{team}" may run {limit:d} tasks at a time')
def step_quota(context, team, limit):
    context.now = 0.0
    context.scheduler = Scheduler()
    for number in range(2):
        context.scheduler.set_worker(worker(f"w{number}"), True, 0.0)
    context.scheduler.set_quota("booking", team, maximum_running=limit)
    context.limit = limit


@when('team "{team}" offers {count:d} jobs with {seconds:g} seconds left')
def step_team_offers(context, team, count, seconds):
    context.codes = []
    for number in range(count):
        job = Job(f"{team}/{number}", b"", "booking", team, [TaskSpec(b"")])
        refusal = context.scheduler.admit(job, seconds, 0.0)
        context.codes.append(refusal and str(refusal.code))
    context.started = context.scheduler.assign(0.0)


@then('{limit:d} tasks of team "{team}" run and further jobs are refused as "{code}"')
def step_quota_holds(context, limit, team, code):
    assert len(context.started) == limit, context.started
    assert set(context.codes) == {None, code}, context.codes


@then('each finished task of team "{team}" lets the next one start')
def step_next_starts(context, team):
    queued = sum(context.scheduler.count_queued().values())
    assert queued
    for _ in range(queued):
        ended = context.started.pop(0)
        name = (ended.task.job.submission, ended.task.index)
        context.scheduler.record_result(*name, ended.worker, True, 300, 0.1)
        started = context.scheduler.assign(0.1)
        assert len(started) == 1, started
        context.started.extend(started)
