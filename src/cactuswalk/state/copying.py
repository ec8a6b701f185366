"""Records that an agent sends to a new owner, or keeps as copies for other agents."""

import math

from cactuswalk.messages import (
    Fence,
    Fenced,
    Record,
    RecordsReplicated,
    ReplicateRecords,
    Witness,
    Witnessed,
)
from cactuswalk.state.agent import AgentState
from cactuswalk.state.effects import (
    Count,
    Send,
)
from cactuswalk.state.gate import (
    accept_epoch,
)
from cactuswalk.state.retention import choose_newer

__all__ = ["MAX_RECORDS_PER_PART", "on_adopt", "on_fence", "on_witness"]

# Records in one message. At some 200 bytes each without a body this is 40 KB, which
# blocks the event loop of either process for no more than a few milliseconds.
MAX_RECORDS_PER_PART = 200


def on_fence(state: AgentState, sender: str, fence: Fence, now: float) -> None:
    """Accept the epoch of a new owner, and send it the records of this agent."""
    gate = state.gate
    earlier = gate.epoch
    if not accept_epoch(gate, fence.epoch, fence.owner):
        state.effects.append(Count("agent.fence.refused"))
        return
    if fence.epoch > earlier:
        state.confirmed_at = state.heard_at
    state.heard_at = now
    if state.fenced_epoch != fence.epoch:
        state.fenced_epoch = fence.epoch
        _collect_records(state, now)
    parts = max(1, math.ceil(len(state.fenced_records) / MAX_RECORDS_PER_PART))
    for part in range(parts):
        first = part * MAX_RECORDS_PER_PART
        fenced = Fenced(
            state.cell,
            fence.epoch,
            gate.member,
            part,
            parts,
            state.fenced_records[first : first + MAX_RECORDS_PER_PART],
            state.announcement,
            int((now - state.confirmed_at) * 1000),
            int((now - state.fenced_since) * 1000),
        )
        state.effects.append(Send(sender, fenced))


def _collect_records(state: AgentState, now: float) -> None:
    """Take a snapshot of the records for a new owner, and the period it covers."""
    since = now - state.lookback
    records = state.gate.records
    state.fenced_records = records.changed_since(since) + state.copies.changed_since(
        since
    )
    state.fenced_since = max(since, records.known_since, state.copies.known_since)


def on_witness(state: AgentState, sender: str, witness: Witness, now: float) -> None:
    """Keep a copy of the record of a task that the owner starts on its own host."""
    gate = state.gate
    is_recent = now * 1000 - witness.stamp <= gate.confirm * 1000
    if (
        witness.epoch != gate.epoch
        or witness.incarnation != gate.member.incarnation
        or not is_recent
    ):
        state.effects.append(Count("agent.witness.refused"))
        return
    _keep_copy(state, witness.record, now)
    record = witness.record
    witnessed = Witnessed(
        state.cell,
        gate.epoch,
        gate.member.incarnation,
        record.submission,
        record.index,
        record.attempt,
    )
    state.effects.append(Send(sender, witnessed))


def on_adopt(
    state: AgentState, sender: str, adopt: ReplicateRecords, now: float
) -> None:
    """Keep copies of another agent's records."""
    if adopt.epoch < state.gate.epoch:
        state.effects.append(Count("agent.adopt.refused"))
        return
    for record in adopt.records:
        _keep_copy(state, record, now)
    adopted = RecordsReplicated(state.cell, state.gate.member.incarnation, adopt.token)
    state.effects.append(Send(sender, adopted))


def _keep_copy(state: AgentState, record: Record, now: float) -> None:
    """Keep a copy of a record unless the copy kept here is newer."""
    kept = state.copies.get(record.submission, record.index)
    state.copies.put(record if kept is None else choose_newer(kept, record), now)
