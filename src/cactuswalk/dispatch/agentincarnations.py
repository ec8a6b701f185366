"""Switches of the agent to another incarnation of its worker.

One with another identifier refuses the calls that were meant for the earlier one. One
that has restarted under its name carries them out. So a start without proof that the
earlier incarnation has carried it out stays held until the next one has answered a poll
with a higher fencing token: the answer shows whether it runs there, and it can't begin
there any more.
"""

import math

import msgspec

from cactuswalk.decisions.usualpace import UsualPace
from cactuswalk.dispatch.agentcalls import request_stop
from cactuswalk.dispatch.agentcrashes import (
    blamed_handles,
    end_crashed,
    is_planned_end,
    mark_all_crashed,
)
from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentlooks import poll
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import longest_lapse_seconds
from cactuswalk.dispatch.job import Worker
from cactuswalk.dispatch.messages import TaskEnd
from cactuswalk.dispatch.soundness import WorkerHealth

__all__ = [
    "adopt_worker",
    "announce_worker",
    "end_unstarted",
    "follow_announced",
    "follow_unannounced",
]


def adopt_worker(state: AgentState, worker: Worker, now: float) -> None:
    """Switch to a new incarnation of the worker; all earlier runs have ended."""
    _log_worker(state, worker)
    state.reach_phase("first worker", now)
    mark_all_crashed(state, "the worker's incarnation has ended", now)
    state.runs.clear()
    _use(state, worker, now)
    announce_worker(state, worker, now)
    poll(state, now, 0.0)


def follow_announced(state: AgentState, worker: Worker, now: float) -> None:
    """Switch to a later incarnation of the current worker, which sent a heartbeat."""
    _follow(state, worker, "heartbeat", now)
    announce_worker(state, worker, now)


def follow_unannounced(state: AgentState, identifier: str, now: float) -> None:
    """Switch to a later incarnation of the current worker, which answered a poll.

    Its capacity and its service are unknown until its heartbeat, and it gets no tasks.
    The earlier ones are reported until then: entries would refuse jobs that fit no
    other worker if this one counted as too small.
    """
    unknown = msgspec.structs.replace(
        state.worker,
        identifier=identifier,
        draining=False,
        leaves_in_ms=0,
        sequence=0,
        clock_ms=None,
    )
    _follow(state, unknown, "poll", now)


def announce_worker(state: AgentState, worker: Worker, now: float) -> None:
    """Record the first heartbeat of the current incarnation."""
    state.worker = worker
    state.is_announced = True
    state.announced_at = now
    # A worker that is draining already may have been so for long: it gets no tasks.
    state.leaves_at = now + worker.leaves_in_ms / 1000
    state.drained_at = now


def _follow(state: AgentState, worker: Worker, evidence: str, now: float) -> None:
    state.observe("worker_restarted", evidence)
    _log_worker(state, worker)
    blamed = state.blamed or blamed_handles(list(state.held.values()))
    unsure_end = TaskEnd.LOST if is_planned_end(state) else TaskEnd.CRASHED
    for held in list(state.held.values()):
        if held.is_listed:
            reason = "the worker has restarted"
            end_crashed(state, held, reason, held.handle in blamed, now)
        elif held.previous_end is None:
            held.previous_end = unsure_end
            held.blamed = held.handle in blamed
    # Above the token of each call to the earlier incarnation.
    state.token += 1
    _use(state, worker, now)
    for held in state.held.values():
        _hold_unsure(state, held, now)
    state.mark_entries_dirty()
    poll(state, now, 0.0)


def _hold_unsure(state: AgentState, held: HeldTask, now: float) -> None:
    """Stop a run that the current incarnation may have begun, or may still begin."""
    held.state = HeldState.STOPPING
    held.reason = "its worker has restarted"
    held.fenced_at = now
    # The start's lease was converted to another clock, so only the platform bounds it.
    held.expires_at = now + longest_lapse_seconds()
    request_stop(state, held, now)


def end_unstarted(state: AgentState, held: HeldTask, now: float) -> None:
    """End a start that doesn't run and can't begin any more."""
    if held.previous_end is None:
        state.end(held, TaskEnd.STOPPED, 0, "never began", now)
        return
    reason = "the worker has restarted"
    state.end(held, held.previous_end, 0, reason, now, held.blamed)


def _use(state: AgentState, worker: Worker, now: float) -> None:
    """Reset what is known of the earlier incarnation."""
    replaced = state.worker.identifier if state.worker else ""
    state.worker = worker
    state.adopted_at = now
    state.incarnations.record(worker.identifier, replaced)
    state.is_announced = state.may_have_departed = state.has_departed = False
    state.bounds.clear()
    state.candidate = None
    state.clear_presumption()
    state.leaves_at = state.drained_at = math.inf
    state.reachable = True
    state.ready_to_start = False
    state.health = WorkerHealth()
    state.usual_pace = UsualPace()
    state.acknowledged_end = state.highest_end = 0
    state.poll_not_before = state.answered_at = now
    state.unanswered_poll_at = -math.inf
    state.check_requested = state.check_pending = False


def _log_worker(state: AgentState, worker: Worker) -> None:
    state.say(
        "found a worker",
        worker=worker.identifier,
        previous=state.worker.identifier if state.worker else "",
        held=len(state.held),
    )
