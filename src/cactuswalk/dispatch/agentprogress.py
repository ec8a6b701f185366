"""Progress of the runs at a worker; stalled and slow ones are stopped."""

from cactuswalk.decisions.usualpace import pace_of_most_jobs
from cactuswalk.dispatch.agentcalls import stop_run
from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.soundness import (
    MIN_PROGRESS_SECONDS,
    MIN_SLOWDOWN_TASKS,
    Progress,
    pace_from_progress,
    recent_speed,
    should_move,
)

__all__ = ["progress", "record_progress", "stop_runs_if_slow"]

# A running task without progress for this long is stopped. Progress comes with each
# poll, at most 0.15 s apart.
STALL_SECONDS = 0.6
# Or this many times a twentieth of its estimate, if that is longer.
STALL_FACTOR = 3.0

# Interval of speed measurements of a run: three polls.
SPEED_SECONDS = 0.5

# Allows for rounding: a run that is almost late counts as late.
ROUNDING = 1.0001


def record_progress(
    state: AgentState, held: HeldTask, percent: int, now: float
) -> None:
    """Record the progress of a run, and stop it if it is stalled."""
    if held.state is HeldState.UNCONFIRMED:
        state.say(
            "an unanswered start is running",
            **held.log_fields(),
            waited=round(now - held.since, 3),
        )
        held.state = HeldState.RUNNING
        held.since = held.percent_at = now
        held.expires_at = 0.0
    _measure_speed(held, percent, now)
    if percent != held.percent:
        held.percent = percent
        held.percent_at = now
    elif held.state is HeldState.RUNNING and _is_stalled(state, held, now):
        state.say("a task is stalled", job=held.start.key.job, percent=percent)
        if state.health.record_stall(now):
            state.say("put the worker on trial", reason="a task is stalled")
        stop_run(state, held, "it stood still", now)
        state.mark_entries_dirty()


def _measure_speed(held: HeldTask, percent: int, now: float) -> None:
    """Measure the recent speed of a run, independent of its earlier progress."""
    began, from_percent = held.speed_sample
    if began < held.since:
        held.speed_sample = (held.since, 0)
    elif now - began >= SPEED_SECONDS:
        held.speed = recent_speed(percent - from_percent, now - began)
        held.speed_sample = (now, percent)


def _is_stalled(state: AgentState, held: HeldTask, now: float) -> bool:
    expected = held.start.estimate_ms / 1000 / 20
    return now - held.percent_at > max(STALL_SECONDS, STALL_FACTOR * expected)


def stop_runs_if_slow(state: AgentState, now: float) -> None:
    """Detect a slow worker, and stop runs that finish sooner on another one."""
    running = [held for held in state.held.values() if held.state is HeldState.RUNNING]
    if not state.health.is_slow and not _is_half_late(state, running, now):
        return
    tasks = [progress(held, now) for held in running]
    expected_pace = _predict_pace(state, tasks)
    if state.health.detect_slowdown(expected_pace):
        state.say(
            "the worker is slow", worker=state.worker.identifier, pace=expected_pace
        )
        state.mark_entries_dirty()
    if not state.health.is_slow:
        return
    for held, task in zip(running, tasks, strict=True):
        if held.start.is_returnable and should_move(task):
            stop_run(state, held, "its worker drags", now)


def _predict_pace(state: AgentState, tasks: list[Progress]) -> float:
    """Return the pace that the running tasks predict, or 0 if they are too few."""
    if not state.policy.places_by_end:
        return pace_from_progress(tasks)
    return pace_of_most_jobs(
        [
            (task.job, task.total_ms / task.estimate_ms)
            for task in tasks
            if task.seconds >= MIN_PROGRESS_SECONDS and task.estimate_ms > 0
        ]
    )


def _is_half_late(state: AgentState, running: list[HeldTask], now: float) -> bool:
    """Return whether at least half of the runs are so late that the worker may be slow.

    Each poll asks this, and the answer is hardly ever yes.
    """
    # A run of its speed takes 100 / speed seconds. It is late if that is at least
    # slow_pace times its estimate, so if speed times estimate is at most this.
    bound = 100_000 * ROUNDING / state.health.slow_pace
    measured = late = 0
    for held in running:
        ran = now - held.since
        if ran >= MIN_PROGRESS_SECONDS:
            measured += 1
            speed = held.speed or max(1, held.percent) / ran
            late += speed * held.start.estimate_ms <= bound
    return 2 * late >= measured >= MIN_SLOWDOWN_TASKS


def progress(held: HeldTask, now: float) -> Progress:
    """Return the progress of a run."""
    start = held.start
    ran = now - held.since
    return Progress(start.key.job, start.estimate_ms, ran, held.percent, held.speed)
