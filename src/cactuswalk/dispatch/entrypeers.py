"""Messages among entries, and what they read from the store.

Each entry sends its status to a few others per round, in turn, so the cost does not
grow with their number, and news spread from entry to entry (gossip). The full list of
entries is only exchanged by two entries whose digests of it differ.
"""

import itertools

from cactuswalk.dispatch.entryadmission import list_queued
from cactuswalk.dispatch.entryattempts import list_jobs, note_listed_jobs
from cactuswalk.dispatch.entrycrashes import (
    forget_known_crashes,
    list_crashes,
    note_known_crashes,
)
from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EntriesListed,
    EvacuationsRead,
)
from cactuswalk.dispatch.entryknown import KnownEntry
from cactuswalk.dispatch.entryrequeue import update_waiting_jobs
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

# An entry that the store does not list is advertised to others for this long after it
# was last heard. Without a bound, two entries would advertise a third one that has gone
# to each other forever.
ADVERTISE_SECONDS = 5.0

# Silent agents without starts are forgotten after this. Released overflow agents
# are expected to stop reporting.
FORGET_AGENT_SECONDS = 10.0
FORGET_OVERFLOW_SECONDS = 3.0

# Entries that get a status in one round.
MAX_ENTRIES_PER_ROUND = 6

# Minimum interval of lists of entries to the same entry.
MEMBERS_INTERVAL_SECONDS = 1.0


def handle_entry_status(
    state: EntryState, sender: str, status: EntryStatus, now: float
) -> None:
    """Handle another entry's status."""
    member = Member(sender, status.data_centre)
    entry = _get_or_add_entry(state, sender, now)
    entry.heard_at = now
    entry.data_centre = status.data_centre
    entry.free_cpu = status.free_cpu
    entry.queued = status.queued
    note_listed_jobs(state, sender, status.jobs, now)
    note_known_crashes(state, status.crashes, now)
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
    """Add the entries that another one knows."""
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
        state.say("discovered an entry", entry=address)
        entry = state.entries[address] = KnownEntry(now)
    return entry


def refresh_members(state: EntryState, now: float) -> None:
    """Update the list of entries that others are told of, this one included."""
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
    """Apply a configuration if it is newer."""
    version = event.queues.version
    if version <= state.version:
        return
    state.say("a configuration is in force", version=version, was=state.version)
    state.queues = event.queues
    update_waiting_jobs(state, event.queues)
    state.reach_phase("configuration", now)
    send_status(state, list(state.entries), now)


def handle_evacuations(state: EntryState, event: EvacuationsRead, now: float) -> None:
    """Apply the evacuations read from the store."""
    _apply_evacuations(state, event.evacuations, "the store", now)


def _apply_evacuations(
    state: EntryState, evacuations: Evacuations, source: str, now: float
) -> None:
    """Apply newer evacuations, and tell others of a change at once."""
    if not evacuations.is_newer_than(state.evacuations):
        return
    was = state.evacuations
    state.evacuations = evacuations
    if evacuations.data_centres == was.data_centres:
        return
    state.recheck_requested = state.placement_needed = True
    state.observe("evacuations_changed")
    state.say(
        "the evacuated data centres have changed",
        evacuated=list(evacuations.data_centres),
        was=list(was.data_centres),
        revision=evacuations.revision,
        source=source,
    )
    send_status(state, list(state.entries), now)


def handle_entries(state: EntryState, event: EntriesListed, now: float) -> None:
    """Add the entries that the store lists."""
    state.listed_entries = {member.address for member in event.members} - {
        state.address
    }
    for member in event.members:
        if member.address != state.address:
            entry = _get_or_add_entry(state, member.address, now)
            entry.data_centre = member.data_centre or entry.data_centre
    refresh_members(state, now)


def send_status_by_turns(state: EntryState, now: float) -> None:
    """Send this entry's status to the next few other entries."""
    state.status_sent_at = now
    refresh_members(state, now)
    addresses = sorted(state.entries)
    count = min(MAX_ENTRIES_PER_ROUND, len(addresses))
    if not count:
        return
    first = state.next_status_index % len(addresses)
    state.next_status_index = first + count
    turn = set(itertools.islice(itertools.cycle(addresses), first, first + count))
    if state.jobs:
        # A caller's second attempt comes to its own data centre first.
        turn.update(_nearby_entries(state))
    send_status(state, sorted(turn), now)


def _nearby_entries(state: EntryState) -> list[str]:
    return [
        address
        for address, entry in state.entries.items()
        if entry.data_centre == state.data_centre
    ]


def send_status(state: EntryState, addresses: list[str], now: float) -> None:
    """Send this entry's status to some other entries."""
    status = EntryStatus(
        state.incarnation,
        state.version,
        state.data_centre,
        state.members_digest,
        state.free_cpu(now),
        state.evacuations,
        list_jobs(state, now),
        list_crashes(state),
        list_queued(state),
    )
    for address in addresses:
        state.send(address, status)


def forget_silent_peers(state: EntryState, now: float) -> None:
    """Remove entries and agents that have been silent for too long."""
    forget_known_crashes(state, now)
    for address, entry in list(state.entries.items()):
        kept = address in state.listed_entries or address in state.seeds
        if not kept and now - entry.heard_at > FORGET_ENTRY_SECONDS:
            state.say("removed a silent entry", entry=address)
            del state.entries[address]
    for address, view in list(state.views.items()):
        most = FORGET_AGENT_SECONDS if view.report.home else FORGET_OVERFLOW_SECONDS
        if not view.placed and now - view.heard_at > most:
            state.say("removed a silent agent", agent=address)
            del state.views[address]
            state.keepalive_sent_at.pop(address, None)
