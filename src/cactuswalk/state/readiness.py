"""Readiness of an entry to accept callers' work, for load balancers."""

from cactuswalk.state.entryview import EntryState
from cactuswalk.state.listening import is_silent

__all__ = ["unready_reasons"]


def unready_reasons(state: EntryState, now: float) -> list[str]:
    """Return why this entry is not ready; an empty list if it is.

    A cell that has just been founded refuses keys chosen by callers for some seconds,
    since it can't tell them from keys used before. If no other cell serves, requests
    that a balancer sent here would be refused, with no harm but a delay.
    """
    confirm = state.timing.confirm
    responsive = [
        view for view in state.cells.values() if not is_silent(view, confirm, now)
    ]
    if not responsive:
        return ["no cell's owner reports to this entry"]
    serving = [view for view in responsive if view.services]
    if not serving:
        return ["no cell has a worker that has announced its service"]
    if all(view.accepts_keys_at > now for view in serving):
        wait = min(view.accepts_keys_at for view in serving) - now
        return [f"each cell has just begun; callers' keys are taken in {wait:.1f} s"]
    return []
