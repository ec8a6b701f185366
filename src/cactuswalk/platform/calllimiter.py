"""The gate that every call to the key-value service goes through.

It joins the call budget and the back-off of one process, and while the service
fails it lets one call at a time through as a probe, so that its return meets
one call a process, not every call that has been waiting.
"""

import asyncio
import collections.abc
import random

from cactuswalk.decisions.backoff import Backoff, adapt_timeout
from cactuswalk.decisions.callbudget import CallBudget
from cactuswalk.platform.errors import UnavailableError

__all__ = ["CallLimiter", "CallPermit"]


class CallPermit:
    """One call on its way; ``timeout`` is what it may take."""

    __slots__ = ("probe", "started", "timeout")

    def __init__(self, started: float, timeout: float, probe: bool) -> None:
        self.started = started
        self.timeout = timeout
        self.probe = probe


class CallLimiter:
    """Let calls pass as budget and back-off allow.

    :param shortest_timeout: time-out of a call while the service is well.
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
        """Wait for a passage; the call itself may then run past the deadline.

        :raises UnavailableError: if there is none before the deadline; then
            nothing has been sent.
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
        """Take note that a call was answered."""
        now = self.clock()
        self.timeout = adapt_timeout(
            self.min_timeout, permit.timeout, now - permit.started
        )
        if self.backoff.failures:
            self.budget.shrink(now)
        self.backoff.record_success()
        self._end_probe(permit)

    def record_failure(self, permit: CallPermit, timed_out: bool) -> None:
        """Take note that a call was not answered."""
        now = self.clock()
        if timed_out:
            self.timeout = adapt_timeout(self.min_timeout, permit.timeout, None)
        self.backoff.record_failure(permit.started, now, self.generator)
        self._end_probe(permit)

    def release(self, permit: CallPermit) -> None:
        """Take note that nobody waits for a call's answer any more."""
        self._end_probe(permit)

    def _end_probe(self, permit: CallPermit) -> None:
        # Ended once only: by the second time the probe may be another call's.
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
            "no call to the key-value service was possible in time:"
            f" {self.backoff.failures} failures in a row",
            "Wait for the service to answer; if it does, the call budget of"
            " this process is too small for what it is asked to do.",
        )


# A watch waits without a deadline, and a timer can't be set to infinity.
MAX_SLEEP_SECONDS = 60.0
