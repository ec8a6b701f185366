"""How far the worker's lease may be renewed while runs there have to end.

A worker has one lease for all its runs, and each poll and each start renews it. A run
whose stop is lost would be kept alive by the renewals that other runs need, while its
task runs again elsewhere. So each run has a time by which it must have ended, and no
renewal reaches beyond the earliest of these. While stops are confirmed in time this
changes nothing. Otherwise the lease expires, and all runs of the worker with it; the
worker lists them as lapsed, and they run again elsewhere.
"""

import math

from cactuswalk.dispatch.agentheld import HeldTask
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import (
    CLOCK_DRIFT,
    ENTRY_LEASE_SECONDS,
    WORKER_LEASE_SECONDS,
    orphan_lapse_seconds,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.leaving import OVERRUN_FACTOR

__all__ = [
    "are_entries_heard",
    "can_start",
    "has_lapsed",
    "latest_stamp",
    "limit_run",
    "renew",
    "renewal_seconds",
]

# With a lease of at least this length any task may start. A worker whose lease can't be
# renewed for that long has not confirmed a stop for a while, and a new run would lapse
# with it, unless it is short.
MIN_START_LEASE_SECONDS = 0.3


def latest_stamp(state: AgentState, held: HeldTask) -> int:
    """Return the latest of the agent's stamps that a run's entry has returned."""
    peer = state.entries.get(held.entry)
    if peer is None or peer.incarnation != held.start.incarnation:
        return held.start.stamp
    return max(held.start.stamp, peer.echoed_stamp)


def are_entries_heard(state: AgentState, now: float) -> bool:
    """Return whether the leases of all entries with runs here are valid."""
    heard_since = (now - ENTRY_LEASE_SECONDS) * 1000
    for address, incarnation in state.index.by_origin:
        peer = state.entries.get(address)
        if peer is None or peer.incarnation != incarnation:
            return False
        if peer.echoed_stamp < heard_since:
            return False
    return True


def limit_run(state: AgentState, held: HeldTask, now: float) -> None:
    """Have a run end within a worker lease from now, even if its stop is lost.

    For runs that their entry doesn't answer for any more: their tasks may soon be
    started elsewhere. It must be called while the entry's incarnation is still known.
    """
    held.must_end_by = min(_must_end_by(state, held), now + worker_lapse_seconds())
    state.index.limited.add(held.handle)


def _must_end_by(state: AgentState, held: HeldTask) -> float:
    if held.must_end_by < math.inf:
        return held.must_end_by
    return latest_stamp(state, held) / 1000 + orphan_lapse_seconds()


def has_lapsed(state: AgentState, held: HeldTask, polled_at: float) -> bool:
    """Return whether a run that a poll doesn't list can't run any more, nor begin.

    No lease that the worker was ever given for it reaches beyond the time by which it
    must have ended; a start that arrives later is refused as late.
    """
    return polled_at >= _must_end_by(state, held)


def renewal_seconds(state: AgentState, now: float) -> float:
    """Return for how long the worker's lease may be renewed now; 0 for not at all."""
    if not state.index.limited and are_entries_heard(state, now):
        # Each run may go on until a worker lease after its entry's lease, which has
        # not ended yet.
        return WORKER_LEASE_SECONDS
    ends_by = min(_must_end_by(state, held) for held in state.held.values())
    return max(0.0, min(WORKER_LEASE_SECONDS, (ends_by - now) / (1 + CLOCK_DRIFT)))


def renew(state: AgentState, now: float) -> float:
    """Return until when a poll may renew the worker's lease; 0 for not at all.

    Logs when renewals end or resume.
    """
    seconds = renewal_seconds(state, now)
    if state.renewal_withheld != (seconds <= 0):
        state.renewal_withheld = seconds <= 0
        _log_change(state, now)
    if seconds <= 0:
        return 0.0
    state.renewed_at = now
    return now + seconds


def _log_change(state: AgentState, now: float) -> None:
    if not state.renewal_withheld:
        state.say("renews the worker's lease again", held=len(state.held))
        return
    first = min(state.held.values(), key=lambda held: _must_end_by(state, held))
    state.say(
        "does not renew the worker's lease",
        **first.log_fields(),
        state=first.state.value,
        reason=first.reason,
        entry=first.entry,
        calls=first.stop_calls,
        overdue=round(now - _must_end_by(state, first), 3),
        renewed_ago=round(now - state.renewed_at, 3),
        held=len(state.held),
    )


def can_start(state: AgentState, expected_ms: float, now: float) -> bool:
    """Return whether the lease can be renewed for long enough for a new run.

    :param expected_ms: its expected run time.
    """
    seconds = renewal_seconds(state, now)
    fits = OVERRUN_FACTOR * expected_ms <= seconds * 1000
    return seconds >= MIN_START_LEASE_SECONDS or fits
