"""Steps for stopping a job's running tasks, from its owner to the upstream."""

from behave import then, when

from cactuswalk.messages import Probe
from cactuswalk.model import Outcome
from cactuswalk.state.events import UpstreamAnswered
from features.support.directed import AGENTS, SLOTS, drop, others, outcome

# Longer than an aborted job waits for the results of its running tasks.
END_S = 0.3


@when("the directed job fails")
def step_fails(context):
    bag = context.bag
    process = bag.processes[f"tcp://{others(bag)[0]}"]
    submission, index = next(iter(process.state.agent.gate.running))
    attempt = process.state.agent.gate.records.get(submission, index).attempt
    answered = UpstreamAnswered(submission, index, attempt, "answered", 500, b"", 1)
    ended = (submission, index)
    end(context, lambda: bag._at(0.0, process.address, answered), ended)


@when("the directed job is cancelled")
def step_cancelled(context):
    end(context, lambda: context.bag.cancel("entry-0", context.job))


@when("the directed job is cancelled, and every probe is lost at first")
def step_lost(context):
    bag, fate = context.bag, context.bag.fate
    drop(bag, Probe)
    step_cancelled(context)
    bag.fate = fate


def end(context, bring_about, ended=None) -> None:
    context.ended = ended
    context.handed = next(iter(context.bag.handed.values()))
    context.ended_at = context.bag.now
    for upstream in context.bag.upstreams.values():
        upstream.takes_stops = True
    bring_about()
    context.bag.run(END_S)


@then("its caller is told so within 200 ms, with what ran")
def step_told(context):
    handed = context.handed
    assert outcome(handed) is Outcome.FAILED, handed.reply
    assert handed.replied_at - context.ended_at <= 0.2
    assert len(handed.reply.results) == len(context.job.tasks)


@then("within {seconds:d} s each upstream was asked to stop what the job still ran")
def step_stopped_within(context, seconds):
    context.bag.run(seconds)
    step_stopped(context)


@then("each upstream was asked to stop what the directed job still ran there")
def step_stopped(context):
    upstreams = context.bag.upstreams.values()
    stopped = [(one.submission, one.index) for up in upstreams for one in up.stopped]
    running = {(context.job.submission, index) for index in range(AGENTS * SLOTS)}
    assert sorted(stopped) == sorted(running - {context.ended}), len(stopped)
