"""Correct declared run times and memory sizes by observation.

Load pattern: callers declare run times that are off by a factor of ten, or none; usage
reports arrive late. Without correction the queue looks ten times longer than it is, and
everything is refused while slots are idle; or ten times shorter, and work is accepted
that can't be answered in time.

A declared time is compared on a logarithmic scale with what callers usually declare,
and weighted by how well declarations have recently predicted run times: the slope of a
running regression. If all callers are off by the same factor, the factor cancels out.
If declarations carry no information, the slope goes to zero and the mean run time
remains.
"""

import math

import msgspec

__all__ = ["DurationEstimate", "SizeEstimate"]

# Initial mean run time. The middle of the required range of 50 ms to 1 s is 223 ms on a
# logarithmic scale; the mean is above it because of the tail of several seconds.
PRIOR_SECONDS = 0.3

# Initially a declaration has a weight of one half, as if callers' errors varied as much
# as the run times themselves.
PRIOR_VARIANCE = 1.0
PRIOR_COVARIANCE = 0.5

# Weight of a new observation. 1/128 follows a change within about 128 tasks, half a
# second at the current task rate, and keeps the sampling error of a mean whose
# deviation equals the mean near 6%.
GAIN = 1 / 128

# Number of observations that the prior counts as.
PRIOR_WEIGHT = 8

# Declarations are informative if they explain more than this part of the variance. At a
# quarter, a task declared four times the mean is longer than the mean in about two of
# three cases.
MIN_EXPLAINED_VARIANCE = 0.25


# For a queue whose tasks are all of one kind: run times and declarations vary by some
# 40%, and a declaration explains half of a task's own deviation.
UNIFORM_VARIANCE = 0.16
UNIFORM_COVARIANCE = 0.08


class DurationEstimate(msgspec.Struct):
    """Predicts the run times of one service's tasks, in seconds.

    Log means, variances and the covariance are of logarithms of seconds.

    :param mean: moving average of run times, in seconds.
    :param observed: number of tasks observed.
    """

    mean: float = PRIOR_SECONDS
    run_log_mean: float = math.log(PRIOR_SECONDS)
    declared_log_mean: float = math.log(PRIOR_SECONDS)
    run_variance: float = PRIOR_VARIANCE
    declared_variance: float = PRIOR_VARIANCE
    covariance: float = PRIOR_COVARIANCE
    observed: int = 0

    @classmethod
    def for_uniform_tasks(cls, declared_ms: int) -> "DurationEstimate":
        """Return the initial estimate for a queue whose tasks are of one kind.

        The first declaration is the best available estimate. Without it a process that
        has just started would predict 0.4 s for tasks of 1.8 s, and would refuse them
        only when even a task of 0.4 s could not finish in time.
        """
        if declared_ms <= 0:
            return cls()
        seconds = declared_ms / 1000
        return cls(
            mean=seconds,
            run_log_mean=math.log(seconds),
            declared_log_mean=math.log(seconds),
            run_variance=UNIFORM_VARIANCE,
            declared_variance=UNIFORM_VARIANCE,
            covariance=UNIFORM_COVARIANCE,
        )

    def predict(self, declared_ms: int) -> float:
        """Return the expected run time of a task, in seconds."""
        if declared_ms <= 0:
            return self.mean
        slope = self.slope
        distance = math.log(declared_ms / 1000) - self.declared_log_mean
        # The mean of exp(slope * distance) over log-normal declarations; without this
        # term the predictions would be too long on average.
        spread = slope * slope * self.declared_variance / 2
        return self.mean * math.exp(slope * distance - spread)

    @property
    def slope(self) -> float:
        """Return the weight of a declaration, from 0 to 1."""
        if self.declared_variance < 1e-6:
            return 0.0
        return min(1.0, max(0.0, self.covariance / self.declared_variance))

    @property
    def has_informative_declarations(self) -> bool:
        """Return whether declared times have recently predicted run times."""
        variances = self.declared_variance * self.run_variance
        if variances < 1e-9 or self.covariance <= 0:
            return False
        return self.covariance**2 / variances > MIN_EXPLAINED_VARIANCE

    def observe(self, declared_ms: int, seconds: float) -> None:
        """Update the estimate from a task that succeeded."""
        seconds = max(seconds, 0.001)
        self.observed += 1
        gain = max(GAIN, 1 / (self.observed + PRIOR_WEIGHT))
        self.mean += gain * (seconds - self.mean)
        run_deviation = math.log(seconds) - self.run_log_mean
        self.run_log_mean += gain * run_deviation
        self.run_variance += gain * (run_deviation**2 - self.run_variance)
        if declared_ms <= 0:
            return
        declared_deviation = math.log(declared_ms / 1000) - self.declared_log_mean
        self.declared_log_mean += gain * declared_deviation
        self.declared_variance += gain * (
            declared_deviation**2 - self.declared_variance
        )
        self.covariance += gain * (run_deviation * declared_deviation - self.covariance)


# The estimate rises four times as fast as it falls: too little memory kills tasks,
# while idle memory only delays some.
SIZE_GAIN_UP = 1 / 8
SIZE_GAIN_DOWN = 1 / 32
MIN_SIZE_FACTOR = 0.25
MAX_SIZE_FACTOR = 10.0


class SizeEstimate(msgspec.Struct):
    """Corrects the declared memory of one service by usage reports."""

    factor: float = 1.0

    def predict(self, declared_mb: int) -> float:
        """Return the memory to reserve, in megabytes."""
        return declared_mb * self.factor

    def observe(self, declared_mb: int, used_mb: float) -> None:
        """Update the factor from a worker's usage report.

        :param declared_mb: declared memory of the tasks that ran there.
        :param used_mb: memory that they used.
        """
        if declared_mb <= 0:
            return
        ratio = used_mb / declared_mb
        gain = SIZE_GAIN_UP if ratio > self.factor else SIZE_GAIN_DOWN
        moved = self.factor + gain * (ratio - self.factor)
        self.factor = min(MAX_SIZE_FACTOR, max(MIN_SIZE_FACTOR, moved))
