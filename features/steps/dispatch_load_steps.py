"""Steps on load and on unhealthy workers."""

import statistics

from behave import given, then, when

from features.support.fleet import JOB
from features.support.fleetload import SEED, Load, users_fleet

# The shares of a single seed vary by about 0.03 around the mean.
SEEDS = range(3, 11)


@given("4 entries, 11 workers of three speeds, and the users' three kinds of job")
def step_users(context):
    context.fleet = users_fleet()


@when("{seconds:d} seconds of the usual load are played")
def step_usual(context, seconds):
    context.loads = [play(context.fleet, 1.0, seconds)]


def play(fleet, rate, seconds, seed=SEED):
    load = Load(fleet, rate, seconds, seed)
    fleet.run(seconds + 12)
    return load


@when("{seconds:d} seconds of {rate:g} times the load are played, with each of 8 seeds")
def step_load_seeds(context, seconds, rate):
    context.loads = [play(users_fleet(seed), rate, seconds, seed) for seed in SEEDS]


@when("checks alone fill the workers for {seconds:d} seconds")
def step_checks_alone(context, seconds):
    fleet = context.fleet
    parts = []
    for number in range(seconds * 400):
        entry = fleet.entry_names[number % len(fleet.entry_names)]
        fleet.submit(
            entry, f"{number:016x}", 2, cpu=1600, seconds=0.4, queue_name="checks"
        )
        fleet.run(1 / 400)
        used = sum(
            fleet.size_of(run.key)[0]
            for worker in fleet.workers.values()
            for run in worker.runs.values()
        )
        room = sum(worker.cpu for worker in fleet.workers.values())
        parts.append(used / room)
    context.usual = statistics.median(parts[len(parts) // 2 :])


@when("lookups come and a check needs {cores:d} cores of a worker of 32")
def step_large_check(context, cores):
    fleet = context.fleet
    for worker in fleet.workers.values():
        worker.cpu = 32_000
    fleet.run(2.0)
    for number in range(20):
        fleet.submit("e0", f"{number + 1:016x}", 2, seconds=0.1, queue_name="lookups")
        fleet.run(0.05)
    context.check = fleet.submit(
        "e0", "00000000000000cc", 1, cores * 1000, 0.4, queue_name="checks"
    )
    fleet.run(3.0)


@then("the check is completed")
def step_check_completed(context):
    assert context.fleet.verdict(context.check) == "completed"


@then("at least {part:d} of 100 parts of the workers are in use most of the time")
def step_usual_use(context, part):
    assert context.usual >= part / 100, context.usual


@when(
    "one worker is {pace:d} times slower while {seconds:d} seconds of the usual load"
    " are played"
)
def step_slow(context, pace, seconds):
    context.fleet.workers["a1"].pace = pace
    step_usual(context, seconds)


@when("{agent:w}'s worker fails everything")
def step_fails(context, agent):
    context.fleet.workers[agent].fails = True


@when("{agent:w}'s worker stalls every task")
def step_stalls(context, agent):
    context.fleet.workers[agent].stalls = True


@when("{agent:w}'s worker drains")
def step_drains(context, agent):
    context.fleet.workers[agent].draining = True


@when("its caller disconnects after {after:g} seconds")
def step_leaves(context, after):
    context.fleet.run(after)
    assert context.fleet.live_runs
    context.fleet.leave("e0", context.waiters["e0"])


@when("a job with a task of {cores:d} cores comes to {entry}")
def step_large(context, cores, entry):
    context.waiter = context.fleet.submit(entry, "00000000000000aa", cpu=cores * 1000)


@then("at least 99 of 100 lookups, checks and rebuilds are on time")
def step_all_on_time(context):
    check(context, lookups=99, checks=99, rebuilds=99)


@then(
    "at least {lookups:d} of 100 lookups, {checks:d} of 100 checks and"
    " {rebuilds:d} of 100 rebuilds are on time"
)
def step_on_time(context, lookups, checks, rebuilds):
    check(context, lookups=lookups, checks=checks, rebuilds=rebuilds)


def check(context, **wanted):
    for load in context.loads:
        assert not load.fleet.overlaps
        assert not load.fleet.overloads
    for name, part in wanted.items():
        counts = [load.counts()[name] for load in context.loads]
        done, came = map(sum, zip(*counts, strict=True))
        assert done >= came * part / 100, (name, done / came)


@then("a refusal takes no longer than the time that the job could spare")
def step_refused_in_time(context):
    for load in context.loads:
        fleet = load.fleet
        refused = [w for w in fleet.answers if fleet.verdict(w) == "not_run"]
        assert refused, "nothing was refused"
        for waiter in refused:
            _, chosen, seconds, _ = fleet.arrivals[waiter]
            aim = chosen.stretch * seconds * 2.5 + chosen.allowance_ms / 1000
            assert fleet.took(waiter) < aim, (fleet.took(waiter), aim)
            assert fleet.answers[waiter][1].retry_after >= 1


@then("no refused job has run")
def step_refusals_true(context):
    for load in context.loads:
        fleet = load.fleet
        ran = {key.job for _, key, _, _ in fleet.starts}
        for waiter in fleet.answers:
            if fleet.verdict(waiter) == "not_run":
                assert fleet.arrivals[waiter][3] not in ran


@then("{agent:w} has started fewer than {count:d} tasks")
def step_few_starts(context, agent, count):
    started = sum(name == agent for *_, name in context.fleet.starts)
    assert started < count, started


@then("no job has failed")
def step_none_failed(context):
    verdicts = [context.fleet.verdict(waiter) for waiter in context.waiters.values()]
    assert "failed" not in verdicts, verdicts


@then("no task is running")
def step_nothing_runs(context):
    assert not context.fleet.live_runs


@then("it is refused as not run without delay")
def step_refused_at_once(context):
    assert context.fleet.verdict(context.waiter) == "not_run"
    assert context.fleet.took(context.waiter) == 0.0


@when(
    "its caller submits it to e0 again after {after:g} seconds, and waits for"
    " {seconds:g} second"
)
def step_join(context, after, seconds):
    fleet = context.fleet
    fleet.run(after)
    context.again = fleet.submit("e0", JOB, context.tasks, seconds=5.0, wait=seconds)


@then("that caller is told within {seconds:g} second that it is unfinished")
def step_told_unfinished(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    assert context.again in fleet.answers, "it has no answer"
    assert fleet.verdict(context.again) == "unfinished"


@then("the first caller gets the result")
def step_first_completed(context):
    context.fleet.run(8.0)
    assert context.fleet.verdict(context.waiters["e0"]) == "completed"
