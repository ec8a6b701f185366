"""Admission control: accept a job only if it can be answered by its deadline.

Load pattern: sustained overload, or a burst of ten times the capacity. Without
admission control the queue grows until every job in it is answered too late: slots work
for callers who have given up, and useful throughput collapses while the machines are
busy.

The wait is predicted from the queued work and the slots that drain it, in three ways:
behind the whole backlog; behind the team's own backlog at the rate that the team is
served; and behind the caller's own backlog at the caller's part of that rate. The
smallest of the three applies, because the fair share guarantees it: a light team is not
refused because another floods the queue, and a heavy team is not promised slots that
others will take.

In a short peak (see ``overload``) every admitted job becomes urgent when its deadline
comes near, so only the whole backlog counts. A job that can't be answered by its
deadline is refused with the delay after which the same prediction would admit it.
"""

import math

import msgspec

from cactuswalk.decisions.waitmargin import INITIAL_WAIT_MARGIN
from cactuswalk.model import Refusal, RefusalCode

__all__ = ["Backlog", "check_admission", "retry_after_ms"]

# In a peak the job with the nearest deadline goes first, so only the sum of the queued
# work matters, and that sum is estimated without bias.
PEAK_WAIT_MARGIN = 1.0

# A task counts as unable to meet its deadline only if less than this part of its
# expected run time is left: with heavy-tailed run times most tasks are shorter than the
# mean.
MIN_RUN_TIME_PART = 0.5


class Backlog(msgspec.Struct, frozen=True):
    """The queue that a new job would join, in slot seconds of expected work.

    :param slots: slots that can take this job's tasks; 0 if enough of them are idle for
        the whole job.
    :param total_seconds: queued work of the service.
    :param team_seconds: queued work of the job's team.
    :param caller_seconds: queued work of the job's caller.
    :param team_rate: slot seconds per second that the team is served while it waits,
        None if it has not waited long enough to tell.
    :param guaranteed_team: part of the slots that the team gets when all teams have
        work queued.
    :param guaranteed_caller: part of the team's slots that the caller gets when all its
        callers have work queued.
    :param maximum_running: the team's quota, None for no limit.
    :param job_seconds: work of the job itself.
    :param longest_seconds: expected run time of the job's longest task.
    :param mean_seconds: mean run time of the service's tasks.
    :param constrained_wait: predicted wait in seconds for the few workers that can take
        a job which needs memory or accelerators; 0 for other jobs.
    :param margin: factor by which waits have recently exceeded their prediction.
    :param sustained: the service is in a sustained overload, see ``overload``.
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
        """Return the predicted seconds until the job's last task has a slot."""
        if self.slots == 0:
            return self.margin * self.constrained_wait
        rate = self.slots * self.guaranteed_team
        behind_all = (self.total_seconds + self.job_seconds) / self.slots
        if self.sustained and self.team_rate is not None:
            # The rate at which the team is served is known, so the rate that it might
            # get does not count.
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
        """Return the predicted seconds that the team's own quota makes it wait."""
        if self.maximum_running is None:
            return 0.0
        predicted_wait = (self.team_seconds + self.job_seconds) / max(
            1, self.maximum_running
        )
        return self.margin * predicted_wait


def check_admission(
    backlog: Backlog, remaining: float, jitter: float
) -> Refusal | None:
    """Return why a job is refused, None if it is admitted.

    :param remaining: seconds until the caller's deadline.
    :param jitter: drawn from 0 to 1, so that refused callers don't retry at the same
        moment.
    """
    min_run_seconds = backlog.longest_seconds * MIN_RUN_TIME_PART
    if min_run_seconds > remaining:
        return Refusal(
            RefusalCode.DEADLINE_UNREACHABLE,
            f"its longest task is expected to take {backlog.longest_seconds:.3f} s, "
            f"and {max(0.0, remaining):.3f} s are left",
        )
    if backlog.maximum_running == 0:
        return Refusal(RefusalCode.QUOTA_EXCEEDED, "the team's quota is 0 tasks")
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
    """Return by how many seconds the job would miss its deadline."""
    return wait + run - remaining


def retry_after_ms(late_by: float, mean: float, jitter: float) -> int:
    """Return the delay after which a refused caller may retry.

    The queue drains one second of wait per second. One mean run time is added, since no
    slot is freed before some task has ended.
    """
    return int((late_by * (1 + jitter) + mean) * 1000)
