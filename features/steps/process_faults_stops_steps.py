"""Steps for planned stops of real processes under load."""

import json
import time

from behave import given, then, when

from features.process_faults_load import MAX_WAIT_S, Load, find_faults
from features.steps.process_faults_operators_steps import land
from features.steps.process_faults_steps import begin, names_of
from tools.cluster import token_of
from tools.processes import wait_until
from tools.rolling import refusals_of, roll

# So often that some signal meets each moment of a stop, its last ones too.
ASK_AGAIN_S = 0.001


WORKERS = {"three": 3, "five": 5}


@given("a cell of {workers} workers under a balancer's load from two entries")
def step_balanced(context, workers):
    begin(context, workers=WORKERS[workers])
    context.load = Load(context.cluster, balanced=True)
    context.load.start()
    context.load.wait_answered(15)


def stop_impatiently(process):
    """Ask a process to stop, and again until it has ended."""
    process.terminate()
    if process.name.startswith("upstream-"):
        # A stand-in, which is not what is tried here, can be asked only once.
        return process.wait(MAX_WAIT_S)
    end = time.monotonic() + MAX_WAIT_S
    while process.alive and time.monotonic() < end:
        process.terminate()
        time.sleep(ASK_AGAIN_S)
    return process.wait(1.0)


@when("{who} is asked to stop as planned, and again until it has ended")
def step_stop(context, who):
    names = names_of(context, who)
    # The upstream of a host goes first; its agent lets its tasks end.
    context.stopped = sorted(names, reverse=True)
    context.statuses = {}
    for name in context.stopped:
        context.statuses[name] = stop_impatiently(context.cluster[name])


@when("the stopped processes are started again")
def step_again(context):
    for name in context.stopped:
        context.cluster.restart(name)


@when("every process is replaced one after another as planned")
def step_roll(context):
    done = roll(context.cluster)
    context.statuses = {one.name: one.status for one in done}
    assert len(done) == 8, context.statuses


@when("the balancer's load gets {count:d} more answers")
def step_more_balanced(context, count):
    context.load.wait_answered(count)


@then("each planned stop ended with status 0")
def step_statuses(context):
    wrong = {name: status for name, status in context.statuses.items() if status}
    assert not wrong, wrong


@then("the balancer's load was answered whole, nothing cut off or refused")
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
    begin(context, workers=WORKERS["three"])
    cluster = context.cluster
    wait_until(lambda: "w2" in land(cluster, 1, 12), MAX_WAIT_S, "work on w2")
    cluster.set_upstream_faults("w2", fail=True)


@when("a job of {tasks} tasks of {seconds:d} s is sent to it")
def step_job(context, tasks, seconds):
    work = {"work": "pen", "duration_ms": seconds * 1000}
    body = {"tasks": [{"body": work}] * {"ten": 10}[tasks]}
    headers = {"Authorization": f"Bearer {token_of('labuta')}"}
    url = f"{context.cluster.entry_url(0)}/v1/services/booking/jobs"
    # Far below the tasks' own time, so that waiting for them shows.
    status, answer = context.cluster.request("POST", url, body, headers, 30.0)
    context.job_status, context.job_answer = status, json.loads(answer)


@then("its caller is told at once that it failed")
def step_told(context):
    told = (context.job_status, context.job_answer["code"])
    assert told == (502, "upstream_failed"), context.job_answer


@then("what the other upstreams ran of it was stopped, by their own records")
def step_stopped(context):
    def ends():
        name = context.job_answer["submission"]
        records = context.cluster.records()
        of_job = [one for one in records if name in one["submission"]]
        begun = {one["index"] for one in of_job if one["event"] == "start"}
        ended = {
            one["index"]: one["outcome"] for one in of_job if one["event"] == "end"
        }
        return ended.values() if begun == ended.keys() else ()

    wait_until(lambda: "stopped" in ends(), MAX_WAIT_S / 2, "the end of all tasks")
    assert set(ends()) == {"stopped", "failed"}, ends()
