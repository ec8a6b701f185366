"""Suspicion of tasks under which workers crashed, at the entry that has their job."""

from cactuswalk.dispatch.agentview import PlacedTask
from cactuswalk.dispatch.crashes import is_suspect, record_crash, should_give_up
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.jobstate import TaskState

__all__ = ["clear_suspicion", "suspect_task"]


def suspect_task(
    state: EntryState, task: TaskState, placed: PlacedTask, ran_ms: int, blamed: bool
) -> bool:
    """Record that a worker crashed under a task; return whether to give it up."""
    record_crash(task.crashed, blamed)
    gives_up = should_give_up(task.crashed)
    sentence = "suspects a task of crashing its worker"
    if gives_up:
        sentence = "gives up a task that crashes its workers"
    state.observe("crashes", "given up" if gives_up else "suspected")
    state.say(
        sentence,
        **_fields(task),
        run=placed.start.run,
        worker=placed.start.worker,
        blamed_now=blamed,
        ran_ms=ran_ms,
    )
    return gives_up


def clear_suspicion(state: EntryState, task: TaskState) -> None:
    """Log that a suspected task has ended well."""
    if is_suspect(task.crashed):
        state.observe("crashes", "cleared")
        state.say("a suspected task is done", **_fields(task), run=task.runs)


def _fields(task: TaskState) -> dict[str, object]:
    return {
        "job": task.key.job,
        "step": task.key.step,
        "index": task.key.index,
        "crashes": task.crashed.crashes,
        "blamed": task.crashed.blamed,
    }
