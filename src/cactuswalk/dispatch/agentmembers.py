"""Which entries this agent knows of, and which of them it works with."""

from cactuswalk.dispatch.agentevents import EntriesRead
from cactuswalk.dispatch.agentheld import EntryPeer
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import AskEntries
from cactuswalk.dispatch.membership import FORGET_ENTRY_SECONDS, home_entries
from cactuswalk.dispatch.messages import Pulse

__all__ = ["handle_entries", "refresh_peers", "request_entries", "update_members"]

# A home entry that has not been heard for so long gets a substitute: three pulses.
SILENT_SECONDS = 1.5

# An entry elsewhere that speaks to this agent no more is reported to no more. Longer
# than the lease of a start: no start that is still on its way is taken after that.
DETACH_SECONDS = 2.0

# How often the choice is made anew though nobody has told anything.
REFRESH_SECONDS = 0.25

# Without any entry for this long, the platform's store is asked for them.
ASK_ENTRIES_SECONDS = 1.5
# Then not more often than this: an agent in thousands must not flood the store.
ASK_AGAIN_SECONDS = 3.0


def update_members(state: AgentState, peer: EntryPeer, pulse: Pulse) -> None:
    """Take the entries that another one tells of."""
    if pulse.members is None or pulse.members_version < peer.members_version:
        return
    peer.members = pulse.members
    peer.members_version = pulse.members_version
    state.refresh_at = 0.0


def refresh_peers(state: AgentState, now: float) -> None:
    """Choose the home entries anew, and let go of those that are needed no more."""
    if now < state.refresh_at:
        return
    state.refresh_at = now + REFRESH_SECONDS
    silent = {
        address
        for address, peer in state.entries.items()
        if now - peer.heard_at > SILENT_SECONDS
    }
    home = home_entries(_directory(state, now), state.data_centre, state.name, silent)
    if set(home) != {peer.address for peer in state.entries.values() if peer.home}:
        state.say("works with other entries", entries=home, silent=len(silent))
    for address in home:
        if address not in state.entries:
            state.entries[address] = EntryPeer(address, heard_at=now)
    for address, peer in list(state.entries.items()):
        if peer.home != (address in home):
            peer.home = address in home
            peer.dirty = True
        if not peer.home:
            _forget_if_detached(state, peer, now)


def _directory(state: AgentState, now: float) -> dict[str, str]:
    """Return the data centre of each entry that is known, by address."""
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
    """Forget an entry that speaks to this agent no more and has nothing here."""
    silent = now - peer.heard_at
    if silent < DETACH_SECONDS or (peer.pending_ends and silent < FORGET_ENTRY_SECONDS):
        return
    if any(held.entry == peer.address for held in state.held.values()):
        return
    if silent >= FORGET_ENTRY_SECONDS:
        state.say("forgets a silent entry", entry=peer.address)
    del state.entries[peer.address]


def request_entries(state: AgentState, now: float) -> None:
    """Ask the platform's store for the entries if none is heard."""
    heard = any(
        peer.incarnation and now - peer.heard_at < ASK_ENTRIES_SECONDS
        for peer in state.entries.values()
    )
    if heard or now - state.entries_asked_at < ASK_AGAIN_SECONDS:
        return
    state.entries_asked_at = now
    state.effects.append(AskEntries())


def handle_entries(state: AgentState, event: EntriesRead, now: float) -> None:
    """Take up the entries that the store knows."""
    if event.members is None:
        return
    stored_entries = {member.address: member.data_centre for member in event.members}
    for address in stored_entries:
        if address not in state.stored_entries:
            state.say("learns of an entry from the platform", entry=address)
    state.stored_entries = stored_entries
    state.refresh_at = 0.0
    refresh_peers(state, now)
