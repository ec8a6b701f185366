"""Ask a second worker when an idempotent request takes unusually long.

Load pattern: a straggler. One worker pauses or drags, and a request there takes
ten times as long as it would anywhere else. Without hedging its caller waits for
it; with hedging of everything, all pay twice. Only single requests that the caller
declared idempotent are hedged, only beyond a high percentile of run times, only
onto a slot that is idle, and only within a budget.
"""

import math

import msgspec

__all__ = ["HighPercentile", "is_straggler"]

# Hedge beyond the 95th percentile ("The Tail at Scale"): with a budget of 2% this
# leaves the budget for those that are late for a reason.
HEDGE_PERCENTILE = 0.95

# Step of the percentile's estimate on a logarithmic scale: 5% a task, so that it
# follows a doubling within some 300 tasks.
STEP = 0.05

# A request that was expected to be long is no straggler before it has taken this
# many times as long.
TIMES_EXPECTED = 2.0


class HighPercentile(msgspec.Struct):
    """Follows a high percentile of run times without keeping them."""

    seconds: float = 1.0

    def observe(self, seconds: float) -> None:
        """Move up or down, such that 5% of run times stay above."""
        below = 1.0 if seconds <= self.seconds else 0.0
        self.seconds *= math.exp(STEP * (HEDGE_PERCENTILE - below))


def is_straggler(elapsed: float, expected: float, high: float) -> bool:
    """Return whether a request has run long enough to ask a second worker."""
    return elapsed > max(high, TIMES_EXPECTED * expected)
