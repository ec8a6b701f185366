"""Divide an agent's free capacity among the entries that have tasks waiting.

Load pattern: in a burst every entry has tasks waiting, and a worker frees the capacity
of one task at a time. If each of three entries were told of it, all three would send a
start, and two of them would be declined.

So while capacity is scarce it is granted in units of a usual task to one waiting entry
at a time, in proportion to their backlogs up to a bound. A grant is advisory, and ends
with the entry's next starts or after ``GRANT_SECONDS``.
"""

import math

import msgspec

__all__ = ["GRANT_SECONDS", "Division", "EntryShare"]

# An entry answers a report within two messages' time and a turn of its event loop, a
# few milliseconds. A crashed entry blocks the capacity for this long.
GRANT_SECONDS = 0.03

# An entry that has sent nothing for this long, three keepalives, counts as one without
# waiting tasks.
BACKLOG_SECONDS = 0.3

# Free capacity that a waiting entry left unused is not granted to it again for this
# long: entries keep room for urgent priorities until a second after their last job.
UNUSED_SECONDS = 1.0

# A backlog counts up to this many units, what an entry can get before its next message.
# If it counted in full, a burst of long tasks at one entry would take the turns of
# urgent tasks at others.
MAX_WEIGHT_UNITS = 2


class EntryShare(msgspec.Struct, eq=False):
    """What an agent knows of an entry's backlog, and what it has granted to it.

    Sizes are in thousandths of a core, times in seconds.

    :param waiting_cpu: size of the tasks that waited there by its latest message, at
        ``waiting_at``.
    :param granted_cpu: the part of the free capacity that is reported to it alone.
    :param granted_at: when the grant was made; it lasts no longer if it grows.
    :param told_cpu: free capacity by the latest report to it.
    :param sent_cpu: size of its starts that have arrived since.
    :param unused_cpu: free capacity that it was told and left unused while it had tasks
        waiting, at ``unused_at``.
    :param urgent_at: when it last had a task that takes the room reserved for urgent
        ones; -inf for not known.
    :param unanswered_at: when a grant was made that has expired, and whose report the
        entry has not echoed; -inf for none.
    :param credit: in the weighted round-robin, in units.
    """

    waiting_cpu: int = 0
    waiting_at: float = -math.inf
    granted_cpu: int = 0
    granted_at: float = -math.inf
    told_cpu: int = 0
    sent_cpu: int = 0
    unused_cpu: int = 0
    unused_at: float = -math.inf
    urgent_at: float = -math.inf
    unanswered_at: float = -math.inf
    credit: float = 0.0

    def record_backlog(self, waiting_cpu: int, now: float) -> None:
        """Record the size of the tasks that wait at the entry."""
        self.waiting_cpu = waiting_cpu
        self.waiting_at = now
        if not waiting_cpu:
            self.credit = 0.0

    def record_echo(self, echoed_at: float) -> None:
        """Record the time of the latest report that the entry has certainly got."""
        if echoed_at >= self.unanswered_at:
            self.unanswered_at = -math.inf

    def record_report(self, told_cpu: int) -> None:
        """Record the free capacity in a report to the entry."""
        self.told_cpu = told_cpu
        self.sent_cpu = 0

    def record_start(
        self, cpu: int, unit: int, reserve: int, is_declined: bool, now: float
    ) -> bool:
        """Use up the grant by a start; return whether there was one.

        Task sizes vary: a remainder below half a unit ends the grant. A start
        that was declined waits again. If it came although the entry was told no more
        than other tasks leave free, it is urgent, and takes what they leave.
        """
        self.sent_cpu += cpu
        left_free = max(unit + reserve - 1, self.unused(now))
        if (is_declined or self.granted_cpu) and self.told_cpu <= left_free:
            self.urgent_at = now
            self.unused_at = -math.inf
        if not self.granted_cpu:
            return False
        left = self.granted_cpu - cpu
        self.granted_cpu = left if 2 * left >= unit else 0
        return True

    def believed_cpu(self) -> int:
        """Return the free capacity that the entry believes in."""
        return self.told_cpu - self.sent_cpu

    def backlog(self, now: float) -> int:
        """Return the size of the tasks that wait there, 0 if that isn't known."""
        return self.waiting_cpu if now - self.waiting_at < BACKLOG_SECONDS else 0

    def need(self, now: float) -> int:
        """Return the backlog for which it may get grants.

        None while it has not echoed the report of a grant that has expired: it has
        stopped, or messages to it are lost.
        """
        return 0 if self.unanswered_at > -math.inf else self.backlog(now)

    def unused(self, now: float) -> int:
        """Return the free capacity that the entry has left unused recently."""
        return self.unused_cpu if now - self.unused_at < UNUSED_SECONDS else 0

    def is_urgent(self, now: float) -> bool:
        """Return whether the entry has tasks that take what others leave free."""
        return now - self.urgent_at < UNUSED_SECONDS

    def expire(self, now: float) -> None:
        """End a grant that was not used in time."""
        self.urgent_at = -math.inf
        if self.backlog(now) >= self.granted_cpu:
            self.unused_cpu = max(self.told_cpu, self.unused(now))
            self.unused_at = now
        self.granted_cpu = 0
        self.unanswered_at = self.granted_at


class Division:
    """The division of one worker's free capacity.

    :ivar granted_cpu: sum of the grants, in thousandths of a core.
    """

    def __init__(self) -> None:
        self.granted_cpu = 0

    def expire(self, shares: list[EntryShare], now: float) -> list[EntryShare]:
        """End the grants that were not used in time, and return their holders."""
        self.granted_cpu = sum([share.granted_cpu for share in shares])
        if not self.granted_cpu:
            return []
        expired = [
            share
            for share in shares
            if share.granted_cpu and now - share.granted_at >= GRANT_SECONDS
        ]
        for share in expired:
            self.granted_cpu -= share.granted_cpu
            share.expire(now)
        return expired

    def grant(
        self, free: int, unit: int, reserve: int, shares: list[EntryShare], now: float
    ) -> list[EntryShare]:
        """Grant scarce free capacity to waiting entries; return which are to be told.

        :param free: of the worker, in thousandths of a core.
        :param unit: size of a usual task, in thousandths of a core.
        :param reserve: what entries leave free for urgent tasks by default.
        """
        unit = max(1, unit)
        informed = self._holders_of_more(free, unit, shares, now)
        if free - self.granted_cpu < unit:
            return informed
        needs = {id(share): share.need(now) for share in shares}
        total = sum(needs.values())
        if not total or free >= total + unit * len(shares):
            return informed
        while chosen := self._choose(free, unit, reserve, shares, needs, now):
            if not chosen.granted_cpu:
                chosen.granted_at = now
            chosen.granted_cpu += unit
            self.granted_cpu += unit
            if chosen not in informed:
                informed.append(chosen)
        return informed

    def _holders_of_more(
        self, free: int, unit: int, shares: list[EntryShare], now: float
    ) -> list[EntryShare]:
        """Return the holders of grants that are to be told of much more by now.

        Without it, capacity that is freed beside a grant that is too small for a
        waiting task would be told to nobody until the grant expires. The grant lasts
        no longer than before: its holder may be frozen.
        """
        if not self.granted_cpu:
            return []
        holders = []
        for share in shares:
            told = self.told(share, free)
            is_more = 2 * (told - share.believed_cpu()) >= unit
            if share.granted_cpu and is_more and told > share.unused(now):
                holders.append(share)
        return holders

    def _choose(
        self,
        free: int,
        unit: int,
        reserve: int,
        shares: list[EntryShare],
        needs: dict[int, int],
        now: float,
    ) -> EntryShare | None:
        """Return the next entry in the round-robin, or None if no unit is left.

        A unit has to come with the reserve, unless the entry has urgent tasks and there
        is no other grant: a smaller task of any entry may fit beside the reserve, and
        two entries that are told of a unit each could both start nothing.
        """
        left = free - self.granted_cpu
        waiting = [
            share
            for share in shares
            if needs[id(share)] > share.granted_cpu
            and left > share.unused(now)
            and (
                left >= unit + reserve
                or (not self.granted_cpu and left >= unit and share.is_urgent(now))
            )
        ]
        if not waiting:
            return None
        weights = [min(needs[id(share)], MAX_WEIGHT_UNITS * unit) for share in waiting]
        total = sum(weights)
        for share, weight in zip(waiting, weights, strict=True):
            share.credit += weight / total
        chosen = max(waiting, key=lambda share: share.credit)
        chosen.credit -= 1.0
        return chosen

    def told(self, share: EntryShare, free: int) -> int:
        """Return the free capacity to report to an entry: its grant and the rest."""
        return min(free, share.granted_cpu + max(0, free - self.granted_cpu))
