"""What passes among entries, and what they learn from the store."""

from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EntriesListed,
)
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.messages import (
    ConfigurationAsk,
    EntryPulse,
)

__all__ = [
    "configuration_read",
    "entries_listed",
    "forget",
    "pulse_entries",
    "take_entry_pulse",
]

# Entries that are neither listed nor heard for this long are forgotten.
FORGET_ENTRY_SECONDS = 20.0

# Agents that were silent for this long, with nothing placed there, are forgotten.
FORGET_AGENT_SECONDS = 10.0


def take_entry_pulse(
    state: EntryState, sender: str, pulse: EntryPulse, now: float
) -> None:
    """Take what another entry knows."""
    _meet_entry(state, sender, now)
    for address in pulse.entries:
        _meet_entry(state, address, now, heard=False)
    own = state.queues.version if state.queues else 0
    if pulse.version > own:
        state.send(sender, ConfigurationAsk(own))


def _meet_entry(
    state: EntryState, address: str, now: float, heard: bool = True
) -> None:
    if address == state.address:
        return
    if address not in state.entries:
        state.say("meets an entry", entry=address)
        state.entries[address] = now
    elif heard:
        state.entries[address] = now


def configuration_read(state: EntryState, event: ConfigurationRead, now: float) -> None:
    """Put a configuration in force if it is newer."""
    own = state.queues.version if state.queues else 0
    if event.queues.version <= own:
        return
    state.say("a configuration is in force", version=event.queues.version, was=own)
    state.queues = event.queues
    pulse_entries(state, now)


def entries_listed(state: EntryState, event: EntriesListed, now: float) -> None:
    """Take up the entries that the store lists."""
    state.listed = set(event.addresses) - {state.address}
    for address in state.listed:
        _meet_entry(state, address, now, heard=False)


def pulse_entries(state: EntryState, now: float) -> None:
    """Tell the other entries what this one knows."""
    state.entries_pulsed_at = now
    version = state.queues.version if state.queues else 0
    for address in state.entries:
        known = [other for other in state.entries if other != address]
        state.send(address, EntryPulse(state.life, version, known))


def forget(state: EntryState, now: float) -> None:
    """Forget entries and agents that have been silent for long."""
    for address, heard_at in list(state.entries.items()):
        kept = address in state.listed or address in state.seeds
        if not kept and now - heard_at > FORGET_ENTRY_SECONDS:
            state.say("forgets a silent entry", entry=address)
            del state.entries[address]
    for address, view in list(state.views.items()):
        if not view.placed and now - view.heard_at > FORGET_AGENT_SECONDS:
            state.say("forgets a silent agent", agent=address)
            del state.views[address]
