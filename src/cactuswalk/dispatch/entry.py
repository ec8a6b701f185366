"""The entry's reducer: accepts jobs, places their tasks and answers the callers.

Processing a job never waits for the platform's store. If this process ends, so do
the tasks of its jobs: agents stop the tasks of an entry that they no longer hear
(``bounds``).
"""

from cactuswalk.dispatch.bounds import (
    ENTRY_LEASE_SECONDS,
    MARGIN_SECONDS,
    RESUME_SECONDS,
    STOP_MARGIN_SECONDS,
)
from cactuswalk.dispatch.effects import Effect
from cactuswalk.dispatch.entryadmission import record_missed_start, record_round
from cactuswalk.dispatch.entryagents import (
    expire_or_resend,
    handle_message,
)
from cactuswalk.dispatch.entryattempts import request_ends
from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EntriesListed,
    EntryEvent,
    EvacuationsRead,
    JobArrived,
    JobCancelled,
    Received,
    StopRequested,
    StoreAnswered,
    Tick,
    WaiterLeft,
)
from cactuswalk.dispatch.entryheadroom import update_headroom
from cactuswalk.dispatch.entryisolation import check_isolation, must_give_up
from cactuswalk.dispatch.entryjobs import (
    answer_job,
    answer_overdue_waiters,
    find_unservable_reason,
    give_up_job,
    handle_cancellation,
    handle_job_arrival,
    handle_waiter_left,
)
from cactuswalk.dispatch.entrykeepalives import send_keepalives
from cactuswalk.dispatch.entryoverflow import (
    release_overflow_agents,
    request_any_agents,
    request_capacity,
    request_capacity_early,
)
from cactuswalk.dispatch.entrypeers import (
    forget_silent_peers,
    handle_configuration,
    handle_entries,
    handle_evacuations,
    send_status_by_turns,
)
from cactuswalk.dispatch.entryplacing import place_tasks
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.job import JobVerdict
from cactuswalk.dispatch.ordering import (
    JobAction,
    choose_action,
)
from cactuswalk.dispatch.pauses import log_pause

__all__ = ["reduce"]

# Interval at which an entry sends its status to a few others. An entry that receives a
# new configuration sends it to all others at once.
ENTRY_STATUS_SECONDS = 0.3


def reduce(state: EntryState, event: EntryEvent, now: float) -> list[Effect]:
    """Handle an event and return the effects to perform."""
    _detect_pause(state, now)
    HANDLERS[type(event)](state, event, now)
    if state.recheck_requested:
        state.recheck_requested = False
        _refuse_unservable(state, now)
    if state.placement_needed:
        _close_interrupted_jobs(state, now)
    if state.placement_needed and not state.waits_after_pause(now):
        state.placement_needed = False
        request_any_agents(state, now)
        if state.waiting_jobs():
            place_tasks(state, now)
            request_capacity(state, now)
        _update_recovery(state, now)
        record_round(state, now)
    return state.take_effects()


def _detect_pause(state: EntryState, now: float) -> None:
    """Record that this process resumes from a pause that was longer than its leases.

    Its agents have stopped its tasks. Callers may have gone and sent their jobs to
    another entry, and what tells this one may arrive long after the pause; tasks of
    jobs that came before it would run twice at once.
    """
    paused, state.handled_at = now - state.handled_at, now
    if paused <= MARGIN_SECONDS:
        return
    state.paused_until, state.paused_seconds = now, paused
    if paused <= ENTRY_LEASE_SECONDS:
        return
    state.resumed_at = state.placed_from = now
    state.say(
        "starts no tasks after a pause until it has heard of its callers",
        paused=round(paused, 3),
        seconds=RESUME_SECONDS,
        jobs=len(state.jobs),
        waiting=len(state.waiting_jobs()),
    )


def _stop_requested(state: EntryState, _: StopRequested, now: float) -> None:
    if not state.stop_at:
        state.stop_at = now + state.grace_seconds
        state.say("a planned stop begins", jobs=len(state.jobs))


def _store_answered(state: EntryState, _: StoreAnswered, now: float) -> None:
    state.store_answered_at = now


def _tick(state: EntryState, _: Tick, now: float) -> None:
    log_pause(state, now)
    check_isolation(state, now)
    _close_overdue_jobs(state, now)
    expire_or_resend(state, now)
    request_ends(state, now)
    send_keepalives(state, now)
    if now - state.status_sent_at >= ENTRY_STATUS_SECONDS:
        send_status_by_turns(state, now)
    release_overflow_agents(state, now)
    forget_silent_peers(state, now)
    state.update_median_pace(now)
    request_capacity_early(state, now)
    update_headroom(state, now)
    state.placement_needed = True


def _update_recovery(state: EntryState, now: float) -> None:
    """End the recovery from a full outage once its queue is served."""
    recovery = state.recovery
    if recovery.has_ended:
        return
    waiting = len(state.waiting_jobs())
    recovery.update(waiting > 0, now)
    if recovery.has_ended and state.policy.serves_late:
        seconds = round(now - recovery.began_at, 3)
        state.say("keeps no late jobs any more", seconds=seconds, waiting=waiting)


def _close_overdue_jobs(state: EntryState, now: float) -> None:
    is_discovering_workers = state.is_discovering_workers(now)
    keeps_late_jobs = state.keeps_late_jobs(now)
    for job in list(state.jobs.values()):
        answer_overdue_waiters(state, job, now)
        verdict = choose_action(job, now, is_discovering_workers, keeps_late_jobs)
        if state.stop_at and now > state.stop_at - STOP_MARGIN_SECONDS:
            verdict = JobAction.GIVE_UP if job.has_started else JobAction.REFUSE
        if verdict is JobAction.REFUSE:
            record_missed_start(state, job)
            answer_job(state, job, JobVerdict.NOT_RUN, "no capacity in time", now)
        elif verdict is JobAction.GIVE_UP:
            answer_job(state, job, JobVerdict.UNFINISHED, "out of time", now)
        elif must_give_up(state, job, now):
            answer_job(state, job, JobVerdict.UNFINISHED, "its entry is cut off", now)


def _close_interrupted_jobs(state: EntryState, now: float) -> None:
    """Answer the jobs that would need a placement which an isolation has ruled out."""
    for job in state.waiting_jobs():
        if job.arrived_at < state.placed_from:
            give_up_job(state, job, "its entry was cut off", now)


def _refuse_unservable(state: EntryState, now: float) -> None:
    """Refuse waiting jobs whose only possible workers are evacuated or have shrunk."""
    for job in list(state.jobs.values()):
        reason = (
            ""
            if job.has_started
            else find_unservable_reason(state, job.request, job.queue)
        )
        if reason:
            answer_job(state, job, JobVerdict.NOT_RUN, reason, now)


HANDLERS = {
    JobArrived: handle_job_arrival,
    WaiterLeft: handle_waiter_left,
    JobCancelled: handle_cancellation,
    Received: handle_message,
    ConfigurationRead: handle_configuration,
    EntriesListed: handle_entries,
    EvacuationsRead: handle_evacuations,
    StoreAnswered: _store_answered,
    StopRequested: _stop_requested,
    Tick: _tick,
}
