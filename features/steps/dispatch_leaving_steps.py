"""Steps on leaving workers and on agents that are restarted one after another."""

from unittest import mock

from behave import given, then, when

from cactuswalk.dispatch import agententries, agentworker, placement
from features.support.leavingload import remove_workers, restart_agents
from features.support.shiftedload import WaveLoad, wave_fleet

SEEDS = (1, 2)
LOAD_SECONDS = 8
AFTER_SECONDS = 8
STOPPED_REASON = "its worker leaves before its end"


@given("a wave load at {rate:g} times the usual rate")
def step_load(context, rate):
    context.rate = rate
    context.clean_ups = []


@given("leaving workers accept no tasks")
def step_accept_nothing(context):
    for module in (agententries, placement):
        replace(
            context, module, "can_finish_in_time", lambda expected, left: left > 1e9
        )


@given("leaving workers keep runs that can't finish in time")
def step_keep(context):
    replace(context, agentworker, "stop_unfinishable_runs", lambda *arguments: None)


def replace(context, module, name, value):
    patch = mock.patch.object(module, name, value)
    patch.start()
    context.clean_ups.append(patch.stop)


def play(context, schedule_fault):
    """Play the load with a fault for each seed."""
    context.plays = []
    for seed in SEEDS:
        fleet = wave_fleet(seed)
        load = WaveLoad(fleet, context.rate, LOAD_SECONDS, seed)
        schedule_fault(fleet, list(fleet.workers))
        fleet.run(LOAD_SECONDS + AFTER_SECONDS)
        context.plays.append((fleet, load))


@when("a third of the agents is restarted, one per second")
def step_restart_agents(context):
    def schedule_fault(fleet, names):
        fleet.at(1.0, lambda: restart_agents(fleet, names[1::3], 1, 1.0))

    play(context, schedule_fault)


@when("a sixth of the workers leaves {seconds:g} seconds after its notice")
def step_leave(context, seconds):
    def schedule_fault(fleet, names):
        fleet.at(2.0, lambda: remove_workers(fleet, names[:3], seconds, 4.0))

    play(context, schedule_fault)


@when("a worker drains for {seconds:g} seconds")
def step_drain(context, seconds):
    def schedule_fault(fleet, names):
        fleet.at(2.0, lambda: remove_workers(fleet, names[:1], seconds, 4.0))

    context.notice_after = 2.0
    play(context, schedule_fault)


@when("a worker drains for {seconds:g} seconds and its agent restarts")
def step_drain_and_restart(context, seconds):
    def restart(fleet, name):
        fleet.kill(name)
        fleet.start_agent(name)

    def schedule_fault(fleet, names):
        fleet.at(2.0, lambda: remove_workers(fleet, names[:1], seconds, 4.0))
        fleet.at(2.1, lambda: restart(fleet, names[0]))

    context.notice_after = 2.0
    play(context, schedule_fault)


def compute_earned_share(context):
    """Return the value earned as a share of the value of all jobs."""
    tables = [table for _, load in context.plays for table in load.earned().values()]
    return sum(earned for earned, _ in tables) / sum(owed for _, owed in tables)


@then("the load earns at least {share:g} of its value")
def step_earned(context, share):
    assert compute_earned_share(context) >= share, compute_earned_share(context)
    assert not any(fleet.overlaps for fleet, _ in context.plays)


@then("the load earns less than {share:g} of its value")
def step_earned_less(context, share):
    assert compute_earned_share(context) < share, compute_earned_share(context)


def find_ended_runs(fleet, *ends):
    """Return the log fields of the runs that ended in one of these ways."""
    return [
        line.fields
        for _, _, line in fleet.lines
        if line.sentence == "a run has ended" and line.fields["end"] in ends
    ]


@then("no run was stopped or lost")
def step_none_stopped(context):
    for fleet, _ in context.plays:
        assert not find_ended_runs(fleet, "stopped", "lost", "crashed"), (
            find_ended_runs(fleet, "stopped", "lost", "crashed")[0]
        )


@then("at most {count:d} runs were lost with their workers")
def step_few_lost(context, count):
    stopped = [
        line for fleet, _ in context.plays for line in find_ended_runs(fleet, "stopped")
    ]
    assert any(line["reason"] == STOPPED_REASON for line in stopped)
    for fleet, _ in context.plays:
        assert len(find_ended_runs(fleet, "lost", "crashed")) <= count, len(
            find_ended_runs(fleet, "lost", "crashed")
        )


def list_start_delays(context, fleet):
    """Return the delay of each task start on the leaving worker after its notice."""
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
        start_delays = list_start_delays(context, fleet)
        assert start_delays
        assert max(start_delays) < seconds, max(start_delays)


@then("it was given no task after {seconds:g} seconds")
def step_nothing_given(context, seconds):
    for fleet, _ in context.plays:
        start_delays = list_start_delays(context, fleet)
        assert not start_delays or max(start_delays) < seconds, max(start_delays)
