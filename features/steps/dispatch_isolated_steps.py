"""Steps on entries that are cut off from their agents."""

from behave import given, then, when

from cactuswalk.dispatch.entryevents import Tick
from features.support.cutoff import (
    CUT_SECONDS,
    KNOWN_AFTER,
    cut_off,
    play_cut,
    play_late_request,
)
from features.support.fleet import JOB, TICK, Fleet
from features.support.fleetsearch import SearchDay

DAY_SECONDS = 5


def said_by(fleet, name, sentence):
    """Return the fields of a process's log lines with this sentence."""
    return [
        line.fields
        for _, sender, line in fleet.lines
        if sender == name and line.sentence == sentence
    ]


@then("no task runs twice at once in cuts of 0.2 to 12 seconds, {way}")
def step_all_cuts(context, way):
    overlaps = [
        (seconds, known_after)
        for seconds in CUT_SECONDS
        for known_after in KNOWN_AFTER
        if play_cut(way, seconds, known_after).overlaps
    ]
    assert not overlaps, f"{len(overlaps)} of them: {overlaps}"


@then(
    "days {first:d} to {last:d} of {mix} with 10 entries, 12 workers and 4 data centres"
    " keep every guarantee"
)
def step_larger_days(context, first, last, mix):
    for seed in range(first, last + 1):
        day = SearchDay(seed, mix, entries=10, workers=12, centres=4)
        day.play(DAY_SECONDS)
        assert not day.is_broken(), f"seed {seed}: {day.summary()}"
        assert len(day.fleet.answers) > 30, day.summary()


@then("a task runs once when its request comes out of a buffer after a cut")
def step_late_request(context):
    fleet = play_late_request()
    assert len(fleet.starts) == 2, fleet.starts
    assert not fleet.overlaps


@given("a fleet of 1 entries and 2 workers whose capacity is used up")
def step_full_fleet(context):
    context.fleet, context.waiters = Fleet(1, 2), {}
    context.fleet.submit("e0", "01", 2, cpu=32_000, seconds=20.0, wait=25.0)
    context.fleet.run(0.3)


@when("e0 and all others are cut off for {seconds:g} seconds")
def step_cut_off(context, seconds):
    cut_off(context.fleet, "e0", "both ways", seconds)


@when(
    "e0 is cut off for {seconds:g} seconds from all but the workers of its data centre"
)
def step_cut_centre(context, seconds):
    fleet = context.fleet
    cut_off(fleet, "e0", "with its data centre", seconds)


@when("the agents of data centre {centre} are cut off from e0 for {seconds:g} seconds")
def step_cut_agents(context, centre, seconds):
    fleet = context.fleet
    for name, worker in fleet.workers.items():
        if worker.data_centre == centre:
            fleet.cuts |= {("e0", name), (name, "e0")}
    fleet.at(seconds, fleet.cuts.clear)


@when(
    "all agents are killed after {after:g} seconds, and replaced {down:g} seconds later"
)
def step_replace_all(context, after, down):
    fleet = context.fleet
    fleet.run(after)
    for name in fleet.workers:
        fleet.kill(name)
    fleet.run(down)
    for name in fleet.workers:
        fleet.start_agent(name)


@then("the job at e0 is answered as {verdict:w}")
def step_answered(context, verdict):
    waiter = context.waiters["e0"]
    assert waiter in context.fleet.answers, "no answer"
    assert context.fleet.verdict(waiter) == verdict


@then("every task was started once")
def step_started_once(context):
    keys = [key for _, key, _, _ in context.fleet.starts]
    assert len(keys) == len(set(keys)) == context.tasks, context.fleet.starts


@then("no task of it was started")
def step_not_started(context):
    assert JOB not in {key.job for _, key, _, _ in context.fleet.starts}


@then("a task was started twice")
def step_started_twice(context):
    keys = [key for _, key, _, _ in context.fleet.starts]
    assert len(keys) > len(set(keys)) == context.tasks, context.fleet.starts


@then("e0 has not logged that it heard few of its agents")
def step_not_logged(context):
    assert not said_by(context.fleet, "e0", "heard few of its agents")


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
def step_replace_in_turn(context, after, apart):
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
