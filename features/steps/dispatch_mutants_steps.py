"""Steps that take one safeguard away and look for the promise that breaks."""

from unittest import mock

import msgspec
from behave import then, when

from cactuswalk.dispatch import (
    agent,
    agentcalls,
    agententries,
    agentview,
    agentworker,
)
from cactuswalk.dispatch.bounds import RESEND_SECONDS
from cactuswalk.dispatch.entryevents import Received
from cactuswalk.dispatch.messages import TaskEnd
from features.support.fleet import JOB, Fleet
from features.support.fleetscript import RandomDay

take_running = agentworker._apply_running

# Without an entry's lease a task must outlive its entry by 1.3 s, and be placed again
# in time: the rarest of the promises to break, on one day in fifty.
MOST_SEEDS = 60
DAY_SECONDS = 10


def without(safeguard):
    """Return the patches that take a safeguard away."""
    if safeguard == "an entry's lease at its agents":
        return [mock.patch.object(agent, "expire_entries", lambda state, now: None)]
    if safeguard == "waiting for a silent agent's leases":
        return [mock.patch.object(agentview, "agent_lapse_seconds", lambda: 0.2)]
    if safeguard == "waiting for a worker's lease":
        return [
            mock.patch.object(module, "worker_lapse_seconds", lambda: 0.0)
            for module in (agent, agentcalls, agentworker)
        ]
    if safeguard == "orphaning the tasks of an entry's earlier life":
        return [
            mock.patch.object(
                agententries, "_stop_entry_runs", lambda *arguments: None
            ),
            mock.patch.object(agent, "expire_entries", lambda state, now: None),
        ]
    if safeguard == "a stop before a doubtful start is given up":
        return [mock.patch.object(agentcalls, "_mark_unconfirmed", give_up_doubtful)]
    if safeguard == "stopping what an earlier life of an agent ran":
        return [mock.patch.object(agentworker, "_apply_running", ignore_strangers)]
    if safeguard == "the order of an agent's reports":
        return [
            mock.patch.object(
                agentview.AgentView, "is_out_of_date", lambda *arguments: False
            )
        ]
    raise ValueError(safeguard)


def ignore_strangers(state, event, now):
    """Take what runs for an earlier life for something that never ran."""
    known = {(held.start.key, held.run) for held in state.held.values()}
    event.running[:] = [row for row in event.running if (row.key, row.run) in known]
    return take_running(state, event, now)


def give_up_doubtful(state, held, now):
    """Take a start without an answer for one that never began."""
    state.end(held, TaskEnd.DECLINED, 0, "no answer", now)


@when("{safeguard} is taken away")
def step_without(context, safeguard):
    patches = without(safeguard)
    for patch in patches:
        patch.start()
    context.clean_ups = [patch.stop for patch in patches]


@then("a late report of an earlier life ends what runs")
def step_believed(context):
    fleet = Fleet(1, 2)
    view = fleet.states["e0"].views["a0"]
    report = msgspec.structs.replace(view.report, open=True)
    fleet.kill("a0")
    fleet.workers["a0"].crash()
    fleet.start_agent("a0")
    fleet.run(2.0)
    fleet.submit("e0", JOB, 20, seconds=1.0)
    fleet.run(0.3)
    fleet.deliver("e0", Received("a0", report))
    fleet.run(4.0)
    assert len(fleet.starts) > 20, "each task was started once"


@then("the second try of a job whose entry was killed overlaps the first")
def step_overlaps(context):
    fleet = Fleet(2, 2)
    fleet.submit("e0", JOB, 4, seconds=3.0, wait=10.0)
    fleet.run(0.2)
    fleet.kill("e0")
    fleet.run(RESEND_SECONDS)
    fleet.submit("e1", JOB, 4, seconds=3.0, wait=10.0)
    fleet.run(6.0)
    assert fleet.overlaps, "no task ran twice at once"


@then("a random day breaks a promise")
def step_breaks(context):
    for seed in range(MOST_SEEDS):
        day = RandomDay(seed)
        day.play(DAY_SECONDS)
        if day.fleet.overlaps or day.false_refusals or day.unanswered:
            return
    raise AssertionError(f"{MOST_SEEDS} days passed without it")
