"""The memory guard of a worker: turns usage reports into requests to the upstream.

Load pattern: a task takes ten times its declared memory among seven others. Without
the guard the operating system kills one of them, not always the one at fault; its
outcome is unknown, and a seat check must not be repeated. A task stopped by the guard
ends its own call, so that its outcome is known: it ran and failed.

``decisions.guard`` chooses the actions; this module tracks which tasks run here and
allows for the age of the reports.
"""

import msgspec

from cactuswalk.decisions.guard import GuardAction, Usage, choose_guard_actions
from cactuswalk.messages import Start
from cactuswalk.model import Capacity
from cactuswalk.state.effects import (
    ControlUpstream,
    Count,
    Effect,
    Log,
    Part,
    StopUpstream,
)
from cactuswalk.state.events import TaskUsage

__all__ = ["Guard", "GuardedTask", "on_usage_report", "add_task", "remove_task"]

# A throttled task gets half of the processor time: its memory grows half as fast, and
# it may still meet its deadline, which is usually a few run times away.
THROTTLE_FACTOR = 2.0

# A stop takes up to two seconds to arrive (the timeout of the call), and reports are a
# second old. Until then reports still include the memory of a stopped task, and a
# second task would be stopped for memory that the first has already released.
STOP_SETTLES_SECONDS = 3.0

# An upstream that was asked this often to checkpoint a task, and still reports its
# memory, is taken not to checkpoint it.
MAX_CHECKPOINTS = 2


class GuardedTask(msgspec.Struct):
    """A running task as its caller declared it, and the actions taken on it.

    :param checkpoints: how often its upstream was asked to checkpoint it.
    :param stopped_at: when its upstream was last asked to stop it, None for never.
    :param reason: reason of the stop, for the result.
    """

    attempt: int
    declared_mb: int
    repeatable: bool
    throttled: bool = False
    checkpoints: int = 0
    stopped_at: float | None = None
    reason: str = ""


class Guard(msgspec.Struct):
    """State of one agent's guard: running tasks by (submission, index)."""

    tasks: dict[tuple[str, int], GuardedTask] = {}


def add_task(guard: Guard, start: Start) -> None:
    """Add a task that starts here."""
    guard.tasks[start.submission, start.index] = GuardedTask(
        start.attempt, start.task.memory_mb, start.idempotent
    )


def remove_task(guard: Guard, submission: str, index: int) -> str:
    """Remove a task that ended; return why it was stopped, empty if it wasn't."""
    task = guard.tasks.pop((submission, index), None)
    return task.reason if task is not None else ""


def on_usage_report(
    guard: Guard, usages: list[TaskUsage], capacity: Capacity, worker: str, now: float
) -> list[Effect]:
    """Choose actions for a usage report and return them as effects.

    Tasks that have ended since, or run as another attempt, are skipped: a report is
    about a second old, and an action would affect the wrong attempt.
    """
    reported = {}
    for usage in usages:
        task = guard.tasks.get((usage.submission, usage.index))
        if task is not None and task.attempt == usage.attempt:
            reported[f"{usage.submission} {usage.index}"] = (usage, task)
    effects: list[Effect] = []
    if stale := len(usages) - len(reported):
        effects.append(Count("agent.usage.stale", stale))
    judged = [_to_usage(name, *pair) for name, pair in reported.items()]
    actions = choose_guard_actions(judged, capacity.memory_mb, capacity.slots)
    for name, (usage, task) in reported.items():
        action = actions.get(name, GuardAction.NONE)
        effects += _apply_action(guard, action, usage, task, worker, now)
    return effects


def _to_usage(name: str, usage: TaskUsage, task: GuardedTask) -> Usage:
    saves = usage.checkpoints and task.checkpoints < MAX_CHECKPOINTS
    return Usage(name, task.declared_mb, usage.used_mb, task.repeatable, saves)


def _apply_action(
    guard: Guard,
    action: GuardAction,
    usage: TaskUsage,
    task: GuardedTask,
    worker: str,
    now: float,
) -> list[Effect]:
    if action is GuardAction.NONE and not task.throttled:
        return []
    attempt_key = (usage.submission, usage.index, usage.attempt)
    if action is GuardAction.STOP:
        if any(_settles(other, task, now) for other in guard.tasks.values()):
            return []
        task.stopped_at = now
        task.reason = (
            f"its worker was out of memory and stopped it: it used {usage.used_mb} MB, "
            f"declared {task.declared_mb}"
        )
        effect = StopUpstream(*attempt_key)
    elif action is GuardAction.CHECKPOINT:
        task.checkpoints += 1
        effect = ControlUpstream(*attempt_key, action)
    else:
        # Sent again with each report while it applies, since a request may be lost.
        task.throttled = action is GuardAction.THROTTLE
        factor = THROTTLE_FACTOR if task.throttled else 1.0
        effect = ControlUpstream(*attempt_key, GuardAction.THROTTLE, factor)
    done = "lift" if action is GuardAction.NONE else action.value
    fields = {
        "action": done,
        "submission": usage.submission,
        "task": usage.index,
        "attempt": usage.attempt,
        "worker": worker,
        "used_mb": usage.used_mb,
        "declared_mb": task.declared_mb,
    }
    log = Log(Part.AGENT, "memory guard acts on a task", fields)
    return [Count(f"agent.guard.{done}"), log, effect]


def _settles(other: GuardedTask, task: GuardedTask, now: float) -> bool:
    """Return whether another task was stopped and may still hold its memory."""
    if other is task or other.stopped_at is None:
        return False
    return now - other.stopped_at < STOP_SETTLES_SECONDS
