"""Hedging: send an idempotent request to a second worker when it takes unusually long.

Load pattern: a straggler. One worker pauses or slows down, and a request there takes
ten times as long as elsewhere. Without hedging its caller waits for it; if every
request were hedged, the load would double. Only single requests that the caller
declared idempotent are hedged, only beyond a high percentile of run times, only onto an
idle slot, and only within a budget.
"""

import math

import msgspec

__all__ = ["HighPercentile", "is_straggler"]

# Hedging starts beyond the 95th percentile ("The Tail at Scale"). With a budget of 2%
# this keeps the budget for requests that really are delayed.
HEDGE_PERCENTILE = 0.95

# Step of the percentile estimate on a logarithmic scale: 5% per task, so that it
# follows a doubling of run times within some 300 tasks.
LOG_STEP = 0.05

# A request that was expected to take long is a straggler only after this many times its
# expected run time.
MIN_STRAGGLER_RATIO = 2.0


class HighPercentile(msgspec.Struct):
    """Estimates a high percentile of run times without storing them."""

    seconds: float = 1.0

    def observe(self, seconds: float) -> None:
        """Move the estimate so that 5% of run times are above it."""
        below = 1.0 if seconds <= self.seconds else 0.0
        self.seconds *= math.exp(LOG_STEP * (HEDGE_PERCENTILE - below))


def is_straggler(elapsed: float, expected: float, high: float) -> bool:
    """Return whether a request has run long enough to be hedged.

    :param elapsed: seconds since its start.
    :param expected: expected run time, in seconds.
    :param high: high percentile of run times, in seconds.
    """
    return elapsed > max(high, MIN_STRAGGLER_RATIO * expected)
