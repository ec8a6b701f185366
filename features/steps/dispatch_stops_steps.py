"""Steps on runs that should be stopped while stops are lost."""

from behave import then, when

from features.support.loststops import CASES, LostStops


@when("{case} while {part:d} of 100 stop calls are lost")
def step_case(context, case, part):
    assert case in CASES, case
    context.case, context.share = case, part / 100


@then("no task runs twice at once on {seeds:d} seeds")
def step_no_overlap(context, seeds):
    overlapping = [
        seed
        for seed in range(seeds)
        if LostStops(seed, context.share).play(context.case).overlaps
    ]
    assert not overlapping, f"{len(overlapping)} of {seeds} seeds: {overlapping}"
