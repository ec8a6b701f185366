"""Assign queued tasks to free slots and shed jobs that can't meet their deadline."""

from cactuswalk.decisions import placement
from cactuswalk.decisions.budget import can_be_repeated
from cactuswalk.decisions.cellstate import CellState
from cactuswalk.decisions.fitting import RETRY_AFTER_MS
from cactuswalk.decisions.longtasks import slots_for_long
from cactuswalk.decisions.placement import RunningTask, Worker
from cactuswalk.decisions.queueing import Lane, QueuedJob, TeamQueue
from cactuswalk.decisions.reservation import (
    Reservation,
    choose_worker_to_reserve,
    is_reservation_due,
)
from cactuswalk.decisions.service import Service
from cactuswalk.decisions.tasks import Assignment, Shed
from cactuswalk.model import Refusal, RefusalCode

__all__ = ["assign_service", "drop_empty_lanes", "shed_late_jobs"]


def assign_service(
    cell: CellState, state: Service, now: float, decided: list[Assignment | Shed]
) -> None:
    """Fill the free slots of a service in queue order."""
    lanes = [lane for lane in state.lanes.values() if lane.queued]
    while lanes:
        best = select_lane(cell, state, lanes)
        if best is None:
            return
        lane, team = best
        assignment = start_first_task(cell, state, lane, team, now)
        if assignment is None:
            lanes.remove(lane)
            continue
        decided.append(assignment)


def select_lane(
    cell: CellState, state: Service, lanes: list[Lane]
) -> tuple[Lane, TeamQueue] | None:
    """Return the lane whose first task goes next, and that task's team."""
    best = best_key = None
    for lane in list(lanes):
        found = lane.first() if has_room(cell, state, lane) else None
        if found is None:
            lanes.remove(lane)
            continue
        if best_key is None or found[0] < best_key:
            best_key, best = found[0], (lane, found[1])
    return best


def has_room(cell: CellState, state: Service, lane: Lane) -> bool:
    """Return whether any slot can take a task of this lane."""
    group = cell.pool.group(lane.key.service, lane.key.selector)
    if not group.open or not lane.queued:
        return False
    if not lane.key.long:
        return True
    return state.long_running < slots_for_long(group.slots, state.short_average)


def start_first_task(
    cell: CellState, state: Service, lane: Lane, team: TeamQueue, now: float
) -> Assignment | None:
    """Start the first task of a lane, None if no free worker has room."""
    queued, index = lane.peek(team)
    spec = queued.job.tasks[index]
    memory_mb = state.sizes.predict(spec.memory_mb)
    group = cell.pool.group(lane.key.service, lane.key.selector)
    needs = (memory_mb, spec.accelerators)
    reserved = worker_reserved_for_others(state, queued)
    choice = placement.choose_worker(group, queued.job, *needs, reserved)
    if choice is None:
        if state.reservation is None and is_reservation_due(
            queued, state.durations.mean, now
        ):
            worker = choose_worker_to_reserve(group, *needs)
            if worker is not None:
                state.reservation = Reservation(worker, lane, queued, index)
        return None
    lane.take(queued, index)
    charged = queued.expected[index]
    state.record_start(queued, lane, charged, now)
    state.record_removal(queued, lane, [index])
    state.retries.earn()
    state.hedges.earn()
    task = RunningTask(index, now, charged, memory_mb, spec.accelerators, queued, lane)
    cell.start_task(choice.worker, task, now)
    if can_be_repeated(queued.job):
        cell.hedgeable[queued.job.submission] = (choice.worker, task)
    return Assignment(queued.task(index), choice.worker.name, choice.reason)


def worker_reserved_for_others(state: Service, queued: QueuedJob) -> Worker | None:
    """Return the worker that is reserved for another job than this one."""
    reservation = state.reservation
    if reservation is None:
        return None
    if not reservation.is_valid:
        state.reservation = None
        return None
    return None if reservation.queued is queued else reservation.worker


def shed_late_jobs(
    cell: CellState, state: Service, now: float, decided: list[Assignment | Shed]
) -> None:
    """Shed jobs that can't be answered in time; mark jobs that have become urgent."""
    for queued in state.deadlines.pop_urgent(now):
        queued.urgent = True
        for lane in queued.pending:
            lane.move_to_front(queued)
    for queued in state.deadlines.pop_unreachable(now):
        refusal = late_refusal(cell, queued, now)
        state.margin.record_shed()
        for index in cell.withdraw(queued):
            decided.append(Shed(queued.task(index), refusal))


def late_refusal(cell: CellState, queued: QueuedJob, now: float) -> Refusal:
    """Return the refusal of a queued job that will miss its deadline."""
    job = queued.job
    group = cell.pool.group(job.service, job.selector)
    waiting = [lane.peek_task(queued) for lane in queued.pending]
    if any(cell.slots_for(job, job.tasks[index]) == 0 for index in waiting):
        message = f"no worker of {job.service} that can run it was available"
        return Refusal(RefusalCode.NO_WORKER_NOW, message, RETRY_AFTER_MS)
    state = cell.service(job.service)
    drain_ms = int(state.queued_seconds / group.slots * 1000)
    waited = now - queued.queued_at
    if now >= queued.deadline:
        message = f"the deadline passed after {waited:.1f} s in the queue"
        return Refusal(RefusalCode.DEADLINE_PASSED, message, drain_ms)
    message = f"too little time is left after {waited:.1f} s in the queue"
    return Refusal(RefusalCode.DEADLINE_UNREACHABLE, message, drain_ms)


def drop_empty_lanes(cell: CellState, state: Service) -> None:
    """Delete lanes without queued or running tasks, and unused selector groups."""
    empty = [key for key, lane in state.lanes.items() if not lane.queued]
    for key in empty:
        if state.lanes[key].running == 0:
            del state.lanes[key]
    used = {key.selector for key in state.lanes}
    for service, selector in list(cell.pool.groups):
        if service == state.name and selector and selector not in used:
            cell.pool.drop_group(service, selector)
