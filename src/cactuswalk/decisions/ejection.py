"""Keep work away from a worker that fails, hangs or drags, and try it again.

Load pattern: a worker fails everything within a millisecond. Its slots are always
free, so whoever sends work to the least loaded worker sends it nearly everything:
a black hole. Another freezes, or turns ten times slower, and every large job has
one task there that holds up its answer. Without this, one bad worker of eleven
decides what most callers receive.

A worker is ejected after a run of failures from several jobs, a longer one the more
often the others fail as well; where they mostly fail it is the requests or something
behind all of them, and ejecting would only take capacity away. What a caller brings
about, by cancelling or by a deadline that was too tight, does not count.

An ejected worker comes back on trial, with one slot, and earns a slot with each
success (slow start: a cold worker is not flooded). A failure on trial sends it away
for twice as long. One that hangs gets nothing new until something ends there; one
that drags keeps a single slot, as a probe.
"""

import math

import msgspec

__all__ = ["GREATEST_EJECTED_PART", "Health", "HealthEvent", "blames_worker"]

# A run of failures ejects if it would come by chance less than once in so many tasks,
# were the worker no worse than the others. And at least the second figure, since the
# others' rate is known only roughly.
CHANCE_OF_RUN = 1e-5
FEWEST_FAILURES_TO_EJECT = 5

# They must come from this many jobs: one job whose tasks all fail says something
# about the job.
JOBS_TO_EJECT = 3

# Others failing more often than this means that the worker is not the cause.
OTHERS_FAILING = 0.5

# Below this rate of failures elsewhere, one failure on trial is enough.
RARE_FAILURES = 0.1

# At most this part of a service's workers may be ejected at a time. A rack of
# today is 3 of 11 workers.
GREATEST_EJECTED_PART = 0.34

# Time away: doubles with each failed trial. The first lets a restart pass; the
# last costs one failed task in five minutes.
FIRST_EJECTION_SECONDS = 5.0
LONGEST_EJECTION_SECONDS = 300.0

# Weight of an outcome in a worker's failure rate and relative run time: a memory
# of some 16 tasks, two rounds of its 8 slots.
OUTCOME_GAIN = 1 / 16

# A worker drags when its tasks take this many times what was expected of them, and
# has recovered below the lower bound. Heavy-tailed run times with a deviation as
# large as the mean put the average of 16 within 1.75 in all but 0.1% of cases.
DRAG_RATIO = 4.0
RECOVERED_RATIO = 2.0
TASKS_TO_JUDGE_DRAG = 8

# A worker hangs when it runs at least two tasks and none has ended for this many
# times the mean run time, and at least the brief's "several seconds".
HANG_RUN_TIMES = 10.0
LEAST_HANG_SECONDS = 3.0

# A failure this close to the deadline was brought about by it: an agent gives up a
# call at the deadline, and its word takes a message to come.
DEADLINE_TOLERANCE_SECONDS = 0.1

# Pause after repeated declines: doubles from the second in a row. A worker whose
# agent declines at once would otherwise be offered the same task at full speed.
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 5.0


def blames_worker(
    cancelled: bool, held: float, expected: float, deadline: float, now: float
) -> bool:
    """Return whether a failed task speaks against its worker.

    A caller that cancels, or leaves too little time, makes tasks fail on every
    worker; in a cancellation wave all of them would be ejected for it.

    :param held: how long the task held its slot, in seconds.
    :param expected: how long it was expected to, in seconds.
    """
    if cancelled:
        return False
    ended_by_deadline = now >= deadline - DEADLINE_TOLERANCE_SECONDS
    return not ended_by_deadline or held >= DRAG_RATIO * expected


class HealthEvent(msgspec.Struct):
    """What the others of the service look like when a worker is judged.

    :param others_failing: mean failure rate of the other workers.
    :param ejected_part: of the service's workers, were this one ejected too.
    """

    others_failing: float
    ejected_part: float


class Health(msgspec.Struct, eq=False):
    """What is known of a worker's health.

    :param allowance: slots that it may use while it is on trial; None for all.
    :param drag: its run times relative to what was expected of them.
    """

    failures: int = 0
    failed_jobs: set[str] = msgspec.field(default_factory=set)
    failing: float = 0.0
    drag: float = 1.0
    judged: int = 0
    dragging: bool = False
    ejected_until: float = 0.0
    ejections: int = 0
    allowance: int | None = None
    declines: int = 0
    paused_until: float = 0.0
    last_end: float = 0.0

    @property
    def on_trial(self) -> bool:
        """Return whether the worker still has to prove itself."""
        return self.allowance is not None

    def away(self, now: float) -> str:
        """Return why the worker gets nothing now, an empty text if it may."""
        if now < self.ejected_until:
            return f"ejected for {self.ejected_until - now:.1f} s more"
        if now < self.paused_until:
            return f"declined {self.declines} starts in a row"
        return ""

    def slots(self, slots: int) -> int:
        """Return how many of its slots may be used."""
        if self.dragging:
            return min(slots, 1)
        return slots if self.allowance is None else min(slots, self.allowance)

    def hangs(self, running: int, oldest_start: float, mean: float, now: float) -> bool:
        """Return whether nothing has ended for suspiciously long."""
        if running < 2:
            return False
        silent = now - max(self.last_end, oldest_start)
        return silent > max(LEAST_HANG_SECONDS, HANG_RUN_TIMES * mean)

    def begin_trial(self) -> None:
        """Start with one slot; successes earn the others."""
        self.allowance = 1

    def succeed(self, relative_time: float, slots: int, now: float) -> None:
        """Take note of a success that took so many times what was expected."""
        self.failures = 0
        self.failed_jobs.clear()
        self.failing -= OUTCOME_GAIN * self.failing
        self.declines = 0
        self.last_end = now
        self.judged += 1
        self.drag += OUTCOME_GAIN * (relative_time - self.drag)
        if self.judged >= TASKS_TO_JUDGE_DRAG:
            bound = RECOVERED_RATIO if self.dragging else DRAG_RATIO
            self.dragging = self.drag > bound
        if self.allowance is not None:
            self.allowance += 1
            if self.allowance >= slots:
                self.allowance = None
                self.ejections = 0

    def fail(self, submission: str, others: HealthEvent, now: float) -> bool:
        """Take note of a failure; return whether the worker is now ejected."""
        self.failures += 1
        self.last_end = now
        self.failing += OUTCOME_GAIN * (1 - self.failing)
        if len(self.failed_jobs) < JOBS_TO_EJECT:
            self.failed_jobs.add(submission)
        if others.others_failing > OTHERS_FAILING:
            return False
        if others.ejected_part > GREATEST_EJECTED_PART:
            return False
        if not self.has_failed_trial(others) and not self.has_failed_often(others):
            return False
        self.eject(now)
        return True

    def has_failed_often(self, others: HealthEvent) -> bool:
        """Return whether failures in a row, of enough jobs, speak against it."""
        if len(self.failed_jobs) < JOBS_TO_EJECT:
            return False
        return self.failures >= failures_to_eject(others.others_failing)

    def has_failed_trial(self, others: HealthEvent) -> bool:
        """Return whether a worker on trial has failed more than others do."""
        return self.on_trial and others.others_failing < RARE_FAILURES

    def eject(self, now: float) -> None:
        """Send the worker away, longer each time, to return on trial."""
        away = FIRST_EJECTION_SECONDS * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(LONGEST_EJECTION_SECONDS, away)
        self.ejections += 1
        self.failures = 0
        self.failed_jobs.clear()
        self.begin_trial()

    def decline(self, now: float) -> None:
        """Take note of a start that was declined."""
        self.declines += 1
        if self.declines < 2:
            return
        pause = FIRST_PAUSE_SECONDS * 2 ** min(self.declines - 2, 10)
        self.paused_until = now + min(LONGEST_PAUSE_SECONDS, pause)


def failures_to_eject(others_failing: float) -> int:
    """Return how many failures in a row are no chance, given the others' rate."""
    rate = min(OTHERS_FAILING, max(1e-3, others_failing))
    by_chance = math.ceil(math.log(CHANCE_OF_RUN) / math.log(rate))
    return max(FEWEST_FAILURES_TO_EJECT, by_chance)
