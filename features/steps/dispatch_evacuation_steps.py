"""Steps on the evacuation of data centres."""

from collections import Counter
from unittest import mock

from behave import given, then, when

from cactuswalk.dispatch.agentstate import AgentState
from features.support.centreload import play
from features.support.evacuationday import EvacuationDay

DAY_SECONDS = 12

FIRST_JOB = "f" * 16


@when("data centre {centre:w} is evacuated")
def step_evacuate(context, centre):
    context.evacuated_at = context.fleet.now
    context.fleet.evacuate(centre)


@when("the evacuation of data centre {centre:w} ends")
def step_end_evacuation(context, centre):
    context.fleet.take_back(centre)


@when("every data centre is evacuated")
def step_evacuate_all(context):
    context.evacuated_at = context.asked_at = context.fleet.now
    for centre in context.fleet.centre_names():
        context.fleet.evacuate(centre)


@when("a job of {tasks:d} tasks runs everywhere")
def step_runs(context, tasks):
    fleet = context.fleet
    fleet.in_order = True
    context.waiters = [fleet.submit("e0", FIRST_JOB, tasks, seconds=2.0)]
    fleet.run(0.1)
    centres = {fleet.workers[start[3]].data_centre for start in fleet.starts}
    assert centres == set(fleet.centre_names()), centres


@when("the data centres get {rate:g} times what the workers can do for {s:d} seconds")
def step_load(context, rate, s):
    play(context, context.fleet.centre_names(), rate, s)


@when("entries {first:w} and {second:w} can't reach the store")
def step_without_store(context, first, second):
    context.fleet.cut_from_store = {first, second}


@when("no entry can reach the store")
def step_no_entry(context):
    context.fleet.cut_from_store = set(context.fleet.entry_names)


@when("the store is down for everybody")
def step_store_down(context):
    context.fleet.cut_from_store = set(context.fleet.states)


@then("the agents of data centre {centre:w} take tasks again")
def step_open_again(context, centre):
    states = context.fleet.states
    names = [
        name
        for name, worker in context.fleet.workers.items()
        if worker.data_centre == centre
    ]
    assert names
    assert not any(states[name].is_evacuated() for name in names)


@then("no agent has read the evacuations")
def step_no_reads(context):
    assert not context.fleet.store_reads, context.fleet.store_reads


@then("each agent has read the evacuations at most {most:d} times")
def step_few_reads(context, most):
    reads = context.fleet.store_reads
    assert set(reads) == set(context.fleet.workers), reads
    assert max(reads.values()) <= most, reads


@when("the links from {entry:w} to the other entries are cut")
def step_cut_entries(context, entry):
    others = set(context.fleet.entry_names) - {entry}
    context.fleet.cuts |= {(entry, other) for other in others}


@when("{entry:w} is cut off from all others")
def step_cut_off(context, entry):
    fleet = context.fleet
    others = set(fleet.states) - {entry}
    fleet.cuts |= {(entry, other) for other in others}
    fleet.cuts |= {(other, entry) for other in others}


@when("{entry:w} is connected again")
def step_connected(context, entry):
    context.fleet.cuts.clear()


@when("{name:w} is killed and started again")
def step_restart(context, name):
    fleet = context.fleet
    fleet.kill(name)
    if name in fleet.workers:
        fleet.start_agent(name)
    else:
        fleet.start_entry(name, fleet.states[name].data_centre)


@when("a job comes to {entry:w} for which there is no capacity")
def step_no_capacity(context, entry):
    fleet = context.fleet
    fleet.submit(entry, f"{1:016x}", 100, seconds=3.0, wait=9.0)
    fleet.run(0.05)
    context.waiters = [fleet.submit(entry, f"{2:016x}", 1, seconds=3.0, wait=9.0)]


@when("a job of {tasks:d} tasks comes to {entry:w}")
def step_job(context, tasks, entry):
    context.asked_at = context.fleet.now
    context.waiters = [context.fleet.submit(entry, f"{3:016x}", tasks)]


@when("a job of {ms:d} ms comes to {entry:w}, which can wait for 36 ms")
def step_short_job(context, ms, entry):
    context.waiters = [context.fleet.submit(entry, FIRST_JOB, seconds=ms / 1000)]


@then("that job is refused as not run within {seconds:g} seconds")
def step_refused(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    [waiter] = context.waiters
    assert waiter in fleet.answers, "it still waits"
    assert fleet.verdict(waiter) == "not_run"
    assert not [start for start in fleet.starts if start[1].job == f"{2:016x}"]


@when("every entry reads the store again, each at another revision")
def step_read_again(context):
    fleet = context.fleet
    context.sent_before = Counter(fleet.sent)
    for name in fleet.living():
        fleet.store_revision += 1
        fleet.read_store(name)


@then("no entry sends more than {count:d} status messages within {seconds:g} seconds")
def step_few_messages(context, count, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    for name in fleet.entry_names:
        key = (name, "EntryPulse")
        told = fleet.sent[key] - context.sent_before[key]
        assert told <= count, (name, told)


@then("that job is done within {seconds:g} seconds")
def step_served(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    [waiter] = context.waiters
    assert fleet.verdict(waiter) == "completed", fleet.answers[waiter]


@then(
    "nothing has started in data centre {centre:w} later than {seconds:g} seconds"
    " after that"
)
def step_nothing_started(context, centre, seconds):
    late = find_late_starts(context, centre, seconds)
    assert not late, (len(late), late[0], context.evacuated_at)


def find_late_starts(context, centre, seconds):
    """Return the starts in a data centre that came too long after its evacuation."""
    fleet = context.fleet
    return [
        start
        for start in fleet.starts
        if fleet.workers[start[3]].data_centre == centre
        and start[0] > context.evacuated_at + seconds
    ]


@then("every job is done, and no task has run twice")
def step_done(context):
    fleet = context.fleet
    waiters = [*context.waiters, *context.jobs]
    assert {fleet.verdict(waiter) for waiter in waiters} == {"completed"}
    runs = [(start[1].job, start[1].index) for start in fleet.starts]
    assert len(runs) == len(set(runs))


@then("all entries and agents regard {centre:w} alone as evacuated")
def step_known(context, centre):
    for name, state in context.fleet.states.items():
        assert state.evacuations.data_centres == (centre,), name


@given("agents accept tasks though their data centre is evacuated")
def step_without_decline(context):
    patch = mock.patch.object(AgentState, "is_evacuated", lambda state: False)
    patch.start()
    context.clean_ups = [patch.stop]


@then("something has started in data centre {centre:w} later than {s:g} seconds after")
def step_something_started(context, centre, s):
    assert find_late_starts(context, centre, s)


@then("random days {first:d} to {last:d} with evacuations keep every guarantee")
def step_days(context, first, last):
    starts = 0
    for seed in range(first, last + 1):
        day = EvacuationDay(seed)
        day.play(DAY_SECONDS)
        assert not day.is_broken(), (seed, day.late_starts[:3], day.summary())
        starts += len(day.fleet.starts)
    assert starts > 3000, starts
