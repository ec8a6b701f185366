"""Steps on tasks that crash the workers which start them."""

from behave import then, when

from cactuswalk.dispatch.bounds import RESEND_SECONDS
from features.support.crashday import CrashDay, crashed_starts
from features.support.fleet import JOB

DOWN_SECONDS = 4.5
TASKS = 4


@when(
    "a job of {tasks:d} tasks whose first crashes its workers, which are then "
    "{down:w}, comes to {entry}"
)
def step_crashing_job(context, tasks, down, entry):
    fleet = context.fleet
    fleet.crashing[JOB] = (DOWN_SECONDS, down == "refusing")
    context.tasks = tasks
    context.waiter = fleet.submit(entry, JOB, tasks, wait=6.0)


@when("{entry} is killed once {count:d} workers have crashed")
def step_kill_entry_after(context, entry, count):
    fleet = context.fleet
    while sum(not worker.up for worker in fleet.workers.values()) < count:
        fleet.run(0.001)
    fleet.kill(entry)


@when("the caller sends it to {entry} {seconds:g} seconds later")
def step_send_again(context, entry, seconds):
    context.fleet.run(seconds)
    context.waiter = context.fleet.submit(entry, JOB, context.tasks, wait=6.0)
    context.fleet.run(8.0)


@when(
    "the caller sends it to {entry}, which is killed with its third crash or after"
    " {seconds:g} seconds"
)
def step_send_and_kill(context, entry, seconds):
    fleet = context.fleet
    fleet.run(RESEND_SECONDS)
    before, until = len(crashed_starts(fleet, JOB)), fleet.now + seconds
    fleet.submit(entry, JOB, context.tasks, wait=seconds)
    while len(crashed_starts(fleet, JOB)) < before + 3 and fleet.now < until:
        fleet.run(0.001)
    fleet.kill(entry)


@then("it has crashed at most {most:d} workers")
def step_crashed_at_most(context, most):
    context.fleet.run(8.0)
    count = len(crashed_starts(context.fleet, JOB))
    assert count <= most, f"{count} workers have crashed"


@then("the job is answered as failed within {most:g} seconds")
def step_failed_within(context, most):
    fleet, waiter = context.fleet, context.waiter
    assert waiter in fleet.answers, "it has no answer"
    assert fleet.verdict(waiter) == "failed", fleet.verdict(waiter)
    assert fleet.took(waiter) <= most, fleet.took(waiter)


@then("it was started at most {most:d} times after three workers had crashed")
def step_started_after_three(context, most):
    count = len(crashed_starts(context.fleet, JOB)) - 3
    assert count <= most, f"{count} starts after the third crash"


@when("one {kind:w} job in twenty crashes its workers for 3 seconds, on day {seed:d}")
def step_crash_day(context, kind, seed):
    context.day = CrashDay(seed, kind).play()
    assert context.day.poisoned, "the day has no such job"


@then("no job has crashed more than {most:d} workers")
def step_none_crashed_more(context, most):
    crashes = context.day.crashes()
    assert max(crashes) <= most, crashes


@then("no sound job was answered as failed")
def step_no_sound_job_failed(context):
    failed = context.day.failed_sound_jobs()
    assert not failed, [context.day.fleet.arrivals[waiter] for waiter in failed]


@then("every caller was answered, and no task ran twice at once")
def step_answered_once(context):
    day = context.day
    assert not day.unanswered(), day.unanswered()
    assert not day.fleet.overlaps, day.fleet.overlaps


@when("{name:w} crashes after {after:g} seconds and is down for {down:g} seconds")
def step_worker_crashes(context, name, after, down):
    context.fleet.run(after)
    context.crashed_at = context.fleet.now
    context.fleet.workers[name].crash_for(down, True)
    context.fleet.run(5.0)


@then("the second runs follow one another")
def step_runs_apart(context):
    # Not those numbered 2: a start that was overtaken on its way has used a number.
    first, second = [at for at, *_ in context.fleet.starts if at > context.crashed_at]
    assert second - first >= context.seconds, second - first


@then("the log of {name:w} says twice that a suspected task is done")
def step_cleared(context, name):
    lines = [
        line.fields
        for _, who, line in context.fleet.lines
        if who == name and line.sentence == "a suspected task is done"
    ]
    assert [line["crashes"] for line in lines] == [1, 1], lines


def leave(fleet, worker):
    worker.depart(0.0, 0.3)


def drain_and_go(fleet, worker):
    worker.draining, worker.leaves_in_ms = True, 5_000
    fleet.announce(worker.name)

    def go():
        worker.draining, worker.leaves_in_ms = False, 0
        worker.crash_for(0.3, True)

    fleet.at(0.05, go)


def restart_agent(fleet, worker):
    fleet.kill(worker.name)
    fleet.at(0.3, lambda: fleet.start_agent(worker.name))


def cut_power(fleet, worker):
    fleet.reboot(worker.name, 0.3)


def cut_off(fleet, worker):
    worker.cut = True

    def restore():
        worker.cut = False

    fleet.at(1.0, restore)


ENDINGS = {
    "its worker is cut off": cut_off,
    "its worker leaves": leave,
    "its draining worker is gone": drain_and_go,
    "its agent restarts": restart_agent,
    "its agent and worker lose power": cut_power,
}


@when("{count:d} times, when it runs, {ending}")
def step_ending(context, count, ending):
    fleet = context.fleet
    for number in range(count):
        while len(fleet.starts) <= number:
            fleet.run(0.01)
        fleet.run(0.05)
        name = fleet.starts[-1][3]
        ENDINGS[ending](fleet, fleet.workers[name])
        fleet.run(0.2)
    fleet.run(6.0)
    assert len(fleet.starts) > count, fleet.starts


@then("no task is suspected")
def step_none_suspected(context):
    said = [line.sentence for _, _, line in context.fleet.lines]
    assert "suspects a task of crashing its worker" not in said
