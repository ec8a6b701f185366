"""Steps on workers of unlike speed and on demand in waves."""

import collections
import functools

from behave import given, then, when

from cactuswalk.dispatch.entryevents import JobArrived
from cactuswalk.dispatch.job import JobRequest, Step
from cactuswalk.dispatch.loadpolicy import LoadPolicy
from features.support.fleet import Fleet
from features.support.unevenload import FAST_PACE, Play, UnevenLoad, uneven_fleet

SEEDS = (1, 2, 3)
SECONDS = 15.0
ON = LoadPolicy(places_by_end=True)
# A worker that is neither slow nor large.
CHANGED = "a1"


@functools.cache
def played(rate, is_on):
    """Return the plays of one load; scenarios share them."""
    policy = LoadPolicy(places_by_end=is_on)
    return [Play(seed, policy, rate, SECONDS) for seed in SEEDS]


@when(
    "the uneven load is played at {rate:g} times the room with the setting off and on"
)
def step_play(context, rate):
    context.off, context.on = played(rate, False), played(rate, True)


@then("no smaller part of the jobs is on time with it, in total and of the work")
def step_not_fewer(context):
    off, on = mean(context.off, "on_time"), mean(context.on, "on_time")
    assert on >= off, (on, off)
    off, on = mean(context.off, "worth"), mean(context.on, "worth")
    assert on >= off, (on, off)


@then("no kind is served worse with it by more than {most:d} of 100 jobs")
def step_no_kind(context, most):
    for kind in context.on[0].shares:
        off, on = (
            sum(play.shares[kind] for play in plays) / len(plays)
            for plays in (context.off, context.on)
        )
        assert on >= off - most / 100, (kind, on, off)


@then("no task ran twice, and no worker got more than its capacity")
def step_safe(context):
    for play in context.on:
        assert not play.overlaps and not play.overloads


@then("the bytes between data centres are at most a tenth above those without it")
def step_bytes(context):
    off, on = mean(context.off, "bytes_far"), mean(context.on, "bytes_far")
    assert on <= 1.1 * off, (on, off)


def mean(plays, name):
    return sum(getattr(play, name) for play in plays) / len(plays)


@then("slow workers start at least {times:d} lookup tasks for each rebuild task")
def step_slow_starts(context, times):
    starts = sum((play.slow_starts for play in context.on), collections.Counter())
    assert starts["lookups"] >= times * starts["rebuilds"], starts
    assert starts["lookups"] > 100, starts


@given("the fleet of unlike workers with the setting on")
def step_fleet(context):
    context.fleet = uneven_fleet(1, ON)
    context.fleet.run(1.0)


@when(
    "a fast worker takes {times:g} times as long from {first:g} to {last:g} seconds of"
    " {rate:g} times the room"
)
def step_slower(context, times, first, last, rate):
    worker = context.fleet.workers[CHANGED]

    def change(pace):
        worker.pace = pace
        for run in worker.runs.values():
            if pace > FAST_PACE:
                run.slow_down(context.fleet.now, times)

    context.fleet.at(first, lambda: change(FAST_PACE * times))
    context.fleet.at(last, lambda: change(FAST_PACE))
    play(context, rate)


@when(
    "a fast worker fails everything from {first:g} to {last:g} seconds of {rate:g}"
    " times the room"
)
def step_fails(context, first, last, rate):
    worker = context.fleet.workers[CHANGED]
    context.fleet.at(first, lambda: setattr(worker, "fails", True))
    context.fleet.at(last, lambda: setattr(worker, "fails", False))
    play(context, rate)


@when(
    "a data centre is cut off from {first:g} to {last:g} seconds of {rate:g} times the"
    " room"
)
def step_cut(context, first, last, rate):
    fleet = context.fleet
    inside = {name for name, state in fleet.states.items() if state.data_centre == "d1"}
    cuts = {
        pair
        for name in inside
        for other in fleet.states
        if other not in inside
        for pair in ((name, other), (other, name))
    }
    fleet.at(first, lambda: fleet.cuts.update(cuts))
    fleet.at(last, fleet.cuts.clear)
    context.cut = (fleet.now + first, fleet.now + last)
    play(context, rate)


def play(context, rate):
    fleet = context.fleet
    context.began = fleet.now
    context.load = UnevenLoad(fleet, rate, SECONDS + 2, 1)
    fleet.run(SECONDS + 11)
    context.on = [fleet]


def starts_of(context, first, last, name=CHANGED):
    """Count the starts at a worker, by kind."""
    kinds = context.load.kind_by_identifier()
    return collections.Counter(
        kinds[key.job]
        for at, key, _, worker in context.fleet.starts
        if worker == name and first <= at - context.began <= last
    )


@then("from {first:g} to {last:g} seconds it starts at most {most:d} rebuild tasks")
def step_few_long(context, first, last, most):
    starts = starts_of(context, first, last)
    assert starts["rebuilds"] <= most, starts


@then(
    "from {first:g} to {last:g} seconds it starts half as many tasks as the fast ones"
    " of its size"
)
def step_half(context, first, last):
    workers = context.fleet.workers
    changed = workers[CHANGED]
    like = [
        name
        for name, worker in workers.items()
        if worker.cpu == changed.cpu and worker.pace == changed.pace
    ]
    total = sum(starts_of(context, first, last, name).total() for name in like)
    context.starts = starts_of(context, first, last)
    assert context.starts.total() >= total / len(like) / 2, (context.starts, total)


@then("rebuild tasks are among them")
def step_long_again(context):
    assert context.starts["rebuilds"], context.starts


@then("from {first:g} to {last:g} seconds it starts at most {most:d} tasks")
def step_few(context, first, last, most):
    starts = starts_of(context, first, last)
    assert starts.total() <= most, starts


@then("no job has failed for it")
def step_none_failed(context):
    fleet = context.fleet
    verdicts = collections.Counter(map(fleet.verdict, fleet.answers))
    assert not verdicts["failed"], verdicts


@then(
    "of the jobs that came elsewhere 9 of 10 of those before the cut are on time"
    " after it"
)
def step_after_cut(context):
    fleet, load = context.fleet, context.load
    began, ended = context.cut
    # Statuses and reports take a second to come in again.
    before = load.share_from(lambda at, centre: at < began and centre != 1)
    after = load.share_from(lambda at, centre: at > ended + 1 and centre != 1)
    assert after >= 0.9 * before, (before, after, fleet.now)


@given("an entry with a full worker in a rack and an empty one outside it")
def step_rack(context):
    context.number = 0


@when("the run in the rack ends in {ends:g} seconds and a task of 1 second comes")
def step_rack_task(context, ends):
    fleet = context.fleet = Fleet(1, 2, cpu=4_000, policy=ON)
    for name, rack in (("a0", "r0"), ("a1", "r1")):
        fleet.workers[name].labels = (rack,)
        fleet.announce(name)
    fleet.run(1.0)
    submit(context, "00000000000000a0", ends, label="r0")
    fleet.run(0.02)
    submit(context, "00000000000000b0", 1.0, rack="r0")
    fleet.run(5.0)
    context.ran_at = next(
        worker for _, key, _, worker in fleet.starts if key.job.endswith("b0")
    )


def submit(context, identifier, seconds, **step):
    fleet = context.fleet
    fleet.sizes[identifier] = (3_000, seconds)
    fleet.needs[identifier] = (3_000, 64, 0)
    steps = (Step(1, 3_000, 64, 0, int(seconds * 1000), **step),)
    request = JobRequest(identifier, "spec", steps)
    context.number += 1
    fleet.deliver("e0", JobArrived(context.number, fleet.queues[0], request, 20.0))


@then("the task runs in the rack")
def step_in_rack(context):
    assert context.ran_at == "a0"


@then("the task runs outside the rack")
def step_outside_rack(context):
    assert context.ran_at == "a1"


@given("three workers, of which the slow one alone has the label of a task")
def step_labelled(context):
    context.number = 0
    fleet = context.fleet = Fleet(1, 3, cpu=4_000, policy=ON)
    fleet.workers["a0"].labels = ("l0",)
    fleet.workers["a0"].pace = 4.0
    fleet.announce("a0")
    for number in range(60):
        # Half of them may run at the slow worker only, so that its pace is known.
        submit(context, f"{number:016x}", 0.05, label="l0" if number % 2 else "")
        fleet.run(0.1)
    fleet.run(1.0)
    assert fleet.states["e0"].views["a0"].report.pace > 2.5


@when("a task of 1 second with that label comes")
def step_labelled_task(context):
    submit(context, "00000000000000c0", 1.0, label="l0")
    context.fleet.run(8.0)


@then("it is completed at the slow worker")
def step_at_slow(context):
    fleet = context.fleet
    assert fleet.verdict(context.number) == "completed"
    ran = [worker for _, key, _, worker in fleet.starts if key.job.endswith("c0")]
    assert set(ran) == {"a0"}, ran
