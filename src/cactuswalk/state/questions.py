"""Queries that an entry passes to owners: the state of jobs, and where they fit."""

from cactuswalk.messages import Explain, Explanation, JobState, Query
from cactuswalk.state.effects import ReplyExplanation, ReplyState, Send
from cactuswalk.state.entryview import EntryState, PendingExplain, PendingStateQuery
from cactuswalk.state.events import CallerQueried, ExplainRequested

__all__ = [
    "expire_requests",
    "on_requested_state",
    "on_caller_queried",
    "on_explained",
    "on_explain_requested",
]


def _owners(state: EntryState, service: str) -> list[str]:
    """Return the owners of the cells that serve a service; all if it is empty."""
    return sorted(
        view.owner
        for view in state.cells.values()
        if view.owner and (not service or service in view.services)
    )


def on_caller_queried(state: EntryState, event: CallerQueried, now: float) -> None:
    """Ask the owners of the cells where the submission may be."""
    owners = _owners(state, event.service)
    if not owners:
        state.effects.append(ReplyState(event.request, None))
        return
    state.pending_queries[event.request] = PendingStateQuery(
        now + state.timing.query, len(owners)
    )
    for owner in owners:
        state.effects.append(Send(owner, Query(event.submission, event.request)))


def on_requested_state(state: EntryState, message: JobState) -> None:
    """Reply to a caller's query once an owner knows the submission or all replied."""
    pending = state.pending_queries.get(message.request)
    if pending is None:
        return
    pending.owners -= 1
    if message.known or pending.owners == 0:
        del state.pending_queries[message.request]
        state.effects.append(ReplyState(message.request, message))


def on_explain_requested(
    state: EntryState, event: ExplainRequested, now: float
) -> None:
    """Ask the owners where a job could be placed."""
    owners = _owners(state, event.job.service)
    if not owners:
        state.effects.append(ReplyExplanation(event.request, []))
        return
    until = now + state.timing.query
    state.pending_explains[event.request] = PendingExplain(until, len(owners))
    for owner in owners:
        state.effects.append(Send(owner, Explain(event.request, event.job)))


def on_explained(
    state: EntryState, sender: str, message: Explanation, now: float
) -> None:
    """Collect the owners' replies; the last one completes the answer."""
    pending = state.pending_explains.get(message.request)
    if pending is None:
        return
    pending.cells.append(message)
    pending.owners -= 1
    if pending.owners == 0:
        del state.pending_explains[message.request]
        state.effects.append(ReplyExplanation(message.request, pending.cells))


def expire_requests(state: EntryState, now: float) -> None:
    """Answer expired queries with the replies received so far."""
    for request in [
        key for key, pending in state.pending_queries.items() if pending.until <= now
    ]:
        del state.pending_queries[request]
        state.effects.append(ReplyState(request, None))
    for request, pending in list(state.pending_explains.items()):
        if pending.until <= now:
            del state.pending_explains[request]
            state.effects.append(ReplyExplanation(request, pending.cells))
