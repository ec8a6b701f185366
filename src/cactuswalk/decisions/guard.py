"""What to do with a task that outgrows what it declared, on its worker.

Load pattern: a task takes ten times its declared memory while seven others share
the worker. Without a guard the operating system ends one of them, not always the
guilty one, and a task that is not idempotent ends with an unknown outcome.

The mildest means that helps is taken, and none while the worker has room: declared
sizes are often wrong, and outgrowing them harms nobody by itself.
"""

import enum

import msgspec

__all__ = ["GuardAction", "Usage", "choose_guard_actions"]

# Parts of a worker's memory in use. Below the first nothing is done. Reports lag by
# about a second, in which eight tasks can allocate several percent of 64 GB, so the
# last step has to come well before the end.
THROTTLE_ABOVE = 0.85
CHECKPOINT_ABOVE = 0.90
STOP_ABOVE = 0.95

# A task within this factor of its declaration has not outgrown it.
TOLERANCE = 1.25

# Beyond this part of the largest excess, a task is worth stopping in its place.
MIN_EXCESS_PART = 0.5


class GuardAction(enum.StrEnum):
    """Means of a worker against a task, the mildest first."""

    NONE = "none"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class Usage(msgspec.Struct, frozen=True):
    """A late report on one running task.

    :param repeatable: it can be run again without harm.
    :param checkpoints: the upstream can save it and go on later.
    """

    name: str
    declared_mb: int
    used_mb: int
    repeatable: bool = False
    checkpoints: bool = False

    def excess_mb(self, fair_mb: float) -> float:
        """Return how far the task is beyond its declaration.

        :param fair_mb: what counts as declared where nothing was.
        """
        declared = self.declared_mb or fair_mb
        return max(0.0, self.used_mb - TOLERANCE * declared)


def choose_guard_actions(
    usages: list[Usage], memory_mb: int, slots: int
) -> dict[str, GuardAction]:
    """Return what to do with which tasks; the others go on.

    The task with the largest excess is dealt with first, and only one at a time
    is stopped or saved: the next report tells whether that was enough.
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
    worst = choose_target(oversized, fair_mb)
    if worst.checkpoints:
        actions[worst.name] = GuardAction.CHECKPOINT
    elif pressure >= STOP_ABOVE:
        actions[worst.name] = GuardAction.STOP
    return actions


def choose_target(oversized: list[Usage], fair_mb: float) -> Usage:
    """Return the task to stop or save.

    Of those that are far beyond their declaration, one that can be saved goes
    before one that can be repeated, and that before others: stopping a small one
    because it can be repeated would not help the worker.
    """
    most = max(usage.excess_mb(fair_mb) for usage in oversized)
    far = [
        usage
        for usage in oversized
        if usage.excess_mb(fair_mb) >= MIN_EXCESS_PART * most
    ]
    return max(
        far,
        key=lambda usage: (
            usage.checkpoints,
            usage.repeatable,
            usage.excess_mb(fair_mb),
        ),
    )
