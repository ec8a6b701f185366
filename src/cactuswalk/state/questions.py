"""Questions at an entry that owners answer: where jobs stand, where they fit."""

from cactuswalk.messages import Explain, Explanation, JobState, Query
from cactuswalk.state.effects import ReplyExplanation, ReplyState, Send
from cactuswalk.state.entryview import Asked, EntryState, Questioned
from cactuswalk.state.events import CallerAsked, OperatorAsked

__all__ = [
    "expire_questions",
    "on_asked_state",
    "on_caller_asked",
    "on_explained",
    "on_operator_asked",
]


def _owners(state: EntryState, service: str) -> list[str]:
    """Return the owners of the cells that serve a service; all for none."""
    return sorted(
        view.owner
        for view in state.cells.values()
        if view.owner and (not service or service in view.services)
    )


def on_caller_asked(state: EntryState, event: CallerAsked, now: float) -> None:
    """Ask the owners of the cells where the submission may be."""
    owners = _owners(state, event.service)
    if not owners:
        state.effects.append(ReplyState(event.request, None))
        return
    state.asked[event.request] = Asked(now + state.timing.query, len(owners))
    for owner in owners:
        state.effects.append(Send(owner, Query(event.submission, event.request)))


def on_asked_state(state: EntryState, message: JobState) -> None:
    """Tell a caller who asked where a submission stands."""
    asked = state.asked.get(message.request)
    if asked is None:
        return
    asked.owners -= 1
    if message.known or asked.owners == 0:
        del state.asked[message.request]
        state.effects.append(ReplyState(message.request, message))


def on_operator_asked(state: EntryState, event: OperatorAsked, now: float) -> None:
    """Ask the owners where a job could be placed."""
    owners = _owners(state, event.job.service)
    if not owners:
        state.effects.append(ReplyExplanation(event.request, []))
        return
    until = now + state.timing.query
    state.questioned[event.request] = Questioned(until, len(owners))
    for owner in owners:
        state.effects.append(Send(owner, Explain(event.request, event.job)))


def on_explained(
    state: EntryState, sender: str, message: Explanation, now: float
) -> None:
    """Gather the owners' words; the last one completes the answer."""
    asked = state.questioned.get(message.request)
    if asked is None:
        return
    asked.cells.append(message)
    asked.owners -= 1
    if asked.owners == 0:
        del state.questioned[message.request]
        state.effects.append(ReplyExplanation(message.request, asked.cells))


def expire_questions(state: EntryState, now: float) -> None:
    """Answer with what has come where an owner stays silent."""
    for request in [key for key, asked in state.asked.items() if asked.until <= now]:
        del state.asked[request]
        state.effects.append(ReplyState(request, None))
    for request, asked in list(state.questioned.items()):
        if asked.until <= now:
            del state.questioned[request]
            state.effects.append(ReplyExplanation(request, asked.cells))
