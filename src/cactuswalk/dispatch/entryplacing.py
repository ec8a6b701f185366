"""Placement of tasks on workers, and the handling of their ends."""

from cactuswalk.dispatch.agentview import AgentView, PlacedTask
from cactuswalk.dispatch.crashes import is_suspect
from cactuswalk.dispatch.entryadmission import may_begin, record_task_start
from cactuswalk.dispatch.entryattempts import has_earlier_attempt
from cactuswalk.dispatch.entrychooser import make_chooser
from cactuswalk.dispatch.entrycrashes import (
    clear_suspicion,
    drop_refuted_crashes,
    suspect_task,
)
from cactuswalk.dispatch.entryends import usual_run_time
from cactuswalk.dispatch.entryisolation import may_place
from cactuswalk.dispatch.entryjobs import answer_job
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.job import JobVerdict
from cactuswalk.dispatch.jobstate import JobState, TaskState
from cactuswalk.dispatch.messages import (
    Start,
    TaskEnd,
)
from cactuswalk.dispatch.ordering import (
    is_out_of_time,
    mark_late_jobs,
    sort_by_urgency,
)
from cactuswalk.dispatch.placement import WorkerChooser, has_own_choice

__all__ = ["end_start", "place_tasks"]

# A task that was returned this often is not returnable any more: it may be the task
# that is slow, not the workers.
MAX_RETURNS = 2


def place_tasks(state: EntryState, now: float) -> None:
    """Send waiting tasks to workers with free capacity."""
    # A message may be handled before the tick that gives up overdue jobs.
    waiting = [
        job
        for job in state.waiting_jobs()
        if not is_out_of_time(job, now)
        and may_place(state, job, now)
        and not has_earlier_attempt(state, job, now)
    ]
    if not waiting:
        return
    sizes = [task.step.cpu for job in waiting for task in job.waiting]
    if state.policy.divides_room:
        state.waiting_cpu = sum(sizes)
    chooser = make_chooser(state, min(sizes), now)
    if not chooser.ranking:
        # While all workers are full, most rounds free too little for any waiting task.
        return
    if state.policy.serves_late and not state.recovery.has_ended:
        mark_late_jobs(waiting, now)
    starts: list[Start] = []
    for job in sort_by_urgency(waiting, state.headroom.over_share):
        if chooser.has_room_to_begin(job) and may_begin(state, job, chooser, now):
            _place_job(state, job, chooser, starts, now)
    if state.policy.divides_room:
        _fill_in_backlog(state, starts)


def _fill_in_backlog(state: EntryState, starts: list[Start]) -> None:
    """Fill in what still waits after a round, in the starts that it has sent."""
    state.waiting_cpu -= sum([start.cpu for start in starts])
    for start in starts:
        start.waiting_cpu = state.waiting_cpu


def _place_job(
    state: EntryState,
    job: JobState,
    chooser: WorkerChooser,
    starts: list[Start],
    now: float,
) -> None:
    left = []
    for number, task in enumerate(job.waiting):
        if task.key in state.stopping_tasks:
            # The job was submitted before, and that run of the task may still go on.
            left.append(task)
            continue
        drop_refuted_crashes(state, task)
        view = chooser.choose_worker(task, job.queue.service)
        if view is None:
            left.append(task)
            if not has_own_choice(task):
                # Tasks of a step have the same size: if one doesn't fit, none does.
                left.extend(job.waiting[number + 1 :])
                break
            continue
        starts.append(_start_task(state, task, view, now))
        chooser.record_start(view)
        if chooser.ends is not None:
            state.observe("placed_by_end", chooser.ends.purpose.value)
        is_last = not left and number == len(job.waiting) - 1
        record_task_start(state, job, task, is_last, now)
    job.waiting = left


def _start_task(
    state: EntryState, task: TaskState, view: AgentView, now: float
) -> Start:
    task.runs += 1
    task.agent_address = view.address
    task.placed_at = now
    task.sequence = state.next_sequence
    state.next_sequence += 1
    _record_job_start(state, task.job, now)
    start = _make_start(state, task, view)
    view.add(PlacedTask(start, task, now))
    _log_placement(state, task, view, start, now)
    state.send(view.address, start)
    return start


def _record_job_start(state: EntryState, job: JobState, now: float) -> None:
    job.pending_starts += 1
    state.reach_phase("first placement", now)
    if not job.first_start_at:
        job.first_start_at = now
        state.observe("first_start_seconds", job.queue.name, now - job.arrived_at)
        if job.is_late:
            state.observe("late_starts", job.queue.name)


def _make_start(state: EntryState, task: TaskState, view: AgentView) -> Start:
    return Start(
        state.incarnation,
        view.report.incarnation,
        view.report.stamp,
        task.sequence,
        view.report.worker,
        task.key,
        task.runs,
        task.job.request.spec,
        task.step.cpu,
        task.step.memory_mb,
        task.step.gpu,
        task.step.estimate_ms,
        len(task.avoided_agents) < MAX_RETURNS,
        is_suspect(task.crashed),
    )


def _log_placement(
    state: EntryState, task: TaskState, view: AgentView, start: Start, now: float
) -> None:
    if not state.logs_debug:
        return
    job = task.job
    state.say_debug(
        "placed a task",
        job=job.request.identifier,
        step=task.key.step,
        index=task.key.index,
        run=task.runs,
        agent=view.address,
        worker=start.worker,
        sequence=start.sequence,
        report_age=round(now - view.heard_at, 3),
        free_cpu=view.free_cpu,
        waited=round(now - job.arrived_at, 4),
    )


def end_start(
    state: EntryState,
    view: AgentView,
    placed: PlacedTask,
    end: TaskEnd,
    ran_ms: int,
    reason: str,
    now: float,
    blamed: bool = False,
) -> None:
    """Record that a start has ended, and complete or requeue its task."""
    del view.placed[placed.start.sequence]
    state.placement_needed = True
    task = placed.task
    if task is None:
        state.stopping_tasks.discard(placed.start.key)
        return
    task.agent_address, task.last_agent_address = "", view.address
    task.job.pending_starts -= 1
    if end is TaskEnd.DONE:
        task.job.may_have_run = True
        usual_ms = usual_run_time(state, view, ran_ms)
        _task_done(state, task, ran_ms, usual_ms, now)
        return
    if end is TaskEnd.DECLINED:
        view.skip_until_report(now)
        task.job.declined_runs += 1
    else:
        _record_lost_run(state, view, task, end, reason, now)
    verdict = _record_bad_end(state, task, placed, end, ran_ms, blamed, now)
    if verdict:
        answer_job(state, task.job, JobVerdict.FAILED, verdict, now)
        return
    task.job.waiting.append(task)
    state.note_waiting(task.job)


def _record_lost_run(
    state: EntryState,
    view: AgentView,
    task: TaskState,
    end: TaskEnd,
    reason: str,
    now: float,
) -> None:
    task.job.may_have_run = True
    task.job.lost_runs += 1
    if end is not TaskEnd.CRASHED:
        # A worker that comes back after a crash is a new one.
        task.avoided_agents.add(view.address)
    state.say(
        "a task runs again",
        job=task.key.job,
        step=task.key.step,
        index=task.key.index,
        agent=view.address,
        end=end.name.lower(),
        reason=reason,
        failures=task.failures,
        heard_ago=round(now - view.heard_at, 3),
    )


def _record_bad_end(
    state: EntryState,
    task: TaskState,
    placed: PlacedTask,
    end: TaskEnd,
    ran_ms: int,
    blamed: bool,
    now: float,
) -> str:
    """Record a failure or a crash; return why the job has failed, if it has."""
    if end is TaskEnd.FAILED:
        task.failures += 1
        if task.failures >= task.job.queue.attempts:
            return "a task has failed"
    if end is not TaskEnd.CRASHED:
        return ""
    if suspect_task(state, task, placed, ran_ms, blamed, now):
        return "a task crashes its workers"
    return ""


def _task_done(
    state: EntryState, task: TaskState, ran_ms: int, usual_ms: int, now: float
) -> None:
    job = task.job
    task.done = True
    clear_suspicion(state, task)
    task.outstanding_seconds = now - task.placed_at
    task.ran_ms = ran_ms
    job.last_task = task
    job.longest_ms[task.key.step] = max(job.longest_ms[task.key.step], usual_ms)
    job.remaining[task.key.step] -= 1
    if job.remaining[task.key.step]:
        return
    # A step lasts as long as its slowest task, so the estimate of the job's run time is
    # updated with the longest one.
    longest = max(1, job.longest_ms[task.key.step]) / 1000
    state.estimates[job.queue.name].observe(task.step.estimate_ms, longest)
    if any(job.remaining):
        job.release_ready_steps()
        state.note_waiting(job)
        return
    answer_job(state, job, JobVerdict.COMPLETED, "", now)
