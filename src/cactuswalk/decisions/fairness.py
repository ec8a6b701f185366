"""Weighted fair share of slot time, per team and within it per caller.

Load pattern: one team or one caller sends many times its share (a client that
loops, a depot that rebuilds every route at once). Without this, first come first
served lets its backlog stand before everyone else's, and all wait as long as it.

Each team has a virtual time that grows with the slot time it uses, divided by its
weight; the queued team that is furthest behind goes first. While others have
nothing queued a team may use every slot (its idle share is lent out), and it gives
the share back with the next slot that comes free: one that wakes starts where the
others are, and no one is owed for time spent idle. Callers share their team's part
in the same way. Virtual times are compared in steps of a burst, so that ordinary
traffic is ordered by the jobs' own order and only a real excess makes a team wait.
"""

import math

import msgspec

__all__ = ["MIN_WEIGHT", "Quota", "Share", "ShareTree"]

# Virtual times are compared in steps of this many slot seconds; within a step the
# jobs' own order decides. Measured in docs/design/decisions/fair-share.md: smaller
# steps keep a light team or caller further from a flood, larger ones let a burst be
# served in the jobs' order.
TEAM_STEP_SECONDS = 3.0
CALLER_STEP_SECONDS = 1.0

# What a team was given is looked at over about this time: some four mean run times,
# so that it does not jump with each slot, and short against callers' deadlines.
DRAIN_SECONDS = 1.0

# A weight of zero would mean "never", which a limit of no running task says better.
MIN_WEIGHT = 0.01

# Callers come and go by the million; above this many shares, or twice what was
# left last time, those that are idle are dropped.
MIN_SHARES_TO_SWEEP = 4096


class Quota(msgspec.Struct, frozen=True):
    """What a team is entitled to.

    :param weight: of its share against other teams that have work queued,
        relative to 1.0, the weight of a team without a quota.
    :param maximum_running: tasks at one time, also when slots are idle; None
        for no limit.
    """

    weight: float = 1.0
    maximum_running: int | None = None


class Share(msgspec.Struct, eq=False):
    """The use of slots by one team or one caller.

    :param virtual_time: slot seconds used, divided by the weight.
    :param correction: of earlier charges, once the true run times were known;
        it is settled with the next charge, so that keys in heaps change only
        when their member is being served.
    :param queued_seconds: run time that is expected of what is queued.
    :param waiting_since: when it last had nothing queued.
    :param drained: slot seconds started lately, see ``drain_rate``.
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
        """Return the step that the virtual time is in."""
        return int(self.virtual_time // self.step)

    @property
    def is_at_limit(self) -> bool:
        """Return whether the team runs as much as it ever may."""
        limit = self.quota.maximum_running
        return limit is not None and self.running >= limit

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is queued and nothing runs."""
        return self.queued == 0 and self.running == 0

    def record_drain(self, seconds: float, now: float) -> None:
        """Count slot seconds that were started, of which older ones fade."""
        faded = math.exp(-(now - self.drained_at) / DRAIN_SECONDS)
        self.drained = self.drained * faded + seconds
        self.drained_at = now

    def drain_rate(self, now: float) -> float | None:
        """Return the slot seconds started per second while work is waiting.

        None while it has not waited long enough to tell.
        """
        waited = now - self.waiting_since
        if self.queued == 0 or waited < DRAIN_SECONDS:
            return None
        faded = math.exp(-(now - self.drained_at) / DRAIN_SECONDS)
        seen = 1 - math.exp(-waited / DRAIN_SECONDS)
        return self.drained * faded / (DRAIN_SECONDS * seen)

    def charge(self, seconds: float) -> None:
        """Pay for a task that starts, and settle what was charged wrongly."""
        paid = (seconds + self.correction) / self.quota.weight
        self.virtual_time = max(0.0, self.virtual_time + paid)
        self.correction = 0.0


class ShareTree:
    """The shares of one service's teams, or of one team's callers.

    :param step: see ``Share.level``, in slot seconds.
    :param head_start: steps that one which wakes starts ahead of the field; no
        more, so that nobody saves up for a flood by being idle.
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
        """Return a share, a new one if the name is new."""
        known = self.shares.get(name)
        if known is None:
            if len(self.shares) >= self.sweep_above:
                self.sweep()
            quota = self.quotas.get(name, Quota())
            known = self.shares[name] = Share(name, self.step, quota)
        return known

    def sweep(self) -> None:
        """Forget every idle share."""
        self.shares = {
            name: share for name, share in self.shares.items() if not share.is_idle
        }
        self.sweep_above = max(MIN_SHARES_TO_SWEEP, 2 * len(self.shares))

    def set_quota(self, name: str, quota: Quota) -> None:
        """Put a quota in force, for what is queued already as well."""
        self.quotas[name] = quota
        known = self.shares.get(name)
        if known is None:
            return
        if known.queued:
            self.weight += quota.weight - known.quota.weight
        known.quota = quota

    def enqueue(self, share: Share, tasks: int, seconds: float, now: float) -> None:
        """Count queued tasks; one that wakes starts at the field."""
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
        """Charge for a started task; the field moves on with who is served."""
        self.field = max(self.field, share.level * self.step)
        share.running += 1
        share.charge(seconds)
        share.record_drain(seconds, now)

    def record_end(self, share: Share, charged: float, used: float) -> None:
        """Count a task that has ended, and note what was charged wrongly."""
        share.running -= 1
        share.correction += used - charged
        self.forget_if_idle(share)

    def forget_if_idle(self, share: Share) -> None:
        """Drop a share that is idle and no step ahead of the field.

        Anyone who waits for each answer before the next request is such a one.
        """
        if not share.is_idle or share.level * self.step > self.field:
            return
        if self.shares.get(share.name) is share:
            del self.shares[share.name]

    def guaranteed_part(self, share: Share) -> float:
        """Return the part of all slots that a share has when all are busy."""
        weight = share.quota.weight
        others = self.weight - (weight if share.queued else 0.0)
        return weight / (weight + max(0.0, others))
