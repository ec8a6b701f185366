"""Ends of the runs whose worker has crashed."""

from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.messages import TaskEnd

__all__ = [
    "blamed_handles",
    "end_crashed",
    "end_lapsed",
    "is_planned_end",
    "mark_all_crashed",
]

# Starts this close to the last one are to blame as well: the tasks of a job come to a
# worker within a few milliseconds, and the crash may take as long.
BLAMED_SECONDS = 0.01


def mark_all_crashed(state: AgentState, reason: str, now: float) -> None:
    """End all runs of a worker that has certainly ended."""
    blamed = state.blamed or blamed_handles(list(state.held.values()))
    for held in list(state.held.values()):
        end_crashed(state, held, reason, held.handle in blamed, now)


def end_lapsed(state: AgentState, held: HeldTask, now: float) -> None:
    """End a run of a silent worker whose lease has passed.

    A crashed worker may be silent until its next incarnation announces itself. If its
    runs were merely lost, one that crashes workers would be started without a limit.
    Unless the worker's address has refused connections, nothing tells which of them is
    to blame.
    """
    end_crashed(state, held, "its lease has passed", held.handle in state.blamed, now)


def is_planned_end(state: AgentState) -> bool:
    """Return whether the worker has said that it leaves, or drains."""
    if state.has_departed or state.may_have_departed:
        return True
    return state.worker is not None and state.worker.draining


def end_crashed(
    state: AgentState, held: HeldTask, reason: str, blamed: bool, now: float
) -> None:
    """End a run whose worker has crashed, or must be taken to have crashed.

    A worker that drains or leaves has said so: its runs are lost with it.
    """
    if is_planned_end(state):
        state.end(held, TaskEnd.LOST, 0, reason, now)
        return
    ran_ms = 0
    if held.state is HeldState.RUNNING:
        ran_ms = int(max(0.0, now - held.since) * 1000)
    state.end(held, TaskEnd.CRASHED, ran_ms, reason, now, blamed)


def blamed_handles(tasks: list[HeldTask]) -> set[int]:
    """Return the handles of the runs that are probably to blame for a crash.

    These are the last ones that the worker is known to have started, and the first
    starts that it left unanswered: later ones came when it had crashed already.
    """
    started = [held for held in tasks if not _is_unanswered(held)]
    unanswered = [held for held in tasks if _is_unanswered(held)]
    last = max((held.since for held in started), default=0.0)
    first = min((held.since for held in unanswered), default=0.0)
    blamed = [held for held in started if last - held.since <= BLAMED_SECONDS]
    blamed += [held for held in unanswered if held.since - first <= BLAMED_SECONDS]
    return {held.handle for held in blamed}


def _is_unanswered(held: HeldTask) -> bool:
    return held.state in (HeldState.STARTING, HeldState.UNCONFIRMED)
