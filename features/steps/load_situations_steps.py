"""Steps that judge the decisions by what callers receive.

All runs are on a virtual clock with fixed seeds: the verdict does not depend on the
machine. ``tools.policies_situations`` says how each situation comes about.
"""

from behave import then, when

from tools.policies_faults import compare
from tools.policies_situations import SITUATIONS


@when('the situation "{name}" is run with and without the decisions')
def step_run(context, name):
    ours, plain = compare(SITUATIONS[name]())
    context.outcomes = {"with": ours, "without": plain}


def outcome(context, which, group):
    found = context.outcomes[which][group]
    assert found.report.offered, "nobody asked"
    return found


@then('{which} the decisions at least {percent:g}% of callers "{group}" are answered')
def step_answered(context, which, percent, group):
    found = outcome(context, which, group)
    assert found.answered * 100 >= percent, found


@then('{which} the decisions at most {percent:g}% of callers "{group}" are answered')
def step_not_answered(context, which, percent, group):
    found = outcome(context, which, group)
    assert found.answered * 100 <= percent, found


@then('{which} the decisions at most {percent:g}% of callers "{group}" fail')
def step_few_fail(context, which, percent, group):
    found = outcome(context, which, group)
    assert found.report.failed * 100 <= percent * found.report.offered, found


@then('{which} the decisions at least {percent:g}% of callers "{group}" fail')
def step_many_fail(context, which, percent, group):
    found = outcome(context, which, group)
    assert found.report.failed * 100 >= percent * found.report.offered, found


@then(
    '{which} the decisions at least {percent:g}% of refusals of callers "{group}" '
    "come at once"
)
def step_at_once(context, which, percent, group):
    found = outcome(context, which, group)
    assert found.report.refused, "nobody was refused"
    assert found.at_once * 100 >= percent, found


@then(
    '{which} the decisions the {percentile} slowdown of callers "{group}" '
    "is at most {bound:g}"
)
def step_fast(context, which, percentile, group, bound):
    found = outcome(context, which, group)
    assert getattr(found.report, f"job_{percentile}") <= bound, found


@then(
    '{which} the decisions the {percentile} slowdown of callers "{group}" '
    "is at least {bound:g}"
)
def step_slow(context, which, percentile, group, bound):
    found = outcome(context, which, group)
    assert getattr(found.report, f"job_{percentile}") >= bound, found


@then(
    '{which} the decisions the useful throughput of callers "{group}" '
    "is at least {bound:g}"
)
def step_useful(context, which, group, bound):
    found = outcome(context, which, group)
    assert found.report.useful >= bound, found
