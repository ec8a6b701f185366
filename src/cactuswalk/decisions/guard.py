"""Choose actions against tasks that exceed their declared memory.

Load pattern: a task takes ten times its declared memory while seven others share the
worker. Without a guard the operating system kills one of them, not always the one at
fault, and a task that is not idempotent ends with an unknown outcome.

The mildest sufficient action is chosen, and none while the worker has memory left:
declared sizes are often wrong, and exceeding them is harmless by itself.
"""

import enum

import msgspec

__all__ = ["GuardAction", "Usage", "choose_guard_actions"]

# Used parts of a worker's memory; below the first nothing is done. Reports lag by about
# a second, in which eight tasks can allocate several percent of 64 GB, so the last
# threshold has to be well below 1.
THROTTLE_ABOVE = 0.85
CHECKPOINT_ABOVE = 0.90
STOP_ABOVE = 0.95

# A task that uses up to this many times its declared memory is not oversized.
TOLERANCE = 1.25

# A task may be stopped instead of the one with the largest excess if its own excess is
# at least this part of that.
MIN_EXCESS_PART = 0.5


class GuardAction(enum.StrEnum):
    """Actions of a worker against a task, the mildest first."""

    NONE = "none"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class Usage(msgspec.Struct, frozen=True):
    """A delayed usage report of one running task.

    :param repeatable: the task can be run again without harm.
    :param checkpoints: the upstream can save the task and resume it later.
    """

    name: str
    declared_mb: int
    used_mb: int
    repeatable: bool = False
    checkpoints: bool = False

    def excess_mb(self, fair_mb: float) -> float:
        """Return by how much the task exceeds its declared memory.

        :param fair_mb: used as the declared memory if none was declared.
        """
        declared = self.declared_mb or fair_mb
        return max(0.0, self.used_mb - TOLERANCE * declared)


def choose_guard_actions(
    usages: list[Usage], memory_mb: int, slots: int
) -> dict[str, GuardAction]:
    """Return the actions to take, by task name; other tasks go on.

    The task with the largest excess is handled first, and only one at a time is stopped
    or checkpointed: the next report shows whether that was enough.
    """
    if memory_mb <= 0:
        return {}
    fair_mb = memory_mb / max(1, slots)
    pressure = sum(usage.used_mb for usage in usages) / memory_mb
    oversized = [usage for usage in usages if usage.excess_mb(fair_mb) > 0]
    if pressure < THROTTLE_ABOVE or not oversized:
        return {}
    actions = {usage.name: GuardAction.THROTTLE for usage in oversized}
    if pressure < CHECKPOINT_ABOVE:
        return actions
    target = choose_target(oversized, fair_mb)
    if target.checkpoints:
        actions[target.name] = GuardAction.CHECKPOINT
    elif pressure >= STOP_ABOVE:
        actions[target.name] = GuardAction.STOP
    return actions


def choose_target(oversized: list[Usage], fair_mb: float) -> Usage:
    """Return the task to stop or checkpoint.

    Of the tasks that far exceed their declaration, one that can be checkpointed is
    preferred to one that can be repeated, and that to others. A small task is not
    stopped only because it can be repeated, since that would free little memory.
    """
    max_excess_mb = max(usage.excess_mb(fair_mb) for usage in oversized)
    candidates = [
        usage
        for usage in oversized
        if usage.excess_mb(fair_mb) >= MIN_EXCESS_PART * max_excess_mb
    ]
    return max(
        candidates,
        key=lambda usage: (
            usage.checkpoints,
            usage.repeatable,
            usage.excess_mb(fair_mb),
        ),
    )
