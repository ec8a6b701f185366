"""Steps on the predicted wait of a job."""

import collections
import random

from behave import given, then, when

from cactuswalk.decisions.prospects import Demand, Prospects, spread_pause

KEY = ("plans", 1)
STEP_SECONDS = 0.01


def serve(context, waiting, rate, seconds, neighbours=0):
    """Have jobs wait, and part of them placed in each round, by a rate per second."""
    for _ in range(round(seconds / STEP_SECONDS)):
        own = {KEY: waiting} if waiting else {}
        context.prospects.record_backlogs(own, {KEY: neighbours}, context.now)
        context.now += STEP_SECONDS
        context.prospects.record_start(KEY, int(rate * STEP_SECONDS), context.now)


def predict(context, cpu, ahead=0, neighbours=0, free=0):
    demand = Demand(cpu, ahead, neighbours, free, 0)
    context.prospect = context.prospects.predict(KEY, demand, context.now)


@given("an entry that has placed nothing yet")
def step_new(context):
    context.now = 100.0
    context.prospects = Prospects()


@given(
    "an entry whose {waiting:d} waiting have been served at {rate:d} per second for"
    " {seconds:g} seconds"
)
def step_served(context, waiting, rate, seconds):
    step_new(context)
    context.waiting, context.rate, context.seconds = waiting, rate, seconds
    serve(context, waiting, rate, seconds)


@given("{neighbours:d} have been waiting at its neighbours meanwhile")
def step_neighbours(context, neighbours):
    step_new(context)
    serve(context, context.waiting, context.rate, context.seconds, neighbours)


@when("{waiting:d} waiting are served at {rate:d} per second for {seconds:g} second")
def step_serve(context, waiting, rate, seconds):
    serve(context, waiting, rate, seconds)


@when("their statuses are lost for {seconds:g} seconds")
def step_lost(context, seconds):
    serve(context, context.waiting, context.rate, seconds)


@when("nothing waits for {seconds:g} seconds")
def step_idle(context, seconds):
    serve(context, 0, 0, seconds)


@when("nothing waits for {seconds:g} seconds while {cpu:d} are placed")
def step_placed_at_once(context, seconds, cpu):
    serve(context, 0, cpu / seconds, seconds)


@when("{count:d} admitted jobs have missed their start")
def step_missed(context, count):
    for _ in range(count):
        context.prospects.margin(KEY).record_shed()


@when("a job of {cpu:d} finds {free:d} free")
def step_fits(context, cpu, free):
    predict(context, cpu, free=free)


@when("a job of {cpu:d} stands behind {ahead:d}")
def step_behind(context, cpu, ahead):
    predict(context, cpu, ahead)


@when("a job of {cpu:d} stands behind {ahead:d} and its neighbours' {neighbours:d}")
def step_behind_all(context, cpu, ahead, neighbours):
    predict(context, cpu, ahead, neighbours)


@then("nothing is predicted")
def step_nothing(context):
    assert context.prospect is None, context.prospect


@then("its predicted wait is {seconds:g} seconds")
def step_wait(context, seconds):
    assert abs(context.prospect.wait - seconds) < 0.01, context.prospect


@then("its predicted wait is between {least:g} and {most:g} seconds")
def step_wait_between(context, least, most):
    assert least <= context.prospect.wait <= most, context.prospect


@then("it can be admitted if it may wait for {seconds:g} seconds")
def step_admitted(context, seconds):
    assert not context.prospect.exceeds(seconds), context.prospect


@then("it can't be admitted if it may wait for {seconds:g} seconds")
def step_not_admitted(context, seconds):
    assert context.prospect.exceeds(seconds), context.prospect


@when(
    "{count:d} refused callers are told to come back while the queue needs"
    " {seconds:g} seconds"
)
def step_refused(context, count, seconds):
    generator = random.Random(1)
    names = [f"{generator.getrandbits(64):016x}" for _ in range(count)]
    context.pauses = [spread_pause(name, 1.0, seconds) for name in names]
    context.again = [spread_pause(name, 1.0, seconds) for name in names]


@then(
    "they come back in each of the seconds {first:d} to {last:d},"
    " at most {most:d} in one"
)
def step_spread(context, first, last, most):
    counts = collections.Counter(context.pauses)
    assert sorted(counts) == [float(n) for n in range(first, last + 1)], counts
    assert max(counts.values()) <= most, counts


@then("a caller who is refused twice is told the same")
def step_same(context):
    assert context.pauses == context.again
