"""Steps on jobs that are late after a full outage."""

from behave import given, then, when

from cactuswalk.decisions.recovery import (
    Recovery,
    count_free_slots,
    keeps_late_jobs,
)
from cactuswalk.dispatch.effects import Observe
from cactuswalk.dispatch.job import JobRequest, Step
from cactuswalk.dispatch.jobstate import JobState, make_tasks
from cactuswalk.dispatch.loadpolicy import LoadPolicy
from cactuswalk.dispatch.ordering import (
    choose_action,
    mark_late_jobs,
    sort_by_urgency,
)
from features.support.fleet import JOB, Fleet, queue

STARTED_AT = 100.0
RESERVED_SHARE = 0.1


def make_job(identifier, arrived_at, priority=0, wait=5.0):
    """Return a job of 0.4 s that is due 0.7 s after its arrival."""
    request = JobRequest(identifier, "spec", (Step(1, 1000, 64, 0, 400),))
    due_at = arrived_at + 0.7
    job = JobState(
        request,
        queue(priority=priority),
        {1: arrived_at + wait},
        arrived_at,
        0.4,
        arrived_at + 0.12,
        due_at,
    )
    make_tasks(job)
    return job


@given("an entry that has known no open worker, with a queue of {queued:g} seconds")
def step_no_worker(context, queued):
    context.recovery = Recovery()
    context.now = STARTED_AT
    context.queued = queued


@given(
    "an entry that has known workers for {seconds:g} seconds, with a queue of"
    " {queued:g} seconds"
)
def step_known(context, seconds, queued):
    context.recovery = Recovery()
    context.recovery.record_open_worker(STARTED_AT)
    context.recovery.record_open_worker(STARTED_AT + seconds)
    context.now = STARTED_AT + seconds
    context.queued = queued


@given(
    "an entry that has served its first queue after {seconds:g} seconds, with a queue"
    " of {queued:g} seconds"
)
def step_served(context, seconds, queued):
    step_known(context, seconds, queued)
    context.recovery.update(False, context.now)
    context.now += 0.1


@then("it {keeps} jobs that can't be on time any more")
def step_keeps(context, keeps):
    kept = keeps_late_jobs(context.recovery, context.queued, context.now)
    assert kept == (keeps == "keeps"), kept


@when("no job waits {seconds:g} seconds after the first worker was known")
def step_no_job_waits(context, seconds):
    context.recovery.update(False, STARTED_AT + seconds)


@then("the recovery goes on")
def step_goes_on(context):
    assert not context.recovery.has_ended


@then("the recovery has ended")
def step_has_ended(context):
    assert context.recovery.has_ended


@given("a job of 0.4 seconds whose caller waits for {wait:g} seconds")
def step_job(context, wait):
    context.job = make_job(JOB, STARTED_AT, wait=wait)


@when("an entry that {keeps} late jobs decides about it after {after:g} seconds")
def step_decides(context, keeps, after):
    context.action = choose_action(
        context.job, STARTED_AT + after, False, keeps == "keeps"
    )


@then("the job has to {action:w}")
def step_action(context, action):
    assert context.action.value == action, context.action


@given(
    "late jobs of the priorities 0 and 2, and jobs of the priorities 1 and 2 on time"
)
def step_order(context):
    context.now = STARTED_AT + 1.0
    context.jobs = [
        make_job(f"{number:016x}", arrived_at, priority)
        for number, (arrived_at, priority) in enumerate(
            [
                (STARTED_AT, 0),
                (STARTED_AT, 2),
                (context.now, 1),
                (context.now, 2),
            ]
        )
    ]


@then('the order of their priorities is "{priorities}"')
def step_ordered(context, priorities):
    mark_late_jobs(context.jobs, context.now)
    assert listed_priorities(context.jobs) == priorities


@then('without the setting it is "{priorities}"')
def step_ordered_without(context, priorities):
    for job in context.jobs:
        job.is_late = False
    assert listed_priorities(context.jobs) == priorities


def listed_priorities(jobs):
    return " ".join(str(job.queue.priority) for job in sort_by_urgency(jobs))


@given("free capacity of {one:d} and {other:d} on workers with {cpu:d}")
def step_free(context, one, other, cpu):
    context.free = [(one, cpu), (other, cpu)]


@then("{tasks:d} tasks of {size:d} fit beside their reserved shares")
def step_slots(context, tasks, size):
    slots = count_free_slots(context.free, size, RESERVED_SHARE)
    assert slots == tasks, slots


@given(
    "a fleet of {entries:d} entries and {workers:d} workers that serves late jobs:"
    " {setting:w}"
)
def step_fleet(context, entries, workers, setting):
    policy = LoadPolicy(serves_late=setting == "on")
    context.fleet = Fleet(entries, workers, policy=policy)
    context.waiters = {}
    context.observed = []
    perform = context.fleet.perform

    def record(name, state, effect):
        if isinstance(effect, Observe):
            context.observed.append((name, effect.name))
        perform(name, state, effect)

    context.fleet.perform = record


@when(
    "a job of {tasks:d} tasks of {seconds:g} seconds comes to {entry:w} from a caller"
    " that waits for {wait:g} seconds"
)
def step_leaving_caller(context, tasks, seconds, entry, wait):
    context.waiters[entry] = context.fleet.submit(
        entry, JOB, tasks, seconds=seconds, wait=wait
    )


@then("the job is refused as not run at {entry:w} within {seconds:g} seconds")
def step_refused_at_once(context, entry, seconds):
    context.fleet.run(seconds)
    assert context.fleet.verdict(context.waiters[entry]) == "not_run"


@then("{entry:w} has completed the job")
def step_completed(context, entry):
    waiter = context.waiters[entry]
    assert context.fleet.verdict(waiter) == "completed", context.fleet.answers[waiter]
    assert context.fleet.took(waiter) <= 2.1, context.fleet.took(waiter)


@then("{entry:w} has refused the job")
def step_refused_in_time(context, entry):
    waiter = context.waiters[entry]
    assert context.fleet.verdict(waiter) == "not_run", context.fleet.answers[waiter]
    assert context.fleet.took(waiter) <= 1.76, context.fleet.took(waiter)
    assert not context.fleet.starts


@when("{one:w} keeps all workers full, and {other:w} is killed and started again")
def step_alone(context, one, other):
    fleet = context.fleet
    for number in range(4):
        fleet.submit(one, f"{number + 1:016x}", 10, seconds=5.0, wait=30.0)
    fleet.run(0.5)
    fleet.kill(other)
    fleet.run(0.5)
    fleet.start_entry(other, "d1")


@then(
    "{entry:w} has counted {count:d} late start, and logged twice that it keeps no"
    " late jobs any more"
)
def step_seen(context, entry, count):
    assert context.observed.count((entry, "late_starts")) == count
    lines = [
        effect
        for _, name, effect in context.fleet.lines
        if name == entry and effect.sentence == "keeps no late jobs any more"
    ]
    # At the fleet's start, and after the outage.
    assert len(lines) == 2, lines
    assert lines[-1].fields["waiting"] == 0, lines[-1]
