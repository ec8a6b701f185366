"""Steps for planned stops of real processes under load."""

import json
import time

from behave import given, then, when

from features.process_faults_load import MAX_WAIT_S, Load, find_faults
from features.steps.process_faults_operators_steps import collect_workers
from features.steps.process_faults_steps import list_processes, start_cluster
from tools.cluster import token_of
from tools.processes import wait_until
from tools.rolling import refusals_of, roll

# So short that signals arrive in every phase of a stop, its end included.
SIGNAL_INTERVAL_S = 0.001


WORKERS = {"three": 3, "five": 5}


@given("a cell of {workers} workers under a balancer's load from two entries")
def step_balanced(context, workers):
    start_cluster(context, workers=WORKERS[workers])
    context.load = Load(context.cluster, balanced=True)
    context.load.start()
    context.load.wait_answered(15)


def stop_repeatedly(process):
    """Send SIGTERM until the process has ended, and return its exit status."""
    process.terminate()
    if process.name.startswith("upstream-"):
        # Stand-ins are not under test and handle only one signal.
        return process.wait(MAX_WAIT_S)
    end = time.monotonic() + MAX_WAIT_S
    while process.alive and time.monotonic() < end:
        process.terminate()
        time.sleep(SIGNAL_INTERVAL_S)
    return process.wait(1.0)


@when("{who} is asked to stop as planned, and again until it has ended")
def step_stop(context, who):
    names = list_processes(context, who)
    # A host's upstream stops first, while its agent still lets tasks finish.
    context.stopped = sorted(names, reverse=True)
    context.statuses = {}
    for name in context.stopped:
        context.statuses[name] = stop_repeatedly(context.cluster[name])


@when("the stopped processes are started again")
def step_again(context):
    for name in context.stopped:
        context.cluster.restart(name)


@when("every process is replaced one after another as planned")
def step_roll(context):
    replacements = roll(context.cluster)
    context.statuses = {one.name: one.status for one in replacements}
    assert len(replacements) == 8, context.statuses


@when("the balancer's load gets {count:d} more answers")
def step_more_balanced(context, count):
    context.load.wait_answered(count)


@then("each planned stop ended with status 0")
def step_statuses(context):
    failed = {name: status for name, status in context.statuses.items() if status}
    assert not failed, failed


@then("the balancer's load was answered completely, nothing cut off or refused")
def step_uncut(context):
    sent = context.load.finish()
    refused = refusals_of(sent)
    found = find_faults(sent, context.cluster)
    print(f"{len(sent)} sent, {context.load.disconnects} cut off, refused {refused}")
    assert not found, found[:10]
    assert not refused, refused
    assert not context.load.disconnects, context.load.disconnects


@given("a cell of three workers and an upstream that fails everything")
def step_failing(context):
    start_cluster(context, workers=WORKERS["three"])
    cluster = context.cluster
    wait_until(
        lambda: "w2" in collect_workers(cluster, 1, 12), MAX_WAIT_S, "work on w2"
    )
    cluster.set_upstream_faults("w2", fail=True)


@when("a job of {tasks} tasks of {seconds:d} s is sent to it")
def step_job(context, tasks, seconds):
    work = {"work": "pen", "duration_ms": seconds * 1000}
    body = {"tasks": [{"body": work}] * {"ten": 10}[tasks]}
    headers = {"Authorization": f"Bearer {token_of('labuta')}"}
    url = f"{context.cluster.entry_url(0)}/v1/services/booking/jobs"
    # Far less than the tasks' run time, so that waiting for them would fail.
    status, answer = context.cluster.request("POST", url, body, headers, 30.0)
    context.job_status, context.job_answer = status, json.loads(answer)


@then("its caller is told at once that it failed")
def step_told(context):
    answer = (context.job_status, context.job_answer["code"])
    assert answer == (502, "upstream_failed"), context.job_answer


@then("what the other upstreams ran of it was stopped, by their own records")
def step_stopped(context):
    def ends():
        name = context.job_answer["submission"]
        records = context.cluster.records()
        of_job = [one for one in records if name in one["submission"]]
        started_tasks = {one["index"] for one in of_job if one["event"] == "start"}
        outcomes = {
            one["index"]: one["outcome"] for one in of_job if one["event"] == "end"
        }
        return outcomes.values() if started_tasks == outcomes.keys() else ()

    wait_until(lambda: "stopped" in ends(), MAX_WAIT_S / 2, "the end of all tasks")
    assert set(ends()) == {"stopped", "failed"}, ends()
