"""Suspicion of tasks under which workers crashed, at the entry that has their job."""

from cactuswalk.dispatch.agentview import PlacedTask
from cactuswalk.dispatch.crashes import WorkerCrash, is_suspect, should_give_up
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.jobstate import TaskState

__all__ = ["clear_suspicion", "drop_refuted_crashes", "suspect_task"]


def suspect_task(
    state: EntryState,
    task: TaskState,
    placed: PlacedTask,
    ran_ms: int,
    blamed: bool,
    now: float,
) -> bool:
    """Record that a worker crashed under a task; return whether to give it up."""
    drop_refuted_crashes(state, task)
    start = placed.start
    crash = WorkerCrash(task.last_agent_address, start.worker, now, blamed)
    task.crashed.crashes.append(crash)
    gives_up = should_give_up(task.crashed)
    sentence = "suspects a task of crashing its worker"
    if gives_up:
        sentence = "gives up a task that crashes its workers"
    state.observe("crashes", "given up" if gives_up else "suspected")
    state.say(
        sentence,
        **_fields(task),
        run=start.run,
        worker=start.worker,
        blamed_now=blamed,
        ran_ms=ran_ms,
    )
    return gives_up


def drop_refuted_crashes(state: EntryState, task: TaskState) -> None:
    """Forget the crashes of workers that are in use again as the same incarnation.

    They were silent, as in a cut, and may be again: the task avoids them.
    """
    for crash in list(task.crashed.crashes):
        if _is_refuted(state, crash):
            task.crashed.crashes.remove(crash)
            task.avoided_agents.add(crash.agent)
            state.observe("crashes", "refuted")
            state.say(
                "a worker that was taken for crashed is in use again",
                **_fields(task),
                worker=crash.worker,
            )


def _is_refuted(state: EntryState, crash: WorkerCrash) -> bool:
    view = state.views.get(crash.agent)
    return (
        view is not None
        and view.heard_at > crash.ended_at
        and view.report.worker == crash.worker
        and view.report.open
    )


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
        "crashes": len(task.crashed.crashes),
        "blamed": task.crashed.blamed,
    }
