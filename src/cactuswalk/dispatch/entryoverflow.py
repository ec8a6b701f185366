"""The use of overflow agents: agents that are not home agents of this entry."""

from cactuswalk.decisions.spill import RoomNear, should_ask_early
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.messages import CapacityOffer, CapacityRequest, Keepalive
from cactuswalk.dispatch.ordering import sort_by_urgency
from cactuswalk.dispatch.overflow import (
    choose_agents_to_offer,
    choose_agents_to_share,
    choose_entries_to_ask,
    most_free_elsewhere,
)

__all__ = [
    "handle_capacity_offer",
    "handle_capacity_request",
    "release_overflow_agents",
    "request_any_agents",
    "request_capacity",
    "request_capacity_early",
]

# How long a job waits before capacity is requested for it. Home agents free capacity
# all the time, and an overflow agent costs messages for a second or more.
REQUEST_AFTER_SECONDS = 0.015

# An overflow agent is released this long after its last offer or start.
OVERFLOW_IDLE_SECONDS = 1.0

# At the same time. Each costs as many messages as a home agent.
MAX_OVERFLOW_AGENTS = 10

# The same for an entry whose data centre is evacuated and that had fewer agents there.
MIN_AGENTS_WHILE_EVACUATED = 6


def request_capacity(state: EntryState, now: float) -> None:
    """Ask other entries for agents with free capacity, if jobs wait here."""
    if not _can_request(state, now):
        return
    waiting = [
        job
        for job in state.waiting_jobs()
        if now - job.arrived_at >= REQUEST_AFTER_SECONDS
    ]
    if waiting:
        first = sort_by_urgency(waiting)[0]
        step = first.waiting[0].step
        service = first.queue.service
        _send_request(
            state, CapacityRequest(service, step.cpu, step.memory_mb, step.gpu), now
        )


def request_capacity_early(state: EntryState, now: float) -> None:
    """Ask other entries for agents before jobs wait, if the known ones are full."""
    if not state.policy.places_by_end or not state.jobs:
        return
    if not _can_request(state, now):
        return
    latest = state.jobs[next(reversed(state.jobs))]
    service, step = latest.queue.service, latest.request.steps[0]
    views = [
        view
        for view in state.usable_views()
        if view.report.service == service and view.is_open(now)
    ]
    near = RoomNear(
        sum(view.report.cpu for view in views),
        sum(max(0, view.free_cpu) for view in views),
        step.cpu,
    )
    elsewhere = most_free_elsewhere(state.entries, state.data_centre, now)
    if should_ask_early(near, elsewhere):
        state.observe("room_asked_early")
        state.say_debug(
            "asks for agents before jobs wait",
            free_cpu=near.free_cpu,
            cpu=near.cpu,
            free_elsewhere=elsewhere,
        )
        _send_request(
            state, CapacityRequest(service, step.cpu, step.memory_mb, step.gpu), now
        )


def request_any_agents(state: EntryState, now: float) -> None:
    """Ask other entries for any agents, if no usable one is heard here.

    Otherwise the entries of a data centre without agents, or of an evacuated one, would
    refuse jobs that others could serve.
    """
    if not state.has_usable_agent(now) and _can_request(state, now):
        _send_request(state, CapacityRequest("", 0, 0, 0), now)


def _can_request(state: EntryState, now: float) -> bool:
    return now >= state.search.due_at and (
        len(state.overflow_until) < _max_overflow_agents(state)
    )


def _max_overflow_agents(state: EntryState) -> int:
    """Return how many overflow agents an entry may use.

    One whose data centre is evacuated uses as many as it had there: with fewer its
    callers would get less of the remaining capacity than others, with more the others'
    callers would.
    """
    if not state.policy.shares_evacuated or not state.is_evacuated(state.data_centre):
        return MAX_OVERFLOW_AGENTS
    lost = [
        view
        for view in state.views.values()
        if view.report.home and view.report.data_centre == state.data_centre
    ]
    return max(MIN_AGENTS_WHILE_EVACUATED, len(lost))


def _send_request(state: EntryState, request: CapacityRequest, now: float) -> None:
    turn = state.search.turn
    addresses = choose_entries_to_ask(state.entries, state.data_centre, turn, now)
    if not addresses:
        return
    state.search.record_request(now)
    for address in addresses:
        state.observe("room_asked")
        state.send(address, request)


def handle_capacity_request(
    state: EntryState, sender: str, request: CapacityRequest, now: float
) -> None:
    """Offer agents to another entry: with free capacity, unless jobs wait here.

    An entry whose data centre is evacuated is offered any agents. It has no others, and
    in an overload nobody has free capacity to offer.
    """
    shares_all = state.policy.shares_evacuated and _is_entry_evacuated(state, sender)
    if state.waiting_jobs() and not shares_all:
        return
    search = state.search
    choose = choose_agents_to_share if shares_all else choose_agents_to_offer
    agents = choose(state.usable_views(), request, search.offer_turn, now)
    search.offer_turn += len(agents)
    if agents:
        state.send(sender, CapacityOffer(agents))


def _is_entry_evacuated(state: EntryState, address: str) -> bool:
    entry = state.entries.get(address)
    return entry is not None and state.is_evacuated(entry.data_centre)


def handle_capacity_offer(
    state: EntryState, sender: str, offer: CapacityOffer, now: float
) -> None:
    """Begin to use the agents that another entry has offered."""
    offered = offer.agents
    if state.policy.shares_evacuated and state.is_evacuated(state.data_centre):
        # Two entries are asked at a time, and each may offer as many as are wanted.
        left = _max_overflow_agents(state) - len(state.overflow_until)
        offered = offered[: max(0, left)]
    new = [address for address in offered if address not in state.views]
    for address in offered:
        state.overflow_until[address] = now + OVERFLOW_IDLE_SECONDS
    if not new:
        return
    state.search.record_success()
    state.observe("room_offered")
    state.say(
        "uses agents for overflow",
        entry=sender,
        new=len(new),
        agents=len(state.overflow_until),
    )
    for address in new:
        greeting = Keepalive(
            state.incarnation,
            "",
            0,
            state.data_centre,
            [],
            None,
            0,
            state.evacuations,
            int(now * 1000),
        )
        state.send(address, greeting)


def release_overflow_agents(state: EntryState, now: float) -> None:
    """Release overflow agents that have not been used for a while.

    They are kept if no home agent is usable, since there would be no agent left.
    """
    if not any(view.report.home for view in state.usable_views()):
        return
    for address, until in list(state.overflow_until.items()):
        view = state.views.get(address)
        if view is not None and view.placed:
            state.overflow_until[address] = now + OVERFLOW_IDLE_SECONDS
        elif now > until:
            del state.overflow_until[address]
