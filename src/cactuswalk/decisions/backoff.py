"""Back off from a service that is away or slow, so that nothing stampedes.

The load pattern: the key-value service is away for an hour, hundreds of
processes have calls waiting, and it comes back with its caches cold. Without
this module every process calls in a tight loop while it is away, all of them
hit it in the same moment when it returns, and it goes away again.

Waits grow exponentially and are drawn at random from the upper half of their
bound ("equal jitter" in Brooker, "Exponential Backoff and Jitter", 2015). His
"full jitter" draws from the whole bound, which finishes a contended job a
little sooner; here the aim is few calls in a long outage, and the lower bound
of the draw gives a limit that holds for every process and not on average.
"""

import random

import msgspec

__all__ = ["MAX_WAIT_SECONDS", "Backoff", "adapt_timeout"]

# The service answers in milliseconds (brief), so one blip is over by then.
INITIAL_WAIT_SECONDS = 0.05

# A change of the configuration has to be in force everywhere within 5 s
# (brief); a node that waited longer than that would hear of it too late.
MAX_WAIT_SECONDS = 4.0

# A longer time-out would keep a caller waiting past any use of the answer.
MAX_TIMEOUT_SECONDS = 8.0

# An answer that took half of the time-out is close to not being heard.
TIMEOUT_MARGIN = 2.0


class Backoff(msgspec.Struct):
    """How long to leave a service alone; one for each client of it.

    :param failures: calls that failed in a row, counted once for calls that
        were under way together.
    :param retry_at: before then nothing is sent.
    :param failed_at: when the last counted failure was noticed.
    """

    failures: int = 0
    retry_at: float = 0.0
    failed_at: float = float("-inf")

    def record_failure(
        self, started: float, now: float, generator: random.Random
    ) -> None:
        """Take note that a call which was sent at ``started`` has failed."""
        # Ten calls that were under way together fail together: that is one
        # failure. Counted as ten, one blip would be waited out for seconds.
        if started < self.failed_at:
            return
        self.failures += 1
        self.failed_at = now
        self.retry_at = now + draw_wait_seconds(self.failures, generator)

    def record_success(self) -> None:
        """Take note that the service has answered."""
        self.failures = 0
        self.retry_at = 0.0

    def remaining(self, now: float) -> float:
        """Return the seconds to wait before the next call, 0 for none."""
        return max(0.0, self.retry_at - now)


def draw_wait_seconds(failures: int, generator: random.Random) -> float:
    """Return how long to wait after so many failures in a row."""
    # The exponent is bounded: after an hour 2**failures would be a number of
    # hundreds of digits.
    bound = INITIAL_WAIT_SECONDS * 2 ** min(failures, 16)
    bound = min(bound, MAX_WAIT_SECONDS)
    return generator.uniform(bound / 2, bound)


def adapt_timeout(shortest: float, current: float, elapsed: float | None) -> float:
    """Return the time-out for the next call of a service that may be slow.

    With a fixed time-out a service that has become slower than it for an hour
    does all the work and is never heard: each call is answered to nobody and
    then made again.

    :param shortest: the time-out for a service in good health.
    :param current: the time-out of the call that has just ended.
    :param elapsed: seconds that its answer took, None if it timed out.
    """
    longest = max(shortest, MAX_TIMEOUT_SECONDS)
    if elapsed is None:
        return min(current * TIMEOUT_MARGIN, longest)
    wanted = min(elapsed * TIMEOUT_MARGIN, longest)
    # Halved at most, so that one quick answer among slow ones doesn't bring
    # back a time-out that the next slow one will miss.
    return max(shortest, wanted, current / 2)
