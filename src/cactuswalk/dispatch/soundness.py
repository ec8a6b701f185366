"""Judge a worker by what ends there: its pace, and whether it fails everything.

Load pattern: one worker of many turns several times slower, or fails each task
within a millisecond while it says that it is well. Its room is always free, so it
draws most of the work, and every wide job has a task there. Without this module
one bad worker decides what most callers receive.
"""

import msgspec

__all__ = ["Soundness"]

# Weight of an end in the pace. Estimates are off by some 40%; over the last 16
# ends that averages to 10%, which tells a worker that is four times slower.
PACE_GAIN = 1 / 16

# Below this many ends a pace says little, and is drawn towards 1.
PACE_PRIOR = 4

# Failures in a row, of different jobs, after which a worker is on trial. A job
# that can never be done fails everywhere; 5% of the jobs are the most that were
# seen, so that three in a row come by chance once in 8,000 ends.
FAILURES_TO_TRIAL = 3

# A worker on trial gets a task this often, so that the trial costs little.
TRIAL_SECONDS = 0.5

# Successes in a row that end a trial.
SUCCESSES_TO_TRUST = 2

# A running task counts as dragging when its progress foretells this many times
# its estimate. Estimates are off by 40%, paces by 25%: 2.0 is within the spread.
DRAG_FACTOR = 3.0


class Soundness(msgspec.Struct):
    """What one life of a worker has shown.

    :param pace: run time over estimate, averaged.
    """

    pace: float = 1.0
    ends: int = 0
    failed_jobs: list[str] = msgspec.field(default_factory=list)
    successes: int = 0
    on_trial: bool = False
    trial_at: float = 0.0

    def done(self, estimate_ms: int, ran_ms: float) -> None:
        """Take note of a task that ended well."""
        self.failed_jobs.clear()
        self.observe_pace(estimate_ms, ran_ms)
        if self.on_trial:
            self.successes += 1
            self.on_trial = self.successes < SUCCESSES_TO_TRUST

    def failed(self, job: str, now: float) -> bool:
        """Take note of a task that failed; return whether a trial begins."""
        if job not in self.failed_jobs:
            self.failed_jobs.append(job)
        if self.on_trial:
            self.successes = 0
            self.trial_at = now
            return False
        if len(self.failed_jobs) < FAILURES_TO_TRIAL:
            return False
        self._begin_trial(now)
        return True

    def stalled(self, now: float) -> bool:
        """Take note of a task that stands still; return whether a trial begins."""
        began = not self.on_trial
        self._begin_trial(now)
        return began

    def observe_pace(self, estimate_ms: int, ran_ms: float) -> None:
        """Learn from how long a task ran, or has to run by its progress."""
        if estimate_ms <= 0 or ran_ms <= 0:
            return
        self.ends += 1
        gain = max(PACE_GAIN, 1 / (self.ends + PACE_PRIOR))
        self.pace += gain * (ran_ms / estimate_ms - self.pace)

    def may_try(self, now: float) -> bool:
        """Return whether a worker on trial may be given its next task."""
        return now - self.trial_at >= TRIAL_SECONDS

    def _begin_trial(self, now: float) -> None:
        self.on_trial = True
        self.successes = 0
        self.trial_at = now
