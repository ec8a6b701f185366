"""The chooser of workers for one placement round of an entry."""

import math

from cactuswalk.dispatch.entryends import make_expected_ends
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.placement import SLOW_FACTOR, WorkerChooser

__all__ = ["make_chooser"]


def make_chooser(state: EntryState, least_cpu: int, now: float) -> WorkerChooser:
    """Return a chooser among the workers that an entry knows.

    :param least_cpu: that a waiting task needs, in thousandths of a core.
    """
    ends = make_expected_ends(state, now)
    return WorkerChooser(
        state.usable_views(),
        least_cpu,
        SLOW_FACTOR * state.median_pace if ends is None else math.inf,
        state.far_factor,
        state.urgent_priorities(now),
        now,
        ends,
        state.headroom if state.policy.measures_headroom else None,
    )
