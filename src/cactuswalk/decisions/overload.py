"""Tell a passing peak from a lasting overload, for admission.

Load pattern: a peak a little above capacity that passes, as on every school morning,
and an overload that stays. In a peak every job that is admitted can still be answered
before its deadline, if those that are nearest to theirs are hurried; refusing some
early throws away answers that there were slots for. In an overload that stays, the
same patience lets the queue grow until everyone waits nearly as long as they can bear.

So a service is in a peak until the queue has grown as long as its callers' deadlines,
which shows in refusals, and then in overload until its queue has once been empty.
"""

import msgspec

__all__ = ["Overload"]

# Weight of one judged job: the part is of about the last 64 jobs, a third of a second
# at today's rates.
GAIN = 1 / 64

# Above this part of jobs too late even by the whole backlog it is an overload. One in
# twenty: three refusals in a row; single callers with very short deadlines are less.
OVERLOAD_PART = 0.05


class Overload(msgspec.Struct):
    """Whether a service is in an overload that stays.

    :param late_part: of the jobs judged lately, those that came too late even if
        the whole queue is drained by all slots in the order of deadlines.
    """

    sustained: bool = False
    late_part: float = 0.0

    def record_admission(self, late: bool) -> None:
        """Take note of a job that was admitted or refused in a peak."""
        self.late_part += GAIN * (late - self.late_part)
        if self.late_part > OVERLOAD_PART:
            self.sustained = True

    def record_empty_queue(self) -> None:
        """Take note that nothing is queued."""
        self.sustained = False
        self.late_part = 0.0
