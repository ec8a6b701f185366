"""Steps that take one safeguard away and look for the promise that breaks."""

from unittest import mock

from behave import then, when

from cactuswalk.dispatch import (
    agent,
    agentcalls,
    agententries,
    agentview,
    agentworker,
)
from cactuswalk.dispatch.messages import TaskEnd
from features.support.fleetscript import RandomDay

MOST_SEEDS = 40
DAY_SECONDS = 10
NEVER = 1e9


def without(safeguard):
    """Return the patches that take a safeguard away."""
    if safeguard == "an entry's lease at its agents":
        return [mock.patch.object(agent, "expire_entries", lambda state, now: None)]
    if safeguard == "waiting for a silent agent's leases":
        return [mock.patch.object(agentview, "lost_after", lambda: 0.2)]
    if safeguard == "waiting for a worker's lease":
        return [
            mock.patch.object(module, "worker_lapse_seconds", lambda: 0.0)
            for module in (agent, agentcalls, agentworker)
        ]
    if safeguard == "orphaning the tasks of an entry's earlier life":
        return [
            mock.patch.object(agententries, "_orphan", lambda *arguments: None),
            mock.patch.object(agent, "expire_entries", lambda state, now: None),
        ]
    if safeguard == "a stop before a doubtful start is given up":
        return [mock.patch.object(agentcalls, "_doubt", give_up_doubtful)]
    raise ValueError(safeguard)


def give_up_doubtful(state, held, now):
    """Take a start without an answer for one that never began."""
    state.end(held, TaskEnd.DECLINED, 0, "no answer", now)


@when("{safeguard} is taken away")
def step_without(context, safeguard):
    patches = without(safeguard)
    for patch in patches:
        patch.start()
    context.clean_ups = [patch.stop for patch in patches]


@then("a random day breaks a promise")
def step_breaks(context):
    for seed in range(MOST_SEEDS):
        day = RandomDay(seed)
        day.play(DAY_SECONDS)
        if day.fleet.overlaps or day.untrue or day.unanswered:
            return
    raise AssertionError(f"{MOST_SEEDS} days passed without it")
