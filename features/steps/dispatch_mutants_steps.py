"""Steps that disable one safeguard and look for the guarantee that is violated."""

from unittest import mock

import msgspec
from behave import then, when

from cactuswalk.dispatch import (
    agent,
    agentcalls,
    agententries,
    agentview,
    agentworker,
    entryplacing,
    placement,
)
from cactuswalk.dispatch.bounds import RESEND_SECONDS
from cactuswalk.dispatch.entryevents import Received
from cactuswalk.dispatch.messages import TaskEnd
from features.support.crashday import CrashDay
from features.support.fleet import JOB, Fleet
from features.support.fleetscript import RandomDay

take_running = agentworker._apply_running

# The rarest violation, without an entry's lease, occurs on one day in fifty: a task has
# to outlive its entry by 1.3 s, and be placed again by then.
MAX_SEEDS = 60
DAY_SECONDS = 10


def make_patches(safeguard):
    """Return the patches that disable a safeguard."""
    if safeguard == "an entry's lease at its agents":
        return [mock.patch.object(agent, "expire_entries", lambda state, now: None)]
    if safeguard == "waiting for a silent agent's leases":
        return [mock.patch.object(agentview, "agent_lapse_seconds", lambda: 0.2)]
    if safeguard == "waiting for a worker's lease":
        return [
            mock.patch.object(module, "worker_lapse_seconds", lambda: 0.0)
            for module in (agent, agentcalls, agentworker)
        ]
    if safeguard == "stopping the tasks of an entry's earlier incarnation":
        return [
            mock.patch.object(
                agententries, "_stop_entry_runs", lambda *arguments: None
            ),
            mock.patch.object(agent, "expire_entries", lambda state, now: None),
        ]
    if safeguard == "a stop before an unconfirmed start is abandoned":
        return [mock.patch.object(agentcalls, "_mark_unconfirmed", abandon_start)]
    if safeguard == "stopping the runs of an agent's earlier incarnation":
        return [mock.patch.object(agentworker, "_apply_running", ignore_unknown_runs)]
    if safeguard == "the order of an agent's reports":
        return [
            mock.patch.object(
                agentview.AgentView, "is_out_of_date", lambda *arguments: False
            )
        ]
    if safeguard == "keeping suspected tasks apart":
        return [
            mock.patch.object(module, "is_suspect", lambda record: False)
            for module in (placement, entryplacing)
        ]
    if safeguard == "learning a smaller capacity":
        return [
            mock.patch.object(agentcalls, "_learn_smaller_capacity", lambda state: None)
        ]
    raise ValueError(safeguard)


def ignore_unknown_runs(state, event, now):
    """Ignore the runs that an earlier incarnation of the agent has started."""
    known = {(held.start.key, held.run) for held in state.held.values()}
    event.running[:] = [row for row in event.running if (row.key, row.run) in known]
    return take_running(state, event, now)


def abandon_start(state, held, now):
    """Treat an unanswered start as one that was never carried out."""
    state.end(held, TaskEnd.DECLINED, 0, "no answer", now)


@when("{safeguard} is disabled")
def step_disable(context, safeguard):
    patches = make_patches(safeguard)
    for patch in patches:
        patch.start()
    context.clean_ups = [patch.stop for patch in patches]


@then("a late report of an earlier incarnation ends the running tasks")
def step_late_report_used(context):
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


@then("the second attempt at a job whose entry was killed overlaps the first")
def step_overlaps(context):
    fleet = Fleet(2, 2)
    fleet.submit("e0", JOB, 4, seconds=3.0, wait=10.0)
    fleet.run(0.2)
    fleet.kill("e0")
    fleet.run(RESEND_SECONDS)
    fleet.submit("e1", JOB, 4, seconds=3.0, wait=10.0)
    fleet.run(6.0)
    assert fleet.overlaps, "no task ran twice at once"


@then("a random day violates a guarantee")
def step_violates(context):
    for seed in range(MAX_SEEDS):
        day = RandomDay(seed)
        day.play(DAY_SECONDS)
        if day.fleet.overlaps or day.false_refusals or day.unanswered:
            return
    raise AssertionError(f"{MAX_SEEDS} days passed without it")


@then(
    "on day {seed:d} of {kind:w} that crash their workers a sound job is answered as "
    "failed"
)
def step_sound_job_failed(context, seed, kind):
    assert CrashDay(seed, kind).play().failed_sound_jobs()
