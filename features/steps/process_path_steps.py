"""Steps for requests through all components as separate processes."""

import asyncio

from behave import given, then, when

from tools.cluster import Cluster
from tools.demo import faults_of, workers_of_both
from tools.load import Sent, send_plan
from tools.workloads import KINDS, Arrival, plan

ENTRIES = 2


@given("a small deployment of both users' services")
def step_deployment(context):
    context.cluster = Cluster(ENTRIES, workers_of_both())
    context.clean_ups = [context.cluster.close]
    context.cluster.__enter__()
    context.cluster.wait_ready()


@when("a few seconds of both users' traffic are sent and it is stopped as planned")
def step_send(context):
    planned = plan(3, 3.0, 12.0, 40, longest_ms=300, largest_job=20)
    entries = [context.cluster.entry_url(number) for number in range(ENTRIES)]
    context.sent, _ = asyncio.run(send_plan(planned, entries))
    context.statuses = context.cluster.stop()


@then("every arrival of the small deployment was answered")
def step_answered(context):
    assert context.sent
    others = [one for one in context.sent if one.outcome != "answered"]
    assert not others, others


@then("the upstreams' records show no fault")
def step_no_fault(context):
    faults = faults_of(context.sent, context.cluster.starts())
    assert not faults, faults


@then("its entries and agents ended with status 0")
def step_status(context):
    ended = {
        name: status
        for name, status in context.statuses.items()
        if name.startswith(("entry-", "agent-"))
    }
    assert len(ended) == ENTRIES + len(context.cluster.workers), ended
    assert not any(ended.values()), ended


@when('the check is given a duplicate start, a false "not run" and a missing start')
def step_check(context):
    arrival = Arrival(0.0, KINDS[0], [50])
    sent = [
        Sent(arrival, "doubled", "answered", "", 0.1),
        Sent(arrival, "false", "not_run", "overloaded", 0.1),
        Sent(arrival, "missing", "answered", "", 0.1),
    ]
    starts = {("glenmorrow/doubled", 0): 2, ("glenmorrow/false", 0): 1}
    context.faults = faults_of(sent, starts)


@then("the check reports each of the three")
def step_reported(context):
    assert len(context.faults) == 3, context.faults
    for word in ("doubled", "false", "missing"):
        assert any(word in fault for fault in context.faults), context.faults
