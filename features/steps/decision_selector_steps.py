"""Steps for label selectors."""

from behave import given, then, when
from hypothesis import given as drawn, settings, strategies

from cactuswalk.model import (
    Announcement,
    Capacity,
    SelectorError,
    matches,
    parse_selector,
    worker_labels,
)


@given('a worker in rack "{rack}" of data centre "{centre}" with labels "{labels}"')
def step_labelled_worker(context, rack, centre, labels):
    pairs = dict(pair.split("=") for pair in labels.split(","))
    capacity = Capacity(slots=8)
    context.worker = Announcement("w1", "booking", centre, rack, pairs, capacity)


@when('the selector "{selector}" is matched against that worker')
def step_match(context, selector):
    context.verdict = matches(parse_selector(selector), worker_labels(context.worker))


@when('the selector "" is matched against that worker')
def step_match_empty(context):
    context.verdict = matches(parse_selector(""), worker_labels(context.worker))


@then("the selector's verdict is {verdict}")
def step_verdict(context, verdict):
    assert context.verdict is (verdict == "yes")


@when('the selector "{selector}" is parsed')
def step_parse(context, selector):
    try:
        context.error = parse_selector(selector)
    except SelectorError as error:
        context.error = error


@then("the selector is refused at character {position:d} with a remedy")
def step_refused(context, position):
    assert isinstance(context.error, SelectorError), context.error
    assert context.error.position == position - 1, context.error.show()
    assert context.error.code == "selector"
    assert context.error.remedy


@then(
    "{count:d} random selector texts are each parsed or refused with a position inside"
)
def step_any_text(context, count):
    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @drawn(strategies.text(alphabet="ab=!,() in$", max_size=16))
    def check(text):
        try:
            matches(parse_selector(text), {"a": "b"})
        except SelectorError as error:
            assert 0 <= error.position <= len(text), error.show()

    check()
