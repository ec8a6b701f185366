"""How many of its agents an entry hears.

An entry that hears few of them is probably cut off, and from its callers too. It can't
see that of callers: a connection that breaks during a cut may show it only after it.
"""

from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.bounds import ENTRY_LEASE_SECONDS
from cactuswalk.dispatch.entrystate import EntryState

__all__ = ["check_isolation"]

# An agent that was not heard for this long is not expected to be heard: it has gone.
# An entry whose agents have lost their power together counts as isolated until then.
EXPECTED_SECONDS = 2.0

# While messages arrive in both directions, the latest stamp of this entry that an idle
# agent has returned is no older than this: keepalives come each 0.4 s, reports each
# 0.2 s, and the timers of both processes add 0.1 s.
RETURNED_SECONDS = 0.9

# Messages that came while this process was paused have been handled after this time.
READ_SECONDS = 0.15


def check_isolation(state: EntryState, now: float) -> None:
    """Record whether fewer than half of the expected agents are heard."""
    allowance = state.paused_seconds if now - state.paused_until < READ_SECONDS else 0.0
    expected = heard = 0
    for view in state.views.values():
        if not _is_used(state, view):
            continue
        age, returned_age = _silence(view, now)
        expected += max(age, returned_age) <= EXPECTED_SECONDS + allowance
        heard += (
            age <= ENTRY_LEASE_SECONDS + allowance
            and returned_age <= RETURNED_SECONDS + allowance
        )
    if 2 * heard < expected:
        _begin(state, heard, expected, now)
    elif heard:
        _end(state, heard, expected, now)


def _is_used(state: EntryState, view: AgentView) -> bool:
    """Return whether messages are exchanged with an agent all the time."""
    is_used = view.report.home or view.address in state.overflow_until
    return is_used and bool(view.report.worker)


def _silence(view: AgentView, now: float) -> tuple[float, float]:
    """Return for how long an agent, and a returned stamp of this entry, is missing."""
    age = now - view.heard_at
    if not view.echoed_stamp:
        return age, 0.0
    return age, now - view.echoed_stamp / 1000


def _begin(state: EntryState, heard: int, expected: int, now: float) -> None:
    if state.isolated_at:
        return
    state.isolated_at = now
    state.say(
        "heard few of its agents",
        heard=heard,
        expected=expected,
        seconds=ENTRY_LEASE_SECONDS,
        jobs=len(state.jobs),
        waiting=len(state.waiting_jobs()),
    )


def _end(state: EntryState, heard: int, expected: int, now: float) -> None:
    if not state.isolated_at:
        return
    state.say(
        "hears its agents again",
        heard=heard,
        expected=expected,
        seconds=round(now - state.isolated_at + ENTRY_LEASE_SECONDS, 3),
        jobs=len(state.jobs),
        waiting=len(state.waiting_jobs()),
    )
    state.isolated_at = 0.0
