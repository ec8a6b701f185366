"""Reports of an agent to the entries, on its worker and on their starts there."""

import math

import msgspec

from cactuswalk.dispatch.agentdivision import divide_room, has_room_gone, told_cpu
from cactuswalk.dispatch.agentheld import EntryPeer
from cactuswalk.dispatch.agentleases import renewal_seconds
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.costs import RESERVED_SHARE
from cactuswalk.dispatch.messages import Report

__all__ = ["report_if_dirty"]

# Minimum interval of reports to an entry if only starts have come or ended. They are
# reported before their entry sends them again (``entryagents.RESEND_AFTER_SECONDS``).
REPORT_SECONDS = 0.08

# The same if the worker or the agent has changed, or if a usual task fits that didn't
# by the last report: the entry's jobs may wait for this room.
CHANGE_REPORT_SECONDS = 0.015


def report_if_dirty(state: AgentState, now: float) -> None:
    """Send a report to each entry that waits for one or whose interval has passed."""
    divide_room(state, now)
    due = [peer for peer in state.entries.values() if _is_due(state, peer, now)]
    if not due:
        return
    general = _general_report(state, now)
    for peer in due:
        peer.dirty = peer.outdated = peer.urgent = peer.freed = False
        peer.reported_at = now
        peer.reported_cpu = told_cpu(state, peer, general.free_cpu)
        peer.share.record_report(peer.reported_cpu)
        held = list(state.index.sequences.get(peer.address, {}).values())
        report = _address(general, peer, held, now)
        state.send(peer.address, report)


def _is_due(state: AgentState, peer: EntryPeer, now: float) -> bool:
    if peer.urgent:
        return True
    if peer.freed and _has_room_again(state, peer):
        return True
    if peer.dirty and has_room_gone(state, peer):
        return True
    waited = now - peer.reported_at
    if waited < CHANGE_REPORT_SECONDS:
        return False
    if peer.outdated:
        return True
    return peer.dirty and (waited >= REPORT_SECONDS or _has_room_again(state, peer))


def _has_room_again(state: AgentState, peer: EntryPeer) -> bool:
    """Return whether a usual task fits the worker, but not by an entry's last report.

    Less urgent tasks fit only beside the reserved share.
    """
    if state.worker is None:
        return False
    free = told_cpu(state, peer, state.free_resources()[0])
    told = peer.reported_cpu
    urgent = state.usual_cpu
    other = urgent + int(RESERVED_SHARE * state.worker.cpu)
    return told < urgent <= free or told < other <= free


def _address(general: Report, peer: EntryPeer, held: list[int], now: float) -> Report:
    """Return a copy of the general report with the fields for one entry filled in."""
    return msgspec.structs.replace(
        general,
        entry_incarnation=peer.incarnation,
        last_sequence=peer.last_sequence,
        held=held + list(peer.pending_ends),
        hears_entry=bool(peer.incarnation) and peer.is_heard(now),
        acknowledged_members=peer.members_version,
        home=peer.home,
        entry_stamp=peer.entry_stamp,
        free_cpu=peer.reported_cpu,
    )


def _general_report(state: AgentState, now: float) -> Report:
    """Return the report without the fields that differ between entries."""
    cpu, memory_mb, gpu = state.free_resources()
    worker = state.worker
    trial = state.health.is_restricted
    can_try = not trial or state.can_try(now)
    left = state.seconds_left(now)
    return Report(
        incarnation=state.incarnation,
        entry_incarnation="",
        stamp=int(now * 1000),
        last_sequence=0,
        held=[],
        hears_entry=False,
        worker=worker.identifier if worker else "",
        service=worker.service if worker else "",
        data_centre=worker.data_centre if worker else state.data_centre,
        labels=list(worker.labels) if worker else [],
        open=state.is_open(now) and can_try and renewal_seconds(state, now) > 0,
        trial=trial,
        cpu=worker.cpu if worker else 0,
        free_cpu=cpu,
        free_memory_mb=memory_mb,
        free_gpu=gpu,
        pace=round(state.reported_pace(), 3),
        acknowledged_members=0,
        home=False,
        leaves_in_ms=0 if left == math.inf else max(1, int(left * 1000)),
        has_suspect=state.index.suspects > 0,
    )
