"""Weighted fair sharing of slot time between teams, and within a team between callers.

Load pattern: one team or caller sends many times its share (a client in a loop, a depot
that recomputes every route at once). First come, first served would put its backlog
ahead of everyone else's, and all would wait as long as it does.

Each team has a virtual time that grows with the slot time it uses, divided by its
weight; the queued team with the lowest virtual time goes first. A team may use every
slot while others have nothing queued, and gives the slots back as they come free. A
team that becomes active starts at the virtual time of the active ones, so no credit is
earned for idle time. Callers share their team's part in the same way.

Virtual times are compared in steps as long as a burst, so ordinary traffic follows the
job order and only a real excess makes a team wait.
"""

import math

import msgspec

__all__ = ["MIN_WEIGHT", "Quota", "Share", "ShareTree"]

# Virtual times are compared in steps of this many slot seconds; within a step the job
# order decides. Measured in docs/design/decisions/fair-share.md: smaller steps isolate
# a light team or caller better from a flood, larger ones let a burst be served in job
# order.
TEAM_STEP_SECONDS = 3.0
CALLER_STEP_SECONDS = 1.0

# Time constant of a team's drain rate. Some four mean run times, so that the rate
# doesn't jump with each slot, and short compared with callers' deadlines.
DRAIN_SECONDS = 1.0

# A weight of zero would mean "never"; a limit of zero running tasks expresses that.
MIN_WEIGHT = 0.01

# Callers come and go by the million. Idle shares are dropped above this number of
# shares, or above twice the number left by the last sweep.
MIN_SHARES_TO_SWEEP = 4096


class Quota(msgspec.Struct, frozen=True):
    """The quota of a team.

    :param weight: its weight against other teams that have work queued; 1.0 is the
        weight of a team without a quota.
    :param maximum_running: limit of concurrent tasks, even if slots are idle; None for
        no limit.
    """

    weight: float = 1.0
    maximum_running: int | None = None


class Share(msgspec.Struct, eq=False):
    """Slot usage of one team or one caller.

    :param step: see ``level``, in slot seconds.
    :param virtual_time: slot seconds used, divided by the weight.
    :param correction: difference between charged and actual run times, applied with the
        next charge, so that keys in heaps change only when their member is served.
    :param queued_seconds: expected run time of the queued tasks.
    :param waiting_since: when it last had nothing queued.
    :param drained: recently started slot seconds, see ``drain_rate``.
    :param drained_at: when ``drained`` was last updated.
    """

    name: str
    step: float
    quota: Quota = Quota()
    virtual_time: float = 0.0
    correction: float = 0.0
    queued_seconds: float = 0.0
    queued: int = 0
    running: int = 0
    waiting_since: float = 0.0
    drained: float = 0.0
    drained_at: float = 0.0

    @property
    def level(self) -> int:
        """Return the number of whole steps in the virtual time."""
        return int(self.virtual_time // self.step)

    @property
    def is_at_limit(self) -> bool:
        """Return whether the team runs as many tasks as its quota allows."""
        limit = self.quota.maximum_running
        return limit is not None and self.running >= limit

    @property
    def is_idle(self) -> bool:
        """Return whether it has nothing queued and nothing running."""
        return self.queued == 0 and self.running == 0

    def record_drain(self, seconds: float, now: float) -> None:
        """Add slot seconds that were started; earlier ones decay exponentially."""
        decay = math.exp(-(now - self.drained_at) / DRAIN_SECONDS)
        self.drained = self.drained * decay + seconds
        self.drained_at = now

    def drain_rate(self, now: float) -> float | None:
        """Return the slot seconds started per second while work is waiting.

        None if work has not waited long enough to tell.
        """
        waited = now - self.waiting_since
        if self.queued == 0 or waited < DRAIN_SECONDS:
            return None
        decay = math.exp(-(now - self.drained_at) / DRAIN_SECONDS)
        observed_part = 1 - math.exp(-waited / DRAIN_SECONDS)
        return self.drained * decay / (DRAIN_SECONDS * observed_part)

    def charge(self, seconds: float) -> None:
        """Charge for a task that starts, and apply the pending correction."""
        cost = (seconds + self.correction) / self.quota.weight
        self.virtual_time = max(0.0, self.virtual_time + cost)
        self.correction = 0.0


class ShareTree:
    """The shares of one service's teams, or of one team's callers.

    ``field`` is the current virtual time: the highest level served so far, in slot
    seconds.

    :param step: see ``Share.level``, in slot seconds.
    :param head_start: steps below the current virtual time at which a newly active
        share starts; it is limited, so that idle time can't be saved up for a flood.
    """

    __slots__ = (
        "field",
        "head_start",
        "quotas",
        "shares",
        "step",
        "sweep_above",
        "weight",
    )

    def __init__(self, step: float, head_start: int = 0) -> None:
        self.step = step
        self.head_start = head_start
        self.field = 0.0
        self.shares: dict[str, Share] = {}
        self.quotas: dict[str, Quota] = {}
        self.weight = 0.0
        self.sweep_above = MIN_SHARES_TO_SWEEP

    def share(self, name: str) -> Share:
        """Return a share; create it if the name is new."""
        known = self.shares.get(name)
        if known is None:
            if len(self.shares) >= self.sweep_above:
                self.sweep()
            quota = self.quotas.get(name, Quota())
            known = self.shares[name] = Share(name, self.step, quota)
        return known

    def sweep(self) -> None:
        """Delete every idle share."""
        self.shares = {
            name: share for name, share in self.shares.items() if not share.is_idle
        }
        self.sweep_above = max(MIN_SHARES_TO_SWEEP, 2 * len(self.shares))

    def set_quota(self, name: str, quota: Quota) -> None:
        """Apply a quota, also to what is queued already."""
        self.quotas[name] = quota
        known = self.shares.get(name)
        if known is None:
            return
        if known.queued:
            self.weight += quota.weight - known.quota.weight
        known.quota = quota

    def enqueue(self, share: Share, tasks: int, seconds: float, now: float) -> None:
        """Count queued tasks.

        A newly active share starts at the current virtual time, minus the head start.
        """
        if share.queued == 0:
            self.shares.setdefault(share.name, share)
            self.weight += share.quota.weight
            share.waiting_since = share.drained_at = now
            share.drained = 0.0
            start = max(0.0, self.field - self.head_start * self.step)
            share.virtual_time = max(share.virtual_time, start)
        share.queued += tasks
        share.queued_seconds += seconds

    def dequeue(self, share: Share, tasks: int, seconds: float) -> None:
        """Count tasks that were started, shed or cancelled."""
        share.queued -= tasks
        share.queued_seconds = max(0.0, share.queued_seconds - seconds)
        if share.queued == 0:
            self.weight -= share.quota.weight
            share.queued_seconds = 0.0
            self.forget_if_idle(share)

    def record_start(self, share: Share, seconds: float, now: float) -> None:
        """Charge for a started task and advance the current virtual time."""
        self.field = max(self.field, share.level * self.step)
        share.running += 1
        share.charge(seconds)
        share.record_drain(seconds, now)

    def record_end(self, share: Share, charged: float, used: float) -> None:
        """Count a finished task and record the error of its charge."""
        share.running -= 1
        share.correction += used - charged
        self.forget_if_idle(share)

    def forget_if_idle(self, share: Share) -> None:
        """Delete an idle share whose level is not above the current virtual time.

        This covers every caller that sends one request at a time.
        """
        if not share.is_idle or share.level * self.step > self.field:
            return
        if self.shares.get(share.name) is share:
            del self.shares[share.name]

    def guaranteed_part(self, share: Share) -> float:
        """Return the part of all slots that a share gets when all are busy."""
        weight = share.quota.weight
        others = self.weight - (weight if share.queued else 0.0)
        return weight / (weight + max(0.0, others))
