"""Steps for real processes whose workers crash or change their capacity."""

import time

from behave import then, when

from tools.processes import wait_until

CRASHING_JOB = "00000000000000cc"

# A heartbeat shows a new capacity within half a second.
HEARTBEAT_SECONDS = 1.0


@when(
    "a job whose task crashes its workers, which are down for {ms:d} ms, is submitted"
)
def step_crashing_job(context, ms):
    context.result = context.deployment.submit(
        0, 1, 200, identifier=CRASHING_JOB, crashes=ms
    )


@then("the workers' records show {least:d} to {most:d} runs of it")
def step_runs_of_it(context, least, most):
    tasks = context.deployment.list_started_tasks()
    count = sum(task.startswith(CRASHING_JOB) for task in tasks)
    assert least <= count <= most, count


@then('entry 0 has logged "{text}"')
def step_logged(context, text):
    deployment = context.deployment
    wait_until(lambda: deployment.has_logged("entry-0", text), 2.0, "the log line")


@when("its worker doesn't guard its capacity, which shrinks to {cores:d} cores")
def step_shrink(context, cores):
    context.deployment.set_worker_faults(0, cpu=cores * 1000, unguarded=True)
    time.sleep(HEARTBEAT_SECONDS)


@when("its worker's capacity grows to {cores:d} cores")
def step_grow(context, cores):
    context.ran_before = len(context.deployment.record(0))
    step_shrink(context, cores)


@then("the worker's record shows {most:d} runs at a time at most")
def step_runs_at_a_time(context, most):
    record = context.deployment.record(0)[getattr(context, "ran_before", 0) :]
    active = highest = 0
    for line in record:
        active += 1 if line["what"] == "began" else -1
        highest = max(highest, active)
    assert highest == most, highest
