"""Correct declared run times and sizes by what is observed, with a lag.

Load pattern: callers declare run times that are ten times wrong, or none; usage
reports are late. Without this, a queue looks ten times longer than it is, and
everything is refused while slots stand idle, or ten times shorter, and work is
accepted that can't be answered in time.

Two predictors run side by side for each service: the declared time times a
learned factor, which is right when callers are wrong alike, and the plain mean,
which is right when declarations carry no information. The one with the smaller
recent error is used.
"""

import math

import msgspec

__all__ = ["DurationEstimate", "SizeEstimate"]

# Before anything is observed: the middle of the brief's 50 ms to 1 s, on its
# logarithmic scale (223 ms), and a mean above it for the tail of several seconds.
PRIOR_SECONDS = 0.3

# Weight of a new observation once the estimate is warm. 1/64 follows a change
# within about 64 tasks, a quarter of a second at today's rates, and holds the
# sampling error of a heavy-tailed mean (deviation about the mean) near 12%.
GAIN = 1 / 64

# A declared time is believed within this factor after correction: one absurd
# declaration must not decide an admission by itself.
WIDEST_CORRECTION = 100.0


class DurationEstimate(msgspec.Struct):
    """Predicts the run times of one service's tasks, in seconds."""

    mean: float = PRIOR_SECONDS
    factor: float = 1.0
    error_of_mean: float = 0.0
    error_of_declared: float = 0.0
    observed: int = 0

    def predict(self, declared_ms: int) -> float:
        """Return the run time to reckon with, in seconds."""
        if declared_ms <= 0 or self.error_of_declared > self.error_of_mean:
            return self.mean
        return declared_ms / 1000 * self.factor

    @property
    def declarations_help(self) -> bool:
        """Return whether declared times have lately beaten the plain mean."""
        return self.observed > 1 and self.error_of_declared < self.error_of_mean

    def observe(self, declared_ms: int, seconds: float) -> None:
        """Learn from a task that succeeded.

        Errors are compared on a logarithmic scale, on which ten times too long
        is as wrong as ten times too short.
        """
        seconds = max(seconds, 0.001)
        self.observed += 1
        gain = max(GAIN, 1 / (self.observed + 1))
        off_mean = abs(math.log(seconds / self.mean))
        self.error_of_mean += gain * (off_mean - self.error_of_mean)
        self.mean += gain * (seconds - self.mean)
        if declared_ms <= 0:
            return
        declared = declared_ms / 1000
        off_declared = abs(math.log(seconds / (declared * self.factor)))
        self.error_of_declared += gain * (off_declared - self.error_of_declared)
        ratio = math.log(seconds / declared)
        learned = math.log(self.factor)
        learned += gain * (ratio - learned)
        limit = math.log(WIDEST_CORRECTION)
        self.factor = math.exp(min(limit, max(-limit, learned)))


# A reservation follows use upwards four times as fast as downwards: memory that
# is missing kills tasks, memory that lies idle only delays some.
SIZE_GAIN_UP = 1 / 8
SIZE_GAIN_DOWN = 1 / 32
LEAST_SIZE_FACTOR = 0.25
GREATEST_SIZE_FACTOR = 10.0


class SizeEstimate(msgspec.Struct):
    """Corrects the declared memory of one service by late usage reports."""

    factor: float = 1.0

    def predict(self, declared_mb: int) -> float:
        """Return the memory to reserve, in megabytes."""
        return declared_mb * self.factor

    def observe(self, declared_mb: int, used_mb: float) -> None:
        """Learn from a report on a worker: what ran there had declared so much."""
        if declared_mb <= 0:
            return
        ratio = used_mb / declared_mb
        gain = SIZE_GAIN_UP if ratio > self.factor else SIZE_GAIN_DOWN
        moved = self.factor + gain * (ratio - self.factor)
        self.factor = min(GREATEST_SIZE_FACTOR, max(LEAST_SIZE_FACTOR, moved))
