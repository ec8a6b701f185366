"""Decide when an entry that is shutting down may exit.

Load pattern: a rolling upgrade under load. A balancer learns that an entry is shutting
down only from its readiness checks, and some balancers check late, or late under load.
An entry that exited after a fixed time would refuse or cut off the requests that such a
balancer still sends; one that waited without limit could never be replaced.
"""

__all__ = ["EntryShutdown"]

# A balancer checks readiness once in one to two seconds; an entry stays at least this
# long.
MIN_DRAIN_SECONDS = 3.0
# If no submission arrives for this long, the balancer has reacted to the readiness
# answer. At one request a second per entry, one in three such spans would be quiet by
# chance; so the balancer must have been told first.
MIN_QUIET_SECONDS = 1.0
# A balancer that still sends after this time doesn't check readiness at all. Less than
# the 30 s that supervisors commonly wait beyond the longest deadline.
MAX_DRAIN_SECONDS = 20.0
# A client that got this many positive readiness answers, and checked within
# RECENT_CHECK_SECONDS before the stop, is a balancer and will check again. A client
# that only waited for the entry's start got one positive answer.
MIN_READY_ANSWERS = 3
RECENT_CHECK_SECONDS = 10.0


class EntryShutdown:
    """The readiness checks and submissions seen by an entry that may shut down.

    ``asked_at`` is the last readiness check, ``told_at`` the first one after the stop
    began, ``taken_at`` the last submission, and ``times_ready`` the number of positive
    answers.
    """

    __slots__ = ("began_at", "asked_at", "told_at", "taken_at", "times_ready")

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.asked_at = float("-inf")
        self.told_at = float("-inf")
        self.taken_at = float("-inf")
        self.times_ready = 0

    def begin(self, now: float) -> None:
        """Record that a stop of the entry was requested."""
        self.began_at = now

    def record_readiness_check(self, ready: bool, now: float) -> None:
        """Record a readiness check.

        :param ready: the answer that was given.
        """
        self.asked_at = now
        self.times_ready += ready
        if self.began_at is not None and self.told_at < self.began_at:
            self.told_at = now

    def record_submission(self, now: float) -> None:
        """Record that a caller has submitted something."""
        self.taken_at = now

    def can_stop(self, now: float) -> bool:
        """Return whether no more requests are expected."""
        if self.began_at is None or now - self.began_at < MIN_DRAIN_SECONDS:
            return False
        if now - self.began_at >= MAX_DRAIN_SECONDS:
            return True
        if self.told_at < self.began_at and self._expects_readiness_check():
            return False
        return now - max(self.taken_at, self.told_at) >= MIN_QUIET_SECONDS

    def _expects_readiness_check(self) -> bool:
        checked_recently = self.began_at - self.asked_at <= RECENT_CHECK_SECONDS
        return checked_recently and self.times_ready >= MIN_READY_ANSWERS
