"""A budget for the calls that one process makes to the key-value service.

The load pattern: a fault anywhere (a flapping upstream, a race for a key, a
retry that never ends) turns into calls, on many hosts at the same time, and
the one service that all depend on is the thing that breaks. Without a budget
the service's rate, which grows more slowly than the fleet, is used up by
whoever is most broken. A token bucket holds each process to its share.
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

# The service takes about 2,000 reads and several hundred (here: 400) writes a
# second (brief), so a write takes five times the share of a read.
READ_COST = 1
WRITE_COST = 5

# 280 cells of 30 workers are the target's 8,300 workers. One process of each
# talks to the service; 280 times 5 tokens a second is 1,400 of 2,000.
AGENT_RATE = 5.0
# A takeover is a read and four swaps: the cell, the roster without the lost
# member, the roster with its copies kept, and one after a lost race. A cell that
# forms takes up to seven; with 15 tokens its members waited 1.25 s for each.
AGENT_BURST = 40.0

# Entries are few and carry the operators' changes: 20 writes a second each.
ENTRY_RATE = 100.0
# A file of 40 objects is applied at once.
ENTRY_BURST = 200.0

# A remainder of rounding is no debt: its pause would be too short to move the
# clock, and whoever waited for it would spin.
ROUNDING_TOKENS = 1e-6


class CallBudget(msgspec.Struct):
    """A token bucket.

    :param rate: tokens a second.
    :param burst: the most tokens that are saved up.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    filled_at: float | None = None

    def remaining(self, cost: float, now: float) -> float:
        """Return the seconds until ``cost`` can be paid, 0 if it can be now."""
        self._fill(now)
        missing = cost - self.tokens
        return missing / self.rate if missing > ROUNDING_TOKENS else 0.0

    def spend(self, cost: float, now: float) -> None:
        """Pay for a call; ask ``remaining`` first."""
        self._fill(now)
        self.tokens -= cost

    def shrink(self, now: float) -> None:
        """Give up most of what was saved, since the service has just returned.

        After a long outage every bucket is full. Without this the service's
        first second back would bring each process's whole burst. A read and a
        write stay: a takeover that waits must not wait for tokens as well.
        """
        self._fill(now)
        self.tokens = min(self.tokens, READ_COST + WRITE_COST)

    def _fill(self, now: float) -> None:
        if self.filled_at is None:
            self.tokens, self.filled_at = self.burst, now
        gained = (now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now
