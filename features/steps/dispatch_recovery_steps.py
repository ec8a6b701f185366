"""Steps on how soon tasks run again after a failure."""

from unittest import mock

import msgspec
from behave import then, when

from cactuswalk.dispatch import entryplacing
from cactuswalk.dispatch.entryevents import Received
from features.support.fleet import JOB


@when("the host of {agent:w} is powered off after {after:g} seconds")
def step_power_off(context, agent, after):
    context.fleet.run(after)
    context.earlier_report = context.fleet.states["e0"].views[agent].report
    context.fleet.kill(agent)
    context.fleet.workers[agent].crash()


@when("the host of {agent:w} comes back {after:g} seconds later")
def step_power_on(context, agent, after):
    context.fleet.run(after)
    context.fleet.start_agent(agent)


@when(
    "an open report of {agent:w}'s earlier incarnation arrives after {after:g} seconds"
)
def step_earlier_report(context, agent, after):
    context.fleet.run(after)
    state = context.fleet.states["e0"]
    report = msgspec.structs.replace(context.earlier_report, open=True)
    assert report.incarnation != state.views[agent].report.incarnation
    context.fleet.deliver("e0", Received(agent, report))


@when("{agent:w}'s worker has been detected as ten times slower")
def step_drags(context, agent):
    fleet = context.fleet
    fleet.workers[agent].pace = 10.0
    health = fleet.states[agent].health
    assert health.detect_slowdown(10.0)
    fleet.states[agent].mark_entries_dirty()
    fleet.run(0.2)


@when(
    "a job of {tasks:d} tasks of {seconds:g} seconds, each declined {times:d} times,"
    " comes to {entry:w}"
)
def step_declined(context, tasks, seconds, times, entry):
    fleet = context.fleet
    started = entryplacing._start_task

    def start_later(state, task, view, now):
        task.runs = max(task.runs, times)
        started(state, task, view, now)

    with mock.patch.object(entryplacing, "_start_task", start_later):
        context.waiters[entry] = fleet.submit(
            entry, JOB, tasks, seconds=seconds, wait=10.0
        )


@then("{entry:w} completes the job within {seconds:g} seconds")
def step_completed_within(context, entry, seconds):
    waiter = context.waiters[entry]
    assert context.fleet.verdict(waiter) == "completed", context.fleet.verdict(waiter)
    took = context.fleet.took(waiter)
    assert took <= seconds, f"it took {took:.2f} s"


@when("both workers are busy with tasks of {seconds:g} seconds, of five jobs")
def step_busy(context, seconds):
    for number in range(5):
        context.fleet.submit("e0", f"{number + 1:016x}", 4, seconds=seconds, wait=30.0)


@when("{agent:w}'s worker turns {factor:g} times slower after {after:g} seconds")
def step_turns_slow(context, agent, factor, after):
    fleet = context.fleet
    fleet.run(after)
    worker = fleet.workers[agent]
    worker.pace = factor
    for run in worker.runs.values():
        run.slow_down(fleet.now, factor)


@then("{agent:w} has detected that its worker is slow")
def step_noticed(context, agent):
    lines = [
        effect.sentence for _, name, effect in context.fleet.lines if name == agent
    ]
    assert "the worker is slow" in lines, lines


@then("{one:w} and {other:w} would be idle if they were told to stop")
def step_idle(context, one, other):
    fleet = context.fleet
    states = [fleet.states[name] for name in (one, other)]
    assert any(peer.pending_ends for state in states for peer in state.entries.values())
    assert all(state.is_idle(fleet.now) for state in states)


@when("all processes are killed, and {entry:w} is started again")
def step_all_killed(context, entry):
    fleet = context.fleet
    for name in list(fleet.states):
        fleet.kill(name)
    for worker in fleet.workers.values():
        worker.crash()
    fleet.run(1.0)
    # Removes the agents, so that the entry hears of none.
    for name in fleet.workers:
        del fleet.states[name]
    fleet.start_entry(entry, "d0")


@when("the agents are started {after:g} seconds later")
def step_agents_start(context, after):
    context.fleet.run(after)
    for name in context.fleet.workers:
        context.fleet.start_agent(name)


@when("it answers again {after:g} second later")
def step_answers_again(context, after):
    context.fleet.run(after)
    context.fleet.workers["a0"].cut = False


@then("its agent takes tasks within {seconds:g} seconds")
def step_takes_tasks(context, seconds):
    fleet = context.fleet
    assert not fleet.states["a0"].held, "the run has not ended with its lease"
    fleet.run(seconds)
    assert fleet.states["a0"].is_open(fleet.now)
