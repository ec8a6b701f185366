"""An entry's measurement of demand, for the headroom and for the turns of queues."""

import collections
import math

from cactuswalk.decisions.headroom import (
    WINDOW_SECONDS,
    Demand,
    DemandWindow,
    QueueUse,
    headroom_share,
    queues_over_share,
)
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.expectedends import task_times
from cactuswalk.dispatch.jobstate import JobState
from cactuswalk.dispatch.placement import RESERVED_SHARE

__all__ = ["record_demand", "update_headroom"]

# A change of the largest headroom by this much is logged.
LOGGED_CHANGE = 0.1


def record_demand(state: EntryState, job: JobState, now: float) -> None:
    """Record what a job that has arrived needs."""
    if not state.policy.measures_headroom:
        return
    queue, demand = job.queue, Demand()
    for number, step in enumerate(job.request.steps):
        cpu = step.count * step.cpu
        seconds, _ = task_times(job, number)
        demand.add(Demand(cpu * seconds, cpu * cpu * seconds))
    headroom, key = state.headroom, (queue.service, queue.priority)
    if key not in headroom.windows:
        headroom.windows[key] = DemandWindow(now)
    headroom.windows[key].record(demand, now)
    headroom.seen_at[key][queue.name] = now


def update_headroom(state: EntryState, now: float) -> None:
    """Compute what each priority leaves free, and which queues are over their part."""
    headroom = state.headroom
    if not state.policy.measures_headroom or not headroom.windows:
        return
    in_use, parts, capacities = _measure_use(state, now)
    seconds, headroom.updated_at = now - headroom.updated_at, now
    _update_queues(state, in_use, seconds, now)
    demands = {key: window.per_second(now) for key, window in headroom.windows.items()}
    for service, priority in headroom.windows:
        urgent = [key for key in demands if key[0] == service and key[1] < priority]
        if not all(headroom.windows[key].has_history(now) for key in urgent):
            headroom.shares[service, priority] = RESERVED_SHARE
            continue
        # Of more urgent tasks, of the same priority, and of less urgent ones.
        used = [0, 0, 0]
        for (other_service, other, _), cpu in in_use.items():
            if other_service == service:
                used[(other >= priority) + (other > priority)] += cpu
        headroom.shares[service, priority] = headroom_share(
            [demands[key] for key in urgent],
            used[0],
            parts[service],
            capacities[service],
            used[1],
            used[2],
        )
    _log_change(state)


def _measure_use(
    state: EntryState, now: float
) -> tuple[dict[tuple[str, int, str], int], dict[str, int], dict[str, int]]:
    """Return what runs, by service, priority and queue, and the part by service.

    The last one is the capacity of all workers that the entry knows, by service.

    The entry's part of the capacity is what is free or runs its tasks.
    """
    in_use: dict[tuple[str, int, str], int] = collections.Counter()
    parts: dict[str, int] = collections.Counter()
    capacities: dict[str, int] = collections.Counter()
    for view in state.usable_views():
        if not view.is_live(now):
            continue
        capacities[view.report.service] += view.report.cpu
        parts[view.report.service] += max(0, view.own_cpu())
        for placed in view.placed.values():
            if placed.task is not None:
                queue = placed.task.job.queue
                in_use[queue.service, queue.priority, queue.name] += placed.start.cpu
    return in_use, parts, capacities


def _update_queues(
    state: EntryState,
    in_use: dict[tuple[str, int, str], int],
    seconds: float,
    now: float,
) -> None:
    headroom = state.headroom
    headroom.over_share = set()
    for (service, priority), names in headroom.seen_at.items():
        uses = {}
        for name, seen_at in list(names.items()):
            if now - seen_at > WINDOW_SECONDS:
                del names[name]
                headroom.uses.pop(name, None)
                continue
            use = headroom.uses.setdefault(name, QueueUse())
            use.record(in_use.get((service, priority, name), 0), seconds)
            uses[name] = use.cpu
        headroom.over_share |= queues_over_share(uses)


def _log_change(state: EntryState) -> None:
    headroom = state.headroom
    largest = max(headroom.shares.values())
    if math.fabs(largest - headroom.logged_share) < LOGGED_CHANGE:
        return
    headroom.logged_share = largest
    state.observe("headroom_changed")
    state.say_debug(
        "the headroom for urgent tasks has changed",
        shares={
            f"{service} {priority}": round(share, 3)
            for (service, priority), share in headroom.shares.items()
        },
        over_share=sorted(headroom.over_share),
    )
