"""Steps that play random days of a mix of faults."""

from behave import then

from features.support.fleetsearch import SearchDay

DAY_SECONDS = 8


@then("search days {first:d} and {last:d} of {mix} keep every guarantee")
def step_search(context, first, last, mix):
    for seed in range(first, last + 1):
        day = SearchDay(seed, mix)
        day.play(DAY_SECONDS)
        assert not day.is_broken(), f"seed {seed}: {day.summary()}"
        assert len(day.fleet.answers) > 50, day.summary()
