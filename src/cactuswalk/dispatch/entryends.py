"""An entry's use of the expected ends of tasks."""

from cactuswalk.decisions.expectedend import usual_seconds
from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.expectedends import ExpectedEnds

__all__ = ["make_expected_ends", "usual_run_time"]


def make_expected_ends(state: EntryState, now: float) -> ExpectedEnds | None:
    """Return what chooses workers by expected ends, or None if the setting is off."""
    if not state.policy.places_by_end:
        return None
    return ExpectedEnds(state.shortest_kind, state.median_pace, state.far_factor, now)


def usual_run_time(state: EntryState, view: AgentView, ran_ms: int) -> int:
    """Return how long a run would have taken at the median worker, in milliseconds.

    The expected run times of later jobs are those of the median worker. If they grew
    with the share of tasks on slow workers, their due times would, too.
    """
    if not state.policy.places_by_end:
        return ran_ms
    seconds = usual_seconds(ran_ms / 1000, view.report.pace, state.median_pace)
    return round(seconds * 1000)
