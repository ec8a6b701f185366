"""Steps on runs that should be stopped while stops are lost."""

from behave import then, when

from cactuswalk.dispatch.bounds import orphan_lapse_seconds
from features.support.fleet import JOB
from features.support.loststops import CASES, LostStops


@when("{case} while {part:d} of 100 stop calls are lost")
def step_case(context, case, part):
    assert case in CASES, case
    context.case, context.share = case, part / 100


@when("e0 is killed while its job runs and {part:d} of 100 stop calls are lost")
def step_killed(context, part):
    context.share = part / 100


@then("its runs have ended within the bound on {seeds:d} seeds")
def step_ended(context, seeds):
    for seed in range(seeds):
        fleet = LostStops(seed, context.share).fleet
        fleet.kill("e0")
        fleet.run(orphan_lapse_seconds())
        for worker in fleet.workers.values():
            worker.advance(fleet.now)
        running = [key for key in fleet.live_runs if key.job == JOB]
        assert not running, f"seed {seed}: {running}"


@then("no task runs twice at once on {seeds:d} seeds")
def step_no_overlap(context, seeds):
    overlapping = [
        seed
        for seed in range(seeds)
        if LostStops(seed, context.share).play(context.case).overlaps
    ]
    assert not overlapping, f"{len(overlapping)} of {seeds} seeds: {overlapping}"
