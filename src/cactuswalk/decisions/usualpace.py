"""A worker's usual run times relative to the callers' estimates.

Load pattern: estimates are off by 40%, and one job in thirty takes seven times as long
as usual, with all of its tasks. An average of the ratios changes by half when a few
tasks of such a job end: a fast worker looks slow for seconds, and a slow one like the
others.

So this average is of logarithms, and a run counts as at most a limited deviation.
"""

import math

import msgspec

__all__ = ["UsualPace", "pace_of_most_jobs"]

# Weight of one run. Estimates are off by 40%; over the last 32 runs the error is 7%,
# while slow workers take twice as long as others.
GAIN = 1 / 32

# With fewer samples than this the pace is kept close to 1.
PRIOR_SAMPLES = 2

# Largest deviation of a run that counts, as a natural logarithm: 1.6 times, the limit
# up to which a job is on time. A run of seven times as long moves the pace by 1.5%.
MAX_DEVIATION = 0.5

# Running jobs from which a slowdown is predicted, at least: estimates are off by 40%.
MIN_JOBS = 3


class UsualPace(msgspec.Struct):
    """The pace of one incarnation of a worker.

    :param log_pace: mean logarithm of the ratio of run time to estimate.
    :param samples: number of runs.
    """

    log_pace: float = 0.0
    samples: int = 0

    @property
    def pace(self) -> float:
        """The usual ratio of run time to estimate."""
        return math.exp(self.log_pace)

    def record(self, estimate_ms: int, ran_ms: float) -> None:
        """Add a run that succeeded."""
        if estimate_ms <= 0 or ran_ms <= 0:
            return
        self.samples += 1
        deviation = math.log(ran_ms / estimate_ms) - self.log_pace
        gain = max(GAIN, 1 / (self.samples + PRIOR_SAMPLES))
        self.log_pace += gain * min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))


def pace_of_most_jobs(ratios: list[tuple[str, float]]) -> float:
    """Return the pace that at least three of four running jobs exceed; 0 if too few.

    The tasks of a job that takes longer than usual say the same thing several times,
    and two such jobs on a worker are no sign that the worker is slow: one that is slows
    all of its runs.

    :param ratios: job, and predicted run time relative to the estimate, of each run.
    """
    by_job: dict[str, float] = {}
    for job, ratio in ratios:
        by_job[job] = min(ratio, by_job.get(job, ratio))
    if len(by_job) < MIN_JOBS:
        return 0.0
    return sorted(by_job.values())[len(by_job) // 4]
