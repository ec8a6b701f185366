"""Steps on the work of a process on a fixed day."""

from unittest import mock

from behave import then, when

from cactuswalk.dispatch import agentreports, membership
from features.support.workday import count_work
from tools.work import find_growth, read_figures


@when("the fixed day is played")
def step_play(context):
    context.work = count_work()


@when("the fixed day is played with reports at least every {seconds:g} seconds")
def step_play_reports(context, seconds):
    with mock.patch.object(agentreports, "REPORT_SECONDS", seconds):
        context.work = count_work()


@when("the fixed day is played with {count:d} home entries")
def step_play_home(context, count):
    with mock.patch.object(membership, "MAX_HOME_ENTRIES", count):
        context.work = count_work()


@then("no count exceeds the committed figures by more than a tenth")
def step_no_growth(context):
    growth = find_growth(context.work, read_figures())
    assert not growth, "\n".join(growth)


@then('the count "{count}" exceeds the committed figures')
def step_growth(context, count):
    growth = find_growth(context.work, read_figures())
    assert any(line.startswith(f"{count}:") for line in growth), growth
