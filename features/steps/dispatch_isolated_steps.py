"""Steps on entries that are cut off from their agents."""

from behave import then, when

from cactuswalk.dispatch.entryevents import Tick
from features.support.fleet import TICK


def said_by(fleet, name, sentence):
    """Return the fields of a process's log lines with this sentence."""
    return [
        line.fields
        for _, sender, line in fleet.lines
        if sender == name and line.sentence == sentence
    ]


@when("e0 and all others are cut off for {seconds:g} seconds")
def step_cut_off(context, seconds):
    fleet = context.fleet
    for other in set(fleet.states) - {"e0"}:
        fleet.cuts |= {("e0", other), (other, "e0")}
    fleet.at(seconds, fleet.cuts.clear)


@when(
    "e0 is cut off for {seconds:g} seconds after {after:g} seconds, and {agent:w} is"
    " replaced meanwhile"
)
def step_replace_during_cut(context, seconds, after, agent):
    fleet = context.fleet
    fleet.run(after)
    step_cut_off(context, seconds)
    # The link to the new agent is restored shortly before the others.
    links = {("e0", agent), (agent, "e0")}
    fleet.at(seconds - 0.15, lambda: fleet.cuts.difference_update(links))
    fleet.at(0.8, lambda: fleet.kill(agent))
    fleet.at(1.0, lambda: fleet.start_agent(agent))
    waiter = context.waiters["e0"]
    fleet.at(seconds + 0.3, lambda: fleet.leave("e0", waiter))


@when(
    "all agents are replaced after {after:g} seconds, {apart:g} seconds one after"
    " another"
)
def step_replace_all(context, after, apart):
    fleet = context.fleet
    fleet.run(after)
    for number, agent in enumerate(fleet.workers):
        fleet.kill(agent)
        fleet.at(1.0 + number * apart, lambda name=agent: fleet.start_agent(name))


@then("e0 has logged that it heard few of its {count:d} agents, and that this is over")
def step_logged(context, count):
    (begun,) = said_by(context.fleet, "e0", "heard few of its agents")
    (ended,) = said_by(context.fleet, "e0", "hears its agents again")
    assert begun["expected"] == ended["expected"] == count, (begun, ended)
    assert begun["heard"] < count / 2 <= ended["heard"], (begun, ended)
    # A first keepalive and the report that answers it come up to 0.5 s after the cut.
    assert 1.4 < ended["seconds"] < 2.1, ended


@when("the timer of e0 is late by {late:g} seconds for {seconds:g} seconds")
def step_late_timer(context, late, seconds):
    fleet = context.fleet
    state = fleet.states["e0"]
    fleet.tick = lambda name, owner: None
    fleet.run(TICK)
    state.ticked_at = fleet.now
    for _ in range(int(seconds / (TICK + late))):
        fleet.run(TICK + late)
        fleet.deliver("e0", Tick())


@then("e0 has logged {least:d} or {most:d} pauses of {seconds:g} seconds")
def step_logged_pauses(context, least, most, seconds):
    lines = said_by(context.fleet, "e0", "the process was paused")
    assert least <= len(lines) <= most, lines
    assert {fields["seconds"] for fields in lines} == {seconds}
    assert sum(fields["times"] for fields in lines) > 10
