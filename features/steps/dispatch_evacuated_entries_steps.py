"""Steps on the callers of an evacuated data centre."""

from behave import given, then, when

from cactuswalk.dispatch.loadpolicy import LoadPolicy
from features.support.centreload import (
    TASK_CPU,
    TASK_SECONDS,
    TASKS,
    centre_of,
    room,
)
from features.support.fleet import Fleet

CENTRES = ("d0", "d1", "d2")


@given("six entries, twelve workers and three data centres, with agents shared")
def step_fleet(context):
    policy = LoadPolicy(shares_evacuated=True)
    context.fleet = Fleet(6, 12, cpu=64_000, centres=3, policy=policy)
    context.fleet.in_order = True


@when("{name:w} is killed after {seconds:g} seconds")
def step_kill(context, name, seconds):
    context.fleet.at(seconds, lambda: context.fleet.kill(name))


@when(
    "d0 is evacuated and all entries get {rate:g} times what is left for {s:d} seconds"
)
def step_load(context, rate, s):
    fleet = context.fleet
    fleet.evacuate("d0")
    fleet.run(1.0)
    left = sum(room(fleet, centre) for centre in CENTRES[1:])
    per_second = left * rate / (TASKS * TASK_CPU * TASK_SECONDS)
    context.waiters = []
    for number in range(int(per_second * s)):
        fleet.at(number / per_second, lambda n=number: submit(context, n))
    fleet.run(s + 4.0)


def submit(context, number):
    fleet = context.fleet
    living = fleet.living()
    entry = living[number % len(living)]
    waiter = fleet.submit(
        entry, f"{number:016x}", TASKS, TASK_CPU, TASK_SECONDS, wait=2.0
    )
    context.waiters.append((entry, waiter))


def refused_share(context, centres):
    """Return the share of jobs not run, of those that came to entries in centres."""
    fleet = context.fleet
    verdicts = [
        fleet.verdict(waiter)
        for entry, waiter in context.waiters
        if centre_of(fleet, entry) in centres and entry not in fleet.dead
    ]
    return verdicts.count("not_run") / len(verdicts)


@then("the refused share at d0 is at most {factor:g} times that of the others")
def step_even(context, factor):
    own = refused_share(context, CENTRES[:1])
    others = refused_share(context, CENTRES[1:])
    assert own <= factor * others, (own, others)


@then("at most {most:d} of 100 jobs are refused")
def step_refused(context, most):
    share = refused_share(context, CENTRES)
    assert share <= most / 100, share
