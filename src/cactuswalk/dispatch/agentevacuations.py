"""Evacuations that an agent reads from the store, while its entries can't reach it.

Entries that the store turns away don't learn of an evacuation, and go on sending tasks
to the data centre's agents. These can often reach the store themselves. If they didn't
read it, tasks would start there until some entry reaches the store again.
"""

from cactuswalk.dispatch.agentevents import EvacuationsListed
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import ReadEvacuations
from cactuswalk.dispatch.messages import Keepalive

__all__ = ["handle_evacuations", "note_store_contact", "request_evacuations"]

# An agent reads the store when no entry that reaches it was heard for this long: two
# keepalives of an idle agent. Together with the time in which an entry notices that it
# doesn't reach the store, and the first interval, this is within the bound of five
# seconds that the platform sets.
UNINFORMED_SECONDS = 1.0

# Intervals of the reads; they grow while the store doesn't answer this agent either.
MIN_READ_INTERVAL_SECONDS = 0.7
MAX_READ_INTERVAL_SECONDS = 2.8


def note_store_contact(state: AgentState, keepalive: Keepalive, now: float) -> None:
    """Note that an entry which reaches the store has sent a keepalive."""
    if keepalive.reaches_store:
        state.informed_at = now
        state.evacuations_interval = MIN_READ_INTERVAL_SECONDS


def request_evacuations(state: AgentState, now: float) -> None:
    """Read the evacuations if the entries that are heard don't reach the store."""
    state.informed_at = state.informed_at or now
    if now - state.informed_at < UNINFORMED_SECONDS:
        return
    if now - state.evacuations_asked_at < state.evacuations_interval:
        return
    if not any(peer.heard_at >= state.informed_at for peer in state.entries.values()):
        return
    state.evacuations_asked_at = now
    state.effects.append(ReadEvacuations())


def handle_evacuations(state: AgentState, event: EvacuationsListed, now: float) -> None:
    """Apply the evacuations that the store lists."""
    if event.evacuations is None:
        state.evacuations_interval = min(
            2 * state.evacuations_interval, MAX_READ_INTERVAL_SECONDS
        )
        return
    state.evacuations_interval = MIN_READ_INTERVAL_SECONDS
    state.apply_evacuations(event.evacuations, "the store")
