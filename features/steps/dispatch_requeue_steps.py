"""Steps on configurations that change while jobs wait."""

import msgspec
from behave import given, then, when

from cactuswalk.dispatch.entryevents import ConfigurationRead
from cactuswalk.dispatch.routing import Queues
from features.support.fleet import Fleet, queue

WORKER_CPU = 30_000
FULL_SECONDS = 0.5
RUN_SECONDS = 3.0
JOBS = {"first": "00000000000000f1", "second": "00000000000000f2"}


@given("one entry and one worker that is full for half a second")
def step_full(context):
    queues = [queue("filler", 0), queue("first", 1), queue("second", 2)]
    context.fleet = Fleet(1, 1, cpu=WORKER_CPU, queues=queues)
    context.fleet.submit(
        "e0", "00000000000000f0", 1, WORKER_CPU, FULL_SECONDS, queue_name="filler"
    )
    context.fleet.run(0.1)
    context.version = 1


@given(
    'two jobs that wait, "first" of a queue of priority 1 and "second" of priority 2'
)
def step_waiting(context):
    context.waiters = {
        name: context.fleet.submit(
            "e0", identifier, 1, WORKER_CPU, RUN_SECONDS, wait=9.0, queue_name=name
        )
        for name, identifier in JOBS.items()
    }
    assert len(context.fleet.states["e0"].waiting_jobs()) == 2


def configure(context, queues):
    context.version += 1
    context.fleet.deliver("e0", ConfigurationRead(Queues(context.version, queues, 1)))


def changed(context, name, **fields):
    return [
        msgspec.structs.replace(item, **fields) if item.name == name else item
        for item in context.fleet.queues
    ]


@when('the configuration gives the queue of "{name:w}" the priority {priority:d}')
def step_priority(context, name, priority):
    configure(context, changed(context, name, priority=priority))


@when('the configuration sets the target of the queue of "{name:w}" to its run time')
def step_target(context, name):
    configure(context, changed(context, name, stretch=1.0, allowance_ms=0))


@when('the configuration drops the queue of "{name:w}"')
def step_drop(context, name):
    configure(context, [item for item in context.fleet.queues if item.name != name])


@when("an entry reads the version before it again")
def step_older(context):
    older = Queues(context.version - 1, context.fleet.queues, 1)
    context.fleet.deliver("e0", ConfigurationRead(older))


@when("the worker has room for one of them")
def step_room(context):
    context.fleet.run(FULL_SECONDS + 0.1)


@then('"{one:w}" has started and "{other:w}" has not')
def step_started(context, one, other):
    started = {key.job for _, key, *_ in context.fleet.starts}
    assert JOBS[one] in started, started
    assert JOBS[other] not in started, started


@then('"{name:w}" is refused as not run within {seconds:g} seconds')
def step_refused(context, name, seconds):
    context.fleet.run(seconds)
    assert context.fleet.verdict(context.waiters[name]) == "not_run"
