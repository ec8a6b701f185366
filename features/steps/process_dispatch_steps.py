"""Steps for real entries, agents and workers' stand-ins."""

import time

from behave import given, then, when

from tools.deployment import (
    HOST,
    Deployment,
    call_json,
    make_configuration,
    make_job_body,
)
from tools.processes import wait_until
from tools.startup import read_phases

JOB_IDENTIFIER = "00000000000000bb"


@given("a deployment of {entries:d} entries and {workers:d} workers")
def step_deployment(context, entries, workers):
    context.deployment = Deployment(entries, workers)
    context.deployment.__enter__()
    context.clean_ups = [lambda: context.deployment.__exit__(None, None, None)]
    context.deployment.wait_ready()


@when("a job of {tasks:d} tasks of {ms:d} ms is submitted to entry {entry:d}")
def step_job(context, tasks, ms, entry):
    context.result = context.deployment.submit(entry, tasks, ms)


@when("a job of {tasks:d} tasks of {ms:d} ms is in progress at entry {entry:d}")
def step_job_in_progress(context, tasks, ms, entry):
    deployment = context.deployment
    context.tasks, context.ms = tasks, ms
    before = len(deployment.list_started_tasks())
    context.pending = deployment.submit_later(
        entry, tasks, ms, identifier=JOB_IDENTIFIER
    )
    wait_until(
        lambda: len(deployment.list_started_tasks()) - before >= tasks,
        5.0,
        "the job's tasks",
    )


@when(
    "{name:S} is killed, and the job submitted to entry {entry:d} after {s:g} seconds"
)
def step_kill_and_resend(context, name, entry, s):
    context.deployment[name].kill()
    time.sleep(s)
    submit_again(context, entry)


@when(
    "entry-0 stands still for {seconds:g} seconds, and a caller with a job of"
    " {tasks:d} tasks of {ms:d} ms is reset and goes to entry 1"
)
def step_reset_caller(context, seconds, tasks, ms):
    deployment = context.deployment
    context.tasks, context.ms = tasks, ms
    deployment["entry-0"].freeze()
    deployment.submit_and_reset(0, tasks, ms, JOB_IDENTIFIER)
    pending = deployment.submit_later(1, tasks, ms, identifier=JOB_IDENTIFIER)
    time.sleep(seconds)
    deployment["entry-0"].unfreeze()
    pending.join(20)
    context.result = pending.result


@then('{name:S} has logged "{text}"')
def step_logged(context, name, text):
    assert context.deployment.has_logged(name, text), context.deployment[name].tail()


@then('{name:S} has logged the phases "{phases}"')
def step_phases(context, name, phases):
    wanted = set(phases.split(", "))
    wait_until(
        lambda: set(read_phases(context.deployment[name], 0)) == wanted, 5.0, "phases"
    )
    context.phases = getattr(context, "phases", {}) | {name: wanted}


@then("the metrics of entry 0 and of agent 0 have each of them")
def step_phase_metrics(context):
    deployment = context.deployment
    hosts = {
        "entry-0": deployment.entry_host(0),
        "agent-0": deployment.worker_host(0),
    }
    for name, phases in context.phases.items():
        text = deployment.metrics(hosts[name])
        for phase in phases:
            row = f'cactuswalk_startup_seconds_count{{label="{phase}"}} 1.0'
            assert row in text, (name, phase)


@when(
    "the job is submitted to entry {entry:d} after {s:g} seconds, and its caller stays"
    " at entry 0"
)
def step_resend(context, entry, s):
    time.sleep(s)
    submit_again(context, entry)


def submit_again(context, entry):
    context.result = context.deployment.submit(
        entry, context.tasks, context.ms, identifier=JOB_IDENTIFIER
    )


@when("{name:S} is killed and restarted")
def step_kill_and_restart(context, name):
    context.deployment[name].kill()
    context.deployment[name].start()


@when("{name:S} is asked to stop")
def step_terminate(context, name):
    context.deployment[name].terminate()


@when("the store is {mode:w} and a job is submitted")
def step_store_fault(context, mode):
    context.deployment.set_store_fault(mode)
    time.sleep(0.3)
    context.result = context.deployment.submit(0, 2, 100)


@when("the store recovers and compacts its history")
def step_store_recovers(context):
    context.deployment.set_store_fault("")
    call_json(f"{context.deployment.store_url}/compact", {})


@when("data centre {centre:S} of the deployment is evacuated for {seconds:g} seconds")
def step_evacuate(context, centre, seconds):
    context.deployment.evacuate(centre)
    time.sleep(seconds)


@when("the store compacts its history while the evacuation of {centre:S} ends")
def step_end_evacuation(context, centre):
    deployment = context.deployment
    deployment.set_store_fault("reset")
    deployment.end_evacuation(centre)
    call_json(f"{deployment.store_url}/compact", {})
    deployment.set_store_fault("")
    time.sleep(2.5)


@then("worker {number:d} has run nothing")
def step_worker_idle(context, number):
    assert not context.deployment.list_started_tasks(number)


@then("worker {number:d} has run something")
def step_worker_used(context, number):
    assert context.deployment.list_started_tasks(number)


@when("the store rejects all calls and {name:S} is restarted")
def step_start_in_outage(context, name):
    context.deployment[name].kill()
    context.deployment.set_store_fault("busy")
    context.deployment[name].start()


@when("the store rejects all calls and all other processes are killed and restarted")
def step_power_failure(context):
    deployment = context.deployment
    processes = [
        process for name, process in deployment.processes.items() if name != "store"
    ]
    for process in processes:
        process.kill()
    deployment.set_store_fault("busy")
    context.offsets = {
        process.name: process.log.stat().st_size for process in processes
    }
    for process in processes:
        process.start()


@then('{name:S} reaches the phase "{phase}" of its new start')
def step_reaches(context, name, phase):
    process, offset = context.deployment[name], context.offsets[name]
    wait_until(lambda: phase in read_phases(process, offset), 20.0, phase)
    assert "configuration" not in read_phases(process, offset)


@then("a job of {tasks:d} tasks of {ms:d} ms is completed within {seconds:g} seconds")
def step_completed_within(context, tasks, ms, seconds):
    wait_until(
        lambda: context.deployment.submit(0, tasks, ms)[0] == 200, seconds, "the job"
    )


@when("the queue is moved to another path")
def step_queue_moves(context):
    body = make_configuration(5, path_prefix="/moved/")
    context.deployment.write_configuration(body)


@when("the key of entry 0 is revoked")
def step_revoke(context):
    key = "cactuswalk/entries/entry-0"
    store = context.deployment.store_url
    wait_until(lambda: key in read_keys(store), 5.0, "the entry's key")
    context.key, context.created_at = key, read_keys(store)[key]
    call_json(f"{store}/revoke", {"key": key})


def read_keys(store):
    return call_json(f"{store}/keys")[1]["keys"]


@when("a body with {fault} is submitted")
def step_bad_body(context, fault):
    body = make_job_body(2, 100)
    if fault == "no steps":
        body["steps"] = []
    elif fault == "a cycle":
        body["steps"][0]["after"] = [0]
    elif fault == "a long spec":
        body["spec"] = "x" * 4001
    elif fault == "no best effort":
        del body["best_effort"]
    elif fault == "a gang":
        body["steps"][0]["gang"] = True
    elif fault == "too large a task":
        body["steps"][0]["cpu"] = 1_000_000
    url = context.deployment.caller_url(0) + JOB_IDENTIFIER
    if fault == "no JSON":
        body = "no object"
    context.sent_at = time.monotonic()
    context.result = call_json(url, body, host=HOST)


@when("a job whose tasks always fail is submitted")
def step_failing(context):
    context.result = context.deployment.submit(0, 2, 50, fails=True)


@then("it is answered with {status:d} and the state {state:w}")
def step_answered(context, status, state):
    assert context.result[0] == status, context.result
    assert context.result[1] == {"state": state}, context.result


@then("the job in progress is answered with {status:d} and the state {state:w}")
def step_pending_answered(context, status, state):
    context.pending.join(20)
    assert context.pending.result is not None, "the connection broke"
    context.result = context.pending.result
    step_answered(context, status, state)


@then("the job in progress is told {status:d}")
def step_pending_status(context, status):
    context.pending.join(20)
    assert context.pending.result is not None, "the connection broke"
    assert context.pending.result[0] == status, context.pending.result


@then("the workers' records show {count:d} runs, none of them overlapping")
def step_runs(context, count):
    assert len(context.deployment.list_started_tasks()) == count
    assert not context.deployment.find_overlaps()


@then("the workers' records show no overlapping runs of a task")
def step_no_overlap(context):
    assert len(context.deployment.list_started_tasks()) > 0
    assert not context.deployment.find_overlaps()


@then("entry 1 counts 0 queued jobs, and has no queue elsewhere")
def step_counts(context):
    url = context.deployment.caller_url(1)
    assert call_json(url, host=HOST)[:2] == (200, {"queued_count": 0})
    assert call_json(url, host="other.example")[0] == 404


@then("earlier jobs of the queue are not known")
def step_unknown(context):
    url = context.deployment.caller_url(1) + JOB_IDENTIFIER
    assert call_json(url, host=HOST)[0] == 410
    assert call_json(url, host=HOST, method="DELETE")[0] == 410


@then("the metrics of entry 0 count the job")
def step_metrics(context):
    deployment = context.deployment
    text = deployment.metrics(deployment.entry_host(0))
    assert 'cactuswalk_answers_total{label="checks completed"} 1.0' in text, text
    assert "cactuswalk_job_seconds_bucket" in text


@then("the new path is served within {seconds:g} seconds and the old one gives 404")
def step_moved(context, seconds):
    deployment = context.deployment
    url = f"http://{deployment.entry_host(0)}:{deployment.ports['callers']}"
    wait_until(
        lambda: call_json(f"{url}/moved/", host=HOST)[0] == 200, seconds, "the change"
    )
    assert call_json(f"{url}/checks/", host=HOST)[0] == 404


@then("entry 1 serves the new path within {seconds:g} seconds")
def step_entry_1(context, seconds):
    deployment = context.deployment
    url = f"http://{deployment.entry_host(1)}:{deployment.ports['callers']}"

    def is_served():
        try:
            return call_json(f"{url}/moved/", host=HOST)[0] == 200
        except OSError:
            return False

    wait_until(is_served, seconds, "the configuration from another entry")


@then("it is written again within {seconds:g} seconds")
def step_key_written(context, seconds):
    store = context.deployment.store_url
    wait_until(
        lambda: read_keys(store).get(context.key, 0) > context.created_at,
        seconds,
        "the entry's new key",
    )


@then("{name:S} ends with status {status:d}")
def step_ends(context, name, status):
    assert context.deployment[name].wait(10) == status


@then("it is refused with {status:d} and the code {code:w}")
def step_refused(context, status, code):
    assert context.result[0] == status, context.result
    assert context.result[1]["code"] == code, context.result
    assert time.monotonic() - context.sent_at < 1.0, "the refusal was delayed"
    if status == 503:
        assert int(context.result[2]["Retry-After"]) >= 1


@then("nothing has run")
def step_nothing_ran(context):
    assert len(context.deployment.list_started_tasks()) == 0


@when("the store falls silent and jobs arrive at entry {entry:d} until it has stopped")
def step_until_stopped(context, entry):
    deployment = context.deployment
    process = deployment[f"entry-{entry}"]
    deployment.set_store_fault("silent")
    process.terminate()
    started_at = time.monotonic()
    context.statuses = []
    while process.alive:
        sent_at = time.monotonic()
        pending = deployment.submit_later(entry, 1, 300)
        pending.join()
        could_not_connect = pending.result is None and time.monotonic() - sent_at < 0.1
        if not could_not_connect:
            context.statuses.append(pending.result[0] if pending.result else 0)
        # Jobs then arrive at different moments between two checks of the process.
        time.sleep(0.11)
    context.stopped_after = time.monotonic() - started_at


@then("each of them was done, refused as not run, or could not connect")
def step_none_dropped(context):
    assert len(context.statuses) >= 6, context.statuses
    assert set(context.statuses) <= {200, 503}, context.statuses


@then("it has stopped within its grace period of {seconds:g} seconds")
def step_in_grace(context, seconds):
    assert context.stopped_after < seconds, context.stopped_after
