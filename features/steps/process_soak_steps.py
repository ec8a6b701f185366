"""Steps that play random faults on real processes."""

from behave import then, when

from tools.soak_processes import Day


@when("a day of {seconds:g} seconds with seed {seed:d} is played on real processes")
def step_day(context, seconds, seed):
    context.day = Day(seed, seconds)
    context.broken = context.day.play()


@then("no promise was broken on it")
def step_kept(context):
    assert not context.broken, (context.broken, context.day.faults)


@then("at least {count:d} jobs were answered")
def step_answered(context, count):
    assert len(context.day.jobs) >= count, context.day.summary()
