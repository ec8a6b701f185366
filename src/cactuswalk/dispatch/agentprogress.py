"""How the runs at a worker get on: those that stand still or drag are given back."""

from cactuswalk.dispatch.agentcalls import stop
from cactuswalk.dispatch.agentheld import Held, HeldState
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.soundness import (
    Progress,
    foretold_pace,
    lately,
    should_move,
)

__all__ = ["move_off_if_dragging", "progress", "runs_on"]

# A running task whose progress stands still this long, beyond its estimate, is
# stopped and told as lost. Progress comes with each look, at most 0.15 s apart.
STALL_SECONDS = 0.6
# Or this many times the twentieth part of its estimate, where that is longer.
STALL_FACTOR = 3.0

# A run's speed is taken anew this often: three looks.
SPEED_SECONDS = 0.5


def runs_on(state: AgentState, held: Held, percent: int, now: float) -> None:
    """Take note of how far a run is, and stop one that stands still."""
    if held.state is HeldState.DOUBTFUL:
        state.say(
            "a start without an answer runs on",
            **held.names(),
            waited=round(now - held.since, 3),
        )
        held.state = HeldState.RUNNING
        held.since = held.percent_at = now
        held.gone_at = 0.0
    _measure_speed(held, percent, now)
    if percent != held.percent:
        held.percent = percent
        held.percent_at = now
    if held.state is HeldState.RUNNING and _stands_still(state, held, now):
        state.say("a task stands still", job=held.start.key.job, percent=percent)
        if state.soundness.stalled(now):
            state.say("puts the worker on trial", reason="a task stands still")
        stop(state, held, "it stood still", now)
        state.touch_entries()


def _measure_speed(held: Held, percent: int, now: float) -> None:
    """Measure how fast a run goes on lately, whatever it did before."""
    began, from_percent = held.speed_from
    if began < held.since:
        held.speed_from = (held.since, 0)
    elif now - began >= SPEED_SECONDS:
        held.speed = lately(percent - from_percent, now - began)
        held.speed_from = (now, percent)


def _stands_still(state: AgentState, held: Held, now: float) -> bool:
    expected = held.start.estimate_ms / 1000 / 20
    return now - held.percent_at > max(STALL_SECONDS, STALL_FACTOR * expected)


def move_off_if_dragging(state: AgentState, now: float) -> None:
    """Give tasks back that a worker which has turned slow would keep for long."""
    running = [held for held in state.held.values() if held.state is HeldState.RUNNING]
    tasks = [progress(held, now) for held in running]
    foretold = foretold_pace(tasks)
    if state.soundness.begins_to_drag(foretold):
        state.say("its worker drags", worker=state.worker.identifier, pace=foretold)
        state.touch_entries()
    if not state.soundness.drags:
        return
    for held, task in zip(running, tasks, strict=True):
        if held.start.may_move and should_move(task):
            stop(state, held, "its worker drags", now)


def progress(held: Held, now: float) -> Progress:
    """Return how far a run is."""
    start = held.start
    ran = now - held.since
    return Progress(start.key.job, start.estimate_ms, ran, held.percent, held.speed)
