"""When an entry that is to stop may take no more callers.

Load pattern: a rolling upgrade while callers work. A balancer learns that an entry
leaves only by asking whether it is ready, and some ask late, or late under load.
An entry that left after a fixed time would refuse or cut off what such a balancer
still sends it; one that waited without end could never be replaced.
"""

__all__ = ["EntryShutdown"]

# A balancer asks once in one to two seconds; so long nothing is taken as its word.
MIN_DRAIN_SECONDS = 3.0
# Without a new submission for this long the balancer has heeded what it was told.
# At a request a second and entry, one in three such spans would be quiet by chance;
# that is why it has to be told first.
QUIET_SECONDS = 1.0
# A balancer that sends on for this long does not look at readiness at all. Below
# the half minute that supervisors commonly wait beyond the longest deadline.
MAX_DRAIN_SECONDS = 20.0
# Who has been told so often that the entry is ready, and asked in this span before
# the stop, is a balancer and will ask again; one that only waited for the entry's
# start has been told once.
MIN_READY_ANSWERS = 3
ASKED_WITHIN_SECONDS = 10.0


class EntryShutdown:
    """What an entry has seen of its balancer, and since when it is to stop."""

    __slots__ = ("began_at", "asked_at", "told_at", "taken_at", "times_ready")

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.asked_at = float("-inf")
        self.told_at = float("-inf")
        self.taken_at = float("-inf")
        self.times_ready = 0

    def begin(self, now: float) -> None:
        """Note that the entry is to stop."""
        self.began_at = now

    def record_readiness_check(self, ready: bool, now: float) -> None:
        """Note that somebody has asked whether the entry is ready.

        :param ready: what the answer was.
        """
        self.asked_at = now
        self.times_ready += ready
        if self.began_at is not None and self.told_at < self.began_at:
            self.told_at = now

    def record_submission(self, now: float) -> None:
        """Note that a caller has submitted something."""
        self.taken_at = now

    def can_exit(self, now: float) -> bool:
        """Tell whether nobody is expected to send anything any more."""
        if self.began_at is None or now - self.began_at < MIN_DRAIN_SECONDS:
            return False
        if now - self.began_at >= MAX_DRAIN_SECONDS:
            return True
        if self.told_at < self.began_at and self._expects_readiness_check():
            return False
        return now - max(self.taken_at, self.told_at) >= QUIET_SECONDS

    def _expects_readiness_check(self) -> bool:
        lately = self.began_at - self.asked_at <= ASKED_WITHIN_SECONDS
        return lately and self.times_ready >= MIN_READY_ANSWERS
