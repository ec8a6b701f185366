"""Steps on workers whose capacity changes while they run."""

import msgspec
from behave import given, then, when

from features.support.fleet import Fleet


def resize(context, cores):
    worker = context.fleet.workers["a0"]
    worker.resize(cores * 1000)
    return worker


@when("a0's worker {verb:w} to {cores:d} cores and sends a heartbeat")
def step_resize_seen(context, verb, cores):
    context.fleet.run(0.1)
    resize(context, cores)
    context.resized_at = context.fleet.now
    context.fleet.announce("a0")


@given("a fleet of 1 entries and 1 workers with {count:d} accelerators")
def step_fleet_with_accelerators(context, count):
    context.fleet = fleet = Fleet(1, 1)
    fleet.workers["a0"].resize(gpu=count)
    fleet.run(1.0)


@when("a0's worker shrinks to {left:d} {of} right after a heartbeat")
def step_size_shrinks(context, left, of):
    context.fleet.announce("a0")
    sizes = {
        "cores": {"cpu": left * 1000},
        "GB of memory": {"memory_mb": left * 1024},
        "accelerators": {"gpu": left},
    }
    context.fleet.workers["a0"].resize(**sizes[of])


@when(
    "large jobs of {cores:d} cores, {memory:d} GB and {count:d} accelerators and small "
    "ones of 3 cores come to e0 for 1 second"
)
def step_large_and_small_jobs(context, cores, memory, count):
    fleet = context.fleet
    context.small = []
    for number in range(20):
        large = f"{2 * number:016x}"
        fleet.submit(
            "e0", large, 1, cores * 1000, 0.1, 4.0, None, None, memory << 10, count
        )
        fleet.run(0.01)
        small = f"{2 * number + 1:016x}"
        context.small.append(fleet.submit("e0", small, 1, 3000, 0.1, 4.0))
        fleet.run(0.04)


@then("at least {least:d} small jobs were completed within {seconds:g} seconds")
def step_small_completed(context, least, seconds):
    fleet = context.fleet
    took = [
        fleet.took(waiter)
        for waiter in context.small
        if fleet.verdict(waiter) == "completed"
    ]
    on_time = [one for one in took if one <= seconds]
    assert len(on_time) >= least, sorted(took)


@when(
    "{jobs:d} jobs of 1 tasks of {seconds:g} seconds come to e0 within {span:g} second"
)
def step_jobs_within(context, jobs, seconds, span):
    fleet = context.fleet
    first = len(fleet.arrivals)
    context.jobs = []
    for number in range(first, first + jobs):
        context.jobs.append(
            fleet.submit("e0", f"{number:016x}", 1, seconds=seconds, wait=4.0)
        )
        fleet.run(span / jobs)


@when("a job of 1 task of {cores:d} cores and {seconds:g} seconds waits at e0")
def step_wide_job(context, cores, seconds):
    context.fleet.run(0.1)
    context.jobs = [
        context.fleet.submit("e0", "00000000000000bb", 1, cores * 1000, seconds)
    ]
    assert not context.fleet.answers, context.fleet.answers


@then("its worker has refused at most {most:d} starts")
def step_refused(context, most):
    context.fleet.run(6.0)
    refused = count_refusals(context.fleet)
    assert refused <= most, refused


@then("its worker has refused at least {least:d} starts")
def step_refused_many(context, least):
    assert count_refusals(context.fleet) >= least, count_refusals(context.fleet)


def count_refusals(fleet):
    """Return the number of starts that workers refused for lack of room."""
    said = [line for _, _, line in fleet.lines]
    return sum(line.sentence == "the worker refused a start" for line in said)


@then("at least {least:d} of the jobs are completed")
def step_some_completed(context, least):
    verdicts = [context.fleet.verdict(waiter) for waiter in context.jobs]
    assert verdicts.count("completed") >= least, verdicts


@then("the last {count:d} jobs are completed")
def step_last_completed(context, count):
    verdicts = [context.fleet.verdict(waiter) for waiter in context.jobs]
    assert verdicts == ["completed"] * count, verdicts


@then("a refused job is told to come back in {least:d} to {most:d} seconds")
def step_come_back(context, least, most):
    context.fleet.run(6.0)
    _, answer = context.fleet.answers[context.jobs[0]]
    assert answer.verdict.value == "not_run", answer
    assert least <= answer.retry_after <= most, answer


@then("the waiting job is refused as not run within {most:g} seconds")
def step_refused_at_once(context, most):
    context.fleet.run(6.0)
    at, answer = context.fleet.answers[context.jobs[0]]
    assert answer.verdict.value == "not_run", answer
    assert at - context.resized_at <= most, at - context.resized_at


@given(
    "an entry that knows workers with {one:d} and {other:d} cores free, and {cores:d} "
    "cores waiting"
)
def step_entry_knows(context, one, other, cores):
    context.fleet = fleet = Fleet(1, 2)
    state = context.state = fleet.states["e0"]
    for view, free in zip(state.views.values(), (one, other), strict=True):
        view.report = msgspec.structs.replace(view.report, free_cpu=free * 1000)
        view.free_cpu, view.skipped_until = 0, fleet.now + 1.0
    fleet.submit("e0", "00000000000000cc", cores // 3, seconds=1.0)


@then("its queue is {seconds:g} second long")
def step_queue_long(context, seconds):
    assert abs(context.state.queued_seconds() - seconds) < 0.1, (
        context.state.queued_seconds()
    )
