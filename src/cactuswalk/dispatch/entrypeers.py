"""What passes among entries, and what they learn from the store.

Each entry speaks to a few others by turns, so that the cost of it doesn't grow with
their number; what one of them knows spreads from each to the next. The list of all
entries passes only between two that differ in it.
"""

import itertools

from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EntriesListed,
    EvacuationsRead,
)
from cactuswalk.dispatch.entryknown import KnownEntry
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.dispatch.membership import FORGET_ENTRY_SECONDS, Member, digest
from cactuswalk.dispatch.messages import (
    ConfigurationAsk,
    EntryPulse,
    Members,
)

__all__ = [
    "configuration_read",
    "entries_listed",
    "evacuations_read",
    "forget",
    "pulse_next_entries",
    "take_entry_pulse",
    "take_members",
]

# Others are told of an entry only so long after it was heard itself. Without a bound
# two entries would for ever tell each other of a third that is gone for good.
TELL_OF_SECONDS = 5.0

# Agents that were silent for this long, with nothing placed there, are forgotten;
# those that were used for overflow are expected to fall silent.
FORGET_AGENT_SECONDS = 10.0
FORGET_OVERFLOW_SECONDS = 3.0

# Entries that one speaks to in a round.
ROUND_ENTRIES = 6

# The list of entries goes to the same one no more often than this.
TELL_MEMBERS_SECONDS = 1.0


def take_entry_pulse(
    state: EntryState, sender: str, pulse: EntryPulse, now: float
) -> None:
    """Take what another entry knows."""
    member = Member(sender, pulse.data_centre)
    entry = _meet_entry(state, sender, now)
    entry.heard_at = now
    entry.data_centre = pulse.data_centre
    entry.free_cpu = pulse.free_cpu
    _take_evacuations(state, pulse.evacuations, sender, now)
    if pulse.version > state.version:
        state.send(sender, ConfigurationAsk(state.version))
    if member not in state.members:
        refresh_members(state, now)
    if pulse.members != state.members_digest:
        _tell_members(state, sender, entry, now)


def take_members(state: EntryState, sender: str, message: Members, now: float) -> None:
    """Take the entries that another one knows."""
    for member in message.members:
        if member.address != state.address:
            entry = _meet_entry(state, member.address, now)
            entry.data_centre = entry.data_centre or member.data_centre
    refresh_members(state, now)


def _tell_members(
    state: EntryState, address: str, entry: KnownEntry, now: float
) -> None:
    if now - entry.told_at < TELL_MEMBERS_SECONDS:
        return
    entry.told_at = now
    state.send(address, Members(list(state.members)))


def _meet_entry(state: EntryState, address: str, now: float) -> KnownEntry:
    entry = state.entries.get(address)
    if entry is None:
        state.say("meets an entry", entry=address)
        entry = state.entries[address] = KnownEntry(now)
    return entry


def refresh_members(state: EntryState, now: float) -> None:
    """Reckon anew which entries others are told of, this one among them."""
    members = [Member(state.address, state.data_centre)]
    members.extend(
        Member(address, entry.data_centre)
        for address, entry in state.entries.items()
        if address in state.listed or now - entry.heard_at < TELL_OF_SECONDS
    )
    members.sort()
    if members == state.members:
        return
    state.members = members
    state.members_digest = digest(members)
    state.members_version += 1


def configuration_read(state: EntryState, event: ConfigurationRead, now: float) -> None:
    """Put a configuration in force if it is newer."""
    version = event.queues.version
    if version <= state.version:
        return
    state.say("a configuration is in force", version=version, was=state.version)
    state.queues = event.queues
    pulse_entries(state, list(state.entries), now)


def evacuations_read(state: EntryState, event: EvacuationsRead, now: float) -> None:
    """Take the evacuations as the store has them."""
    _take_evacuations(state, event.evacuations, "the store", now)


def _take_evacuations(
    state: EntryState, evacuations: Evacuations, source: str, now: float
) -> None:
    """Place by newer evacuations from now on, and tell others of a change at once."""
    if not evacuations.is_newer_than(state.evacuations):
        return
    was = state.evacuations
    state.evacuations = evacuations
    if evacuations.data_centres == was.data_centres:
        return
    state.evacuations_changed = state.place_wanted = True
    state.observe("evacuations_changed")
    state.say(
        "the evacuated data centres change",
        evacuated=list(evacuations.data_centres),
        was=list(was.data_centres),
        revision=evacuations.revision,
        source=source,
    )
    pulse_entries(state, list(state.entries), now)


def entries_listed(state: EntryState, event: EntriesListed, now: float) -> None:
    """Take up the entries that the store lists."""
    state.listed = {member.address for member in event.members} - {state.address}
    for member in event.members:
        if member.address != state.address:
            entry = _meet_entry(state, member.address, now)
            entry.data_centre = member.data_centre or entry.data_centre
    refresh_members(state, now)


def pulse_next_entries(state: EntryState, now: float) -> None:
    """Tell the next few of the other entries what this one knows."""
    state.entries_pulsed_at = now
    refresh_members(state, now)
    addresses = sorted(state.entries)
    count = min(ROUND_ENTRIES, len(addresses))
    if not count:
        return
    first = state.next_pulsed % len(addresses)
    state.next_pulsed = first + count
    turn = itertools.islice(itertools.cycle(addresses), first, first + count)
    pulse_entries(state, list(turn), now)


def pulse_entries(state: EntryState, addresses: list[str], now: float) -> None:
    """Tell some of the other entries what this one knows."""
    pulse = EntryPulse(
        state.life,
        state.version,
        state.data_centre,
        state.members_digest,
        state.free_cpu(now),
        state.evacuations,
    )
    for address in addresses:
        state.send(address, pulse)


def forget(state: EntryState, now: float) -> None:
    """Forget entries and agents that have been silent for long."""
    for address, entry in list(state.entries.items()):
        kept = address in state.listed or address in state.seeds
        if not kept and now - entry.heard_at > FORGET_ENTRY_SECONDS:
            state.say("forgets a silent entry", entry=address)
            del state.entries[address]
    for address, view in list(state.views.items()):
        most = FORGET_AGENT_SECONDS if view.report.home else FORGET_OVERFLOW_SECONDS
        if not view.placed and now - view.heard_at > most:
            state.say("forgets a silent agent", agent=address)
            del state.views[address]
            state.pulsed_at.pop(address, None)
