"""Explain to operators why a worker can or can't take a job."""

from cactuswalk.decisions.cellstate import CellState
from cactuswalk.decisions.fitting import misfit_reason
from cactuswalk.decisions.placement import Worker
from cactuswalk.decisions.tasks import Explanation
from cactuswalk.model import Job

__all__ = ["explain_worker"]


def explain_worker(
    cell: CellState, worker: Worker, job: Job, now: float
) -> Explanation:
    """Return whether a worker can take the job's tasks, and if not now, why."""
    for spec in job.tasks:
        reason = misfit_reason(worker.announcement, job, spec)
        if reason:
            return Explanation(worker.name, False, reason)
    state = cell.service(job.service)
    reason = worker.unavailable_reason(state.durations.mean, now)
    if reason:
        return Explanation(worker.name, True, f"it fits, but not now: {reason}")
    if worker.free == 0:
        return Explanation(worker.name, True, "it fits; all its slots are taken")
    return Explanation(worker.name, True, f"it fits; {worker.free} slots are free")
