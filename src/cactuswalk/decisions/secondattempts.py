"""Hedging of running requests: which one, where and when."""

from cactuswalk.decisions import placement
from cactuswalk.decisions.cellstate import CellState
from cactuswalk.decisions.hedging import is_straggler
from cactuswalk.decisions.placement import RunningTask, Worker
from cactuswalk.decisions.service import Service
from cactuswalk.decisions.tasks import Assignment

__all__ = ["start_hedges"]


def start_hedges(
    cell: CellState, now: float, services: frozenset[str] | None = None
) -> list[Assignment]:
    """Start and return hedges of stragglers, on idle slots and within the budget.

    The owner takes the first answer. Each attempt ends with
    ``Scheduler.record_result``.

    :param services: services to hedge; None for all.
    """
    decided = []
    for submission, (worker, task) in list(cell.hedgeable.items()):
        service = task.owner.job.service
        if services is not None and service not in services:
            continue
        state = cell.service(service)
        elapsed = now - task.started_at
        if elapsed <= state.high_percentile.seconds:
            break
        if not is_straggler(elapsed, task.charged, state.high_percentile.seconds):
            continue
        if state.queued:
            continue
        target = choose_hedge_worker(cell, worker, task)
        if target is None or not state.hedges.spend():
            continue
        del cell.hedgeable[submission]
        decided.append(start_hedge(cell, state, target, task, now))
    return decided


def choose_hedge_worker(
    cell: CellState, worker: Worker, task: RunningTask
) -> Worker | None:
    """Return the least loaded other healthy worker that has room."""
    job = task.owner.job
    group = cell.pool.group(job.service, job.selector)
    candidates = [
        target
        for target in group.open.values()
        if target is not worker
        and placement.is_healthy(target)
        and not placement.shortage_reason(target, task.memory_mb, task.accelerators)
    ]
    return min(candidates, key=placement.load_order, default=None)


def start_hedge(
    cell: CellState, state: Service, worker: Worker, task: RunningTask, now: float
) -> Assignment:
    """Start the second attempt of a task."""
    state.record_start(task.owner, task.lane, task.charged, now)
    second = RunningTask(
        task.index,
        now,
        task.charged,
        task.memory_mb,
        task.accelerators,
        task.owner,
        task.lane,
    )
    cell.start_task(worker, second, now)
    reason = f"hedge after {now - task.started_at:.2f} s"
    return Assignment(task.owner.task(task.index), worker.name, reason)
