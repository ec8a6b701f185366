"""Steps on processes that are taken for gone while their work goes on."""

from behave import when

from cactuswalk.dispatch.effects import StopTask
from features.support.fleet import JOB
from features.support.fleetworker import CallFaults


def find_busy_worker(context):
    """Return the worker of the latest run."""
    return context.fleet.workers[context.fleet.starts[-1][3]]


@when(
    "after {after:g} seconds a worker that runs a task leaves, and runs on for"
    " {runs_on:g} seconds"
)
def step_depart(context, after, runs_on):
    context.fleet.run(after)
    find_busy_worker(context).depart(runs_on, 1.0)


@when(
    "after {after:g} seconds connections to a worker that runs a task are refused for"
    " {seconds:g}"
)
def step_refuse(context, after, seconds):
    context.fleet.run(after)
    worker = find_busy_worker(context)
    worker.refuses = True
    context.fleet.at(seconds, lambda: setattr(worker, "refuses", False))


@when("the connection of {entry:w}'s caller breaks")
def step_break(context, entry):
    context.fleet.leave(entry, context.waiters[entry])


@when(
    "{entry:w} is cut off for {seconds:g} seconds after {after:g} seconds, from its"
    " callers {longer:g} longer"
)
def step_cut_off(context, entry, seconds, after, longer):
    fleet = context.fleet
    fleet.run(after)
    for other in set(fleet.states) - {entry}:
        fleet.cuts |= {(entry, other), (other, entry)}
    fleet.at(seconds, fleet.cuts.clear)
    waiter = context.waiters[entry]
    fleet.at(seconds + longer, lambda: fleet.leave(entry, waiter))


@when("all stop calls are lost")
def step_lose_stops(context):
    for worker in context.fleet.workers.values():
        worker.call_faults[StopTask] = CallFaults(lost_share=1.0)


@when("the workers' clocks run {percent:g} percent slow for {seconds:g} seconds")
def step_slow_clocks(context, percent, seconds):
    for worker in context.fleet.workers.values():
        worker.drift = percent / 100
    context.fleet.run(seconds)


@when("the worker that runs it is cut off after {after:g} seconds")
def step_cut_busy_worker(context, after):
    context.fleet.run(after)
    find_busy_worker(context).cut = True


@when(
    "the agent that is given the next task is paused for {seconds:g} seconds before its"
    " call"
)
def step_pause_before_call(context, seconds):
    fleet = context.fleet
    fleet.calls.pauses = dict.fromkeys(fleet.workers, seconds)
    fleet.at(0.5, fleet.calls.pauses.clear)


@when(
    "{agent:w} reboots for {seconds:g} seconds, and its last reports come {late:g}"
    " seconds late"
)
def step_reboot(context, agent, seconds, late):
    fleet = context.fleet
    # The host has been up for longer than it will have been by the end.
    fleet.run(9.0)
    incarnation = fleet.states[agent].incarnation
    for entry in fleet.entry_names:
        fleet.held_up[incarnation, entry] = fleet.now + late
    fleet.run(0.1)
    fleet.reboot(agent, seconds)
    # Its next incarnation is given tasks once the earlier one's leases have expired.
    fleet.run(late - 0.6)


@when(
    "after {after:g} seconds the agent that runs its task is replaced, and the caller"
    " leaves"
)
def step_replace_agent(context, after):
    fleet = context.fleet
    fleet.run(after)
    agent = fleet.starts[0][3]
    fleet.kill(agent)
    fleet.run(0.01)
    fleet.start_agent(agent)
    fleet.run(0.001)
    fleet.leave("e0", context.waiters["e0"])


@when("{name:w} is started again, frozen for {seconds:g} seconds")
def step_start_frozen(context, name, seconds):
    fleet = context.fleet
    fleet.kill(name)
    fleet.run(0.1)
    fleet.freeze(name, seconds)
    fleet.start_entry(name, "d0")


@when("a caller of e0 leaves before that, and comes to e1 {after:g} seconds later")
def step_early_caller(context, after):
    fleet = context.fleet
    fleet.run(0.1)
    waiter = fleet.submit("e0", JOB, 1, seconds=2.0)
    fleet.run(0.1)
    fleet.leave("e0", waiter)
    fleet.run(after)
    fleet.submit("e1", JOB, 1, seconds=2.0)
    fleet.run(4.0)


@when("the caller of e0 leaves after {after:g} seconds")
def step_caller_leaves(context, after):
    context.fleet.run(after)
    context.fleet.leave("e0", context.waiters["e0"])
