"""The entries that an agent knows, and the choice of its home entries."""

from cactuswalk.dispatch.agentevents import EntriesRead
from cactuswalk.dispatch.agentheld import EntryPeer
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import ReadEntries
from cactuswalk.dispatch.membership import FORGET_ENTRY_SECONDS, choose_home_entries
from cactuswalk.dispatch.messages import Keepalive

__all__ = ["handle_entries", "refresh_peers", "request_entries", "update_members"]

# A home entry that has been silent for this long, three keepalives, gets a substitute.
SILENT_SECONDS = 1.5

# Other entries get no reports once they have been silent for this long. Longer than
# the lease of a start: starts that are still in transit are declined by then.
DETACH_SECONDS = 2.0

# Interval at which home entries are chosen again without news of the members.
REFRESH_SECONDS = 0.25

# When no entry has been heard for this long, the platform's store is read.
ENTRIES_READ_AFTER_SECONDS = 1.5
# Minimum interval between these reads: thousands of agents must not flood the store.
ENTRIES_READ_INTERVAL_SECONDS = 3.0


def update_members(state: AgentState, peer: EntryPeer, keepalive: Keepalive) -> None:
    """Store the list of entries in a keepalive, unless a newer one is known."""
    if keepalive.members is None or keepalive.members_version < peer.members_version:
        return
    peer.members = keepalive.members
    peer.members_version = keepalive.members_version
    state.refresh_at = 0.0


def refresh_peers(state: AgentState, now: float) -> None:
    """Choose the home entries again, and forget entries that aren't needed any more."""
    if now < state.refresh_at:
        return
    state.refresh_at = now + REFRESH_SECONDS
    directory = _directory(state, now)
    silent = _silent_entries(state, directory, now)
    home = choose_home_entries(directory, state.data_centre, state.name, silent)
    if set(home) != {peer.address for peer in state.entries.values() if peer.home}:
        state.say("the home entries have changed", entries=home, silent=len(silent))
    for address in home:
        if address not in state.entries:
            state.entries[address] = EntryPeer(address, heard_at=now)
    for address, peer in list(state.entries.items()):
        if peer.home != (address in home):
            peer.home = address in home
            peer.outdated = True
        if not peer.home:
            _forget_if_detached(state, peer, now)


def _silent_entries(
    state: AgentState, directory: dict[str, str], now: float
) -> set[str]:
    """Return the entries that don't count as live.

    Once one is silent, no other counts before it is heard: it may have ended with the
    first, and the agent would wait for one after the other.
    """
    silent = {
        address
        for address, peer in state.entries.items()
        if now - peer.heard_at > SILENT_SECONDS
    }
    if not silent:
        return silent
    return silent | {
        address
        for address in directory
        if address not in state.entries or not state.entries[address].incarnation
    }


def _directory(state: AgentState, now: float) -> dict[str, str]:
    """Return the data centre of each known entry, by address."""
    directory = dict.fromkeys(state.seeds, "")
    directory.update(state.stored_entries)
    heard = [
        peer
        for peer in state.entries.values()
        if peer.incarnation and now - peer.heard_at < FORGET_ENTRY_SECONDS
    ]
    for peer in heard:
        directory.update(
            (member.address, member.data_centre) for member in peer.members
        )
    for peer in heard:
        directory[peer.address] = peer.data_centre
    return directory


def _forget_if_detached(state: AgentState, peer: EntryPeer, now: float) -> None:
    """Forget an entry that has been silent and has no tasks or ends here."""
    silent = now - peer.heard_at
    if silent < DETACH_SECONDS or (peer.pending_ends and silent < FORGET_ENTRY_SECONDS):
        return
    if peer.address in state.index.sequences:
        return
    if silent >= FORGET_ENTRY_SECONDS:
        state.say("removed a silent entry", entry=peer.address)
    del state.entries[peer.address]


def request_entries(state: AgentState, now: float) -> None:
    """Read the entries from the platform's store if none is heard."""
    heard = any(
        peer.incarnation and now - peer.heard_at < ENTRIES_READ_AFTER_SECONDS
        for peer in state.entries.values()
    )
    if heard or now - state.entries_asked_at < ENTRIES_READ_INTERVAL_SECONDS:
        return
    state.entries_asked_at = now
    state.effects.append(ReadEntries())


def handle_entries(state: AgentState, event: EntriesRead, now: float) -> None:
    """Replace the stored entries by those that the store lists."""
    if event.members is None:
        return
    stored_entries = {member.address: member.data_centre for member in event.members}
    for address in stored_entries:
        if address not in state.stored_entries:
            state.say("found an entry in the platform's store", entry=address)
    state.stored_entries = stored_entries
    state.refresh_at = 0.0
    refresh_peers(state, now)
