"""Budgets for second attempts: retries and hedges.

Load pattern: something is slow or failing, and every request is tried again. Without a
budget the second attempts cause the overload that they were meant to avoid, and sustain
it after its cause has gone (a retry storm).

Each first attempt earns a fraction of a token and each second attempt costs one token,
so the extra load is bounded by that fraction at any rate. Only requests that the caller
declared idempotent are attempted again after an ambiguous failure.
"""

import msgspec

from cactuswalk.model import Job

__all__ = ["Budget", "hedge_budget", "can_be_repeated", "retry_budget"]

# One retry for ten first attempts, as in the retry budgets of published RPC systems: if
# a tenth of the requests fails, each can be retried; if the service fails, its load
# grows by 10%.
RETRY_RATIO = 0.1

# Two hedges for a hundred requests: "The Tail at Scale" (Dean, Barroso 2013) reduced
# the 99.9th percentile more than twentyfold with 2% more requests.
HEDGE_RATIO = 0.02

# Enough to retry the requests of a worker's 8 slots elsewhere at once.
MAX_TOKENS = 8.0


class Budget(msgspec.Struct):
    """A token balance for second attempts.

    :param ratio: tokens that each first attempt earns.
    """

    ratio: float
    tokens: float = 1.0

    def earn(self) -> None:
        """Add the tokens that one first attempt earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Spend a token on a second attempt; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_budget() -> Budget:
    """Return a budget for retries."""
    return Budget(RETRY_RATIO)


def hedge_budget() -> Budget:
    """Return a budget for hedges."""
    return Budget(HEDGE_RATIO)


def can_be_repeated(job: Job) -> bool:
    """Return whether a job may be attempted again although it may have run."""
    return job.request and job.idempotent
