"""Steps on the division of scarce capacity among the entries."""

import statistics

from behave import given, then, when

from cactuswalk.dispatch.loadpolicy import DEFAULT_LOAD_POLICY
from features.support.divisionload import BurstLoad, division_fleet

# Figures of a single seed vary by a third around the mean.
SEEDS = range(3, 15)

# Time for the jobs that have arrived to end, in seconds.
END_SECONDS = 3

GRANT = "granted free capacity"


def play(seed, divides_room, total, seconds):
    fleet = division_fleet(seed, divides_room)
    load = BurstLoad(fleet, total, seconds, seed)
    fleet.run(seconds + END_SECONDS)
    assert not fleet.overlaps and not fleet.overloads
    return load.figures()


def mean(rows, name):
    return statistics.mean(row[name] for row in rows)


@when(
    "{seconds:d} seconds of {total:g} times the capacity are played with and without "
    "division"
)
def step_play(context, seconds, total):
    rows = {
        divides: [play(seed, divides, total, seconds) for seed in SEEDS]
        for divides in (False, True)
    }
    names = rows[True][0]
    context.off = {name: mean(rows[False], name) for name in names}
    context.on = {name: mean(rows[True], name) for name in names}
    for label, figures in (("off", context.off), ("on", context.on)):
        row = " ".join(f"{name}={value:.4f}" for name, value in figures.items())
        print(total, label, row)


@then("at most {most:g} starts are declined for each task, and fewer than without")
def step_declined(context, most):
    assert context.on["declined"] <= most, context.on
    assert context.on["declined"] < context.off["declined"], context.off


@then("half as many starts are declined as without")
def step_half_declined(context):
    assert context.on["declined"] <= 0.5 * context.off["declined"], context.on


@then("no more messages are sent for each task than without")
def step_messages(context):
    assert context.on["messages"] <= context.off["messages"], context.on


@then("less than {share:g} of the capacity is free while jobs wait")
def step_free(context, share):
    assert context.on["free"] < share, context.on


@then(
    "95 of 100 first starts are no later than without, give or take {seconds:g} seconds"
)
def step_first_starts(context, seconds):
    latest = context.off["first_start_95"] + seconds
    assert context.on["first_start_95"] <= latest, (context.on, context.off)


@then("{kind:w} jobs are on time as often as without, give or take {share:g}")
def step_on_time(context, kind, share):
    assert context.on[kind] >= context.off[kind] - share, (context.on, context.off)


@then("jobs of each kind are on time as often as without, give or take {share:g}")
def step_all_on_time(context, share):
    for kind in ("wide", "small", "long"):
        step_on_time(context, kind, share)


@given("{entries:d} entries, {workers:d} workers and division in a burst")
def step_burst(context, entries, workers):
    context.fleet = division_fleet(5, True, entries, workers)
    context.load = BurstLoad(context.fleet, 1.2, 6, 5)
    context.fleet.run(2.0)


def grants(context, entry, agent=None):
    """Return the times of the grants to an entry since the failure began."""
    return [
        (at, name)
        for at, name, line in context.fleet.lines
        if line.sentence == GRANT
        and line.fields["entry"] == entry
        and at >= context.failed_at
        and agent in (None, name)
    ]


@when("e0 crashes")
def step_crash(context):
    context.failed_at = context.fleet.now
    context.fleet.kill("e0")


@when("the burst goes on for {seconds:g} seconds")
@when("the burst goes on for {seconds:g} second")
def step_go_on(context, seconds):
    context.resumed_at = context.fleet.now
    context.fleet.run(seconds)


@then("no agent has granted e0 anything since {seconds:g} seconds after that")
def step_no_grants(context, seconds):
    late = [at for at, _ in grants(context, "e0") if at > context.failed_at + seconds]
    assert not late, late


@when("e0 crashes in a burst with and without division, with each of 12 seeds")
def step_crash_seeds(context):
    context.free = {
        divides: statistics.mean(free_after_crash(seed, divides) for seed in SEEDS)
        for divides in (False, True)
    }


def free_after_crash(seed, divides_room):
    """Return the share of capacity that is free in the second after a crash."""
    fleet = division_fleet(seed, divides_room, 4, 6)
    load = BurstLoad(fleet, 1.2, 6, seed)
    fleet.run(2.0)
    fleet.kill("e0")
    load.free_shares.clear()
    fleet.run(1.0)
    return statistics.mean(load.free_shares)


@then("at most {share:g} more of the capacity is free while jobs wait than without")
def step_free_others(context, share):
    assert context.free[True] <= context.free[False] + share, context.free


@then("no task ran twice at once, and no worker had too many")
def step_safe(context):
    context.fleet.run(8.0)
    assert not context.fleet.overlaps, context.fleet.overlaps
    assert not context.fleet.overloads, context.fleet.overloads


@when("e0 is frozen for {seconds:g} seconds")
def step_freeze(context, seconds):
    context.failed_at = context.fleet.now
    context.fleet.freeze("e0", seconds)
    context.fleet.run(seconds)


@then("each agent grants it at most one thing meanwhile")
def step_one_grant_each(context):
    agents = [name for _, name in grants(context, "e0")]
    assert len(agents) == len(set(agents)), agents


@then("e0 uses grants again")
def step_grants_again(context):
    assert [at for at, _ in grants(context, "e0") if at > context.resumed_at]


@when("the agent a0 restarts")
def step_restart_agent(context):
    context.failed_at = context.fleet.now
    context.fleet.kill("a0")
    context.fleet.run(0.1)
    context.fleet.start_agent("a0")


@then("a0 grants capacity again")
def step_a0_grants(context):
    names = context.fleet.entry_names
    assert any(grants(context, name, "a0") for name in names)


@when("messages from {sender:w} to {receiver:w} are lost for {seconds:g} second")
def step_cut(context, sender, receiver, seconds):
    context.failed_at = context.fleet.now
    context.fleet.cuts.add((sender, receiver))
    context.fleet.run(seconds)
    context.fleet.cuts.clear()


@then("a0 grants it at most one thing meanwhile")
def step_a0_one_grant(context):
    assert len(grants(context, "e0", "a0")) <= 1, grants(context, "e0", "a0")


@then("a0 grants others something meanwhile")
def step_a0_grants_others(context):
    others = [name for name in context.fleet.entry_names if name != "e0"]
    assert any(grants(context, name, "a0") for name in others)


@then("a0 grants e0 something again")
def step_a0_grants_again(context):
    later = [at for at, _ in grants(context, "e0", "a0") if at > context.resumed_at]
    assert later


@when("the platform's store does not answer for {seconds:g} second")
def step_store_down(context, seconds):
    context.failed_at = context.fleet.now
    context.fleet.cut_from_store = {*context.fleet.entry_names, *context.fleet.workers}
    context.fleet.run(seconds)


@when("e0 runs without the setting")
def step_without(context):
    context.failed_at = context.fleet.now
    context.fleet.states["e0"].policy = DEFAULT_LOAD_POLICY
    context.fleet.states["e0"].waiting_cpu = 0


@then("e0 places tasks")
def step_places(context):
    placed = sum(len(view.placed) for view in context.fleet.states["e0"].views.values())
    assert placed
