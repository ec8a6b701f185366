"""Steps for an entry that leaves."""

from behave import given, then, when

from cactuswalk.decisions.leaving import EntryShutdown

STEP_S = 0.05
BEGAN_AT = 100.0


@given("an entry that a balancer asks for readiness each second")
def step_asked(context):
    context.leaving = EntryShutdown()
    for before in range(5, 0, -1):
        context.leaving.record_readiness_check(True, BEGAN_AT - before)
    context.leaving.begin(BEGAN_AT)


@given("an entry that was asked for readiness while it started only")
def step_not_asked(context):
    context.leaving = EntryShutdown()
    for before in (3.2, 3.1):
        context.leaving.record_readiness_check(False, BEGAN_AT - before)
    context.leaving.record_readiness_check(True, BEGAN_AT - 3.0)
    context.leaving.begin(BEGAN_AT)


def left_after(leaving, submits_until, asks_from):
    """Return after how long it may leave."""
    for number in range(int(60 / STEP_S)):
        after = number * STEP_S
        if after >= asks_from and number % 20 == 0:
            leaving.record_readiness_check(False, BEGAN_AT + after)
        if after < submits_until and number % 10 == 0:
            leaving.record_submission(BEGAN_AT + after)
        if leaving.can_exit(BEGAN_AT + after):
            return after
    raise AssertionError("it never leaves")


@when("it gets a submission each half second, and the balancer asks after {asks:d} s")
def step_balancer(context, asks):
    # The balancer sends until it has been told.
    context.left = left_after(context.leaving, asks, asks)


@when("it gets no submission")
def step_nothing(context):
    context.left = left_after(context.leaving, 0, float("inf"))


@then("it leaves between {least:d} and {most:d} seconds after it was told to")
def step_left(context, least, most):
    assert least <= context.left <= most, context.left
