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

__all__ = ["MAX_EJECTED_PART", "Health", "PeerHealth", "is_worker_at_fault"]

# A run of failures ejects if it would come by chance less than once in so many tasks,
# were the worker no worse than the others. And at least the second figure, since the
# others' rate is known only roughly.
MAX_CHANCE_PROBABILITY = 1e-5
MIN_FAILURES_TO_EJECT = 5

# They must come from this many jobs: one job whose tasks all fail says something
# about the job.
MIN_JOBS_TO_EJECT = 3

# Others failing more often than this means that the worker is not the cause.
MAX_PEER_FAILURE_RATE = 0.5

# Below this rate of failures elsewhere, one failure on trial is enough.
RARE_FAILURE_RATE = 0.1

# At most this part of a service's workers may be ejected at a time. A rack of
# today is 3 of 11 workers.
MAX_EJECTED_PART = 0.34

# Time away: doubles with each failed trial. The first lets a restart pass; the
# last costs one failed task in five minutes.
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 300.0

# Weight of an outcome in a worker's failure rate and relative run time: a memory
# of some 16 tasks, two rounds of its 8 slots.
OUTCOME_GAIN = 1 / 16

# A worker drags when its tasks take this many times what was expected of them, and
# has recovered below the lower bound. Heavy-tailed run times with a deviation as
# large as the mean put the average of 16 within 1.75 in all but 0.1% of cases.
SLOW_RATIO = 4.0
RECOVERED_RATIO = 2.0
MIN_TASKS_TO_JUDGE_SPEED = 8

# A worker hangs when it runs at least two tasks and none has ended for this many
# times the mean run time, and at least the brief's "several seconds".
HANG_RUN_TIMES = 10.0
MIN_HANG_SECONDS = 3.0

# A failure this close to the deadline was brought about by it: an agent gives up a
# call at the deadline, and its word takes a message to come.
DEADLINE_TOLERANCE_SECONDS = 0.1

# Pause after repeated declines: doubles from the second in a row. A worker whose
# agent declines at once would otherwise be offered the same task at full speed.
MIN_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 5.0


def is_worker_at_fault(
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
    return not ended_by_deadline or held >= SLOW_RATIO * expected


class PeerHealth(msgspec.Struct):
    """What the others of the service look like when a worker is judged.

    :param peer_failure_rate: mean failure rate of the other workers.
    :param ejected_part: of the service's workers, were this one ejected too.
    """

    peer_failure_rate: float
    ejected_part: float


class Health(msgspec.Struct, eq=False):
    """What is known of a worker's health.

    :param trial_slots: slots that it may use while it is on trial; None for all.
    :param relative_run_time: its run times relative to what was expected of them.
    """

    failures: int = 0
    failed_jobs: set[str] = msgspec.field(default_factory=set)
    failure_rate: float = 0.0
    relative_run_time: float = 1.0
    observed_tasks: int = 0
    is_slow: bool = False
    ejected_until: float = 0.0
    ejections: int = 0
    trial_slots: int | None = None
    declines: int = 0
    paused_until: float = 0.0
    last_end: float = 0.0

    @property
    def is_on_trial(self) -> bool:
        """Return whether the worker still has to prove itself."""
        return self.trial_slots is not None

    def unavailable_reason(self, now: float) -> str:
        """Return why the worker gets nothing now, an empty text if it may."""
        if now < self.ejected_until:
            return f"ejected for {self.ejected_until - now:.1f} s more"
        if now < self.paused_until:
            return f"declined {self.declines} starts in a row"
        return ""

    def usable_slots(self, slots: int) -> int:
        """Return how many of its slots may be used."""
        if self.is_slow:
            return min(slots, 1)
        return slots if self.trial_slots is None else min(slots, self.trial_slots)

    def is_hung(
        self, running: int, oldest_start: float, mean: float, now: float
    ) -> bool:
        """Return whether nothing has ended for suspiciously long."""
        if running < 2:
            return False
        silent = now - max(self.last_end, oldest_start)
        return silent > max(MIN_HANG_SECONDS, HANG_RUN_TIMES * mean)

    def begin_trial(self) -> None:
        """Start with one slot; successes earn the others."""
        self.trial_slots = 1

    def record_success(self, relative_time: float, slots: int, now: float) -> None:
        """Take note of a success that took so many times what was expected."""
        self.failures = 0
        self.failed_jobs.clear()
        self.failure_rate -= OUTCOME_GAIN * self.failure_rate
        self.declines = 0
        self.last_end = now
        self.observed_tasks += 1
        self.relative_run_time += OUTCOME_GAIN * (
            relative_time - self.relative_run_time
        )
        if self.observed_tasks >= MIN_TASKS_TO_JUDGE_SPEED:
            bound = RECOVERED_RATIO if self.is_slow else SLOW_RATIO
            self.is_slow = self.relative_run_time > bound
        if self.trial_slots is not None:
            self.trial_slots += 1
            if self.trial_slots >= slots:
                self.trial_slots = None
                self.ejections = 0

    def record_failure(self, submission: str, peers: PeerHealth, now: float) -> bool:
        """Take note of a failure; return whether the worker is now ejected."""
        self.failures += 1
        self.last_end = now
        self.failure_rate += OUTCOME_GAIN * (1 - self.failure_rate)
        if len(self.failed_jobs) < MIN_JOBS_TO_EJECT:
            self.failed_jobs.add(submission)
        if peers.peer_failure_rate > MAX_PEER_FAILURE_RATE:
            return False
        if peers.ejected_part > MAX_EJECTED_PART:
            return False
        if not self.has_failed_trial(peers) and not self.has_failed_often(peers):
            return False
        self.eject(now)
        return True

    def has_failed_often(self, peers: PeerHealth) -> bool:
        """Return whether failures in a row, of enough jobs, speak against it."""
        if len(self.failed_jobs) < MIN_JOBS_TO_EJECT:
            return False
        return self.failures >= failures_to_eject(peers.peer_failure_rate)

    def has_failed_trial(self, peers: PeerHealth) -> bool:
        """Return whether a worker on trial has failed more than others do."""
        return self.is_on_trial and peers.peer_failure_rate < RARE_FAILURE_RATE

    def eject(self, now: float) -> None:
        """Send the worker away, longer each time, to return on trial."""
        duration = MIN_EJECTION_SECONDS * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, duration)
        self.ejections += 1
        self.failures = 0
        self.failed_jobs.clear()
        self.begin_trial()

    def record_decline(self, now: float) -> None:
        """Take note of a start that was declined."""
        self.declines += 1
        if self.declines < 2:
            return
        pause = MIN_PAUSE_SECONDS * 2 ** min(self.declines - 2, 10)
        self.paused_until = now + min(MAX_PAUSE_SECONDS, pause)


def failures_to_eject(peer_failure_rate: float) -> int:
    """Return how many failures in a row are no chance, given the others' rate."""
    rate = min(MAX_PEER_FAILURE_RATE, max(1e-3, peer_failure_rate))
    by_chance = math.ceil(math.log(MAX_CHANCE_PROBABILITY) / math.log(rate))
    return max(MIN_FAILURES_TO_EJECT, by_chance)
