"""Steps on the pure functions of the setting measure_headroom."""

from behave import then, when

from cactuswalk.decisions.headroom import (
    Demand,
    DemandWindow,
    headroom_share,
    queues_over_share,
)

CORE = 1_000


def demand(rate, cores, seconds):
    """Return the demand of a second of jobs of one size."""
    cpu = cores * CORE
    return Demand(rate * cpu * seconds, rate * cpu * cpu * seconds)


@when("the more urgent priorities need nothing")
def step_nothing(context):
    context.share = headroom_share([], 0, 100 * CORE, 100 * CORE)


@when(
    "{rate:d} jobs a second need {cores:d} cores for {seconds:g} s, {used:d} cores are"
    " in use and the part is {part:d}"
)
def step_need(context, rate, cores, seconds, used, part):
    need = demand(rate, cores, seconds)
    context.share = headroom_share([need], used * CORE, part * CORE, part * CORE)


@then("the share is {share:g}")
def step_share(context, share):
    assert abs(context.share - share) < 0.001, context.share


@when("three entries share the workers and each has the same demand")
def step_sharers(context):
    need = demand(10, 4, 0.1)
    part = 100 * CORE
    context.shares = [
        headroom_share([need], 0, part, capacity) for capacity in (part, 3 * part)
    ]


@then("each leaves less than one that has the workers for itself")
def step_less(context):
    assert 0 < context.shares[1] < context.shares[0], context.shares


@when("jobs come for 5 seconds and then none")
def step_jobs(context):
    context.window = DemandWindow(0.0)
    for number in range(50):
        context.window.record(demand(1, 4, 0.1), number / 10)
    context.before = context.window.per_second(4.9).work


@then(
    "the demand is at most half after {half:g} seconds and nothing after {end:g}"
    " seconds"
)
def step_decays(context, half, end):
    assert abs(context.before / (10 * 4 * CORE * 0.1) - 1) < 0.15, context.before
    assert context.window.per_second(4.9 + half).work <= context.before / 2
    assert context.window.per_second(4.9 + end).work == 0


@when("the first job came 0.5 seconds ago")
def step_first(context):
    context.window = DemandWindow(10.0)
    context.window.record(demand(1, 4, 0.1), 10.0)


@then("there is no history")
def step_no_history(context):
    assert not context.window.has_history(10.5)
    assert context.window.has_history(11.0)


@when("two queues use {first:d} and {second:d} cores")
def step_two_queues(context, first, second):
    context.over = queues_over_share({"first": first * CORE, "second": second * CORE})


@when("a queue uses {cores:d} cores alone")
def step_one_queue(context, cores):
    context.over = queues_over_share({"first": cores * CORE})


@then("the second is over its part, and the first is not")
def step_second(context):
    assert context.over == {"second"}


@then("no queue is over its part")
def step_none(context):
    assert not context.over


@when("tasks use 10 cores, or 90, beside less urgent ones that use 90, or 10")
def step_between(context):
    need, part = demand(10, 4, 0.1), 100 * CORE
    context.shares = [
        headroom_share([need], 0, part, part, own, lesser)
        for own, lesser in ((10, 90), (90, 10), (100, 0))
    ]


@then("they leave less in the first case, and not nothing")
def step_less_not_nothing(context):
    assert 0 < context.shares[0] < context.shares[1], context.shares


@then("in the second case nearly what they leave alone")
def step_nearly(context):
    assert 0.9 * context.shares[2] <= context.shares[1] <= context.shares[2]
