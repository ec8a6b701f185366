"""Exponential backoff and adaptive timeouts for a service that is down or slow.

Load pattern: the key-value service is down for an hour, hundreds of processes have
calls waiting, and it returns with cold caches. Without backoff every process calls in a
tight loop during the outage, all of them call at the same moment when the service
returns, and it goes down again.

Waits grow exponentially and are drawn from the upper half of their bound ("equal
jitter" in Brooker, "Exponential Backoff and Jitter", 2015). His "full jitter" draws
from the whole bound and finishes a contended job a little sooner. Here the aim is few
calls in a long outage, and the lower bound of the draw limits the rate of every
process, not only the average.
"""

import random

import msgspec

__all__ = ["MAX_WAIT_SECONDS", "Backoff", "adapt_timeout"]

# The service normally answers in milliseconds, so a short disturbance is over by then.
INITIAL_WAIT_SECONDS = 0.05

# A configuration change has to be in force everywhere within 5 s (requirement); a node
# that waited longer would learn of it too late.
MAX_WAIT_SECONDS = 4.0

# A longer timeout would keep a caller waiting for an answer that is of no use any more.
MAX_TIMEOUT_SECONDS = 8.0

# An answer that took half of the timeout is close to being missed.
TIMEOUT_MARGIN = 2.0


class Backoff(msgspec.Struct):
    """Backoff state of one client of a service.

    :param failures: consecutive failed calls; calls that were in flight together count
        as one.
    :param retry_at: nothing is sent before this time.
    :param failed_at: when the last counted failure was noticed.
    """

    failures: int = 0
    retry_at: float = 0.0
    failed_at: float = float("-inf")

    def record_failure(
        self, started: float, now: float, generator: random.Random
    ) -> None:
        """Record that a call which was sent at ``started`` has failed."""
        # Ten calls in flight together fail together and count as one failure. Counted
        # as ten, a short disturbance would cause a wait of seconds.
        if started < self.failed_at:
            return
        self.failures += 1
        self.failed_at = now
        self.retry_at = now + draw_wait_seconds(self.failures, generator)

    def record_success(self) -> None:
        """Record that the service has answered."""
        self.failures = 0
        self.retry_at = 0.0

    def remaining(self, now: float) -> float:
        """Return the seconds to wait before the next call, 0 if none."""
        return max(0.0, self.retry_at - now)


def draw_wait_seconds(failures: int, generator: random.Random) -> float:
    """Return a random wait for this number of consecutive failures."""
    # The exponent is bounded: after an hour 2**failures would have hundreds of digits.
    bound = INITIAL_WAIT_SECONDS * 2 ** min(failures, 16)
    bound = min(bound, MAX_WAIT_SECONDS)
    return generator.uniform(bound / 2, bound)


def adapt_timeout(shortest: float, current: float, elapsed: float | None) -> float:
    """Return the timeout for the next call of a service that may be slow.

    With a fixed timeout, a service that has become slower than the timeout for an hour
    does all the work in vain: every call is answered too late and then repeated.

    :param shortest: timeout for a healthy service, in seconds.
    :param current: timeout of the call that has just ended.
    :param elapsed: seconds until its answer, None if it timed out.
    """
    longest = max(shortest, MAX_TIMEOUT_SECONDS)
    if elapsed is None:
        return min(current * TIMEOUT_MARGIN, longest)
    wanted = min(elapsed * TIMEOUT_MARGIN, longest)
    # Halved at most, so that one quick answer among slow ones doesn't restore a timeout
    # that the next slow one will miss.
    return max(shortest, wanted, current / 2)
