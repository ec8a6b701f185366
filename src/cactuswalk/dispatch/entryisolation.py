"""Isolation of an entry: it hears few of its agents, for longer than its leases.

It is probably cut off, and from its callers too. Their connections break meanwhile and
they send their jobs to other entries, but what tells this entry so may arrive long
after its agents are heard again, or never. Its agents have stopped the tasks. If it had
them run again, they would run twice at once.

So it places a task only soon after the job has arrived, when its caller was there. The
caller's second attempt comes so much later that its leaving is known by then.
"""

from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.bounds import ENTRY_LEASE_SECONDS, RESUME_SECONDS
from cactuswalk.dispatch.entrystate import EntryState
from cactuswalk.dispatch.jobstate import JobState, TaskState

__all__ = ["check_isolation", "may_place", "must_give_up"]

# An agent that was not heard for this long is not expected to be heard: it has gone.
# An entry whose agents have lost their power together counts as isolated until then.
EXPECTED_SECONDS = 2.0

# While messages arrive in both directions, the latest stamp of this entry that an idle
# agent has returned is no older than this: keepalives come each 0.4 s, reports each
# 0.2 s, and the timers of both processes add 0.1 s.
RETURNED_SECONDS = 0.9

# An entry that is isolated for this long gives up the earlier jobs that run at agents
# which it hears. An isolation begins 0.55 s after a cut at the latest, and stops take
# 0.08 s: together less than RESEND_SECONDS.
GIVE_UP_SECONDS = 0.3

# Messages that came while this process was paused have been handled after this time.
READ_SECONDS = 0.15

# After a cut agents are heard again one after another, within two of their reports'
# intervals of 0.2 s.
RETURN_SECONDS = 0.5


def may_place(state: EntryState, job: JobState, now: float) -> bool:
    """Return whether a job's tasks may be started.

    In an isolation its caller may have gone if it arrived more than a lease ago.
    """
    age = now - job.arrived_at
    # A job that arrives right after an isolation may have waited in a socket's buffer.
    # That its caller has gone is read next.
    if now - state.isolated_until < RESUME_SECONDS and age < RESUME_SECONDS:
        return False
    if state.isolated_at:
        return age <= ENTRY_LEASE_SECONDS
    return job.arrived_at >= state.placed_from


def must_give_up(state: EntryState, job: JobState, now: float) -> bool:
    """Return whether a job's tasks are to be stopped, since its caller may come back.

    Tasks run on at agents that are cut off together with their entry, while its callers
    send their jobs to entries on the other side.
    """
    return (
        0 < state.isolated_at <= now - GIVE_UP_SECONDS
        and job.arrived_at < state.isolated_at - ENTRY_LEASE_SECONDS
        and any(_runs_at_heard_agent(state, task, now) for task in job.tasks)
    )


def _runs_at_heard_agent(state: EntryState, task: TaskState, now: float) -> bool:
    """Return whether the process that got a task's start is heard.

    A new process at its address has ended the task's run.
    """
    view = state.views.get(task.agent_address)
    if view is None or now - view.heard_at > ENTRY_LEASE_SECONDS:
        return False
    start = view.placed[task.sequence].start
    return start.agent_incarnation == view.report.incarnation


def check_isolation(state: EntryState, now: float) -> None:
    """Record whether fewer agents are heard than half of those that should be."""
    heard, expected = _count_agents(state, now)
    if state.isolated_at and not heard:
        state.isolated_until = now
    if 2 * heard < expected:
        _begin(state, heard, expected, now)
        _note_silent_agents(state, now)
    elif heard and state.isolated_at:
        _end_if_explained(state, heard, expected, now)


def _count_agents(state: EntryState, now: float) -> tuple[int, int]:
    """Return how many agents are heard, and how many home agents should be."""
    age_allowance = _pause_allowance(state, READ_SECONDS, now)
    returned_allowance = _pause_allowance(state, RETURNED_SECONDS, now)
    heard = expected = 0
    for view in state.views.values():
        if not view.report.worker:
            continue
        age = now - view.heard_at
        returned_age = now - view.echoed_stamp / 1000 if view.echoed_stamp else 0.0
        heard += (
            age <= ENTRY_LEASE_SECONDS + age_allowance
            and returned_age <= RETURNED_SECONDS + returned_allowance
        )
        expected += _is_expected(view) and (
            max(age, returned_age) <= EXPECTED_SECONDS + returned_allowance
        )
    return heard, expected


def _pause_allowance(state: EntryState, seconds: float, now: float) -> float:
    """Return the length of a pause of this process that ended so recently, or 0.

    While it is paused it handles no reports and sends no stamps.
    """
    return state.paused_seconds if now - state.paused_until < seconds else 0.0


def _is_expected(view: AgentView) -> bool:
    """Return whether an agent reports all the time.

    An agent that is used for overflow and has nothing of this entry may leave it.
    """
    return view.report.home or bool(view.placed)


def _begin(state: EntryState, heard: int, expected: int, now: float) -> None:
    if state.isolated_at:
        return
    state.isolated_at = now
    state.heard_again_at = 0.0
    state.silent_incarnations = {}
    state.say(
        "heard few of its agents",
        heard=heard,
        expected=expected,
        seconds=ENTRY_LEASE_SECONDS,
        jobs=len(state.jobs),
        waiting=len(state.waiting_jobs()),
    )


def _note_silent_agents(state: EntryState, now: float) -> None:
    for address, view in state.views.items():
        if now - view.heard_at > ENTRY_LEASE_SECONDS:
            state.silent_incarnations.setdefault(address, view.report.incarnation)


def _end_if_explained(state: EntryState, heard: int, expected: int, now: float) -> None:
    """End the isolation once it is known whether it was a cut.

    One agent may have been restarted during a cut, and be heard before the others.
    """
    silent, returned, restarted = _count_returned(state, now)
    only_new = 0 < returned == restarted
    is_restart = only_new and 2 * restarted > silent
    if only_new and not is_restart:
        state.heard_again_at = state.heard_again_at or now
        if now - state.heard_again_at < RETURN_SECONDS:
            return
    _end(state, heard, expected, is_restart, now)


def _end(
    state: EntryState, heard: int, expected: int, is_restart: bool, now: float
) -> None:
    state.say(
        "hears its agents again",
        heard=heard,
        expected=expected,
        seconds=round(now - state.isolated_at + ENTRY_LEASE_SECONDS, 3),
        jobs=len(state.jobs),
        waiting=len(state.waiting_jobs()),
        restarted=is_restart,
    )
    state.isolated_at = 0.0
    if not is_restart:
        state.isolated_until = now
        state.placed_from = now - ENTRY_LEASE_SECONDS


def _count_returned(state: EntryState, now: float) -> tuple[int, int, int]:
    """Return the numbers of agents that were silent, are heard again, and are new.

    If those that are heard again are new processes, and are most of them, the agents
    were silent since they had ended, not for a cut.
    """
    before = state.silent_incarnations
    views = [state.views[address] for address in before if address in state.views]
    returned = [view for view in views if now - view.heard_at <= ENTRY_LEASE_SECONDS]
    restarted = [
        view for view in returned if view.report.incarnation != before[view.address]
    ]
    return len(views), len(returned), len(restarted)
