"""What an entry does to use the room of agents that are not at home here."""

from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.messages import Pulse, RoomAsk, RoomOffer
from cactuswalk.dispatch.ordering import serving_order
from cactuswalk.dispatch.overflow import agents_to_offer, whom_to_ask

__all__ = ["release_overflow", "room_asked", "room_offered", "seek_agents", "seek_room"]

# A job that has just come is not worth a question: the home agents free room all the
# time, and an overflow agent costs messages for a second or more.
SEEK_AFTER_SECONDS = 0.015

# Overflow agents are spoken to for so long after the last offer or start.
OVERFLOW_SECONDS = 1.0

# Of those, at most so many at a time: each costs as much as one that is at home.
MOST_OVERFLOW_AGENTS = 10


def seek_room(state: EntryState, now: float) -> None:
    """Ask other entries for agents that have room, if jobs wait for some here."""
    if not _may_ask(state, now):
        return
    waiting = [
        job
        for job in state.waiting_jobs()
        if now - job.arrived_at >= SEEK_AFTER_SECONDS
    ]
    if waiting:
        first = serving_order(waiting)[0]
        step = first.waiting[0].step
        service = first.queue.service
        _ask(state, RoomAsk(service, step.cpu, step.memory_mb, step.gpu), now)


def seek_agents(state: EntryState, now: float) -> None:
    """Ask other entries for any agents, if none that may get tasks is heard here.

    Where a data centre has no agents, has lost them all or is evacuated, its entries
    would turn callers away though these can be served elsewhere.
    """
    if not state.hears_usable_agents(now) and _may_ask(state, now):
        _ask(state, RoomAsk("", 0, 0, 0), now)


def _may_ask(state: EntryState, now: float) -> bool:
    return (
        now >= state.search.due_at and len(state.overflow_until) < MOST_OVERFLOW_AGENTS
    )


def _ask(state: EntryState, ask: RoomAsk, now: float) -> None:
    turn = state.search.turn
    addresses = whom_to_ask(state.entries, state.data_centre, turn, now)
    if not addresses:
        return
    state.search.begin(now)
    for address in addresses:
        state.observe("room_asked")
        state.send(address, ask)


def room_asked(state: EntryState, sender: str, ask: RoomAsk, now: float) -> None:
    """Offer another entry agents that have room, unless jobs wait for it here."""
    if state.waiting_jobs():
        return
    search = state.search
    agents = agents_to_offer(state.usable_views(), ask, search.offer_turn, now)
    search.offer_turn += len(agents)
    if agents:
        state.send(sender, RoomOffer(agents))


def room_offered(state: EntryState, sender: str, offer: RoomOffer, now: float) -> None:
    """Speak to the agents that another entry has offered."""
    new = [address for address in offer.agents if address not in state.views]
    for address in offer.agents:
        state.overflow_until[address] = now + OVERFLOW_SECONDS
    if not new:
        return
    state.search.has_helped()
    state.observe("room_offered")
    state.say(
        "uses agents for overflow",
        entry=sender,
        new=len(new),
        agents=len(state.overflow_until),
    )
    for address in new:
        greeting = Pulse(
            state.life, "", 0, state.data_centre, [], None, 0, state.evacuations
        )
        state.send(address, greeting)


def release_overflow(state: EntryState, now: float) -> None:
    """Let go of agents whose room has not been used for a while.

    Where no agent at home may get tasks they stay: without them there would be nobody.
    """
    if not any(view.report.home for view in state.usable_views()):
        return
    for address, until in list(state.overflow_until.items()):
        view = state.views.get(address)
        if view is not None and view.placed:
            state.overflow_until[address] = now + OVERFLOW_SECONDS
        elif now > until:
            del state.overflow_until[address]
