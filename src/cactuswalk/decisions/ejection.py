"""Ejection of workers that fail, hang or are slow, and their gradual return.

Load pattern: a worker fails every task within a millisecond. Its slots are always free,
so a least-loaded policy sends nearly all work to it (a black hole). Another worker
freezes, or becomes ten times slower, and every large job has one task there that delays
its answer. Without ejection one bad worker of eleven decides what most callers receive.

A worker is ejected after consecutive failures from several jobs. The more often its
peers fail, the more failures are needed; if the peers mostly fail, the cause is the
requests or a shared dependency, and ejection would only reduce capacity. Failures that
a caller causes, by cancelling or by too short a deadline, don't count.

An ejected worker returns on trial with one slot and gains a slot with each success
(slow start, so that a cold worker is not overloaded). A failure on trial ejects it for
twice as long. A hung worker gets nothing new until one of its tasks ends. A slow worker
keeps one slot as a probe.
"""

import math

import msgspec

__all__ = ["MAX_EJECTED_PART", "Health", "PeerHealth", "is_worker_at_fault"]

# Consecutive failures eject a worker if a worker that is no worse than its peers would
# show them less than once in 1 / MAX_CHANCE_PROBABILITY tasks. MIN_FAILURES_TO_EJECT
# applies as well, since the peers' failure rate is known only roughly.
MAX_CHANCE_PROBABILITY = 1e-5
MIN_FAILURES_TO_EJECT = 5

# The failures must come from this many jobs: if all tasks of one job fail, the job may
# be the cause.
MIN_JOBS_TO_EJECT = 3

# If peers fail more often than this, the worker is not the cause.
MAX_PEER_FAILURE_RATE = 0.5

# If peers fail less often than this, one failure on trial ejects the worker again.
RARE_FAILURE_RATE = 0.1

# At most this part of a service's workers is ejected at a time: a rack holds 3 of 11
# workers in the current deployment.
MAX_EJECTED_PART = 0.34

# The ejection time doubles with each failed trial. The first covers a restart; the
# longest costs one failed task in five minutes.
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 300.0

# Weight of one outcome in a worker's failure rate and relative run time: an average
# over some 16 tasks, two rounds of its 8 slots.
OUTCOME_GAIN = 1 / 16

# A worker is slow when its tasks take SLOW_RATIO times their expected run time, and has
# recovered below RECOVERED_RATIO. With heavy-tailed run times whose deviation equals
# the mean, the average of 16 is within 1.75 in all but 0.1% of cases.
SLOW_RATIO = 4.0
RECOVERED_RATIO = 2.0
MIN_TASKS_TO_JUDGE_SPEED = 8

# A worker is hung when it runs at least two tasks and none has ended for this many mean
# run times, and for at least MIN_HANG_SECONDS: a task may take "several seconds" by the
# requirements.
HANG_RUN_TIMES = 10.0
MIN_HANG_SECONDS = 3.0

# A failure this close to the deadline was caused by it: an agent gives up a call at the
# deadline, and its report takes a message to arrive.
DEADLINE_TOLERANCE_SECONDS = 0.1

# Pause after consecutive declines, doubled from the second one on. Without it, a worker
# whose agent declines at once would be offered the same task in a tight loop.
MIN_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 5.0


def is_worker_at_fault(
    cancelled: bool, held: float, expected: float, deadline: float, now: float
) -> bool:
    """Return whether a failed task counts against its worker.

    A caller that cancels, or leaves too little time, makes tasks fail on every worker;
    a wave of cancellations would eject all of them.

    :param cancelled: the caller has cancelled the job.
    :param held: how long the task held its slot, in seconds.
    :param expected: its expected run time, in seconds.
    """
    if cancelled:
        return False
    ended_by_deadline = now >= deadline - DEADLINE_TOLERANCE_SECONDS
    return not ended_by_deadline or held >= SLOW_RATIO * expected


class PeerHealth(msgspec.Struct):
    """State of a service's other workers when one worker is judged.

    :param peer_failure_rate: mean failure rate of the other workers.
    :param ejected_part: part of the service's workers that would be ejected if this one
        were ejected too.
    """

    peer_failure_rate: float
    ejected_part: float


class Health(msgspec.Struct, eq=False):
    """Health of one worker.

    :param failures: consecutive failures.
    :param failed_jobs: submissions that these failures came from.
    :param failure_rate: moving average.
    :param relative_run_time: moving average of run time over expected run time.
    :param observed_tasks: tasks in ``relative_run_time``.
    :param trial_slots: slots that it may use while on trial; None for all.
    :param declines: consecutive declined starts.
    :param last_end: when a task last ended there.
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
        """Return whether the worker has only part of its slots after a return."""
        return self.trial_slots is not None

    def unavailable_reason(self, now: float) -> str:
        """Return why the worker gets no tasks now, an empty text if it may."""
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
        """Return whether no task has ended for suspiciously long."""
        if running < 2:
            return False
        silent = now - max(self.last_end, oldest_start)
        return silent > max(MIN_HANG_SECONDS, HANG_RUN_TIMES * mean)

    def begin_trial(self) -> None:
        """Limit the worker to one slot; each success adds one."""
        self.trial_slots = 1

    def record_success(self, relative_time: float, slots: int, now: float) -> None:
        """Record a success.

        :param relative_time: its run time divided by the expected run time.
        :param slots: all slots of the worker.
        """
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
        """Record a failure; return whether the worker is now ejected."""
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
        """Return whether enough consecutive failures came from enough jobs."""
        if len(self.failed_jobs) < MIN_JOBS_TO_EJECT:
            return False
        return self.failures >= failures_to_eject(peers.peer_failure_rate)

    def has_failed_trial(self, peers: PeerHealth) -> bool:
        """Return whether a worker on trial has failed while its peers rarely do."""
        return self.is_on_trial and peers.peer_failure_rate < RARE_FAILURE_RATE

    def eject(self, now: float) -> None:
        """Eject the worker, longer each time; it returns on trial."""
        duration = MIN_EJECTION_SECONDS * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, duration)
        self.ejections += 1
        self.failures = 0
        self.failed_jobs.clear()
        self.begin_trial()

    def record_decline(self, now: float) -> None:
        """Record a declined start."""
        self.declines += 1
        if self.declines < 2:
            return
        pause = MIN_PAUSE_SECONDS * 2 ** min(self.declines - 2, 10)
        self.paused_until = now + min(MAX_PAUSE_SECONDS, pause)


def failures_to_eject(peer_failure_rate: float) -> int:
    """Return how many consecutive failures are too many to be due to chance.

    :param peer_failure_rate: failure rate of the other workers, assumed as the worker's
        own by chance.
    """
    rate = min(MAX_PEER_FAILURE_RATE, max(1e-3, peer_failure_rate))
    by_chance = math.ceil(math.log(MAX_CHANCE_PROBABILITY) / math.log(rate))
    return max(MIN_FAILURES_TO_EJECT, by_chance)
