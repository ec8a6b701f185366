"""Steps for the guard, with an agent and its upstream as separate processes."""

import json
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from tools.cluster import Cluster, Worker, token_of

# The delay of usage reports that the brief names; one then arrives every two seconds.
# The large request runs for several of them, and succeeds without the guard.
REPORT_DELAY_MS = 1_000
LARGE_MS = 8_000
SMALL_MS = 3_000
DEADLINE_MS = 25_000
GUARD_ACTIONS = ("stop", "throttle", "checkpoint")


def start_cluster(context, enabled="yes", can_checkpoint=False):
    worker = Worker("w1", "booking", memory_mb=1000, can_checkpoint=can_checkpoint)
    changes = {"agent": {"guard": {"enabled": enabled}}}
    context.cluster = Cluster(1, [worker], changes)
    context.clean_ups = [context.cluster.close]
    context.cluster.__enter__()
    context.cluster.wait_ready()
    context.cluster.set_upstream_faults("w1", usage_late_ms=REPORT_DELAY_MS)


@given(
    "a worker of 1000 MB with its guard {state}, whose upstream can checkpoint tasks"
)
def step_saving_worker(context, state):
    start_cluster(context, can_checkpoint=True)


@given("a worker of 1000 MB with its guard {state}")
def step_worker(context, state):
    start_cluster(context, "yes" if state == "on" else "no")


def send_request(context, name, declared_mb, used_mb, duration_ms, idempotent=False):
    headers = {
        "Authorization": f"Bearer {token_of('labuta')}",
        "Cactuswalk-Memory-Mb": str(declared_mb),
        "Cactuswalk-Deadline-Ms": str(DEADLINE_MS),
    }
    if idempotent:
        headers["Cactuswalk-Idempotent"] = "?1"
    url = f"{context.cluster.entry_url(0)}/v1/services/booking/requests"
    body = {"work": name, "duration_ms": duration_ms, "uses_mb": used_mb}
    max_wait_s = 2 * DEADLINE_MS / 1000
    return context.cluster.request("POST", url, body, headers, max_wait_s)


@when(
    "a request that declares {declared:d} MB and uses {used:d} runs "
    "beside three of 20 MB"
)
def step_run(context, declared, used):
    with ThreadPoolExecutor(4) as pool:
        small = [
            pool.submit(send_request, context, "small", 20, 20, SMALL_MS)
            for _ in range(3)
        ]
        large = pool.submit(send_request, context, "large", declared, used, LARGE_MS)
    context.large = large.result()
    context.small = [one.result() for one in small]


@when("an idempotent request that declares {declared:d} MB and uses {used:d} runs")
def step_run_idempotent(context, declared, used):
    context.large = send_request(context, "large", declared, used, LARGE_MS, True)


@then('the large request ends as "{outcome}" and its answer says "{words}"')
def step_large_ends(context, outcome, words):
    problem = json.loads(context.large[1])
    assert problem["outcome"] == outcome, problem
    assert words in json.dumps(problem), problem


@then("the large request is answered")
def step_large_answered(context):
    assert context.large[0] == 200, context.large


@then("the three others are answered")
def step_small(context):
    assert [status for status, _ in context.small] == [200] * 3, context.small


def find_submissions(context, work):
    return {
        record["submission"]
        for record in context.cluster.records()
        if record.get("work") == work
    }


def list_guard_actions(context):
    return [one for one in context.cluster.records() if one["event"] in GUARD_ACTIONS]


@then('the upstream was asked to "{action}" the large request, and none of the others')
def step_asked(context, action):
    actions = list_guard_actions(context)
    large = find_submissions(context, "large")
    assert {one["submission"] for one in actions} == large, actions
    assert action in {one["event"] for one in actions}, actions


@then("the upstream got no guard action")
def step_asked_nothing(context):
    assert not list_guard_actions(context), list_guard_actions(context)


@then("the upstream has started the large request twice, as two attempts")
def step_started_twice(context):
    starts = [
        record["attempt"]
        for record in context.cluster.records()
        if record["event"] == "start"
    ]
    assert len(starts) == len(set(starts)) == 2, starts
