"""Steps on late messages of processes that are gone."""

import msgspec
from behave import given, then, when

from cactuswalk.dispatch.agentevents import Received
from features.support.reboots import RebootDay, RebootingFleet

REBOOT_DAY_SECONDS = 8


@given(
    "a fleet of {entries:d} entries and {workers:d} workers whose hosts have been up"
    " for long"
)
def step_rebooting_fleet(context, entries, workers):
    context.fleet = RebootingFleet(entries, workers)
    context.fleet.in_order = True
    context.waiters = {}


@when(
    "the network holds up the messages from {one:w} to {other:w} for {seconds:g}"
    " seconds"
)
def step_hold_up(context, one, other, seconds):
    context.fleet.held_links.add((one, other))
    context.fleet.run(seconds)
    context.fleet.held_links.clear()


@when("the host of {agent:w} reboots within {seconds:g} seconds")
def step_reboot(context, agent, seconds):
    context.fleet.reboot(agent, seconds)
    context.fleet.run(seconds)


@when("the process of {name:w} is replaced")
def step_replace(context, name):
    context.fleet.replace(name)


@when(
    "the agent that runs it is replaced after {seconds:g} seconds and hears of no"
    " worker yet"
)
def step_replace_running(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    views = fleet.states["e0"].views.values()
    context.view = next(view for view in views if view.placed)
    (placed,) = context.view.placed.values()
    context.start = msgspec.structs.replace(placed.start)
    assert placed.start.sequence in context.view.report.held
    fleet.kill(context.view.address)
    fleet.start_agent(context.view.address)


@when("a copy of the start arrives there")
def step_start_again(context):
    context.fleet.deliver(context.view.address, Received("e0", context.start))


@when("the messages held up from {one:w} to {other:w} arrive after {seconds:g} seconds")
def step_arrive_late(context, one, other, seconds):
    context.fleet.run(seconds)
    assert context.fleet.late_messages[one, other], "nothing was held up"
    context.fleet.arrive_late((one, other))


@when("{agent:w} forgets {entry:w}")
def step_forget(context, agent, entry):
    # What refresh_peers does with an entry elsewhere that has been silent.
    state = context.fleet.states[agent]
    assert not state.held and not state.entries[entry].pending_ends
    del state.entries[entry]


@then("{agent:w} hears {entry:w}")
def step_hears(context, agent, entry):
    states = context.fleet.states
    assert states[agent].entries[entry].incarnation == states[entry].incarnation


@then("days {first:d} to {last:d} of reboots and late messages have no overlap")
def step_reboot_days(context, first, last):
    check_days(range(first, last + 1), restarts=False)


@then("days {first:d} to {last:d} of replaced processes have no overlap either")
def step_restart_days(context, first, last):
    check_days(range(first, last + 1), restarts=True)


def check_days(seeds, restarts):
    overlaps = {}
    for seed in seeds:
        day = RebootDay(seed, restarts)
        day.play(REBOOT_DAY_SECONDS)
        assert len(day.fleet.answers) > 20, f"seed {seed}: hardly any answers"
        if day.fleet.overlaps or day.fleet.overloads:
            overlaps[seed] = day.fleet.overlaps[:2], day.fleet.overloads
    assert not overlaps, f"{len(overlaps)} days: {overlaps}"
