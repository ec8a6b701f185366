"""Steps for the two measures."""

from behave import given, then, when

from tools.measures import Measures


@given("measures with an empty round trip of {trip:d} ms")
def step_measures(context, trip):
    context.measures = Measures(trip / 1000)


@when("a job with tasks of {first:d} and {second:d} ms is answered after {took:d} ms")
def step_answered(context, first, second, took):
    context.measures.answer(took / 1000, [first / 1000, second / 1000])


@when("a measured job fails after {sent:d} wasted messages and {calls:d} wasted call")
def step_failed(context, sent, calls):
    context.measures.waste(messages=sent, calls=calls)
    context.measures.fail()


@when("a measured job is refused after {took:d} ms")
def step_refused_after(context, took):
    context.measures.refuse(took / 1000)


@then("the measured job slowdown p50 is {expected:g}")
def step_slowdown(context, expected):
    assert context.measures.report(8, 1).job_p50 == expected


@then("the measured waste is {expected:g} per answered request")
def step_waste(context, expected):
    assert context.measures.report(8, 1).waste == expected


@then(
    "{offered:d} measured jobs were offered, "
    "{a:d} answered, {r:d} refused, {f:d} failed"
)
def step_counts(context, offered, a, r, f):
    report = context.measures.report(8, 1)
    counts = (report.offered, report.answered, report.refused, report.failed)
    assert counts == (offered, a, r, f), report
