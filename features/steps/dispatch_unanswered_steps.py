"""Steps on calls to a worker that have no answer."""

from behave import given, then, when

from cactuswalk.dispatch.effects import StartTask, StopTask
from features.steps.dispatch_load_steps import step_usual
from features.steps.dispatch_once_steps import step_job


@when(
    "the workers' answers are lost for {lost:g} seconds as a job of {tasks:d} tasks of"
    " {seconds:g} seconds comes"
)
def step_answers_lost(context, lost, tasks, seconds):
    submit_with_faults(context, lost, tasks, seconds, unconfirmed_share=1.0)


@when(
    "starts are carried out {late:g} seconds late for {lost:g} seconds as a job of"
    " {tasks:d} tasks of {seconds:g} seconds comes"
)
def step_starts_late(context, late, lost, tasks, seconds):
    submit_with_faults(context, lost, tasks, seconds, unanswered_share=1.0, late=late)


@given("workers that confirm stops without effect on starts that come later")
def step_forget_stops(context):
    set_faults(context, {"forgets_stops": True})


def submit_with_faults(context, lost, tasks, seconds, **faults):
    """Submit a job to workers with faults, which end after so many seconds."""
    set_faults(context, faults)
    step_job(context, tasks, seconds, "e0")
    context.fleet.run(lost)
    set_faults(context, dict.fromkeys(faults, 0.0))


def set_faults(context, faults):
    for worker in context.fleet.workers.values():
        for name, value in faults.items():
            setattr(worker, name, value)


@when(
    "{part:d} of 100 calls are carried out {late:g} seconds late during"
    " {seconds:d} seconds of the usual load"
)
def step_calls_late(context, part, late, seconds):
    set_faults(context, {"unanswered_share": part / 100, "late": late})
    step_usual(context, seconds)


@when(
    "{count:d} workers lose {part:d} of 100 answers during {seconds:d} seconds of the"
    " usual load"
)
def step_some_mute(context, count, part, seconds):
    for worker in list(context.fleet.workers.values())[:count]:
        worker.unconfirmed_share = part / 100
    step_usual(context, seconds)


@then('each task\'s agent has logged "{sentence}"')
def step_logged(context, sentence):
    logged = {
        effect.fields["index"]
        for _, _, effect in context.fleet.lines
        if effect.sentence == sentence
    }
    assert logged == set(range(context.tasks)), logged


@when(
    "a job of {tasks:d} tasks of {seconds:g} seconds comes, whose starts are {late:g}"
    " seconds late"
)
def step_starts_and_stops_late(context, tasks, seconds, late):
    fleet = context.fleet
    for name, worker in fleet.workers.items():
        worker.dropped_calls, worker.late = (StartTask, StopTask), late
        # A poll was lost a moment ago as well, so that many short ones follow.
        fleet.states[name].unanswered_poll_at = fleet.now
    step_job(context, tasks, seconds, "e0")


@when(
    "{after:g} seconds later {entry:w} gets another one of {tasks:d} tasks of"
    " {seconds:g} seconds"
)
def step_job_later(context, after, entry, tasks, seconds):
    context.fleet.run(after)
    for worker in context.fleet.workers.values():
        worker.dropped_calls = ()
    context.fleet.submit(entry, f"{1:016x}", tasks, seconds=seconds, wait=10.0)
    context.fleet.run(3.0)


@when("its caller leaves {after:g} seconds later")
def step_leaves(context, after):
    context.fleet.run(after)
    context.fleet.leave("e0", context.waiters["e0"])


@then("no worker was overloaded")
def step_no_overload(context):
    assert not context.fleet.overloads
    assert not context.fleet.overlaps
