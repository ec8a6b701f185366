"""Limiter that every call to the key-value service passes through.

It combines the call budget and the back-off of one process. While the service
fails, it permits one call at a time as a probe. A service that recovers therefore
receives one call from each process instead of all waiting calls at once.
"""

import asyncio
import collections.abc
import random

from cactuswalk.decisions.backoff import Backoff, adapt_timeout
from cactuswalk.decisions.callbudget import CallBudget
from cactuswalk.platform.errors import UnavailableError

__all__ = ["CallLimiter", "CallPermit"]


class CallPermit:
    """Permission for one call; ``timeout`` is the call's timeout in seconds."""

    __slots__ = ("probe", "started", "timeout")

    def __init__(self, started: float, timeout: float, probe: bool) -> None:
        self.started = started
        self.timeout = timeout
        self.probe = probe


class CallLimiter:
    """Permits calls as budget and back-off allow.

    :param min_timeout: seconds for a call while the service is healthy; raised
        while calls time out.
    :param count: called with the name of a counter to increment.
    """

    def __init__(
        self,
        budget: CallBudget,
        min_timeout: float,
        clock: collections.abc.Callable[[], float],
        generator: random.Random,
        count: collections.abc.Callable[[str], None],
    ) -> None:
        self.budget = budget
        self.backoff = Backoff()
        self.min_timeout = min_timeout
        self.timeout = min_timeout
        self.clock = clock
        self.generator = generator
        self.count = count
        self.probing = False
        self.probe_ended = asyncio.Event()

    async def acquire(self, cost: float, deadline: float) -> CallPermit:
        """Wait for a permit; the call itself may then run past the deadline.

        :raises UnavailableError: if there is no permit before the deadline;
            nothing has been sent then.
        """
        while True:
            now = self.clock()
            if now >= deadline:
                self._refuse()
            if self.probing:
                await self._wait_for_probe(deadline - now)
                continue
            pause = max(self.backoff.remaining(now), self.budget.remaining(cost, now))
            if pause <= 0:
                break
            if now + pause >= deadline:
                self._refuse()
            await asyncio.sleep(pause)
        self.budget.spend(cost, now)
        self.probing = self.backoff.failures > 0
        return CallPermit(now, self.timeout, self.probing)

    def record_success(self, permit: CallPermit) -> None:
        """Record that a call was answered."""
        now = self.clock()
        self.timeout = adapt_timeout(
            self.min_timeout, permit.timeout, now - permit.started
        )
        if self.backoff.failures:
            self.budget.shrink(now)
        self.backoff.record_success()
        self._end_probe(permit)

    def record_failure(self, permit: CallPermit, timed_out: bool) -> None:
        """Record that a call was not answered."""
        now = self.clock()
        if timed_out:
            self.timeout = adapt_timeout(self.min_timeout, permit.timeout, None)
        self.backoff.record_failure(permit.started, now, self.generator)
        self._end_probe(permit)

    def release(self, permit: CallPermit) -> None:
        """Give a permit back without a result; does nothing after a result."""
        self._end_probe(permit)

    def _end_probe(self, permit: CallPermit) -> None:
        # A permit ends its probe only once; later the probe may be another call's.
        if permit.probe:
            permit.probe = False
            self.probing = False
            self.probe_ended.set()
            self.probe_ended = asyncio.Event()

    async def _wait_for_probe(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(min(seconds, MAX_SLEEP_SECONDS)):
                await self.probe_ended.wait()
        except TimeoutError:
            return

    def _refuse(self) -> None:
        self.count("platform.held_back")
        raise UnavailableError(
            "no call to the key-value service was permitted before the deadline:"
            f" {self.backoff.failures} failures in a row",
            "Wait for the service to answer. If it does answer, the call budget of"
            " this process is too small for its load.",
        )


# A watch has an infinite deadline, which a timer can't be set to.
MAX_SLEEP_SECONDS = 60.0
