"""Health of a worker, derived from its run times, failures and progress.

Load pattern: one worker of many becomes several times slower, or fails each task
within a millisecond while it reports that it is healthy. Its capacity is always
free, so it attracts most of the work, and every job with many tasks has one there.
Without this module one bad worker determines the result of most jobs.
"""

import statistics

import msgspec

__all__ = [
    "MIN_PROGRESS_SECONDS",
    "MIN_SLOWDOWN_TASKS",
    "Progress",
    "WorkerHealth",
    "pace_from_progress",
    "recent_speed",
    "should_move",
]

# Weight of one run in the average pace. Estimates are off by about 40%; averaged over
# the last 16 runs the error is 10%, small enough to detect a worker that is four times
# slower.
PACE_GAIN = 1 / 16

# With fewer samples than this the average pace is unreliable, and is kept close to 1.
PACE_PRIOR_SAMPLES = 4

# Consecutive failures, of different jobs, that put a worker on trial. An impossible
# job fails on every worker; if a few in a hundred jobs are impossible, three failures
# in a row are rarely a coincidence.
FAILURES_BEFORE_TRIAL = 3

# Minimum interval between tasks for a worker on trial or a slow one; long, so that few
# tasks are at risk.
TRIAL_SECONDS = 0.5

# Consecutive successes that end a trial.
SUCCESSES_TO_END_TRIAL = 2

# A worker is slow when the progress of its running tasks predicts run times this many
# times longer than its average so far. Estimates are off by 40%; over three tasks of
# two jobs the error averages to a quarter.
SLOWDOWN_FACTOR = 3.0
MIN_SLOWDOWN_TASKS = 3
# If callers' estimates are twice too long, all paces are low, while the tasks that are
# running at any moment are mostly the longer ones: compared with the pace alone,
# healthy workers would count as slow.
MIN_PACE = 0.8
MIN_SLOWDOWN_JOBS = 2

# A run shorter than this fraction of what the worker's pace predicts shows that the
# worker has recovered. A slow worker gets one task at a time, so the pace has to
# return to normal within three tasks.
RECOVERED_RATIO = 0.5
RECOVERY_GAIN = 0.5

# The progress of a task is unreliable until it has run for this long.
MIN_PROGRESS_SECONDS = 0.1

# A task is moved off a slow worker if its remaining run time there exceeds this many
# times its estimate: it finishes sooner on any other worker, though it restarts.
MOVE_FACTOR = 2.0


class Progress(msgspec.Struct):
    """Progress of a running task.

    :param seconds: run time so far.
    :param percent: part of its work that is done.
    :param speed: recent speed, in percent per second; 0 if not measured yet.
    """

    job: str
    estimate_ms: int
    seconds: float
    percent: int
    speed: float = 0.0

    @property
    def total_ms(self) -> float:
        """Total run time at the recent speed."""
        speed = self.speed or max(1, self.percent) / self.seconds
        return 100 / speed * 1000

    @property
    def remaining_ms(self) -> float:
        """Remaining run time at the recent speed."""
        return self.total_ms * (100 - self.percent) / 100


def recent_speed(percent: int, seconds: float) -> float:
    """Return the speed of a run over an interval, in percent per second.

    Workers report whole percents, so up to one percent more may have been done.

    :param percent: progress made in the interval.
    :param seconds: length of the interval.
    """
    return (percent + 1) / seconds


def pace_from_progress(tasks: list[Progress]) -> float:
    """Return the pace that the progress of the running tasks predicts.

    A worker that becomes several times slower finishes nothing for a while, so
    finished runs show the slowdown too late. Progress made before the slowdown would
    hide it for seconds, so only the recent speed counts. Returns 0 if there are too
    few tasks or jobs: a single job may be slow on any worker.
    """
    measured = [
        task
        for task in tasks
        if task.seconds >= MIN_PROGRESS_SECONDS and task.estimate_ms > 0
    ]
    if len(measured) < MIN_SLOWDOWN_TASKS:
        return 0.0
    if len({task.job for task in measured}) < MIN_SLOWDOWN_JOBS:
        return 0.0
    return statistics.median(task.total_ms / task.estimate_ms for task in measured)


def should_move(task: Progress) -> bool:
    """Return whether a task on a slow worker should be restarted on another one."""
    if task.seconds < MIN_PROGRESS_SECONDS:
        return False
    return task.remaining_ms > MOVE_FACTOR * task.estimate_ms


class WorkerHealth(msgspec.Struct):
    """Health of one incarnation of a worker.

    :param pace: average ratio of run time to estimate.
    :param is_slow: it became far slower, and no run has shown a recovery yet.
    :param samples: number of runs in the average pace.
    :param failed_jobs: jobs whose tasks failed since the last success.
    :param successes: consecutive successes of the current trial.
    :param on_trial: it gets one task at a time until enough of them succeed.
    :param trial_started_at: when it was put on trial.
    :param last_trial_at: when the last trial task failed or, on a slow worker, started.
    """

    pace: float = 1.0
    is_slow: bool = False
    samples: int = 0
    failed_jobs: list[str] = msgspec.field(default_factory=list)
    successes: int = 0
    on_trial: bool = False
    trial_started_at: float = 0.0
    last_trial_at: float = 0.0

    @property
    def is_restricted(self) -> bool:
        """Whether it gets only an occasional task, to test whether it recovered."""
        return self.on_trial or self.is_slow

    @property
    def slow_pace(self) -> float:
        """The predicted pace above which it counts as slow."""
        return SLOWDOWN_FACTOR * max(self.pace, MIN_PACE)

    def record_success(self, estimate_ms: int, ran_ms: float, began: float) -> None:
        """Record a run that succeeded.

        A run that began before the trial doesn't count towards its end: such runs may
        still succeed on a worker that fails every new task, and would end the trial.

        :param began: when the run started, by the agent's clock.
        """
        self.failed_jobs.clear()
        self.update_pace(estimate_ms, ran_ms)
        if self.on_trial and began >= self.trial_started_at:
            self.successes += 1
            self.on_trial = self.successes < SUCCESSES_TO_END_TRIAL

    def record_failure(self, job: str, now: float) -> bool:
        """Record a run that failed; return whether a trial begins."""
        if job not in self.failed_jobs:
            self.failed_jobs.append(job)
        if self.on_trial:
            self.successes = 0
            self.last_trial_at = now
            return False
        if len(self.failed_jobs) < FAILURES_BEFORE_TRIAL:
            return False
        self._begin_trial(now)
        return True

    def record_stall(self, now: float) -> bool:
        """Record a task without progress; return whether a trial begins."""
        began = not self.on_trial
        self._begin_trial(now)
        return began

    def update_pace(self, estimate_ms: int, ran_ms: float) -> None:
        """Add the run time of a task to the average pace."""
        if estimate_ms <= 0 or ran_ms <= 0:
            return
        self.samples += 1
        ratio = ran_ms / estimate_ms
        gain = max(PACE_GAIN, 1 / (self.samples + PACE_PRIOR_SAMPLES))
        if ratio < self.pace * RECOVERED_RATIO:
            gain = RECOVERY_GAIN
            self.is_slow = False
        self.pace += gain * (ratio - self.pace)

    def detect_slowdown(self, expected_pace: float) -> bool:
        """Return whether the predicted pace shows a slowdown, and mark the worker slow.

        The predicted pace then replaces the average, until finished runs change it.
        """
        if expected_pace <= self.slow_pace:
            return False
        self.pace = expected_pace
        self.is_slow = True
        return True

    def can_try(self, now: float) -> bool:
        """Return whether enough time has passed for the next trial task."""
        return now - self.last_trial_at >= TRIAL_SECONDS

    def _begin_trial(self, now: float) -> None:
        self.on_trial = True
        self.successes = 0
        self.trial_started_at = self.last_trial_at = now
