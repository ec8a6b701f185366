"""Steps for the division of an agent's free capacity among entries."""

import re

from behave import given, then, when

from cactuswalk.decisions.division import Division, EntryShare

CORE = 1000


def divide(context, free, unit, reserve=0):
    context.free = free * CORE
    shares = list(context.shares.values())
    context.division.expire(shares, context.now)
    context.division.grant(
        context.free, unit * CORE, reserve * CORE, shares, context.now
    )
    context.unit, context.reserve = unit, reserve
    for share in shares:
        share.record_report(context.division.told(share, context.free))


def record_start(context, name, cpu, is_declined):
    return context.shares[name].record_start(
        cpu, context.unit * CORE, context.reserve * CORE, is_declined, context.now
    )


def told(context):
    return {name: share.told_cpu // CORE for name, share in context.shares.items()}


@given("entries {names} with {sizes} cores waiting")
def step_entries(context, names, sizes):
    context.now = 10.0
    context.division = Division()
    context.shares = {}
    names = re.split(", | and ", names)
    sizes = re.split(", | and ", sizes)
    for name, size in zip(names, sizes, strict=True):
        context.shares[name] = EntryShare()
        context.shares[name].record_backlog(int(size) * CORE, context.now)


@given("both have left {cores:d} cores unused")
def step_left_unused(context, cores):
    for share in context.shares.values():
        share.unused_cpu, share.unused_at = cores * CORE, context.now


@when("{free:d} cores are free, and tasks take {unit:d}")
def step_free(context, free, unit):
    divide(context, free, unit)


@when(
    "{free:d} cores are free, tasks take {unit:d}, and {reserve:d} are for urgent ones"
)
def step_free_reserve(context, free, unit, reserve):
    divide(context, free, unit, reserve)


@when("{cores:d} cores are freed {times:d} times, and each grant is used")
def step_freed(context, cores, times):
    context.grants = dict.fromkeys(context.shares, 0)
    for _ in range(times):
        context.now += 0.001
        divide(context, cores, cores)
        for name, share in context.shares.items():
            context.grants[name] += record_start(
                context, name, share.granted_cpu, False
            )


@when("{name:w} sends a start of {cores:d} cores")
def step_start(context, name, cores):
    record_start(context, name, cores * CORE, False)


@when("{name:w} sends a start of {cores:d} cores that is declined")
def step_declined_start(context, name, cores):
    record_start(context, name, cores * CORE, True)


@when("{name:w} echoes a report of {seconds:g} seconds later")
def step_echo(context, name, seconds):
    context.now += seconds
    context.shares[name].record_backlog(context.shares[name].waiting_cpu, context.now)
    context.shares[name].record_echo(context.now)


@when("{name:w} has nothing waiting any more")
def step_nothing_waiting(context, name):
    context.shares[name].record_backlog(0, context.now)


@when("{seconds:g} seconds go by at the agent")
def step_pass(context, seconds):
    context.now += seconds
    if hasattr(context, "free"):
        divide(context, context.free // CORE, context.unit)


@then("one entry is told {cores:d} cores and the others {rest:d}")
def step_one_told(context, cores, rest):
    values = sorted(told(context).values())
    assert values == [rest] * (len(values) - 1) + [cores], values


@then("every entry is told {cores:d} cores")
def step_all_told(context, cores):
    assert set(told(context).values()) == {cores}, told(context)


@then("{name:w} is told {cores:d} cores")
def step_told(context, name, cores):
    assert told(context)[name] == cores, told(context)


@then("{name:w} has a grant of {cores:d} cores")
def step_grant(context, name, cores):
    assert context.shares[name].granted_cpu == cores * CORE, context.shares[name]


@then("a, b and c have got {a:d}, {b:d} and {c:d} grants, give or take 1")
def step_grants(context, a, b, c):
    expected = {"a": a, "b": b, "c": c}
    assert all(abs(context.grants[name] - expected[name]) <= 1 for name in expected), (
        context.grants
    )


@then(
    "some entry is told at least {cores:d} cores, now or after the grants have expired"
)
def step_told_sometime(context, cores):
    for _ in range(5):
        if max(told(context).values()) >= cores:
            return
        context.now += 0.031
        for share in context.shares.values():
            share.record_backlog(share.waiting_cpu, context.now)
            share.record_echo(context.now)
        divide(context, context.free // CORE, context.unit)
    raise AssertionError(told(context))
