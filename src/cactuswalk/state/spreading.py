"""Distribution of the configuration to agents, and its effect at the owner.

Every agent holds a full copy, since any of them may become the owner, and a node that
starts during an outage of the key-value service gets the configuration from a peer.
"""

from cactuswalk.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationUpdate,
)
from cactuswalk.model.configuration import Team
from cactuswalk.state.agent import AgentState
from cactuswalk.state.configuration import (
    ConfigurationSync,
    count_by_state,
    view_worker,
)
from cactuswalk.state.effects import Count, Log, Part, Send
from cactuswalk.state.owner import OwnerState, Peer

__all__ = [
    "apply_configuration",
    "apply_worker",
    "make_offer",
    "on_offer",
    "on_request",
    "on_update",
]


def on_offer(
    sync: ConfigurationSync,
    agent: AgentState,
    sender: str,
    offer: ConfigurationOffer,
    now: float,
) -> None:
    """Handle an offer of another node."""
    agent.effects += sync.on_offer(sender, offer, now)


def on_request(
    sync: ConfigurationSync,
    agent: AgentState,
    sender: str,
    request: ConfigurationRequest,
) -> None:
    """Answer a request of another node."""
    agent.effects += sync.on_request(sender, request)


def on_update(
    sync: ConfigurationSync,
    agent: AgentState,
    owner: OwnerState | None,
    sender: str,
    update: ConfigurationUpdate,
    now: float,
) -> None:
    """Apply changes; an owner also sends them to its agents and entries."""
    before = sync.replica.revision
    applied, requests = sync.on_update(sender, update, now)
    agent.effects += requests
    agent.configuration = sync.replica.revision
    if applied.refused:
        agent.effects.append(Count("configuration.refused", applied.refused))
    if not applied.objects:
        return
    keys = [stored.key for stored in applied.objects]
    fields = {"revision": sync.replica.revision, "keys": keys[:20]}
    agent.effects.append(
        Log(Part.CONFIGURATION, "put changes in force", fields | {"count": len(keys)})
    )
    if owner is None:
        return
    others = [
        peer.member.address
        for peer in owner.peers.values()
        if peer.member != owner.member
    ]
    agent.effects += sync.make_updates(before, others)
    apply_configuration(owner, sync, now)
    offer_to_entries(owner, sync)


def apply_configuration(owner: OwnerState, sync: ConfigurationSync, now: float) -> None:
    """Apply the configuration in force to the scheduler.

    All of it is applied each time: it has some hundred objects and changes rarely,
    and so nothing remains of a deleted object.
    """
    for peer in owner.peers.values():
        apply_worker(owner, sync, peer, now)
    services = {
        peer.announcement.service
        for peer in owner.peers.values()
        if peer.announcement is not None
    }
    owner.hedged_services = frozenset(
        one.name for one in sync.replica.select("service") if one.hedge
    )
    teams = {one.name: one for one in sync.replica.select("team")}
    for name in owner.quota_teams - teams.keys():
        teams[name] = Team(name=name)
    for service in services:
        for team in teams.values():
            owner.scheduler.set_quota(
                service, team.name, float(team.weight), team.maximum_running
            )
    owner.quota_teams = set(teams)


def apply_worker(
    owner: OwnerState, sync: ConfigurationSync, peer: Peer, now: float
) -> None:
    """Apply the configuration in force to one worker of the scheduler."""
    if peer.announcement is None:
        return
    view = view_worker(sync.replica, peer.announcement)
    if view.announcement != peer.in_force:
        peer.in_force = view.announcement
        owner.workers_serial += 1
        owner.scheduler.set_worker(view.announcement, peer.usable, now)
    gets_no_work = view.drained or not view.may_serve
    peer.drained = gets_no_work
    owner.scheduler.set_drained(peer.announcement.worker, gets_no_work, now)


def make_offer(owner: OwnerState, sync: ConfigurationSync) -> ConfigurationOffer:
    """Return the offer for entries: what the nodes of this cell have in force."""
    replica = sync.replica
    states = [(replica.revision, replica.ahead)]
    states += [
        (peer.configuration, peer.ahead)
        for peer in owner.peers.values()
        if peer.member != owner.member
    ]
    return ConfigurationOffer(
        replica.revision, sorted(replica.ahead), owner.cell, count_by_state(states)
    )


def offer_to_entries(owner: OwnerState, sync: ConfigurationSync) -> None:
    """Send an offer to all entries at once, without waiting for the next report."""
    offer = make_offer(owner, sync)
    owner.effects += [Send(address, offer) for address in owner.entries]
