"""Steps on how soon work goes on after a failure."""

import msgspec
from behave import then, when

from cactuswalk.dispatch.entryevents import Received


@when("the host of {agent:w} is powered off after {after:g} seconds")
def step_power_off(context, agent, after):
    context.fleet.run(after)
    context.earlier_report = context.fleet.states["e0"].views[agent].report
    context.fleet.kill(agent)
    context.fleet.workers[agent].crash()


@when("the host of {agent:w} comes back {after:g} seconds later")
def step_power_on(context, agent, after):
    context.fleet.run(after)
    context.fleet.start_agent(agent)


@when("an open report of {agent:w}'s earlier life arrives after {after:g} seconds")
def step_earlier_report(context, agent, after):
    context.fleet.run(after)
    state = context.fleet.states["e0"]
    report = msgspec.structs.replace(context.earlier_report, open=True)
    assert report.life != state.views[agent].report.life
    context.fleet.feed("e0", Received(agent, report))


@then("{entry:w} completes the job within {seconds:g} seconds")
def step_completed_within(context, entry, seconds):
    waiter = context.waiters[entry]
    assert context.fleet.verdict(waiter) == "completed", context.fleet.verdict(waiter)
    took = context.fleet.took(waiter)
    assert took <= seconds, f"it took {took:.2f} s"
