"""Steps on the admission of whole jobs."""

import functools
import statistics

import msgspec
from behave import given, then, when

from cactuswalk.dispatch.entryadmission import neighbours_cpu
from cactuswalk.dispatch.evacuation import NOTHING_EVACUATED
from cactuswalk.dispatch.loadpolicy import LoadPolicy
from cactuswalk.dispatch.messages import EntryStatus
from features.support.admissionfigures import play
from features.support.fleet import Fleet, queue

SEEDS = (1, 2, 3)
ON = LoadPolicy(predicts_admission=True)
OFF = LoadPolicy()
SUBSIDED_SECONDS = 4.0
JOB = f"{0xF1:016x}"


def lose_statuses(fleet):
    fleet.dropped_messages = (EntryStatus,)


def stop_store(fleet):
    fleet.cut_from_store = set(fleet.states)


play_once = functools.cache(play)


def play_seeds(shape, policy, prepare=None, seeds=SEEDS):
    return [play_once(shape, seed, policy, prepare) for seed in seeds]


def play_both(context, shape):
    context.off = play_seeds(shape, OFF)
    context.on = play_seeds(shape, ON)


@when("{load:g} times the room is asked for, with the setting off and on")
def step_load(context, load):
    play_both(context, f"{load:g}")


@when("{load:g} times the room is asked for with 8 seeds, with the setting on")
def step_load_seeds(context, load):
    context.on = play_seeds(f"{load:g}", ON, seeds=range(1, 9))


@when("a burst of rebuilds is played, with the setting off and on")
def step_burst(context):
    play_both(context, "burst")


@when("a third of the workers is evacuated, with the setting off and on")
def step_evacuated(context):
    play_both(context, "evacuated")


@when("1.6 times the room is followed by half of it, with the setting on")
def step_subsided(context):
    context.on = play_seeds("subsided", ON)


@when("all statuses are lost at {load:g} times the room, with the setting on")
def step_lost(context, load):
    context.on = play_seeds(f"{load:g}", ON, lose_statuses)


@when("the store is down at {load:g} times the room, with the setting on")
def step_store_down(context, load):
    context.on = play_seeds(f"{load:g}", ON, stop_store)


@then("half of the refused jobs are answered within 30 ms")
def step_at_once(context):
    waits = [wait for *_, figures in context.on for wait in figures.refused_waits]
    assert waits, "nothing was refused"
    assert statistics.median(waits) <= 0.03, statistics.median(waits)


@then("the entries' refused shares are within 1.5 times of each other")
def step_even(context):
    shares = [
        statistics.fmean(figures.by_entry[name] for *_, figures in context.on)
        for name in context.on[0][2].by_entry
    ]
    assert max(shares) <= 1.5 * min(shares), shares


@then("what is served is worth no less than with the setting off")
def step_worth(context):
    off, on = (
        statistics.fmean(figures.worth for *_, figures in plays)
        for plays in (context.off, context.on)
    )
    assert on >= off, (on, off)


@then("no refused job has run, and no worker got more than its capacity")
def step_true(context):
    for fleet, load, _ in context.on:
        assert not fleet.overlaps
        assert not fleet.overloads
        ran = {key.job for _, key, _, _ in fleet.starts}
        for waiter, *_ in load.jobs:
            if fleet.verdict(waiter) == "not_run":
                assert fleet.arrivals[waiter][3] not in ran


@then("no job is refused at its arrival that is on time with the setting off")
def step_none_worse(context):
    for (fleet, load, _), (without, *_) in zip(context.on, context.off, strict=True):
        for waiter, kind, *_ in load.jobs:
            if is_refused_at_once(fleet, waiter):
                assert not without.is_on_time(waiter), (kind, fleet.arrivals[waiter])


def is_refused_at_once(fleet, waiter):
    if waiter not in fleet.answers or fleet.verdict(waiter) != "not_run":
        return False
    return fleet.took(waiter) == 0.0


@then("of the jobs that come a second later none is refused")
def step_none_refused(context):
    for fleet, load, _ in context.on:
        waiters = [
            waiter
            for waiter, *_ in load.jobs
            if fleet.arrivals[waiter][0] >= load.began + SUBSIDED_SECONDS
        ]
        assert waiters
        assert not [w for w in waiters if fleet.verdict(w) == "not_run"]


@given("2 entries that share 2 full workers, with the setting on")
def step_full(context):
    queues = [queue(stretch=3.0)]
    context.fleet = fleet = Fleet(2, 2, queues=queues, centres=1, policy=ON)
    fleet.submit("e1", JOB, 2, 15_000, seconds=20.0, wait=60.0)
    fleet.run(0.1)
    # Both have tasks of a job with much slack waiting, and nothing ends.
    for number, entry in enumerate(fleet.entry_names * 2):
        fleet.submit(entry, f"{number + 1:016x}", 4, 15_000, seconds=20.0, wait=60.0)
    fleet.run(1.0)
    assert not fleet.answers


@when("{after:g} seconds later {count:d} jobs come to {entry:w}")
def step_jobs(context, after, count, entry):
    fleet = context.fleet
    fleet.run(after)
    context.waiters = [
        fleet.submit(entry, f"{number + 0x100:016x}", 2, 15_000, seconds=0.2)
        for number in range(count)
    ]


@then("none of them is refused at once")
def step_none_at_once(context):
    assert not [w for w in context.waiters if w in context.fleet.answers]


@then("e0 counts what waits at e1")
def step_counts(context):
    fleet = context.fleet
    waiting = sum(
        len(job.waiting) * 15_000 for job in fleet.states["e1"].waiting_jobs()
    )
    counted = neighbours_cpu(fleet.states["e0"], fleet.clock("e0"))
    assert waiting
    assert list(counted.values()) == [waiting], (counted, waiting)


@when("e1 crashes and {seconds:g} seconds pass")
def step_crash(context, seconds):
    context.fleet.kill("e1")
    context.fleet.run(seconds)


@then("e0 counts nothing at its neighbours")
def step_counts_nothing(context):
    fleet = context.fleet
    assert not neighbours_cpu(fleet.states["e0"], fleet.clock("e0"))


@when("a job that runs at e1 and a new one come to e0")
def step_again(context):
    fleet = context.fleet
    context.waiters = [
        fleet.submit("e0", job, 2, 15_000, seconds=0.2) for job in (JOB, "f" * 16)
    ]


@then("only the new one is refused at once")
def step_only_new(context):
    again, new = context.waiters
    assert again not in context.fleet.answers
    assert is_refused_at_once(context.fleet, new)


@when("a status without the backlog is decoded")
def step_decode(context):
    status = EntryStatus("l1", 1, "d0", 0, 0, NOTHING_EVACUATED)
    fields = msgspec.to_builtins(status)
    assert fields[-1] == []
    data = msgspec.msgpack.encode(fields[:-1])
    context.status = msgspec.msgpack.decode(data, type=EntryStatus)


@then("its backlog is empty")
def step_empty(context):
    assert context.status.queued == []
