"""Steps for one service on several cells."""

from behave import given, then, when

from cactuswalk.model import Outcome
from features.support.cells import two_cells
from features.support.judge import violations


@given("two cells of one service and an entry that knows only the first")
def step_two_cells(context):
    context.bag = two_cells()


@when("{count:d} keys are submitted at both entries")
def step_submit_both(context, count):
    for _ in range(count):
        job = context.bag.job()
        context.bag.submit("entry-0", job)
        context.bag.submit("entry-1", job)
        context.bag.run(0.05)
    context.bag.run(8.0)


@when("{count:d} keys are submitted at the entry that knows both and then at the other")
def step_submit_one_after_another(context, count):
    jobs = [context.bag.job() for _ in range(count)]
    for entry in ("entry-1", "entry-0"):
        for job in jobs:
            context.bag.submit(entry, job)
        context.bag.run(8.0)


@then("every submission at either entry is answered and ran once")
def step_ran_once(context):
    found = violations(context.bag)
    assert found == [], found
    outcomes = [handed.reply.outcome for handed in context.bag.handed.values()]
    assert set(outcomes) == {Outcome.ANSWERED}, outcomes
