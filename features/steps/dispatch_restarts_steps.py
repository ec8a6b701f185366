"""Steps on workers that restart under their names."""

from unittest import mock

import msgspec
from behave import given, then, when

from cactuswalk.dispatch import agentincarnations
from cactuswalk.dispatch.agentevents import Announced, StartVerdict
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.dispatch.incarnations import split_incarnation
from cactuswalk.dispatch.job import TaskKey
from features.steps.dispatch_twice_steps import find_busy_worker
from features.support.fleet import JOB
from features.support.fleetworker import CallFaults
from features.support.restarts import (
    RestartDay,
    announce_late,
    report_born,
    restart_before,
)

DAY_SECONDS = 10
LOST_CALLS = {
    "polls": (CallFaults(lost_share=1.0), (PollWorker,)),
    "stops": (CallFaults(lost_share=1.0), (StopTask,)),
    "polls and stops": (CallFaults(lost_share=1.0), (PollWorker, StopTask)),
    "answers to polls": (CallFaults(unconfirmed_share=1.0), (PollWorker,)),
}


def state_of(context, worker):
    return context.fleet.states[worker.name]


def is_open(context, worker):
    return state_of(context, worker).is_open(context.fleet.now)


@given("its workers report when they were born")
def step_born(context):
    report_born(context.fleet)


@when(
    "a worker that runs a task restarts within {seconds:g} seconds, after {after:g}"
    " seconds"
)
def step_restart(context, seconds, after):
    context.fleet.run(after)
    worker = context.worker = find_busy_worker(context)
    context.lost = set(worker.runs)
    worker.crash_for(seconds, False)
    context.returned_at = context.fleet.now + seconds


@when("a worker that runs a task restarts in an instant, after {after:g} seconds")
def step_restart_at_once(context, after):
    context.fleet.run(after)
    worker = context.worker = find_busy_worker(context)
    context.lost = set(worker.runs)
    worker.crash()
    context.returned_at = context.fleet.now


@when(
    "a worker that runs a task restarts in an instant with {cores:d} cores, for"
    ' "{service}" tasks'
)
def step_restart_smaller(context, cores, service):
    context.fleet.run(0.3)
    worker = context.worker = find_busy_worker(context)
    # Its agent can know the smaller size by a heartbeat alone: nothing excuses more.
    worker.cpu, worker.service = cores * 1000, service
    worker.crash()
    context.returned_at = context.fleet.now


@then("its tasks begin again within {seconds:g} seconds of its return")
def step_begin_again(context, seconds):
    fleet = context.fleet
    fleet.run(context.returned_at + seconds - fleet.now)
    step_begun_again(context)


@then("its tasks have begun again")
def step_begun_again(context):
    assert context.lost, "it ran nothing"
    again = {
        key
        for at, key, run, name in context.fleet.starts
        if name != context.worker.name and run > 1
    }
    assert context.lost <= again, (context.lost, context.fleet.starts)


@then("it is open for tasks within {seconds:g} seconds of its return")
def step_open(context, seconds):
    fleet = context.fleet
    while not is_open(context, context.worker):
        fleet.run(0.05)
        assert fleet.now <= context.returned_at + seconds, "it isn't used again"
    state = state_of(context, context.worker)
    assert state.worker.identifier == context.worker.identifier


@then("its agent uses its current incarnation, but takes no tasks")
def step_closed(context):
    state = state_of(context, context.worker)
    assert state.worker.identifier == context.worker.identifier
    assert not state.is_announced and not is_open(context, context.worker)


@when("its host's time of day was set back by {seconds:g} seconds meanwhile")
def step_set_back(context, seconds):
    context.worker.born -= int(seconds * 1000)


@when("all workers restart in an instant, and {seconds:g} seconds pass")
def step_restart_all(context, seconds):
    for worker in context.fleet.workers.values():
        worker.crash()
    context.fleet.run(seconds)


@then("a job that comes now is not refused as too large")
def step_not_too_large(context):
    fleet = context.fleet
    assert not any(is_open(context, worker) for worker in fleet.workers.values())
    waiter = fleet.submit("e0", "00000000000000cc", 1, seconds=2.0, wait=4.0)
    fleet.run(4.0)
    _, answer = fleet.answers[waiter]
    assert "large enough" not in answer.reason, answer


@then("no task has begun there since")
def step_none_there(context):
    later = [
        start
        for start in context.fleet.starts
        if start[3] == context.worker.name and start[0] > context.returned_at
    ]
    assert not later, later


@then('its agent knows its {cores:d} cores and its service "{service}"')
def step_known(context, cores, service):
    worker = state_of(context, context.worker).worker
    assert (worker.cpu, worker.service) == (cores * 1000, service), worker


@then("it has never been sent more than it holds")
def step_not_over(context):
    fleet = context.fleet
    there = [s for s in fleet.starts if s[3] == context.worker.name]
    assert there[-1][0] > context.returned_at, "it was not used again"
    assert fleet.overloads == 0, fleet.overloads


@when("the workers restart, and a heartbeat of each is held up before")
def step_hold_heartbeats(context):
    fleet = context.fleet
    workers = list(fleet.workers.values())
    context.held_up = [(worker, worker.announcement()) for worker in workers]
    for worker in workers:
        worker.crash_for(0.1, False)


@when("the heartbeats that were held up arrive after {seconds:g} seconds")
def step_arrive(context, seconds):
    context.fleet.run(seconds)
    for worker, heartbeat in context.held_up:
        announce_late(context.fleet, worker, heartbeat)


@when("the agents restart, and hear what was held up first")
def step_restart_agents(context):
    fleet = context.fleet
    fleet.run(0.5)
    for name in fleet.workers:
        fleet.kill(name)
        fleet.start_agent(name)
    step_arrive(context, 0.0)


@when("connections to all workers are refused until they are forgotten")
def step_refuse(context):
    fleet = context.fleet
    workers = list(fleet.workers.values())
    for worker in workers:
        worker.refuses, worker.announces = True, False
    # A start to each, whose refusal shows it.
    fleet.submit("e0", JOB, 8, cpu=8_000, seconds=0.1)
    fleet.run(1.0)
    for worker in workers:
        assert state_of(context, worker).worker is None
        worker.refuses, worker.announces = False, True


@then("its agents use no worker")
def step_no_worker(context):
    for worker in context.fleet.workers.values():
        assert state_of(context, worker).worker is None, worker.name


@then("its agents use the current incarnations")
def step_current(context):
    for worker in context.fleet.workers.values():
        state = state_of(context, worker)
        assert state.worker.identifier == worker.identifier
        assert is_open(context, worker), worker.name


@then("its agents ignore a heartbeat under their worker's name that lacks its birth")
def step_no_birth(context):
    fleet = context.fleet
    for worker in fleet.workers.values():
        name, born = split_incarnation(worker.identifier)
        assert born is not None
        heartbeat = msgspec.structs.replace(worker.announcement(), identifier=name)
        fleet.deliver(worker.name, Announced(heartbeat))
        assert state_of(context, worker).candidate is None
    fleet.run(0.5)
    step_current(context)


@when("a departure of each worker is announced after {seconds:g} seconds")
def step_depart_all(context, seconds):
    context.fleet.run(seconds)
    for name in context.fleet.workers:
        context.fleet.announce_departure(name)


@then("no agent takes tasks")
def step_all_closed(context):
    workers = context.fleet.workers.values()
    assert not any(is_open(context, worker) for worker in workers)


@then("each agent takes tasks")
def step_all_open(context):
    workers = context.fleet.workers.values()
    assert all(is_open(context, worker) for worker in workers)


@when("a worker that runs a task departs, ends and is back after {seconds:g} seconds")
def step_depart(context, seconds):
    context.fleet.run(0.3)
    find_busy_worker(context).depart(0.05, seconds)


@then("no task has counted as crashed")
def step_none_crashed(context):
    ends = [
        effect.fields["end"]
        for _, _, effect in context.fleet.lines
        if effect.sentence == "a run has ended"
    ]
    assert ends and "crashed" not in ends, ends


@when("the worker that gets the next start restarts right before it")
def step_restart_before(context):
    context.worker, context.then = None, lambda worker: None
    workers = list(context.fleet.workers.values())
    for worker in workers:
        worker.start = lambda *call, worker=worker: restart(context, worker, call)


def restart(context, worker, call):
    for other in context.fleet.workers.values():
        del other.start
    context.worker = worker
    worker.crash()
    context.returned_at = context.fleet.now
    verdict = worker.start(*call)
    assert verdict is StartVerdict.STARTED, verdict
    context.then(worker)
    return verdict


@when("it then loses {calls} for {seconds:g} seconds, and sends a heartbeat")
def step_lose(context, calls, seconds):
    faults, kinds = LOST_CALLS[calls]
    fleet = context.fleet

    def lose(worker):
        worker.call_faults.update({kind: faults for kind in kinds})
        found = {kind: CallFaults() for kind in kinds}
        fleet.at(seconds, lambda: worker.call_faults.update(found))
        fleet.at(0.005, lambda: fleet.announce(worker.name))

    context.then = lose


@when("its answers to starts are lost")
def step_lose_start_answers(context):
    def lose(worker):
        worker.call_faults[StartTask] = CallFaults(unconfirmed_share=1.0)
        found = {StartTask: CallFaults()}
        context.fleet.at(0.1, lambda: worker.call_faults.update(found))

    context.then = lose


@then("the first run was stopped before its agent opened again")
def step_stopped(context):
    ends = [
        (at, effect.fields["end"])
        for at, name, effect in context.fleet.lines
        if effect.sentence == "a run has ended" and name == context.worker.name
    ]
    assert ends[0][1] == "stopped", ends
    first, second = context.fleet.starts[:2]
    assert first[3] == context.worker.name and second[0] >= ends[0][0]


@when(
    "the next start is held up for {seconds:g} seconds, and its worker restarts"
    " meanwhile"
)
def step_hold_start(context, seconds):
    fleet = context.fleet
    calls = fleet.calls
    carry_out, context.verdict = calls.carry_out, None

    def hold(worker, effect, sent_at, deadline):
        if not isinstance(effect, StartTask):
            return carry_out(worker, effect, sent_at, deadline)
        calls.carry_out = carry_out
        worker.crash()
        fleet.at(0.002, lambda: fleet.announce(worker.name))
        fleet.at(seconds, lambda: arrive(worker, effect, deadline))
        # No answer: the call is on its way.
        return carry_out(worker, PollWorker("", 0, 0, 0, 0.0), sent_at, 0.0)

    def arrive(worker, effect, deadline):
        assert worker.lease_end(deadline, fleet.now) > fleet.now, "it is late"
        context.verdict = worker.start(effect, deadline, fleet.now)

    calls.carry_out = hold


@then("the start that was held up was refused by its token")
def step_fenced(context):
    assert context.verdict is StartVerdict.FENCED, context.verdict


@when("the worker that runs it restarts right before the stop that its entry asks for")
def step_stop(context):
    fleet = context.fleet
    fleet.run(0.3)
    worker = context.worker = find_busy_worker(context)
    restart_before(worker, "stop")
    fleet.leave("e0", context.waiters["e0"])


@then("the next run of the task there has a higher number")
def step_number(context):
    key = TaskKey(JOB, 0, 0)
    state = state_of(context, context.worker)
    worker = context.worker
    assert "stop" not in vars(worker), "no stop came"
    assert worker.highest[key] == 1 and not worker.runs, "it was not carried out"
    assert state.runs[key] >= worker.highest[key], state.runs


@when("a worker that runs a task restarts {times:d} times, {seconds:g} seconds apart")
def step_restart_often(context, times, seconds):
    context.fleet.run(0.3)
    worker = find_busy_worker(context)
    for _ in range(times):
        worker.crash()
        context.fleet.announce(worker.name)
        context.fleet.run(seconds)


@then("days {first:d} to {last:d} of restarts under a name keep every guarantee")
def step_days(context, first, last):
    for seed in range(first, last + 1):
        day = RestartDay(seed)
        day.play(DAY_SECONDS)
        assert not day.is_broken(), f"seed {seed}: {day.summary()}"
        assert day.restarts and len(day.fleet.answers) > 50, day.summary()


@when("all runs are taken for ended with the earlier incarnation")
def step_end_all(context):
    follow = agentincarnations._follow

    def end_all(state, *arguments):
        for held in state.held.values():
            held.is_listed = True
        follow(state, *arguments)

    patch = mock.patch.object(agentincarnations, "_follow", end_all)
    patch.start()
    context.add_cleanup(patch.stop)


@then("a task has run twice at once")
def step_twice(context):
    assert context.fleet.overlaps
