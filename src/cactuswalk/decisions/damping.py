"""Flap damping: suppress a worker that repeatedly dies and returns.

Load pattern: a host reboots in a loop, or its agent is killed for lack of memory again
and again. Each new process starts on trial, is given all its slots within a second or
two under load, and loses its running tasks when it dies. Callers of tasks that may not
run twice get the outcome ``unknown`` each time.

As in route flap damping (RFC 2439), each death adds one to a penalty that decays
exponentially. Above a bound the worker is suppressed until the penalty has decayed. An
occasional replacement or crash is never suppressed, and a planned stop doesn't count as
a death.
"""

import math

import msgspec

__all__ = ["FlapDamping"]

# With these values the third death within a minute or two suppresses a worker. On an
# ordinary day 85 of the planned 8,300 hosts fail, so two deaths in this time are not a
# coincidence.
HALF_LIFE_SECONDS = 60.0
SUPPRESS_ABOVE = 2.0
REUSE_AT = 1.0

# Limits suppression to five minutes, as long as the longest ejection.
MAX_PENALTY = 32.0

# What is left of one death's penalty after five half-lives.
FORGET_BELOW = 1 / 32


class FlapDamping(msgspec.Struct):
    """The penalties of a cell's workers, each as of the worker's last death."""

    penalties: dict[str, tuple[float, float]] = msgspec.field(default_factory=dict)

    def penalty(self, worker: str, now: float) -> float:
        """Return the current, decayed penalty of a worker."""
        penalty, died_at = self.penalties.get(worker, (0.0, now))
        return penalty * 0.5 ** ((now - died_at) / HALF_LIFE_SECONDS)

    def record_death(self, worker: str, now: float) -> None:
        """Record that a worker has died without a planned stop."""
        penalty = min(MAX_PENALTY, self.penalty(worker, now) + 1)
        self.penalties[worker] = (penalty, now)
        self._forget(now)

    def suppressed_until(self, worker: str, now: float) -> float:
        """Return until when a worker is suppressed; ``now`` if it is not."""
        penalty = self.penalty(worker, now)
        if penalty < SUPPRESS_ABOVE:
            return now
        return now + HALF_LIFE_SECONDS * math.log2(penalty / REUSE_AT)

    def _forget(self, now: float) -> None:
        """Delete decayed penalties, since new worker names appear without end."""
        for worker in list(self.penalties):
            if self.penalty(worker, now) < FORGET_BELOW:
                del self.penalties[worker]
