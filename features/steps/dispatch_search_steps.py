"""Steps that play random days of a mix of faults."""

from behave import then

from features.support.fleetsearch import play_days

DAY_SECONDS = 8


@then("search days {first:d} and {last:d} of {mix} keep every guarantee")
def step_search(context, first, last, mix):
    for day in play_days(first, last, mix, DAY_SECONDS):
        assert len(day.fleet.answers) > 50, day.summary()
