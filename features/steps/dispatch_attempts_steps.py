"""Steps on callers that submit a job to a second entry while the first one has it."""

from behave import then, when

from cactuswalk.dispatch.entryevents import Received
from cactuswalk.dispatch.messages import AttemptEnded
from features.steps.dispatch_isolated_steps import said_by
from features.support.cutoff import play_unread_cut
from features.support.fleet import JOB

# When a cut begins after the job's arrival, in seconds.
BEGINS = (0.01, 0.05, 0.2, 0.3, 0.45, 0.7, 1.0, 1.5)
ONE_WAY_SECONDS = (0.2, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9)


def find_overlaps(way, lengths):
    return [
        (seconds, begins)
        for seconds in lengths
        for begins in BEGINS
        if play_unread_cut(way, seconds, begins).overlaps
    ]


@then(
    "no task runs twice at once in cuts of {seconds:g} seconds, at any moment of a job"
)
def step_short_cuts(context, seconds):
    overlaps = find_overlaps("both ways", [seconds])
    assert not overlaps, overlaps


@then(
    "no task runs twice at once when what an entry sends is lost for 0.2 to 0.9 seconds"
)
def step_one_way(context):
    overlaps = find_overlaps("from it", ONE_WAY_SECONDS)
    assert not overlaps, overlaps


@then("its first start at {entry:w} was at most {seconds:g} seconds after it came")
def step_first_start(context, entry, seconds):
    fleet = context.fleet
    came_at = fleet.arrivals[context.waiters[entry]][0]
    waited = min(at - came_at for at, *_ in fleet.starts if at >= came_at)
    assert waited <= seconds, waited


@when("the same job comes to {entry:w} {after:g} seconds later, which waits for e0")
def step_waits(context, entry, after):
    fleet = context.fleet
    fleet.run(after)
    # No answer of e0 comes by itself.
    fleet.cuts.add(("e0", entry))
    fleet.submit(entry, JOB, context.tasks, seconds=context.seconds, wait=10.0)
    assert said_by(fleet, entry, "waits for the end of a job's earlier attempt")


@when("an answer of e0 to a request before that reaches {entry:w}")
def step_old_answer(context, entry):
    fleet = context.fleet
    stamp = int((fleet.clock(entry) - 0.001) * 1000)
    fleet.deliver(entry, Received("e0", AttemptEnded(JOB, stamp)))
    fleet.run(0.001)


@then("{entry:w} still waits for the end of the attempt at e0")
def step_still_waits(context, entry):
    assert context.fleet.states[entry].jobs[JOB].earlier_entry == "e0"
    assert len(context.fleet.starts) == context.tasks, context.fleet.starts
