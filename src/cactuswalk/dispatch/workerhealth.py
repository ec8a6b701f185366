"""Judge a worker by what ends there: its pace, and whether it fails everything.

Load pattern: one worker of many turns several times slower, or fails each task
within a millisecond while it says that it is well. Its room is always free, so it
draws most of the work, and every wide job has a task there. Without this module
one bad worker decides what most callers receive.
"""

import statistics

import msgspec

__all__ = [
    "MIN_PROGRESS_SECONDS",
    "Progress",
    "WorkerHealth",
    "pace_from_progress",
    "recent_speed",
    "should_move",
]

# Weight of an end in the pace. Estimates are off by some 40%; over the last 16
# ends that averages to 10%, which tells a worker that is four times slower.
PACE_GAIN = 1 / 16

# Below this many ends a pace says little, and is drawn towards 1.
PACE_PRIOR_SAMPLES = 4

# Failures in a row, of different jobs, after which a worker is on trial. A job that can
# never be done fails everywhere; where a few of a hundred are such, three in a row are
# rarely chance.
FAILURES_BEFORE_TRIAL = 3

# A worker on trial gets a task this often, so that the trial costs little.
TRIAL_SECONDS = 0.5

# Successes in a row that end a trial.
SUCCESSES_TO_END_TRIAL = 2

# A worker drags when the progress of what it runs foretells this many times the
# run times that it has shown so far. Estimates are off by 40%, and three tasks of
# two jobs average that to a quarter.
SLOWDOWN_FACTOR = 3.0
MIN_SLOWDOWN_TASKS = 3
# Where callers' estimates are twice too long all paces are low, and what still runs
# at any moment is the longer part of the tasks: by the pace alone sound workers would
# be taken for slow.
MIN_PACE = 0.8
MIN_SLOWDOWN_JOBS = 2

# A task that takes less than this part of its worker's pace tells that the worker
# has recovered: a slow one gets one task at a time, and three of them must do.
RECOVERED_RATIO = 0.5
RECOVERY_GAIN = 0.5

# Progress says little before a task has run for this long, in seconds.
MIN_PROGRESS_SECONDS = 0.1

# A task is moved off a dragging worker if it would run there for this many times
# its estimate yet: anywhere else it is done sooner, though it starts anew.
MOVE_FACTOR = 2.0


class Progress(msgspec.Struct):
    """How far a running task is.

    :param seconds: for which it has run.
    :param percent: of its work that is done.
    :param speed: lately, in percent a second; 0 where that is not known yet.
    """

    job: str
    estimate_ms: int
    seconds: float
    percent: int
    speed: float = 0.0

    @property
    def total_ms(self) -> float:
        """How long all of it would take, at the speed that it has lately."""
        speed = self.speed or max(1, self.percent) / self.seconds
        return 100 / speed * 1000

    @property
    def remaining_ms(self) -> float:
        """How long it will run yet, at the speed that it has lately."""
        return self.total_ms * (100 - self.percent) / 100


def recent_speed(percent: int, seconds: float) -> float:
    """Return the speed of a run that went on by so much, in percent a second.

    Whole percents are listed, so that up to one more may have been done.
    """
    return (percent + 1) / seconds


def pace_from_progress(tasks: list[Progress]) -> float:
    """Return what the running tasks' progress says of a worker's pace.

    A worker that turns several times slower ends nothing for a while, so that its
    ends tell of it last; and what its tasks had done before would hide it for seconds,
    so that their speed counts which they have lately. 0 where there is too little to
    go by: a single job may be slow by itself, wherever it runs.
    """
    told = [
        task
        for task in tasks
        if task.seconds >= MIN_PROGRESS_SECONDS and task.estimate_ms > 0
    ]
    if len(told) < MIN_SLOWDOWN_TASKS:
        return 0.0
    if len({task.job for task in told}) < MIN_SLOWDOWN_JOBS:
        return 0.0
    return statistics.median(task.total_ms / task.estimate_ms for task in told)


def should_move(task: Progress) -> bool:
    """Return whether a task on a dragging worker is better begun elsewhere."""
    if task.seconds < MIN_PROGRESS_SECONDS:
        return False
    return task.remaining_ms > MOVE_FACTOR * task.estimate_ms


class WorkerHealth(msgspec.Struct):
    """What one life of a worker has shown.

    :param pace: run time over estimate, averaged.
    :param drags: it turned far slower, and no task has shown yet that it recovered.
    :param trial_started_at: when it was put on trial.
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
        """Whether it gets a task only now and then, to see how it does."""
        return self.on_trial or self.is_slow

    def record_success(self, estimate_ms: int, ran_ms: float, began: float) -> None:
        """Take note of a task that ended well.

        A run that began before the worker turned bad tells nothing of it now: two
        such ends would stop the trial, and the next jobs fail there.

        :param began: when it started to run, by the agent's clock.
        """
        self.failed_jobs.clear()
        self.update_pace(estimate_ms, ran_ms)
        if self.on_trial and began >= self.trial_started_at:
            self.successes += 1
            self.on_trial = self.successes < SUCCESSES_TO_END_TRIAL

    def record_failure(self, job: str, now: float) -> bool:
        """Take note of a task that failed; return whether a trial begins."""
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
        """Take note of a task that stands still; return whether a trial begins."""
        began = not self.on_trial
        self._begin_trial(now)
        return began

    def update_pace(self, estimate_ms: int, ran_ms: float) -> None:
        """Learn from how long a task ran, or has to run by its progress."""
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
        """Return whether progress foretells a worker far slower than it was.

        Its pace is then taken for what is foretold, until ends show another.
        """
        if expected_pace <= SLOWDOWN_FACTOR * max(self.pace, MIN_PACE):
            return False
        self.pace = expected_pace
        self.is_slow = True
        return True

    def can_try(self, now: float) -> bool:
        """Return whether a worker on trial may be given its next task."""
        return now - self.last_trial_at >= TRIAL_SECONDS

    def _begin_trial(self, now: float) -> None:
        self.on_trial = True
        self.successes = 0
        self.trial_started_at = self.last_trial_at = now
