"""Learn by what factor predicted waits fall short, for admission control.

Load pattern: run times are heavy-tailed, declared ones are off by half, and urgent jobs
overtake others. A wait that is predicted without bias is exceeded by every second job.
"""

import msgspec

__all__ = ["INITIAL_WAIT_MARGIN", "WaitMargin"]

# Bounds and initial value of the factor that the predicted wait is multiplied by.
MIN_WAIT_MARGIN = 2.0
MAX_WAIT_MARGIN = 10.0
INITIAL_WAIT_MARGIN = 2.0

# Target: one admitted job in fifty waits longer than predicted with the margin. Each
# job moves the margin by up to 5%. A job that is shed from the queue moves it by 10%,
# because that refusal reaches its caller seconds late.
TARGET_UNDERESTIMATED_PART = 0.02
MARGIN_STEP = 0.05
SHED_MARGIN_STEP = 0.1

# A shorter predicted wait amounts to a few messages and a fraction of a run time, and
# tells nothing about the margin.
MIN_WAIT_TO_LEARN_SECONDS = 0.1


class WaitMargin(msgspec.Struct):
    """Learns by what factor the predicted wait falls short of the actual one.

    Overtaking by other jobs, errors of declared run times and the drain rate can't be
    known beforehand. The factor grows with each admitted job that waited longer than
    predicted or was shed, and shrinks with each other job, so that one in fifty waits
    longer (stochastic approximation of a percentile).

    :param minimum: lower bound of the factor.
    :param min_wait_seconds: shorter predicted waits change nothing.
    """

    factor: float = INITIAL_WAIT_MARGIN
    minimum: float = MIN_WAIT_MARGIN
    min_wait_seconds: float = MIN_WAIT_TO_LEARN_SECONDS

    def record_start(self, waited: float, predicted_wait: float) -> None:
        """Update the margin for an admitted job whose last task now has a slot.

        :param waited: in seconds.
        :param predicted_wait: without the margin, in seconds.
        """
        if predicted_wait < self.min_wait_seconds:
            return
        if waited > predicted_wait * self.factor:
            self.adjust(MARGIN_STEP * (1 - TARGET_UNDERESTIMATED_PART))
        else:
            self.adjust(-MARGIN_STEP * TARGET_UNDERESTIMATED_PART)

    def record_shed(self) -> None:
        """Update the margin for an admitted job that was shed from the queue."""
        self.adjust(SHED_MARGIN_STEP)

    def adjust(self, step: float) -> None:
        """Change the margin by a relative step, within its bounds."""
        moved = self.factor * (1 + step)
        self.factor = min(MAX_WAIT_MARGIN, max(self.minimum, moved))
