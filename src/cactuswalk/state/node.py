"""The reducer of an agent's process: agent, candidate and, at times, owner."""

import sys
from collections.abc import Callable

from cactuswalk.errors import InvariantError
from cactuswalk.messages import (
    Cancel,
    CededSlots,
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationUpdate,
    Declined,
    Explain,
    Fence,
    Fenced,
    HandOver,
    Join,
    LastContactReply,
    LastContactRequest,
    Leave,
    NotOwner,
    Ping,
    Pong,
    Probe,
    Query,
    RecordsReplicated,
    ReplicateRecords,
    Result,
    Running,
    SlotOffer,
    SlotRequest,
    Start,
    Submit,
    Subscribe,
    Witness,
    Witnessed,
)
from cactuswalk.state import (
    agent as agents,
    candidate as candidates,
    copying,
    flights,
    inquiries,
    peers,
    placing,
    recovery,
    reporting,
    roster,
    sharing,
    spreading,
    submissions,
)
from cactuswalk.state.candidate import Takeover
from cactuswalk.state.effects import Count, Effect, Log, Part, Send
from cactuswalk.state.events import (
    Announced,
    Event,
    KeyRead,
    KeySwapped,
    Received,
    StopRequested,
    Tick,
    UpstreamAnswered,
    UsageReported,
)
from cactuswalk.state.nodestate import Node, new_node
from cactuswalk.state.owner import OwnerState
from cactuswalk.state.retention import RecordStore
from cactuswalk.state.stopping import advance_stop

__all__ = ["Node", "handle", "new_node"]


_TO_AGENT: dict[type, Callable] = {
    Ping: agents.on_ping,
    Start: agents.on_start,
    Probe: agents.on_probe,
    Fence: copying.on_fence,
    Witness: copying.on_witness,
    ReplicateRecords: copying.on_adopt,
    LastContactRequest: agents.on_heard,
}
_TO_OWNER: dict[type, Callable] = {
    Pong: peers.on_pong,
    Subscribe: reporting.on_subscribe,
    Submit: submissions.on_submit,
    Cancel: submissions.on_cancel,
    Query: inquiries.on_query,
    Explain: inquiries.on_explain,
    Result: flights.on_result,
    Declined: flights.on_declined,
    Running: flights.on_running,
    Witnessed: placing.on_witnessed,
    Fenced: recovery.on_fenced,
    RecordsReplicated: roster.on_adopted,
    Join: roster.on_join,
    Leave: roster.on_leave,
    SlotRequest: sharing.on_ask_share,
    CededSlots: sharing.on_ceded,
    SlotOffer: sharing.on_spare,
}
_TO_CANDIDATE: dict[type, Callable] = {
    LastContactReply: candidates.on_heard_reply,
    NotOwner: candidates.on_not_owner,
    HandOver: candidates.on_hand_over,
}
# Messages within a cell; in the others ``cell`` names the cell that they refer to.
_WITHIN_CELL = frozenset(
    kind
    for kind in (*_TO_AGENT, *_TO_OWNER, LastContactReply, HandOver)
    if "cell" in kind.__struct_fields__
) - {SlotRequest, CededSlots, SlotOffer, Subscribe}


def handle(node: Node, event: Event, now: float) -> list[Effect]:
    """Handle one event and return the resulting effects.

    Messages of the node to itself are handled at once and not returned.
    """
    _dispatch(node, event, now)
    outgoing: list[Effect] = []
    effects = _collect(node, now)
    while effects:
        inner = []
        for effect in effects:
            if isinstance(effect, Send) and effect.address == node.member.address:
                inner.append(effect.message)
            else:
                outgoing.append(effect)
        for message in inner:
            _on_received(node, Received(node.member.address, message), now)
        effects = _collect(node, now)
    return outgoing


def _collect(node: Node, now: float) -> list[Effect]:
    """Collect the effects of all parts; step down first if the owner is deposed."""
    effects: list[Effect] = []
    if node.owner is not None:
        higher = node.agent.gate.epoch > node.owner.record.epoch
        if node.owner.deposed or higher:
            _step_down(node)
        else:
            effects += node.owner.effects
            node.owner.effects = []
    effects += node.agent.effects + node.candidate.effects
    node.agent.effects, node.candidate.effects = [], []
    return effects


def _dispatch(node: Node, event: Event, now: float) -> None:
    if isinstance(event, Received):
        _on_received(node, event, now)
    elif isinstance(event, Tick):
        _on_tick(node, now)
    elif isinstance(event, UpstreamAnswered):
        agents.on_upstream_answered(node.agent, event, now)
    elif isinstance(event, UsageReported):
        agents.on_usage(node.agent, event, now)
    elif isinstance(event, Announced):
        agents.on_announced(node.agent, event, now)
    elif isinstance(event, KeyRead):
        _on_read(node, event, now)
    elif isinstance(event, KeySwapped):
        _on_swapped(node, event, now)
    elif isinstance(event, StopRequested):
        if not node.stopping:
            node.stopping_since = now
        node.stopping = True
        node.agent.gate.stopping = True


def _on_received(node: Node, event: Received, now: float) -> None:
    message = event.message
    kind = type(message)
    if kind in _WITHIN_CELL and message.cell != node.cell:
        # This address belonged to another cell until recently, and that cell's owner
        # still sends to it. If its epoch were accepted, the owner of this cell would
        # see a higher epoch than its own and step down needlessly.
        node.agent.effects.append(Count("agent.other_cell", 1))
        return
    if kind in _TO_AGENT:
        _TO_AGENT[kind](node.agent, event.sender, message, now)
    elif kind in _TO_CANDIDATE:
        _TO_CANDIDATE[kind](node.candidate, message, now)
    elif kind in _ON_CONFIGURATION:
        _ON_CONFIGURATION[kind](node, event.sender, message, now)
    elif kind in _TO_OWNER:
        if node.owner is not None:
            _TO_OWNER[kind](node.owner, event.sender, message, now)
        else:
            _reply_not_owner(node, event)


def _on_offer(node: Node, sender: str, offer: ConfigurationOffer, now: float) -> None:
    spreading.on_offer(node.agent.sync, node.agent, sender, offer, now)


def _on_request(
    node: Node, sender: str, request: ConfigurationRequest, now: float
) -> None:
    spreading.on_request(node.agent.sync, node.agent, sender, request)


def _on_update(
    node: Node, sender: str, update: ConfigurationUpdate, now: float
) -> None:
    spreading.on_update(node.agent.sync, node.agent, node.owner, sender, update, now)


_ON_CONFIGURATION: dict[type, Callable] = {
    ConfigurationOffer: _on_offer,
    ConfigurationRequest: _on_request,
    ConfigurationUpdate: _on_update,
}


def _reply_not_owner(node: Node, event: Received) -> None:
    """Reject a message to the owner, naming the owner known to this agent."""
    message = event.message
    if not isinstance(message, Submit | Subscribe | Cancel | Query):
        return
    submission, attempt = "", 0
    if isinstance(message, Submit):
        submission, attempt = message.job.submission, message.attempt
    _redirect(node, event.sender, submission, attempt)


def _redirect(node: Node, sender: str, submission: str, attempt: int) -> None:
    """Tell an entry which owner this agent knows.

    Without the address, an entry would find the new owner after a planned stop only
    once the old one has been silent long enough to be taken for lost.
    """
    gate = node.agent.gate
    address = gate.owner.address if gate.owner is not None else ""
    if address == node.member.address:
        address = ""
    message = NotOwner(node.cell, gate.epoch, address, submission, attempt)
    node.agent.effects.append(Send(sender, message))


def _on_read(node: Node, event: KeyRead, now: float) -> None:
    if node.owner is not None:
        _on_read_as_owner(node, event, now)
        return
    if event.key != roster.cell_key(node.cell):
        return
    taken = candidates.on_read(node.candidate, event, now)
    if taken is not None:
        _become_owner(node, taken, now)


def _on_read_as_owner(node: Node, event: KeyRead, now: float) -> None:
    if event.key == roster.cell_key(node.cell):
        roster.on_read(node.owner, event, now)
        return
    if event.key.startswith(roster.cell_key("")):
        sharing.on_partner_read(node.owner, event, now)
    else:
        sharing.on_service_read(node.owner, event, now)
    roster.maintain_roster(node.owner, now)


def _on_swapped(node: Node, event: KeySwapped, now: float) -> None:
    if node.owner is not None:
        if event.key == roster.cell_key(node.cell):
            roster.on_swapped(node.owner, event, now)
        else:
            sharing.on_service_swapped(node.owner, event, now)
        return
    taken = candidates.on_swapped(node.candidate, event, now)
    if taken is not None:
        _become_owner(node, taken, now)


def _become_owner(node: Node, taken: Takeover, now: float) -> None:
    """Start as the owner of an epoch that the key-value service has confirmed.

    The confirmation may come so late that another node owns the cell by then.

    :raises InvariantError: if another owner already uses the same epoch.
    """
    seen = node.agent.gate.epoch
    if taken.record.epoch < seen:
        node.agent.effects.append(Count("cell.overtaken"))
        return
    if taken.record.epoch == seen:
        raise InvariantError(
            f"{node.cell}: epoch {seen} was acquired, but another owner uses it",
            "The key-value service lost data. Stop the cell and restore its record.",
        )
    node.owner = OwnerState(
        node.cell,
        node.member,
        taken.record,
        taken.revision,
        node.timing,
        node.generator,
        node.agent,
        node.make_scheduler(),
        node.agent.sync,
        # Bounded by the agents' records of the lookback period, some seconds.
        RecordStore(node.timing.retention, sys.maxsize),
        maximum_bytes=node.ledger_bytes,
        wall_ms=node.wall_ms,
    )
    recovery.begin_recovery(node.owner, taken.earlier, now)


def _step_down(node: Node) -> None:
    """Stop acting as the owner, and redirect waiting entries to the new one."""
    owner, node.owner = node.owner, None
    node.agent.effects.append(
        Log(
            Part.OWNER,
            "stepped down",
            {"cell": node.cell, "epoch": owner.record.epoch},
        )
    )
    node.agent.effects.append(Count("owner.deposed"))
    waiting = [(held.sender, held.submit) for held in owner.held]
    for sender, submit in waiting:
        _redirect(node, sender, submit.job.submission, submit.attempt)
    for name in owner.open:
        for sender, attempt in owner.ledger[name].waiters.items():
            _redirect(node, sender, name, attempt)


def _on_tick(node: Node, now: float) -> None:
    node.agent.gate.records.expire(now)
    node.agent.copies.expire(now)
    node.agent.effects += node.agent.sync.tick(now)
    if node.owner is not None:
        _tick_owner(node.owner, now)
    else:
        if now - node.agent.heard_at < node.timing.ping:
            candidates.reset_join_wait(node.candidate)
        candidates.on_tick(node.candidate, now)
    if node.stopping:
        advance_stop(node, now)


def _tick_owner(owner: OwnerState, now: float) -> None:
    recovery.recover(owner, now)
    peers.ping_peers(owner, now)
    peers.abandon_lost_peers(owner, now)
    sharing.maintain_shares(owner, now)
    roster.maintain_roster(owner, now)
    placing.withdraw_unwitnessed(owner, now)
    submissions.expire_ledger(owner, now)
    placing.dispatch(owner, now)
    reporting.send_reports(owner, now)
    owner.recovered.expire(now)
