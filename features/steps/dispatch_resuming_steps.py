"""Steps on entries that resume from a pause."""

import msgspec
from behave import then, when

from cactuswalk.dispatch import entry
from cactuswalk.dispatch.bounds import RESEND_SECONDS
from cactuswalk.dispatch.effects import SendMessage
from cactuswalk.dispatch.entryevents import Received
from cactuswalk.dispatch.messages import Start, StartEnded, TaskEnd
from features.support.fleet import JOB, Fleet

PAUSES = (0.4, 0.6, 0.9, 1.2, 1.3, 1.35, 1.4, 1.6, 2.0, 3.0)
KNOWN_AFTER = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2)
# Pauses longer than a lease, and a leaving that reaches the entry late: the caller's
# host sends it again in ever longer intervals while there is no answer.
LONG_PAUSES = (0.6, 0.9, 1.2, 1.35, 1.6, 2.0, 3.0)
KNOWN_LATE = (0.3, 0.5, 1.0)


def pause_entry(fleet, waiter, seconds, known_after):
    """Pause e0, and have it learn of the caller's leaving when it has resumed."""
    fleet.in_order = True
    fleet.freeze("e0", seconds)
    fleet.at(seconds + known_after, lambda: fleet.leave("e0", waiter))


@when(
    "e0 is paused for {seconds:g} seconds and its caller's leaving is known {known:g}"
    " seconds later"
)
def step_pause_and_leave(context, seconds, known):
    context.fleet.run(0.5)
    pause_entry(context.fleet, context.waiters["e0"], seconds, known)


@when("e0 is paused for {seconds:g} seconds")
def step_pause(context, seconds):
    context.fleet.in_order = True
    context.fleet.freeze("e0", seconds)
    context.resumes_at = context.fleet.now + seconds


@when("its caller's leaving is known {known:g} seconds after the pause")
def step_leave_after(context, known):
    fleet, waiter = context.fleet, context.waiters["e0"]
    after = context.resumes_at + known - fleet.now
    fleet.at(after, lambda: fleet.leave("e0", waiter))


@then("no task runs twice at once in pauses of 0.4 to 3 seconds")
def step_all_pauses(context):
    check_pauses(PAUSES, KNOWN_AFTER)


@then("no task runs twice at once in pauses of 0.6 to 3 seconds, known up to 1 later")
def step_long_pauses(context):
    check_pauses(LONG_PAUSES, KNOWN_LATE)


def check_pauses(pauses, delays):
    """Check that no pause has a task run twice, with each delay of the leaving."""
    overlaps = []
    for seconds in pauses:
        for known_after in delays:
            fleet = Fleet(2, 4)
            waiter = fleet.submit("e0", JOB, 4, seconds=3.0, wait=10.0)
            fleet.run(0.5)
            pause_entry(fleet, waiter, seconds, known_after)
            fleet.run(RESEND_SECONDS)
            again = fleet.submit("e1", JOB, 4, seconds=3.0, wait=10.0)
            fleet.run(7.0)
            if fleet.overlaps:
                overlaps.append((seconds, known_after))
            else:
                assert fleet.verdict(again) == "completed"
    assert not overlaps, f"{len(overlaps)} of them: {overlaps}"


@when("a caller that waits for {wait:g} second submits a job to {name}")
def step_short_wait(context, wait, name):
    context.wait = wait
    context.fleet.submit(name, JOB, 1, seconds=3.0, wait=wait)
    context.fleet.run(0.3)


@when("the end of its task is the first event after its time")
def step_end_first(context):
    fleet = context.fleet
    state, now = fleet.states["e0"], fleet.now + context.wait
    held = next(view for view in state.views.values() if view.placed)
    for view in state.views.values():
        # Known to be open, so that only the job's time forbids a placement.
        view.heard_at = now
        view.report = msgspec.structs.replace(view.report, stamp=int(now * 1000))
    sequence = next(iter(held.placed))
    ended = StartEnded(state.incarnation, sequence, TaskEnd.STOPPED, 1, 0, "not heard")
    context.effects = entry.reduce(state, Received(held.address, ended), now)


@then("the job is not placed again")
def step_not_placed(context):
    messages = [
        effect.message for effect in context.effects if isinstance(effect, SendMessage)
    ]
    assert not any(isinstance(message, Start) for message in messages), messages


@then("e0 is not ready, and ready {seconds:g} seconds later")
def step_ready_later(context, seconds):
    fleet = context.fleet
    assert not fleet.states["e0"].is_ready(fleet.now)
    fleet.run(seconds)
    assert fleet.states["e0"].is_ready(fleet.now)
