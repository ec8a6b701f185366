"""Distinguish a short peak from a sustained overload, for admission control.

Load pattern: a peak slightly above capacity that passes, as on every school morning,
and an overload that lasts. In a peak every admitted job can still meet its deadline if
the most urgent jobs go first; refusing some early would waste slots that could have
answered them. In a sustained overload the same policy lets the queue grow until every
job waits almost until its deadline.

A service is in a peak until its queue has grown as long as its callers' deadlines,
which shows in refusals. It is then in overload until its queue has been empty once.
"""

import msgspec

__all__ = ["Overload"]

# Weight of one admission decision: the average covers about the last 64 jobs, a third
# of a second at the current job rate.
GAIN = 1 / 64

# Sustained overload starts above this part of jobs that are late even by the whole
# backlog. One in twenty corresponds to three refusals in a row; single callers with
# very short deadlines stay below it.
OVERLOAD_PART = 0.05


class Overload(msgspec.Struct):
    """Whether a service is in a sustained overload.

    :param late_part: part of recent jobs that would be late even if all slots drained
        the whole queue in deadline order.
    """

    sustained: bool = False
    late_part: float = 0.0

    def record_admission(self, late: bool) -> None:
        """Record an admission decision in a peak.

        :param late: the job was refused because the queue is too long.
        """
        self.late_part += GAIN * (late - self.late_part)
        if self.late_part > OVERLOAD_PART:
            self.sustained = True

    def record_empty_queue(self) -> None:
        """End the overload, since nothing is queued."""
        self.sustained = False
        self.late_part = 0.0
