"""Steps for what must always hold, on the reducers."""

from behave import given, then, when

from features.support.matrix import play_cell
from features.support.runs import run_scripts
from features.support.script import SCRIPTS, play
from tools import matrix


@given("{count:d} scripts of submissions and faults, from seed {number:d}")
def step_scripts(context, count, number):
    context.script_count, context.script_seed = count, number


@when("each is run on the reducers")
def step_play(context):
    context.played = 0

    def count(played):
        context.played += 1

    run_scripts(SCRIPTS, play, context.script_seed, context.script_count, count)


@then("no promise was broken in any of them")
def step_none(context):
    assert context.played >= context.script_count


@when('"{fault}" strikes at each of these steps')
def step_strike(context, fault):
    context.broken = []
    context.struck = 0
    # The table is one row: the steps.
    for step in context.table.headings:
        _, broken = play_cell(step, fault)
        context.broken += [f"{step}: {sentence}" for sentence in broken]
        context.struck += 1


@then("no promise was broken at any step")
def step_none_at_any(context):
    assert context.struck
    assert not context.broken, "\n".join(context.broken)


@when("the feature is rendered from the lists")
def step_render(context):
    context.rendered = matrix.render()


@then("it is this file to the letter")
def step_to_the_letter(context):
    assert matrix.FEATURE.read_text(encoding="utf-8") == context.rendered
