"""The entry's reducer: it answers for jobs and places their tasks.

Nothing on a job's path waits for the platform's store. What runs for a job that
this process answered for ends with it: agents stop the tasks of an entry that
they no longer hear (``bounds``).
"""

from cactuswalk.dispatch.bounds import STOP_MARGIN_SECONDS
from cactuswalk.dispatch.effects import Effect
from cactuswalk.dispatch.entryagents import expire_placed, pulse_agents, received
from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EntriesListed,
    EntryEvent,
    EvacuationsRead,
    JobArrived,
    JobCancelled,
    Received,
    StopRequested,
    Tick,
    WaiterLeft,
)
from cactuswalk.dispatch.entryjobs import (
    answer,
    job_arrived,
    job_cancelled,
    waiter_left,
    why_unservable,
)
from cactuswalk.dispatch.entryoverflow import release_overflow, seek_agents, seek_room
from cactuswalk.dispatch.entrypeers import (
    configuration_read,
    entries_listed,
    evacuations_read,
    forget,
    pulse_next_entries,
)
from cactuswalk.dispatch.entryplacing import place
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.job import JobVerdict
from cactuswalk.dispatch.ordering import (
    Fate,
    fate,
)

__all__ = ["reduce"]

# Entries tell a few others of their configuration this often; who learns of a new
# version tells all others at once.
ENTRY_PULSE_SECONDS = 0.3


def reduce(state: EntryState, event: EntryEvent, now: float) -> list[Effect]:
    """Take an event, and return what is to be done."""
    HANDLERS[type(event)](state, event, now)
    if state.evacuations_changed:
        state.evacuations_changed = False
        _refuse_evacuated(state, now)
    if state.place_wanted:
        state.place_wanted = False
        seek_agents(state, now)
        if state.waiting_jobs():
            place(state, now)
            seek_room(state, now)
    effects, state.effects = state.effects, []
    return effects


def _stop_requested(state: EntryState, _: StopRequested, now: float) -> None:
    if not state.stop_at:
        state.stop_at = now + state.grace_seconds
        state.say("is to stop", jobs=len(state.jobs))


def _tick(state: EntryState, _: Tick, now: float) -> None:
    _judge_jobs(state, now)
    expire_placed(state, now)
    pulse_agents(state, now)
    if now - state.entries_pulsed_at >= ENTRY_PULSE_SECONDS:
        pulse_next_entries(state, now)
    release_overflow(state, now)
    forget(state, now)
    state.place_wanted = True


def _judge_jobs(state: EntryState, now: float) -> None:
    meets_workers = state.meets_workers(now)
    for job in list(state.jobs.values()):
        verdict = fate(job, now, meets_workers)
        if state.stop_at and now > state.stop_at - STOP_MARGIN_SECONDS:
            verdict = Fate.GIVE_UP if job.started else Fate.REFUSE
        if verdict is Fate.REFUSE:
            answer(state, job, JobVerdict.NOT_RUN, "no room in time", now)
        elif verdict is Fate.GIVE_UP:
            answer(state, job, JobVerdict.UNFINISHED, "out of time", now)


def _refuse_evacuated(state: EntryState, now: float) -> None:
    """Refuse jobs that wait for workers which are evacuated by now."""
    for job in list(state.jobs.values()):
        reason = "" if job.started else why_unservable(state, job.request, job.queue)
        if reason:
            answer(state, job, JobVerdict.NOT_RUN, reason, now)


HANDLERS = {
    JobArrived: job_arrived,
    WaiterLeft: waiter_left,
    JobCancelled: job_cancelled,
    Received: received,
    ConfigurationRead: configuration_read,
    EntriesListed: entries_listed,
    EvacuationsRead: evacuations_read,
    StopRequested: _stop_requested,
    Tick: _tick,
}
