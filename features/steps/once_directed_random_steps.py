"""Steps for random runs that aim at takeovers."""

from functools import partial

from behave import given, then, when

from features.support.runs import run_scripts
from features.support.targeted import TARGETED, play_targeted


@given("{count:d} scripts of moves that aim at takeovers, from seed {number:d}")
def step_scripts(context, count, number):
    context.script_count, context.script_seed = count, number


DRIFTS = {"200 ppm": 0.0002, "5%": 0.05}


@when("each targeted script is run on the reducers, with clocks that differ by {drift}")
def step_play_drifting(context, drift):
    step_play(context, DRIFTS[drift])


@when("each targeted script is run on the reducers")
def step_play(context, drift=0.0):
    context.played = 0

    def count(played):
        context.played += 1

    play = partial(play_targeted, drift=drift)
    run_scripts(TARGETED, play, context.script_seed, context.script_count, count)


@then("no promise was broken in any targeted script")
def step_none(context):
    assert context.played >= context.script_count
