"""Steps on workers on trial, and on the first estimates of an entry."""

from behave import given, then, when

from cactuswalk.dispatch.agentevents import Announced
from features.support.fleet import Fleet, queue

FILLER_JOB = "00000000000000ff"


@given(
    "a fleet of {entries:d} entries and {workers:d} workers, and jobs of {attempts:d}"
    " attempts"
)
def step_fleet_of_attempts(context, entries, workers, attempts):
    queues = [queue(attempts=attempts), queue("fillers", 1)]
    context.fleet = Fleet(entries, workers, queues=queues)
    context.fleet.in_order = True
    context.waiters = {}


@when("{agent:w}'s worker is filled for {seconds:g} seconds")
def step_filled(context, agent, seconds):
    fleet = context.fleet
    others = [name for name in fleet.workers if name != agent]
    for name in others:
        drain(fleet, name, True)
    fleet.submit(
        "e0",
        FILLER_JOB,
        10,
        cpu=3_200,
        seconds=seconds,
        wait=10.0,
        queue_name="fillers",
    )
    fleet.run(0.02)
    for name in others:
        drain(fleet, name, False)


def drain(fleet, name, draining):
    worker = fleet.workers[name]
    worker.draining = draining
    fleet.deliver(name, Announced(worker.announcement()))
    fleet.run(0.05)


@then("{agent:w}'s worker is on trial")
def step_on_trial(context, agent):
    assert context.fleet.states[agent].health.on_trial


@then("the job has failed at {entry:w}")
def step_failed(context, entry):
    verdict = context.fleet.verdict(context.waiters[entry])
    assert verdict == "failed", verdict
