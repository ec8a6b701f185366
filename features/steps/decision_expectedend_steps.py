"""Steps on the pure functions of the setting place_by_end."""

from behave import then, when

from cactuswalk.decisions.expectedend import (
    ShortestKind,
    class_of,
    highest_pace,
    patient_cost,
)
from cactuswalk.decisions.spill import RoomNear, should_ask_early
from cactuswalk.decisions.usualpace import UsualPace, pace_of_most_jobs

CORE = 1_000
WORDS = {True: "eligible", False: "not eligible"}


@when("a task of {seconds:g} s has {left:g} s left and the median pace is {median:g}")
def step_task(context, seconds, left, median):
    context.highest = highest_pace(class_of(seconds, left), median)


@then("a worker of pace {first:g} is {one}, and one of pace {second:g} is {other}")
def step_eligible(context, first, one, second, other):
    assert WORDS[first <= context.highest] == one, context.highest
    assert WORDS[second <= context.highest] == other, context.highest


@when("a task of {seconds:g} s has {left:g} s left, and less each time, down to -1.0 s")
def step_less(context, seconds, left):
    context.highest = []
    while left > -1.0:
        context.highest.append(highest_pace(class_of(seconds, left), 1.0))
        left -= 0.01


@then("the highest pace never rises")
def step_never_rises(context):
    assert context.highest == sorted(context.highest, reverse=True)
    assert context.highest[0] > 1.0 and context.highest[-1] == 0.0


@when(
    "two workers of pace {first:g} and {second:g} are equally free and the median pace"
    " is {median:g}"
)
def step_two(context, first, second, median):
    context.costs = [patient_cost(pace, pace, median) for pace in (first, second)]
    context.paces = (first, second)


@then("a patient task costs less on the slower one")
def step_slower(context):
    assert context.costs[1] < context.costs[0]


@then("a patient task costs the same on both for their pace")
def step_same(context):
    first, second = (
        cost / pace for cost, pace in zip(context.costs, context.paces, strict=True)
    )
    assert abs(first - second) < 1e-9


@when("jobs of 0.1 s and of 2 s have come")
def step_kinds(context):
    context.shortest, context.now = ShortestKind(), 10.0
    context.shortest.record("plans", "short", 0.1, context.now)
    context.shortest.record("plans", "long", 2.0, context.now)


@when("for 3 s only jobs of 2 s come")
def step_only_long(context):
    for _ in range(30):
        context.now += 0.1
        context.shortest.record("plans", "long", 2.0, context.now)


@then("the kind of {seconds:g} s is the shortest")
def step_shortest(context, seconds):
    name = "short" if seconds < 1 else "long"
    assert context.shortest.is_shortest("plans", name, context.now)
    if name == "short":
        assert not context.shortest.is_shortest("plans", "long", context.now)


@when("four tasks of each of two jobs run at 7 times and tasks of three others at 1")
def step_long_jobs(context):
    ratios = [(job, 7.0) for job in "aabbabab"] + [(job, 1.0) for job in "cde"]
    context.predicted = pace_of_most_jobs(ratios)


@when("the running tasks of four jobs all run at 5 times")
def step_all_slow(context):
    context.predicted = pace_of_most_jobs([(job, 5.0) for job in "abcd"])


@then("the predicted pace is {pace:g}")
def step_predicted(context, pace):
    assert context.predicted == pace, context.predicted


@when("a worker of pace {pace:g} has run 100 tasks, and one that takes 7 times as long")
def step_one_long(context, pace):
    context.usual = runs(UsualPace(), 100, pace)
    runs(context.usual, 1, 7 * pace)


@when("a worker of pace {pace:g} has run 100 tasks, and then 100 at pace {later:g}")
def step_change(context, pace, later):
    context.usual = runs(runs(UsualPace(), 100, pace), 100, later)


def runs(usual, count, pace):
    for _ in range(count):
        usual.record(1_000, 1_000 * pace)
    return usual


@then("its usual pace is within {part:d} of 100 of {pace:g}")
def step_usual_pace(context, part, pace):
    assert abs(context.usual.pace / pace - 1) <= part / 100, context.usual.pace


@when(
    "{free:d} of 100 cores near are free and another data centre reports {elsewhere:d}"
)
def step_room(context, free, elsewhere):
    near = RoomNear(100 * CORE, free * CORE, 3 * CORE)
    context.asks = should_ask_early(near, elsewhere * CORE)


@then("agents are {asked}")
def step_asked(context, asked):
    assert context.asks == (asked == "asked")
