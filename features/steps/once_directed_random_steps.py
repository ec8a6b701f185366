"""Steps for random runs that aim at takeovers."""

from behave import given, then, when
from hypothesis import HealthCheck, Phase, given as drawn, seed, settings

from features.support.judge import violations
from features.support.targeted import TARGETED, play_targeted


@given("{count:d} scripts of moves that aim at takeovers, from seed {number:d}")
def step_scripts(context, count, number):
    context.script_count, context.script_seed = count, number


@when("each targeted script is run on the reducers")
def step_play(context):
    context.played = 0

    @seed(context.script_seed)
    @settings(
        max_examples=context.script_count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate, Phase.shrink],
        print_blob=False,
    )
    @drawn(TARGETED)
    def run(script):
        context.played += 1
        found = violations(play_targeted(script).bag)
        assert found == [], found

    run()


@then("no promise was broken in any targeted script")
def step_none(context):
    assert context.played >= context.script_count
