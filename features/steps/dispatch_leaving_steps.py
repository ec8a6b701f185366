"""Steps on workers that leave and agents that are rolled."""

from unittest import mock

from behave import given, then, when

from cactuswalk.dispatch import agententries, agentworker, placement
from features.support.leavingload import roll_agents, take_workers
from features.support.shiftedload import WaveLoad, wave_fleet

SEEDS = (1, 2)
LOAD_SECONDS = 8
AFTER_SECONDS = 8
STOPPED = "its worker leaves before its end"


@given("the users' work of today at {rate:g} times its height")
def step_work(context, rate):
    context.rate = rate
    context.clean_ups = []


@given("leaving workers take nothing")
def step_take_nothing(context):
    for module in (agententries, placement):
        replace(
            context, module, "can_finish_in_time", lambda expected, left: left > 1e9
        )


@given("leaving workers keep what they can't end")
def step_keep(context):
    replace(context, agentworker, "stop_unfinishable_runs", lambda *arguments: None)


def replace(context, module, name, value):
    patch = mock.patch.object(module, name, value)
    patch.start()
    context.clean_ups.append(patch.stop)


def play(context, trouble):
    """Play the load with a trouble for each seed."""
    context.plays = []
    for seed in SEEDS:
        fleet = wave_fleet(seed)
        load = WaveLoad(fleet, context.rate, LOAD_SECONDS, seed)
        trouble(fleet, list(fleet.workers))
        fleet.run(LOAD_SECONDS + AFTER_SECONDS)
        context.plays.append((fleet, load))


@when("a third of the agents is rolled, one each second")
def step_roll(context):
    def trouble(fleet, names):
        fleet.at(1.0, lambda: roll_agents(fleet, names[1::3], 1, 1.0))

    play(context, trouble)


@when("a sixth of the workers leaves {seconds:g} seconds after its notice")
def step_leave(context, seconds):
    def trouble(fleet, names):
        fleet.at(2.0, lambda: take_workers(fleet, names[:3], seconds, 4.0))

    play(context, trouble)


@when("a worker drains for {seconds:g} seconds")
def step_drain(context, seconds):
    def trouble(fleet, names):
        fleet.at(2.0, lambda: take_workers(fleet, names[:1], seconds, 4.0))

    context.notice_after = 2.0
    play(context, trouble)


@when("a worker drains for {seconds:g} seconds and its agent starts anew")
def step_drain_and_restart(context, seconds):
    def restart(fleet, name):
        fleet.kill(name)
        fleet.start_agent(name)

    def trouble(fleet, names):
        fleet.at(2.0, lambda: take_workers(fleet, names[:1], seconds, 4.0))
        fleet.at(2.1, lambda: restart(fleet, names[0]))

    context.notice_after = 2.0
    play(context, trouble)


def share_earned(context):
    tables = [table for _, load in context.plays for table in load.earned().values()]
    return sum(earned for earned, _ in tables) / sum(owed for _, owed in tables)


@then("the callers get at least {part:g} of what they came for")
def step_earned(context, part):
    assert share_earned(context) >= part, share_earned(context)
    assert not any(fleet.overlaps for fleet, _ in context.plays)


@then("the callers get less than {part:g} of what they came for")
def step_earned_less(context, part):
    assert share_earned(context) < part, share_earned(context)


def ended(fleet, *ends):
    """Return the log lines of runs that ended so."""
    return [
        line.fields
        for _, _, line in fleet.lines
        if line.sentence == "a run has ended" and line.fields["end"] in ends
    ]


@then("no run was cut off")
def step_none_cut(context):
    for fleet, _ in context.plays:
        assert not ended(fleet, "stopped", "lost"), ended(fleet, "stopped", "lost")[0]


@then("at most {count:d} runs were lost with their workers")
def step_few_lost(context, count):
    stopped = [line for fleet, _ in context.plays for line in ended(fleet, "stopped")]
    assert any(line["reason"] == STOPPED for line in stopped)
    for fleet, _ in context.plays:
        assert len(ended(fleet, "lost")) <= count, len(ended(fleet, "lost"))


def given_while_leaving(context, fleet):
    """Return after how long each task came to the worker since its notice."""
    name = next(iter(fleet.workers))
    noticed_at = 1.0 + context.notice_after
    return [
        start[0] - noticed_at
        for start in fleet.starts
        if start[3] == name and noticed_at < start[0] < noticed_at + 6.0
    ]


@then("it was given tasks, and none after {seconds:g} seconds")
def step_drained(context, seconds):
    for fleet, _ in context.plays:
        given_after = given_while_leaving(context, fleet)
        assert given_after
        assert max(given_after) < seconds, max(given_after)


@then("it was given nothing after {seconds:g} seconds")
def step_nothing_given(context, seconds):
    for fleet, _ in context.plays:
        given_after = given_while_leaving(context, fleet)
        assert not given_after or max(given_after) < seconds, max(given_after)
