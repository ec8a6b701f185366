"""Steps for the slopes and their checked-in counts."""

import json

from behave import then, when

from tools.fits import fit
from tools.slopes import COUNTS, small_counts

REMEDY = (
    "If the change is intended, run 'python -m tools.slopes --counts' and give the "
    "counts before and after in the commit."
)


@when("the small series of slopes are measured again")
def step_measure(context):
    context.measured = small_counts()


@then("each of their counts equals the one in tools/counts.json")
def step_compare(context):
    expected = json.loads(COUNTS.read_text(encoding="utf-8"))
    assert context.measured.keys() == expected.keys(), context.measured.keys()
    changed = [
        f"{name} at {size}: {expected[name].get(size)} became {counts}"
        for name, sizes in context.measured.items()
        for size, counts in sizes.items()
        if expected[name].get(size) != counts
    ]
    assert not changed, "\n".join([*changed, REMEDY])


@when("a line is fitted to {count:d} sizes")
def step_few(context, count):
    sizes = list(range(1, count + 1))
    try:
        context.fit = fit(sizes, sizes)
    except ValueError as error:
        context.error = error


@then("the fit is refused")
def step_refused(context):
    assert "too few" in str(context.error)


@when("lines are fitted to the sizes 4, 8, 16, 32 and to their squares")
def step_fit_both(context):
    sizes = [4, 8, 16, 32]
    context.straight = fit(sizes, [3 * size + 1 for size in sizes])
    context.squared = fit(sizes, [size * size for size in sizes])


@then("only the fit of the squares is marked as curved")
def step_curved(context):
    assert not context.straight.curved
    assert abs(context.straight.slope - 3) < 1e-9
    assert context.squared.curved
