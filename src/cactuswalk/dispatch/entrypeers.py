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
from cactuswalk.dispatch.membership import FORGET_ENTRY_SECONDS, Member, digest_members
from cactuswalk.dispatch.messages import (
    ConfigurationRequest,
    EntryStatus,
    MemberList,
)

__all__ = [
    "forget_silent_peers",
    "handle_configuration",
    "handle_entries",
    "handle_entry_status",
    "handle_evacuations",
    "handle_member_list",
    "send_status_by_turns",
]

# Others are told of an entry only so long after it was heard itself. Without a bound
# two entries would for ever tell each other of a third that is gone for good.
ADVERTISE_SECONDS = 5.0

# Agents that were silent for this long, with nothing placed there, are forgotten;
# those that were used for overflow are expected to fall silent.
FORGET_AGENT_SECONDS = 10.0
FORGET_OVERFLOW_SECONDS = 3.0

# Entries that one speaks to in a round.
MAX_ENTRIES_PER_ROUND = 6

# The list of entries goes to the same one no more often than this.
MEMBERS_INTERVAL_SECONDS = 1.0


def handle_entry_status(
    state: EntryState, sender: str, status: EntryStatus, now: float
) -> None:
    """Take what another entry knows."""
    member = Member(sender, status.data_centre)
    entry = _get_or_add_entry(state, sender, now)
    entry.heard_at = now
    entry.data_centre = status.data_centre
    entry.free_cpu = status.free_cpu
    _apply_evacuations(state, status.evacuations, sender, now)
    if status.version > state.version:
        state.send(sender, ConfigurationRequest(state.version))
    if member not in state.members:
        refresh_members(state, now)
    if status.members != state.members_digest:
        _send_members(state, sender, entry, now)


def handle_member_list(
    state: EntryState, sender: str, message: MemberList, now: float
) -> None:
    """Take the entries that another one knows."""
    for member in message.members:
        if member.address != state.address:
            entry = _get_or_add_entry(state, member.address, now)
            entry.data_centre = entry.data_centre or member.data_centre
    refresh_members(state, now)


def _send_members(
    state: EntryState, address: str, entry: KnownEntry, now: float
) -> None:
    if now - entry.members_sent_at < MEMBERS_INTERVAL_SECONDS:
        return
    entry.members_sent_at = now
    state.send(address, MemberList(list(state.members)))


def _get_or_add_entry(state: EntryState, address: str, now: float) -> KnownEntry:
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
        if address in state.listed_entries or now - entry.heard_at < ADVERTISE_SECONDS
    )
    members.sort()
    if members == state.members:
        return
    state.members = members
    state.members_digest = digest_members(members)
    state.members_version += 1


def handle_configuration(
    state: EntryState, event: ConfigurationRead, now: float
) -> None:
    """Put a configuration in force if it is newer."""
    version = event.queues.version
    if version <= state.version:
        return
    state.say("a configuration is in force", version=version, was=state.version)
    state.queues = event.queues
    send_status(state, list(state.entries), now)


def handle_evacuations(state: EntryState, event: EvacuationsRead, now: float) -> None:
    """Take the evacuations as the store has them."""
    _apply_evacuations(state, event.evacuations, "the store", now)


def _apply_evacuations(
    state: EntryState, evacuations: Evacuations, source: str, now: float
) -> None:
    """Place by newer evacuations from now on, and tell others of a change at once."""
    if not evacuations.is_newer_than(state.evacuations):
        return
    was = state.evacuations
    state.evacuations = evacuations
    if evacuations.data_centres == was.data_centres:
        return
    state.evacuations_changed = state.placement_needed = True
    state.observe("evacuations_changed")
    state.say(
        "the evacuated data centres change",
        evacuated=list(evacuations.data_centres),
        was=list(was.data_centres),
        revision=evacuations.revision,
        source=source,
    )
    send_status(state, list(state.entries), now)


def handle_entries(state: EntryState, event: EntriesListed, now: float) -> None:
    """Take up the entries that the store lists."""
    state.listed_entries = {member.address for member in event.members} - {
        state.address
    }
    for member in event.members:
        if member.address != state.address:
            entry = _get_or_add_entry(state, member.address, now)
            entry.data_centre = member.data_centre or entry.data_centre
    refresh_members(state, now)


def send_status_by_turns(state: EntryState, now: float) -> None:
    """Tell the next few of the other entries what this one knows."""
    state.status_sent_at = now
    refresh_members(state, now)
    addresses = sorted(state.entries)
    count = min(MAX_ENTRIES_PER_ROUND, len(addresses))
    if not count:
        return
    first = state.next_status_index % len(addresses)
    state.next_status_index = first + count
    turn = itertools.islice(itertools.cycle(addresses), first, first + count)
    send_status(state, list(turn), now)


def send_status(state: EntryState, addresses: list[str], now: float) -> None:
    """Tell some of the other entries what this one knows."""
    status = EntryStatus(
        state.incarnation,
        state.version,
        state.data_centre,
        state.members_digest,
        state.free_cpu(now),
        state.evacuations,
    )
    for address in addresses:
        state.send(address, status)


def forget_silent_peers(state: EntryState, now: float) -> None:
    """Forget entries and agents that have been silent for long."""
    for address, entry in list(state.entries.items()):
        kept = address in state.listed_entries or address in state.seeds
        if not kept and now - entry.heard_at > FORGET_ENTRY_SECONDS:
            state.say("forgets a silent entry", entry=address)
            del state.entries[address]
    for address, view in list(state.views.items()):
        most = FORGET_AGENT_SECONDS if view.report.home else FORGET_OVERFLOW_SECONDS
        if not view.placed and now - view.heard_at > most:
            state.say("forgets a silent agent", agent=address)
            del state.views[address]
            state.keepalive_sent_at.pop(address, None)
