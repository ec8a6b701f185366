"""Steps on which agents and entries work together in fleets of several data centres."""

from collections import Counter
from unittest import mock

import msgspec
from behave import given, then, when

from cactuswalk.dispatch import entryoverflow
from cactuswalk.dispatch.entryevents import Received
from features.support.centreload import centre_of, play, room
from features.support.fleet import Fleet
from features.support.fleetscript import RandomDay

DAY_SECONDS = 10


@given(
    "a fleet of {entries:d} entries in {centres:d} data centres and {workers:d} workers"
)
def step_fleet(context, entries, centres, workers):
    context.fleet = Fleet(entries, workers, centres=centres)
    context.waiters = {}
    context.sent_before = Counter()


@given("no entry requests capacity from others")
def step_no_search(context):
    patch = mock.patch.object(
        entryoverflow, "choose_entries_to_ask", lambda *arguments: []
    )
    patch.start()
    context.clean_ups = [patch.stop]


@given("the store lists no entries")
def step_no_list(context):
    context.fleet.listed_names = []


@given("only {entry:w} is in the settings of others")
def step_seed(context, entry):
    context.fleet = Fleet(9, 6, centres=3, seeds=[entry])


@when(
    "data centre {centre:w} gets {rate:g} times what its workers can do"
    " for {seconds:d} seconds"
)
def step_load(context, centre, rate, seconds):
    play(context, [centre], rate, seconds)


@when(
    "every data centre gets {rate:g} times what its workers can do"
    " for {seconds:d} seconds"
)
def step_load_all(context, rate, seconds):
    play(context, context.fleet.centre_names(), rate, seconds)


@when(
    "the entries of data centre {centre:w} get half of what the others' workers can do"
)
def step_load_elsewhere(context, centre):
    others = [name for name in context.fleet.centre_names() if name != centre]
    elsewhere = sum(room(context.fleet, name) for name in others)
    play(context, [centre], 0.5 * elsewhere / room(context.fleet, centre), 4)


@when("the entries of data centre {centre:w} are killed")
def step_kill_centre(context, centre):
    for name in context.fleet.entry_names:
        if centre_of(context.fleet, name) == centre:
            context.fleet.kill(name)


@when("the entries of data centre {centre:w} are started again")
def step_start_centre(context, centre):
    for name in context.fleet.entry_names:
        if centre_of(context.fleet, name) == centre:
            context.fleet.start_entry(name, centre)


@when("the agents of data centre {centre:w} are killed")
def step_kill_agents(context, centre):
    for name, worker in context.fleet.workers.items():
        if worker.data_centre == centre:
            context.fleet.kill(name)


@then("the entries of data centre {centre:w} are ready")
def step_ready(context, centre):
    fleet = context.fleet
    for name in fleet.entry_names:
        if centre_of(fleet, name) == centre:
            assert fleet.states[name].is_ready(fleet.now), name


@when("all agents are started again, {seconds:g} seconds before their workers")
def step_agents_first(context, seconds):
    fleet = context.fleet
    for name, worker in fleet.workers.items():
        worker.crash()
        worker.up = False
        fleet.start_agent(name)
    fleet.run(seconds)
    for worker in fleet.workers.values():
        worker.up = True


@when("{entry:w} has assumed that {agent:w} is in data centre {centre:w}")
def step_mistaken(context, entry, agent, centre):
    fleet = context.fleet
    state = fleet.states[entry]
    view = state.views[agent]
    told = fleet.states[agent].entries[entry].members
    for _ in range(100):
        report = msgspec.structs.replace(
            view.report, data_centre=centre, acknowledged_members=0
        )
        fleet.deliver(entry, Received(agent, report))
        fleet.run(0.01)
        if fleet.states[agent].entries[entry].members != told:
            return
    raise AssertionError("no other list was sent")


@then("{entry:w} has told {agent:w} of the entries of data centre {centre:w}")
def step_told(context, entry, agent, centre):
    fleet = context.fleet
    members = fleet.states[agent].entries[entry].members
    near = [member for member in members if member.data_centre == centre]
    assert members
    own = [name for name in fleet.entry_names if centre_of(fleet, name) == centre]
    assert len(near) == len(own), members


@when("all entries are killed")
def step_kill_all(context):
    for name in context.fleet.entry_names:
        context.fleet.kill(name)


@when("all entries are started again")
def step_start_all(context):
    for name in context.fleet.entry_names:
        context.fleet.start_entry(name, centre_of(context.fleet, name))


@then("each agent reports to {count:d} entries, all of them in its data centre")
def step_home_near(context, count):
    step_home(context, count, count)


@then("each agent reports to {count:d} entries, {near:d} of them in its data centre")
def step_home(context, count, near):
    fleet = context.fleet
    for name, worker in fleet.workers.items():
        centres = [centre_of(fleet, entry) for entry in fleet.states[name].entries]
        assert len(centres) == count, (name, centres)
        assert centres.count(worker.data_centre) == near, (name, centres)


def known_by(fleet):
    """Return the number of living entries that hear each agent, by agent."""
    return Counter(
        address for name in fleet.living() for address in fleet.states[name].views
    )


@then("each worker is known to {count:d} entries")
def step_known(context, count):
    known = known_by(context.fleet)
    assert set(known) == set(context.fleet.workers)
    assert set(known.values()) == {count}, known


@then("{count:d} entries have no home agent, and all are ready")
def step_homeless(context, count):
    fleet = context.fleet
    states = [fleet.states[name] for name in fleet.living()]
    assert all(state.is_ready(fleet.now) for state in states)
    chosen = [
        any(view.report.home for view in state.views.values()) for state in states
    ]
    assert chosen.count(False) == count, chosen


@then("every worker is known to {count:d} living entries or more")
def step_known_or_more(context, count):
    known = known_by(context.fleet)
    assert all(known[name] >= count for name in context.fleet.workers), known


@then(
    "an agent sends at most {agent:d} messages a second, and an entry at most {entry:d}"
)
def step_messages(context, agent, entry):
    fleet = context.fleet
    before = Counter(fleet.sent)
    fleet.run(2.0)
    for name in fleet.states:
        sent = sum(
            fleet.sent[key] - before[key] for key in fleet.sent if key[0] == name
        )
        most = agent if name in fleet.workers else entry
        assert sent / 2.0 <= most, (name, sent / 2.0)


@then("at least {part:d} of 100 jobs are on time")
def step_on_time(context, part):
    share = on_time(context)
    assert share >= part / 100, share
    assert not context.fleet.overlaps
    assert not context.fleet.overloads


@then("fewer than {part:d} of 100 jobs are on time")
def step_not_on_time(context, part):
    assert on_time(context) < part / 100, on_time(context)


def on_time(context):
    return sum(map(context.fleet.is_on_time, context.jobs)) / len(context.jobs)


@then("workers of other data centres have run some of it")
def step_elsewhere(context):
    fleet = context.fleet
    centres = Counter(fleet.workers[start[3]].data_centre for start in fleet.starts)
    assert all(centres[name] > 0 for name in fleet.centre_names()), centres


@then("an entry requests capacity at most {count:d} times a second")
def step_asks(context, count):
    for name in context.fleet.entry_names:
        key = (name, "CapacityRequest")
        asked = context.sent_after[key] - context.sent_before[key]
        assert asked / context.seconds <= count, (name, asked)


@then("no process knows {entry:w}")
def step_forgotten(context, entry):
    fleet = context.fleet
    for name, state in fleet.states.items():
        if name not in fleet.dead:
            assert entry not in state.entries, name


@then(
    "random days {first:d} to {last:d} of {entries:d} entries in {centres:d}"
    " data centres keep every guarantee"
)
def step_days(context, first, last, entries, centres):
    for seed in range(first, last + 1):
        day = RandomDay(seed, entries, 9, centres)
        day.play(DAY_SECONDS)
        assert not day.is_broken(), (seed, day.summary())
