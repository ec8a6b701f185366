"""Take a job only if it can be answered in time; else refuse it at once.

Load pattern: lasting overload, or a burst of ten times the capacity. Without this
the queue grows until everything in it is answered too late: slots work for callers
who have given up, and useful throughput collapses while the machines are busy.

The time until a job would be answered is reckoned from the work that is queued and
the slots that drain it, in three ways: behind everything; behind its own team's
backlog at the rate that the team is given; behind its own caller's at the caller's
part of that. The least of them holds, since the fair share keeps it: a light team is
not refused for the flood of another, and a heavy one is not told of slots that others
will take. In a peak that passes (see ``overload``) everyone who is admitted is hurried
when their deadline comes near, and only the whole backlog counts. A job that can't be
answered by its deadline is refused with the time after which the same reckoning would
have let it in.
"""

import math

import msgspec

from cactuswalk.model import Refusal, RefusalCode

__all__ = ["Backlog", "WaitMargin", "check_admission", "retry_after_ms"]

# The reckoned time in the queue counts this many times, at least and at most.
MIN_WAIT_MARGIN = 2.0
MAX_WAIT_MARGIN = 10.0
INITIAL_WAIT_MARGIN = 2.0

# In a peak: whoever is nearest to the deadline is hurried, so that only the sum of the
# queued work counts, and that is expected without a bias.
PEAK_WAIT_MARGIN = 1.0

# One admitted job in fifty may wait longer than was reckoned with the margin, and
# the margin moves by up to a twentieth for each. A job that has to be shed in the
# queue moves it by a tenth: that refusal comes seconds late.
TARGET_UNDERESTIMATED_PART = 0.02
MARGIN_STEP = 0.05
SHED_MARGIN_STEP = 0.1

# A reckoned wait below this, a few messages and a fraction of a run time, says
# nothing about the margin.
MIN_WAIT_TO_LEARN_SECONDS = 0.1

# A task is given up as hopeless only if less than this part of its expected run
# time is left: with heavy-tailed run times most tasks are shorter than the mean.
MIN_RUN_TIME_PART = 0.5


class WaitMargin(msgspec.Struct):
    """Learns by how much the reckoned time in the queue falls short.

    Who is overtaken, how wrong declarations are and how fast the slots drain can't
    be known beforehand. So the margin grows with each admitted job that waited
    longer than reckoned with it, or had to be shed, and shrinks with the others,
    such that one in fifty waits longer (stochastic approximation of a percentile).
    """

    factor: float = INITIAL_WAIT_MARGIN

    def record_start(self, waited: float, predicted_wait: float) -> None:
        """Take note of an admitted job whose last task has a slot now.

        :param predicted_wait: without the margin, in seconds.
        """
        if predicted_wait < MIN_WAIT_TO_LEARN_SECONDS:
            return
        if waited > predicted_wait * self.factor:
            self.adjust(MARGIN_STEP * (1 - TARGET_UNDERESTIMATED_PART))
        else:
            self.adjust(-MARGIN_STEP * TARGET_UNDERESTIMATED_PART)

    def record_shed(self) -> None:
        """Take note of an admitted job that became hopeless in the queue."""
        self.adjust(SHED_MARGIN_STEP)

    def adjust(self, step: float) -> None:
        """Move the margin by a small part of itself, within its bounds."""
        moved = self.factor * (1 + step)
        self.factor = min(MAX_WAIT_MARGIN, max(MIN_WAIT_MARGIN, moved))


class Backlog(msgspec.Struct, frozen=True):
    """What a job would find, in slot seconds of expected work.

    :param slots: that can take this job's tasks; none busy is not assumed.
    :param team_rate: slot seconds that the team is given per second while it
        waits, None if it has not waited long.
    :param guaranteed_team: part of the slots that the team has when all queue.
    :param maximum_running: the team's quota, None for no limit.
    :param constrained_wait: reckoned wait for the few workers that can take the job, if
        it needs memory or accelerators; 0 otherwise.
    :param job_seconds: work of the job itself.
    :param mean_seconds: run time of the service's tasks.
    :param longest_seconds: expected run time of its longest task, in seconds.
    :param margin: by which the reckoned time has lately fallen short.
    :param sustained: the service is in an overload that stays, see ``overload``.
    """

    slots: int
    total_seconds: float
    team_seconds: float
    caller_seconds: float
    team_rate: float | None
    guaranteed_team: float
    guaranteed_caller: float
    maximum_running: int | None
    job_seconds: float
    longest_seconds: float
    mean_seconds: float
    constrained_wait: float = 0.0
    margin: float = INITIAL_WAIT_MARGIN
    sustained: bool = False

    @property
    def wait(self) -> float:
        """Return the time until the last task has a slot, in seconds."""
        if self.slots == 0:
            return self.margin * self.constrained_wait
        rate = self.slots * self.guaranteed_team
        behind_all = (self.total_seconds + self.job_seconds) / self.slots
        if self.sustained and self.team_rate is not None:
            # What the team gets is known, so what it might get does not count.
            rate = max(rate, self.team_rate)
            behind_all = math.inf
        behind_team = (self.team_seconds + self.job_seconds) / rate
        behind_caller = (self.caller_seconds + self.job_seconds) / (
            rate * self.guaranteed_caller
        )
        behind = min(behind_all, behind_team, behind_caller)
        margin = self.margin if self.sustained else PEAK_WAIT_MARGIN
        return max(margin * behind, self.margin * self.constrained_wait)

    @property
    def quota_wait(self) -> float:
        """Return the time that the team's own limit makes it wait."""
        if self.maximum_running is None:
            return 0.0
        predicted_wait = (self.team_seconds + self.job_seconds) / max(
            1, self.maximum_running
        )
        return self.margin * predicted_wait


def check_admission(
    backlog: Backlog, remaining: float, jitter: float
) -> Refusal | None:
    """Return why a job is refused, None if it is taken.

    :param remaining: until the caller's deadline, in seconds.
    :param jitter: drawn from 0 to 1, so that refused callers don't return
        together.
    """
    min_run_seconds = backlog.longest_seconds * MIN_RUN_TIME_PART
    if min_run_seconds > remaining:
        return Refusal(
            RefusalCode.DEADLINE_UNREACHABLE,
            f"its longest task is expected to take {backlog.longest_seconds:.3f} s, "
            f"and {max(0.0, remaining):.3f} s are left",
        )
    if backlog.maximum_running == 0:
        return Refusal(RefusalCode.QUOTA_EXCEEDED, "the team's quota is no task at all")
    late_by_quota = seconds_late(backlog.quota_wait, min_run_seconds, remaining)
    if late_by_quota > 0 and backlog.maximum_running is not None:
        return Refusal(
            RefusalCode.QUOTA_EXCEEDED,
            f"the team may run {backlog.maximum_running} tasks at a time, and its "
            f"queue needs {backlog.quota_wait:.1f} s; {remaining:.1f} s are left",
            retry_after_ms(late_by_quota, backlog.mean_seconds, jitter),
        )
    late_by = seconds_late(backlog.wait, min_run_seconds, remaining)
    if late_by <= 0:
        return None
    return Refusal(
        RefusalCode.OVERLOADED,
        f"the queue before it needs {backlog.wait:.1f} s, and {remaining:.1f} s "
        "are left",
        retry_after_ms(late_by, backlog.mean_seconds, jitter),
    )


def seconds_late(wait: float, run: float, remaining: float) -> float:
    """Return how much too long the queue is, in seconds of draining."""
    return wait + run - remaining


def retry_after_ms(late_by: float, mean: float, jitter: float) -> int:
    """Return when to come back: the queue drains a second of work a second.

    And a run time later, since nothing drains before some task has ended.
    """
    return int((late_by * (1 + jitter) + mean) * 1000)
