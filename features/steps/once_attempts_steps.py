"""Steps for second attempts, run on the reducers."""

from behave import given, then, when

from cactuswalk.model import Outcome
from features.support.bag import small_cell
from features.support.judge import violations

AGENTS = 4


@given("a settled cell of second attempts")
def step_cell(context):
    context.bag = small_cell(AGENTS, seed=11)


@given("its operators enable hedging")
def step_hedging(context):
    owner = context.bag.owner().state.owner
    owner.hedged_services = frozenset(["routes"])


@then("it started once")
def step_once(context):
    assert len(own_starts(context)) == 1
    assert context.handed.reply.outcome is Outcome.ANSWERED


@given("200 requests of 20 ms have been answered")
def step_warm(context):
    bag = context.bag
    for _ in range(200):
        job = bag.job(duration_ms=20, idempotent=True)
        bag.submit("entry-0", job)
        bag.run(0.01)
    bag.run(1.0)


def submit(context, **fields):
    job = context.bag.job(**fields)
    context.handed = context.bag.submit("entry-0", job, 8000)
    context.bag.run(0.1)
    return job


def runs_on(context, job) -> str:
    return [one for one in context.bag.starts() if one.submission == job.submission][
        0
    ].worker


@when("an idempotent request of 800 ms runs on a worker that then dies")
def step_dies(context):
    job = submit(context, duration_ms=800, idempotent=True)
    context.bag.kill(runs_on(context, job))
    context.bag.run(9.0)


@when("a request that is not idempotent runs on a worker that then dies")
def step_dies_once(context):
    job = submit(context, duration_ms=800)
    context.bag.kill(runs_on(context, job))
    context.bag.run(9.0)


@when("an idempotent request meets an upstream that fails")
def step_fails(context):
    bag = context.bag
    for upstream in bag.upstreams.values():
        upstream.status = 503
    submit(context, duration_ms=300, idempotent=True)
    for upstream in bag.upstreams.values():
        upstream.status = 200
    bag.run(2.0)


@when("an idempotent request hangs for {seconds:d} seconds on its worker")
def step_hangs(context, seconds):
    bag = context.bag
    for upstream in bag.upstreams.values():
        upstream.hangs = float(seconds)
    submit(context, duration_ms=20, idempotent=True)
    for upstream in bag.upstreams.values():
        upstream.hangs = 0.0
    bag.run(float(seconds) + 3.0)


@then("its caller is answered, and it started twice at most")
def step_answered(context):
    assert context.handed.reply.outcome is Outcome.ANSWERED, context.handed.reply
    assert len(own_starts(context)) <= 2
    assert violations(context.bag) == [], violations(context.bag)


@then("its caller is told unknown, and it started once")
def step_unknown(context):
    assert context.handed.reply.outcome is Outcome.UNKNOWN, context.handed.reply
    assert len(own_starts(context)) == 1
    assert violations(context.bag) == [], violations(context.bag)


@then("its caller is answered within {seconds:d} seconds, once")
def step_within(context, seconds):
    handed = context.handed
    assert handed.reply.outcome is Outcome.ANSWERED, handed.reply
    assert handed.replied_at - handed.at < seconds, handed.replied_at - handed.at
    assert violations(context.bag) == [], violations(context.bag)


@then("no attempt holds a slot in the end")
def step_free(context):
    owner = context.bag.owner().state.owner
    assert not any(peer.placements for peer in owner.peers.values())
    workers = owner.scheduler.cell.pool.workers.values()
    assert [worker.held for worker in workers] == [0] * AGENTS


def own_starts(context) -> list:
    name = context.handed.job.submission
    return [one for one in context.bag.starts() if one.submission == name]
