"""Hold back a worker that dies and comes back over and over.

Load pattern: a host reboots in a loop, or its agent is killed again and again for
want of memory. Each life is new to the owner, begins on trial, earns its slots within
a second or two under load, and takes with it what runs when it dies. Callers of tasks
that may not run twice are told ``unknown`` each time.

Flap damping as routers do it (RFC 2439): each death adds one to a penalty that halves
with time, and above a bound the worker gets nothing until the penalty has decayed. A
replacement or a crash now and then is never held back. A planned stop is no death.
"""

import math

import msgspec

__all__ = ["FlapDamping"]

# The third death within a minute or two holds a worker back. 85 of 8,300 hosts fail
# on the target's ordinary day, so that two in this time are no chance.
HALF_LIFE_SECONDS = 60.0
SUPPRESS_ABOVE = 2.0
REUSE_AT = 1.0

# The longest hold is that of an ejection, five minutes.
MAX_PENALTY = 32.0

# A penalty that is below this is that of one death five half-lives ago.
FORGET_BELOW = 1 / 32


class FlapDamping(msgspec.Struct):
    """The penalties of a cell's workers, each as it was at its last death."""

    penalties: dict[str, tuple[float, float]] = msgspec.field(default_factory=dict)

    def penalty(self, worker: str, now: float) -> float:
        """Return what is left of a worker's penalty."""
        penalty, died_at = self.penalties.get(worker, (0.0, now))
        return penalty * 0.5 ** ((now - died_at) / HALF_LIFE_SECONDS)

    def record_death(self, worker: str, now: float) -> None:
        """Take note that a life of a worker has ended, and not as planned."""
        penalty = min(MAX_PENALTY, self.penalty(worker, now) + 1)
        self.penalties[worker] = (penalty, now)
        self._forget(now)

    def suppressed_until(self, worker: str, now: float) -> float:
        """Return until when a worker that is back gets nothing; now if it may."""
        penalty = self.penalty(worker, now)
        if penalty < SUPPRESS_ABOVE:
            return now
        return now + HALF_LIFE_SECONDS * math.log2(penalty / REUSE_AT)

    def _forget(self, now: float) -> None:
        """Drop what no longer counts: names of workers come and go for ever."""
        for worker in list(self.penalties):
            if self.penalty(worker, now) < FORGET_BELOW:
                del self.penalties[worker]
