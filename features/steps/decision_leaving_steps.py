"""Steps for the shutdown of an entry behind a balancer."""

from behave import given, then, when

from cactuswalk.decisions.leaving import EntryShutdown

STEP_S = 0.05
BEGAN_AT = 100.0


@given("an entry that a balancer asks for readiness each second")
def step_asked(context):
    context.shutdown = EntryShutdown()
    for before in range(5, 0, -1):
        context.shutdown.record_readiness_check(True, BEGAN_AT - before)
    context.shutdown.begin(BEGAN_AT)


@given("an entry that was asked for readiness while it started only")
def step_not_asked(context):
    context.shutdown = EntryShutdown()
    for before in (3.2, 3.1):
        context.shutdown.record_readiness_check(False, BEGAN_AT - before)
    context.shutdown.record_readiness_check(True, BEGAN_AT - 3.0)
    context.shutdown.begin(BEGAN_AT)


def seconds_until_exit(shutdown, submits_until, asks_from):
    """Return how many seconds after the stop the entry may exit."""
    for number in range(int(60 / STEP_S)):
        after = number * STEP_S
        if after >= asks_from and number % 20 == 0:
            shutdown.record_readiness_check(False, BEGAN_AT + after)
        if after < submits_until and number % 10 == 0:
            shutdown.record_submission(BEGAN_AT + after)
        if shutdown.can_stop(BEGAN_AT + after):
            return after
    raise AssertionError("the entry never exits")


@when("it gets a submission each half second, and the balancer asks after {asks:d} s")
def step_balancer(context, asks):
    # The balancer sends until its first check after the stop.
    context.exited_after = seconds_until_exit(context.shutdown, asks, asks)


@when("it gets no submission")
def step_no_submission(context):
    context.exited_after = seconds_until_exit(context.shutdown, 0, float("inf"))


@then("it exits between {least:d} and {most:d} seconds after it was told to stop")
def step_exits(context, least, most):
    assert least <= context.exited_after <= most, context.exited_after
