"""Steps that disable one safeguard and look for the guarantee that is violated."""

import math
from unittest import mock

import msgspec
from behave import then, when

from cactuswalk.dispatch import (
    agent,
    agentcalls,
    agententries,
    agentgone,
    agentleases,
    agentview,
    agentworker,
    entry,
    entryagents,
    entryisolation,
    entrykeepalives,
    entrypeers,
    entryplacing,
    entrystate,
    placement,
)
from cactuswalk.dispatch.bounds import (
    ENTRY_LEASE_SECONDS,
    RESEND_SECONDS,
    agent_lapse_seconds,
)
from cactuswalk.dispatch.effects import StartTask
from cactuswalk.dispatch.entryevents import Received
from cactuswalk.dispatch.messages import Keepalive, TaskEnd
from cactuswalk.platform import workerclock
from features.support.agentbesideworker import AgentBesideWorker, take
from features.support.crashday import CrashDay
from features.support.cutoff import play_cut, play_late_request, play_unread_cut
from features.support.fleet import JOB, Fleet
from features.support.fleetscript import RandomDay
from features.support.fleetsearch import SearchDay
from features.support.loststops import LostStops
from features.support.reboots import RebootDay, RebootingFleet

take_running = agentworker._apply_running
place_job = entryplacing._place_job

# The rarest violation, without an entry's lease, occurs on one day in forty: a task has
# to outlive its entry by 1.3 s, and be placed again by then.
MAX_SEEDS = 120
DAY_SECONDS = 10


# Without it the entry's lease ends its runs only if the worker gets their stops.
NO_LIMIT_ON_RENEWALS = mock.patch.object(
    agentleases, "_must_end_by", lambda state, held: math.inf
)

# By safeguard, the evidence that is not taken for a worker's certain end.
PRESUMPTIONS = {
    "waiting for the lease of a worker that refuses connections": (
        "its address refuses connections"
    ),
    "waiting for the lease of a worker that has said that it leaves": (
        "it has announced that it leaves"
    ),
}


def is_stamp_lower(view, report, now):
    """Accept any report of another incarnation."""
    known = view.report
    return report.incarnation == known.incarnation and report.stamp < known.stamp


# Safeguards that are disabled by one other value or function.
REPLACED = {
    "the proof that an agent's other incarnation is alive": (
        agentview.AgentView,
        "is_out_of_date",
        is_stamp_lower,
    ),
    "the proof that an entry's other incarnation is alive": (
        agententries,
        "_is_newer",
        lambda *arguments: True,
    ),
    "the wait after a pause": (entrystate, "RESUME_SECONDS", 0.0),
    "noticing a pause": (entry, "ENTRY_LEASE_SECONDS", math.inf),
    "the wait after a cut": (entryisolation, "RESUME_SECONDS", 0.0),
    "watching how many agents an entry hears": (
        entry,
        "check_isolation",
        lambda *arguments: None,
    ),
    "watching whether agents hear their entry": (
        entryisolation,
        "RETURNED_SECONDS",
        math.inf,
    ),
    "giving up jobs at agents that are cut off too": (
        entryisolation,
        "GIVE_UP_SECONDS",
        math.inf,
    ),
    "withholding starts that were sent before the end": (
        entryagents,
        "may_place",
        lambda *arguments: True,
    ),
}


# Without lists of jobs. In these cases they keep a second attempt waiting while the
# first one runs on, and would hide that the safeguard is missing.
NO_LISTS = mock.patch.object(entrypeers, "list_jobs", lambda *arguments: [])
HIDDEN_BY_LISTS = (
    "the limit on renewals for runs that an entry wants stopped",
    "the list of starts to stop in keepalives",
    "watching how many agents an entry hears",
    "watching whether agents hear their entry",
    "withholding starts that were sent before the end",
    "giving up jobs at agents that are cut off too",
)


def make_patches(safeguard):
    """Return the patches that disable a safeguard."""
    if safeguard == "an entry's lease at its agents":
        return [
            mock.patch.object(agent, "expire_entries", lambda state, now: None),
            NO_LIMIT_ON_RENEWALS,
        ]
    if safeguard == "waiting for a silent agent's leases":
        return [mock.patch.object(agentview, "agent_lapse_seconds", lambda: 0.2)]
    if safeguard == "waiting for a worker's lease":
        return [
            mock.patch.object(module, "worker_lapse_seconds", lambda: 0.0)
            for module in (agent, agentcalls, agentgone, agentworker)
        ]
    if safeguard == "stopping the tasks of an entry's earlier incarnation":
        return [
            mock.patch.object(
                agententries, "_stop_entry_runs", lambda *arguments: None
            ),
            mock.patch.object(agent, "expire_entries", lambda state, now: None),
            NO_LIMIT_ON_RENEWALS,
        ]
    if safeguard == "a stop before an unconfirmed start is abandoned":
        return [mock.patch.object(agentcalls, "_mark_unconfirmed", abandon_start)]
    if safeguard == "stopping the runs of an agent's earlier incarnation":
        return [mock.patch.object(agentworker, "_apply_running", ignore_unknown_runs)]
    if safeguard == "the order of an agent's reports":
        return [
            mock.patch.object(
                agentview.AgentView, "is_out_of_date", lambda *arguments: False
            )
        ]
    return make_other_patches(safeguard)


def make_other_patches(safeguard):
    """Return the patches that disable one of the other safeguards."""
    if safeguard == "listing jobs to other entries":
        return [NO_LISTS]
    if safeguard == "the limit on renewals for runs that are to end":
        return [NO_LIMIT_ON_RENEWALS]
    if safeguard == "the limit on renewals for runs that an entry wants stopped":
        return [mock.patch.object(agententries, "limit_run", lambda *arguments: None)]
    if safeguard == "the list of starts to stop in keepalives":
        return [
            mock.patch.object(
                entrykeepalives,
                "Keepalive",
                lambda *fields: Keepalive(*fields[:-3], [], *fields[-2:]),
            )
        ]
    if safeguard == "keeping suspected tasks apart":
        return [
            mock.patch.object(module, "is_suspect", lambda record: False)
            for module in (placement, entryplacing)
        ]
    if safeguard == "learning a smaller capacity":
        return [
            mock.patch.object(
                agentcalls, "_learn_smaller_capacity", lambda state, held: None
            )
        ]
    if safeguard == "waiting for a task's earlier start":
        return [mock.patch.object(entryplacing, "_place_job", place_anyway)]
    if safeguard == "the allowance for a worker's clock":
        return [
            mock.patch.object(workerclock, "CLOCK_DRIFT", 0.0),
            mock.patch.object(workerclock, "MAX_READING_AGE_SECONDS", 1e9),
        ]
    return [mock.patch.object(*REPLACED[safeguard])]


def patch_presumption(evidence):
    """Return a patch that takes evidence for the certain end of a worker."""

    def forget(state, now):
        if state.worker is not None and state.presumed_gone == evidence:
            agentgone.drop_worker(state, evidence, now)

    return mock.patch.object(agent, "forget_if_ended", forget)


def place_anyway(state, job, chooser, starts, now):
    """Place a job's tasks although their earlier starts have not ended."""
    state.stopping_tasks.clear()
    place_job(state, job, chooser, starts, now)


def ignore_unknown_runs(state, event, token, now):
    """Ignore the runs that an earlier incarnation of the agent has started."""
    known = {(held.start.key, held.run) for held in state.held.values()}
    event.running[:] = [row for row in event.running if (row.key, row.run) in known]
    return take_running(state, event, token, now)


def abandon_start(state, held, now):
    """Treat an unanswered start as one that was never carried out."""
    state.end(held, TaskEnd.DECLINED, 0, "no answer", now)


@when("{safeguard} is disabled")
def step_disable(context, safeguard):
    if safeguard in PRESUMPTIONS:
        patches = [patch_presumption(PRESUMPTIONS[safeguard])]
    else:
        patches = make_patches(safeguard)
    if safeguard in HIDDEN_BY_LISTS:
        patches.append(NO_LISTS)
    for patch in patches:
        patch.start()
    context.clean_ups = [patch.stop for patch in patches]


@then("an entry runs a silent agent's task elsewhere while it runs")
def step_silent_agent(context):
    pair = AgentBesideWorker(0.98)
    context.clean_ups.append(pair.close)
    pair.announce()
    pair.now += 60.0
    heard_at = pair.now - ENTRY_LEASE_SECONDS
    pair.perform(take(pair.decide_start(ENTRY_LEASE_SECONDS), StartTask))
    assert pair.lease_ends_at() > heard_at + agent_lapse_seconds()


@then("a late report of an earlier incarnation ends the running tasks")
def step_late_report_used(context):
    fleet = Fleet(1, 2)
    view = fleet.states["e0"].views["a0"]
    report = msgspec.structs.replace(view.report, open=True)
    fleet.kill("a0")
    fleet.workers["a0"].crash()
    fleet.start_agent("a0")
    fleet.run(2.0)
    fleet.submit("e0", JOB, 20, seconds=1.0)
    fleet.run(0.3)
    fleet.deliver("e0", Received("a0", report))
    fleet.run(4.0)
    assert len(fleet.starts) > 20, "each task was started once"


@then("a day of reboots and late messages has an overlap")
def step_late_overlap(context):
    for seed in range(MAX_SEEDS):
        day = RebootDay(seed)
        day.play(DAY_SECONDS)
        if day.fleet.overlaps:
            return
    raise AssertionError(f"{MAX_SEEDS} days passed without it")


@then("a late message of an entry that is gone stops the running one's tasks")
def step_late_entry_message(context):
    fleet = RebootingFleet(1, 1)
    fleet.held_links.add(("e0", "a0"))
    fleet.run(0.5)
    fleet.held_links.clear()
    fleet.replace("e0")
    fleet.run(1.0)
    fleet.submit("e0", JOB, 4, seconds=1.0)
    fleet.run(0.2)
    first = {run for run, _ in fleet.live_runs.values()}
    assert len(first) == 4
    fleet.arrive_late(("e0", "a0"))
    fleet.run(0.2)
    left = first & {run for run, _ in fleet.live_runs.values()}
    assert not left, "the tasks run on"


def check_overlaps_at_e1(fleet):
    """Check that a caller's second attempt, at e1, runs beside the first."""
    fleet.run(RESEND_SECONDS)
    fleet.submit("e1", JOB, 4, seconds=3.0, wait=10.0)
    fleet.run(6.0)
    assert fleet.overlaps, "no task ran twice at once"


@then("an entry that resumes runs a task that runs elsewhere")
def step_resumed(context):
    fleet = Fleet(2, 4)
    fleet.in_order = True
    fleet.run(0.5)
    fleet.freeze("e0", 1.5)
    waiter = fleet.submit("e0", JOB, 4, seconds=3.0, wait=10.0)
    fleet.at(1.52, lambda: fleet.leave("e0", waiter))
    check_overlaps_at_e1(fleet)


@then("an entry that resumes runs a task whose caller's leaving is known late")
def step_resumed_early_job(context):
    fleet = Fleet(2, 4)
    waiter = fleet.submit("e0", JOB, 4, seconds=3.0, wait=10.0)
    fleet.run(0.5)
    fleet.freeze("e0", 1.35)
    fleet.at(1.85, lambda: fleet.leave("e0", waiter))
    check_overlaps_at_e1(fleet)


@then(
    "a task runs twice at once when an entry was cut off for {seconds:g} seconds, {way}"
)
def step_cut_overlaps(context, seconds, way):
    assert play_cut(way, seconds, 0.5).overlaps, "no task ran twice at once"


@then("a task runs twice at once when a caller's leaving is never known")
def step_unread_overlaps(context):
    assert play_unread_cut("both ways", 0.2, 0.3).overlaps, "no task ran twice at once"


@then("a task runs twice at once when its request comes out of a buffer after a cut")
def step_late_request_overlaps(context):
    assert play_late_request().overlaps, "no task ran twice at once"


@then("the second attempt at a job whose entry was killed overlaps the first")
def step_overlaps(context):
    check_second_attempt_overlaps()


@then("the second attempt overlaps the first although the entry has started again")
def step_overlaps_restarted(context):
    check_second_attempt_overlaps(restart_seconds=0.5)


def check_second_attempt_overlaps(restart_seconds=None):
    """Kill an entry that has a job, perhaps restart it, and submit the job again."""
    fleet = Fleet(2, 2)
    fleet.submit("e0", JOB, 4, seconds=3.0, wait=10.0)
    fleet.run(0.2)
    fleet.kill("e0")
    if restart_seconds is not None:
        fleet.at(restart_seconds, lambda: fleet.start_entry("e0", "d0"))
    check_overlaps_at_e1(fleet)


@then("a random day violates a guarantee")
def step_violates(context):
    for seed in range(MAX_SEEDS):
        day = RandomDay(seed)
        day.play(DAY_SECONDS)
        if day.fleet.overlaps or day.false_refusals or day.unanswered:
            return
    raise AssertionError(f"{MAX_SEEDS} days passed without it")


@then('a task runs twice at once on a day of the mix "{mix}"')
def step_overlaps_in_mix(context, mix):
    for seed in range(MAX_SEEDS):
        day = SearchDay(seed, mix)
        day.play(DAY_SECONDS)
        if day.fleet.overlaps:
            return
    raise AssertionError(f"{MAX_SEEDS} days passed without it")


@then("a task runs twice at once when {case}, and stops reach workers")
def step_lost_messages_overlap(context, case):
    assert LostStops(0, share=0.0).play(case).overlaps, "no task ran twice at once"


@then("a task runs twice at once when {case} and no stop reaches a worker")
def step_lost_stops_overlap(context, case):
    assert LostStops(0).play(case).overlaps, "no task ran twice at once"


@then(
    "on day {seed:d} of {kind:w} that crash their workers a sound job is answered as "
    "failed"
)
def step_sound_job_failed(context, seed, kind):
    assert CrashDay(seed, kind).play().failed_sound_jobs()
