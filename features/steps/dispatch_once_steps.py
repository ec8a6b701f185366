"""Steps on tasks that must not run twice at once."""

from behave import given, then, when

from cactuswalk.dispatch.agentevents import Announced
from cactuswalk.dispatch.bounds import (
    ENTRY_LEASE_SECONDS,
    RESEND_SECONDS,
    agent_lapse_seconds,
    orphan_lapse_seconds,
    worker_lapse_seconds,
)
from features.support.fleet import JOB, Fleet
from features.support.fleetscript import RandomDay

DAY_SECONDS = 10


@given("a fleet of {entries:d} entries and {workers:d} workers")
def step_fleet(context, entries, workers):
    context.fleet = Fleet(entries, workers)
    context.waiters = {}


@when("a job of {tasks:d} tasks of {seconds:g} seconds comes to {entry}")
def step_job(context, tasks, seconds, entry):
    context.tasks, context.seconds = tasks, seconds
    context.waiters[entry] = context.fleet.submit(
        entry, JOB, tasks, seconds=seconds, wait=10.0
    )


@when("the same job comes to {entry} {after:g} seconds later")
def step_same_job(context, entry, after):
    context.fleet.run(after)
    step_job(context, context.tasks, context.seconds, entry)
    context.fleet.run(9.0)


@when("{jobs:d} jobs of {tasks:d} tasks of {seconds:g} seconds come to {entry}")
def step_jobs(context, jobs, tasks, seconds, entry):
    for number in range(jobs):
        waiter = context.fleet.submit(
            entry, f"{number:016x}", tasks, seconds=seconds, wait=10.0
        )
        context.waiters[number] = waiter
        context.fleet.run(0.1)


@when("{one} and {other} are killed after {after:g} seconds")
def step_kill_two(context, one, other, after):
    context.fleet.run(after)
    context.fleet.kill(one)
    context.fleet.kill(other)


@when("{name:w} is killed after {after:g} seconds")
def step_kill(context, name, after):
    context.fleet.run(after)
    context.fleet.kill(name)


@when("{agent:w} is started again {after:g} second later")
def step_start_again(context, agent, after):
    context.fleet.run(after)
    context.fleet.start_agent(agent)


@when("{name:w} freezes for {seconds:g} seconds after {after:g} seconds")
def step_freeze(context, name, seconds, after):
    context.fleet.run(after)
    context.fleet.freeze(name, seconds)


@when("the link from {one:w} to {other:w} is cut after {after:g} seconds")
def step_cut(context, one, other, after):
    context.fleet.run(after)
    context.fleet.cuts.add((one, other))


@when(
    "{agent:w} leaves {part:d} of 100 calls unanswered and executes them"
    " {late:g} seconds later"
)
def step_late(context, agent, part, late):
    worker = context.fleet.workers[agent]
    worker.unanswered_share, worker.late = part / 100, late


@when("{agent:w}'s worker is cut off after {after:g} seconds")
def step_cut_worker(context, agent, after):
    context.fleet.run(after)
    context.fleet.workers[agent].cut = True


@when("{agent:w}'s worker crashes and comes back")
def step_crash(context, agent):
    worker = context.fleet.workers[agent]
    context.old_heartbeat = worker.announcement()
    worker.crash()
    context.fleet.run(2.0)


@when("a heartbeat of the earlier incarnation arrives after {after:g} seconds")
def step_old_heartbeat(context, after):
    context.fleet.run(after)
    context.fleet.deliver("a0", Announced(context.old_heartbeat))


@when("the fleet runs on for {seconds:g} seconds")
def step_pass(context, seconds):
    context.fleet.run(seconds)


@then("no task has run twice at once")
def step_no_overlap(context):
    assert context.fleet.starts, "nothing ran at all"
    assert not context.fleet.overlaps, context.fleet.overlaps
    assert not context.fleet.overloads


@then("the job is completed at {entry}")
def step_completed(context, entry):
    waiter = context.waiters[entry]
    assert waiter in context.fleet.answers, "no answer"
    assert context.fleet.verdict(waiter) == "completed", context.fleet.verdict(waiter)


@then("all jobs are completed")
def step_all_completed(context):
    verdicts = [context.fleet.verdict(waiter) for waiter in context.waiters.values()]
    assert set(verdicts) == {"completed"}, verdicts


@then("every task was started {times}")
def step_started(context, times):
    wanted = {"once": 1, "twice": 2}[times]
    counts = {}
    for _, key, _, _ in context.fleet.starts:
        counts[key] = counts.get(key, 0) + 1
    assert len(counts) == context.tasks
    assert set(counts.values()) == {wanted}, counts


@then("tasks of a dead entry have ended before its callers retry")
def step_orphans(context):
    assert orphan_lapse_seconds() < RESEND_SECONDS


@then("an entry waits longer for a silent agent than the agent keeps its tasks")
def step_lost_after(context):
    assert agent_lapse_seconds() > ENTRY_LEASE_SECONDS + worker_lapse_seconds()


@then("an entry waits longer for a silent agent than tasks run without stops")
def step_orphans_elsewhere(context):
    assert agent_lapse_seconds() > orphan_lapse_seconds()


@then("random day {seed:d} of {seconds:d} seconds keeps every guarantee")
def step_random_day(context, seed, seconds):
    day = RandomDay(seed)
    day.play(seconds)
    assert not day.is_broken(), day.summary()


@when("{name:w} is told to stop and {seconds:g} seconds pass")
def step_terminate(context, name, seconds):
    # Trains the estimates, so that tasks of two seconds are expected to take two.
    for number in range(40):
        context.fleet.submit(name, f"{number + 1:016x}", seconds=2.0)
        context.fleet.run(0.4)
    context.fleet.run(4.0)
    context.fleet.terminate(name)
    context.fleet.run(seconds)


@then("the job is refused as not run at {entry}")
def step_refused(context, entry):
    context.fleet.run(0.1)
    assert context.fleet.verdict(context.waiters[entry]) == "not_run"


@then("random days {first:d} to {last:d} keep every guarantee")
def step_random(context, first, last):
    for seed in range(first, last + 1):
        day = RandomDay(seed)
        day.play(DAY_SECONDS)
        assert not day.is_broken(), f"seed {seed}: {day.summary()}"
        assert len(day.fleet.answers) > 100, day.summary()
