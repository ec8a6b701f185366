"""Steps for the list of mutants."""

from behave import then, when

from tools.mutants import MUTANTS
from tools.sourcechange import ROOT, StaleChangeError


@when("each mutant's text is looked for in the source")
def step_look(context):
    context.stale = []
    for mutant in MUTANTS:
        try:
            mutant.changed_text()
        except StaleChangeError as error:
            context.stale.append(error.show())


@then("each stands there exactly once and names a feature that exists")
def step_fresh(context):
    assert not context.stale, "\n".join(context.stale)
    assert all((ROOT / "features" / one.feature).exists() for one in MUTANTS)
