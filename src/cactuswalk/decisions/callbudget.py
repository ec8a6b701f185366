"""Rate limit for the calls of one process to the key-value service.

Load pattern: a fault anywhere (a flapping upstream, a race for a key, a retry loop that
never ends) causes calls on many hosts at the same time, and overloads the one service
that all depend on. The rate of that service grows more slowly than the fleet, and
without a limit the processes with the most faults use it up. A token bucket holds each
process to its share.
"""

import msgspec

__all__ = [
    "AGENT_BURST",
    "AGENT_RATE",
    "ENTRY_BURST",
    "ENTRY_RATE",
    "READ_COST",
    "WRITE_COST",
    "CallBudget",
]

# By its specification the service handles about 2,000 reads or several hundred (here:
# 400) writes a second, so a write costs five times as much as a read.
READ_COST = 1
WRITE_COST = 5

# The planned 8,300 workers form 280 cells of 30 workers. One process of each cell calls
# the service: 280 times 5 tokens a second is 1,400 of 2,000.
AGENT_RATE = 5.0
# A takeover takes a read and four swaps: the cell, the roster without the lost member,
# the roster with its copies kept, and one after a lost race. Forming a cell takes up to
# seven swaps; with 15 tokens its members waited 1.25 s for each.
AGENT_BURST = 40.0

# Entries are few and carry the operators' changes: 20 writes a second each.
ENTRY_RATE = 100.0
# A file of 40 objects is applied at once.
ENTRY_BURST = 200.0

# A shortfall from rounding is ignored: waiting for it would not advance the clock, and
# the caller would spin.
ROUNDING_TOKENS = 1e-6


class CallBudget(msgspec.Struct):
    """A token bucket.

    :param rate: tokens added per second.
    :param burst: capacity in tokens.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    filled_at: float | None = None

    def remaining(self, cost: float, now: float) -> float:
        """Return the seconds until ``cost`` tokens are available, 0 if they are now."""
        self._refill(now)
        missing = cost - self.tokens
        return missing / self.rate if missing > ROUNDING_TOKENS else 0.0

    def spend(self, cost: float, now: float) -> None:
        """Spend tokens on a call; check ``remaining`` first."""
        self._refill(now)
        self.tokens -= cost

    def shrink(self, now: float) -> None:
        """Discard most saved tokens after the service has returned from an outage.

        After a long outage every bucket is full, and each process would send its whole
        burst in the first second. Tokens for a read and a write stay, so that a pending
        takeover doesn't have to wait for tokens as well.
        """
        self._refill(now)
        self.tokens = min(self.tokens, READ_COST + WRITE_COST)

    def _refill(self, now: float) -> None:
        if self.filled_at is None:
            self.tokens, self.filled_at = self.burst, now
        added = (now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + added)
        self.filled_at = now
