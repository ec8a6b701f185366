"""Steps for what must always hold, on the reducers."""

from behave import given, then, when
from hypothesis import HealthCheck, Phase, given as drawn, seed, settings

from features.support.judge import violations
from features.support.matrix import play_cell
from features.support.script import SCRIPTS, play
from tools import matrix


@given("{count:d} scripts of submissions and faults, from seed {number:d}")
def step_scripts(context, count, number):
    context.script_count, context.script_seed = count, number


@when("each is run on the reducers")
def step_play(context):
    context.broken = []
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
    @drawn(SCRIPTS)
    def run(script):
        context.played += 1
        assert violations(play(script).bag) == []

    run()


@then("no promise was broken in any of them")
def step_none(context):
    assert context.played >= context.script_count


@when('"{fault}" strikes at each of these steps')
def step_strike(context, fault):
    context.broken = []
    for row in context.table:
        _, broken = play_cell(row["step"], fault)
        context.broken += [f"{row['step']}: {sentence}" for sentence in broken]


@then("no promise was broken at any step")
def step_none_at_any(context):
    assert not context.broken, "\n".join(context.broken)


@when("the feature is rendered from the lists")
def step_render(context):
    context.rendered = matrix.render()


@then("it is this file to the letter")
def step_to_the_letter(context):
    assert matrix.FEATURE.read_text(encoding="utf-8") == context.rendered
