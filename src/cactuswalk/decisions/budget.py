"""Budgets for second attempts: retries and hedges.

Load pattern: something is slow or failing, and every caller's request is tried
again. Without a budget the second attempts make the overload that they were meant
to get around, and keep it alive after its cause has gone (a retry storm).

Each first attempt earns a fraction of a token and each second attempt costs one,
so the extra load is bounded by that fraction at any rate. Only requests that the
caller declared idempotent are ever attempted twice after an ambiguous failure.
"""

import msgspec

from cactuswalk.model import Job

__all__ = ["Budget", "hedge_budget", "can_be_repeated", "retry_budget"]

# One retry for ten first attempts, as in the retry budgets of published RPC
# systems: a failing tenth is healed whole, a failing service gets 10% more load.
RETRY_RATIO = 0.1

# Two hedges for a hundred requests: "The Tail at Scale" (Dean, Barroso 2013) cut
# the 99.9th percentile by over twenty times for 2% more requests.
HEDGE_RATIO = 0.02

# Saved tokens: enough for a worker's 8 slots to be tried elsewhere at once.
MAX_TOKENS = 8.0


class Budget(msgspec.Struct):
    """A balance of second attempts.

    :param ratio: of a token that each first attempt earns.
    """

    ratio: float
    tokens: float = 1.0

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Pay for a second attempt, False if there is too little left."""
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
    """Return whether a job may be attempted again though it may have run."""
    return job.request and job.idempotent
