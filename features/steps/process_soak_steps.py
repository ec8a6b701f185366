"""Steps that play random faults on real processes."""

from behave import then, when

from tools.soak_processes import Day


@when("a day of {seconds:g} seconds with seed {seed:d} is played on real processes")
def step_day(context, seconds, seed):
    context.day = Day(seed, seconds)
    context.violations = context.day.play()


@then("no guarantee was violated on it")
def step_kept(context):
    assert not context.violations, (context.violations, context.day.faults)


@then("at least {count:d} jobs were answered")
def step_answered(context, count):
    assert len(context.day.jobs) >= count, context.day.summary()
