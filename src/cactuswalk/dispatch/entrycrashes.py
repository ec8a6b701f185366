"""Suspicion of tasks under which workers crashed, at the entry that has their job.

Entries tell one another of the crashes. Otherwise the count would end with its entry,
and each further entry that gets the job would let the task crash as many workers again.
"""

from cactuswalk.dispatch.agentview import PlacedTask
from cactuswalk.dispatch.crashes import (
    KnownCrashes,
    WorkerCrash,
    is_suspect,
    should_give_up,
)
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.jobstate import JobState, TaskState
from cactuswalk.dispatch.messages import TaskCrash

__all__ = [
    "clear_suspicion",
    "drop_refuted_crashes",
    "forget_known_crashes",
    "list_crashes",
    "note_known_crashes",
    "restore_crashes",
    "suspect_task",
]

# How long another entry's crashes are remembered: callers come back sooner.
KNOWN_CRASHES_SECONDS = 30.0


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


def list_crashes(state: EntryState) -> list[TaskCrash]:
    """Return the crashes under the tasks of this entry's jobs."""
    return [
        TaskCrash(task.key, crash.agent, crash.worker, crash.blamed)
        for job in state.jobs.values()
        for task in job.tasks
        for crash in task.crashed.crashes
    ]


def note_known_crashes(state: EntryState, crashes: list[TaskCrash], now: float) -> None:
    """Remember the crashes that another entry has told of."""
    for crash in crashes:
        known = state.known_crashes.setdefault(crash.key, KnownCrashes(now, []))
        known.heard_at = now
        if all(crash.worker != other.worker for other in known.crashes):
            known.crashes.append(
                WorkerCrash(crash.agent, crash.worker, now, crash.blamed)
            )


def forget_known_crashes(state: EntryState, now: float) -> None:
    """Forget the crashes that no entry has told of for long."""
    for key, known in list(state.known_crashes.items()):
        if now - known.heard_at > KNOWN_CRASHES_SECONDS:
            del state.known_crashes[key]


def restore_crashes(state: EntryState, job: JobState) -> bool:
    """Give a new job's tasks the crashes known of them; return whether to give up."""
    gives_up = False
    for task in job.tasks if state.known_crashes else ():
        known = state.known_crashes.get(task.key)
        if known is None:
            continue
        task.crashed.crashes.extend(known.crashes)
        drop_refuted_crashes(state, task)
        gives_up |= should_give_up(task.crashed)
        state.say("a task has crashed workers at another entry", **_fields(task))
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
        "crashes": len(task.crashed.crashes),
        "blamed": task.crashed.blamed,
    }
