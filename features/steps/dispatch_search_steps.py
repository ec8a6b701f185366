"""Steps that play random days of a mix of faults."""

from behave import then

from features.support.fleetsearch import play_days

DAY_SECONDS = 8
GROWN_DAY_SECONDS = 5


@then("search days {first:d} and {last:d} of {mix} keep every guarantee")
def step_search(context, first, last, mix):
    keep(context, play_days(first, last, mix, DAY_SECONDS))


@then("day {seed:d} of {mix} in the shape {shape} keeps every guarantee")
def step_search_shape(context, seed, mix, shape):
    keep(context, play_days(seed, seed, mix, GROWN_DAY_SECONDS, shape))


@then("home sets have changed on it, and overflow agents were used")
def step_overflow(context):
    for day in context.days:
        said = {line.sentence for _, _, line in day.fleet.lines}
        assert "the home entries have changed" in said, day.summary()
        assert "uses agents for overflow" in said, day.summary()


def keep(context, days):
    context.days = days
    for day in days:
        assert len(day.fleet.answers) > 50, day.summary()
