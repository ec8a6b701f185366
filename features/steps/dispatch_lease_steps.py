"""Steps on the length of a worker's lease."""

import asyncio
from unittest import mock

from behave import given, then, when

from cactuswalk.dispatch.agentevents import Announced, StartVerdict
from cactuswalk.dispatch.agentview import AgentView
from cactuswalk.dispatch.bounds import ENTRY_LEASE_SECONDS, worker_lapse_seconds
from cactuswalk.dispatch.effects import PollWorker, StartTask
from cactuswalk.dispatch.job import Worker
from cactuswalk.platform import worker as workerclient
from features.support.agentbesideworker import AgentBesideWorker, take
from features.support.liveagent import LiveAgent

# The entry's lease, and the time in which the first stops are due and sent.
SILENT_SECONDS = 2.0


@given("an agent beside a worker whose clock runs at {percent:d} % of its speed")
def step_pair(context, percent):
    context.pair = AgentBesideWorker(percent / 100)
    context.clean_ups = [context.pair.close]


@given("the worker's responses take {delay:d} ms")
def step_delay(context, delay):
    context.pair.response_seconds = delay / 1000


@when("the agent finds its worker, which is idle for {seconds:g} seconds")
def step_idle(context, seconds):
    context.pair.announce()
    context.pair.now += seconds


@when("a heartbeat comes, and one that was delayed by {seconds:g} seconds")
def step_heartbeats(context, seconds):
    pair = context.pair
    for age in (0.0, seconds):
        clock_ms = pair.read_worker_clock_ms() - age * pair.rate * 1000
        pair.client.record_heartbeat(pair.worker.identifier, clock_ms)


@when("all readings of the worker's clock are lost")
def step_forget(context):
    context.pair.forget_readings()


@when("the worker's polls get no response")
def step_unanswered(context):
    context.pair.unanswered_paths.add(workerclient.POLL_PATH)
    patch = mock.patch.object(workerclient, "CALL_TIMEOUT_SECONDS", 0.05)
    patch.start()
    context.clean_ups.append(patch.stop)


@when("the agent starts a task")
def step_start(context):
    send_start(context, context.pair.decide_start())


def send_start(context, effects):
    context.decided_at = context.pair.state.renewed_at
    context.answer = context.pair.perform(take(effects, StartTask))


@when("the agent starts a task, renews the lease {seconds:g} seconds later and freezes")
def step_renew(context, seconds):
    pair = context.pair
    started_at = pair.now
    effects = pair.decide_start()
    pair.feed(pair.perform(take(effects, StartTask)))
    pair.now = started_at
    # Polls wait at the worker; the first was sent with the start.
    for renewed_after in (seconds / 2, seconds):
        answer = pair.perform(take(effects, PollWorker))
        assert pair.now <= started_at + renewed_after, "a response came too late"
        pair.now = started_at + renewed_after
        effects = pair.feed(answer)
    assert seconds == ENTRY_LEASE_SECONDS
    context.view = AgentView("a0", pair.report, started_at)
    pair.perform(take(effects, PollWorker))


@when(
    "a start for which the entry has waited {seconds:g} seconds comes, and the agent"
    " freezes after it"
)
def step_old_start(context, seconds):
    pair = context.pair
    heard_at = pair.now - seconds
    effects = pair.decide_start(seconds)
    context.answer = pair.perform(take(effects, StartTask))
    context.view = AgentView("a0", pair.report, heard_at)


@when("the agent decides on a {call} and sends it {seconds:g} seconds later")
def step_late(context, call, seconds):
    pair = context.pair
    effects = pair.decide_start()
    if call == "poll":
        send_start(context, effects)
        pair.feed(context.answer)
        context.decided_at = pair.state.renewed_at
        pair.now += seconds
        pair.perform(take(effects, PollWorker))
        return
    pair.now += seconds
    send_start(context, effects)


@then("the worker's lease ends before the agent considers the run ended")
def step_lease_end(context):
    assert context.answer.verdict is StartVerdict.STARTED, context.answer
    length = context.pair.lease_ends_at() - context.decided_at
    assert length <= worker_lapse_seconds(), f"the lease lasts {length:.3f} s"


@then("the lease has lasted for {seconds:g} seconds or more")
def step_lease_length(context, seconds):
    length = context.pair.lease_ends_at() - context.decided_at
    assert length >= seconds, f"the lease lasts {length:.3f} s"


@then("the worker's clock was read by no call of its own")
def step_no_reading(context):
    assert context.pair.calls.count(workerclient.POLL_PATH) == 1, context.pair.calls


@then("the worker's lease ends before an entry runs the task elsewhere")
def step_entry(context):
    early = context.view.lapses_at() - context.pair.lease_ends_at()
    assert context.pair.worker.runs
    assert early >= 0, f"the lease ends {-early:.3f} s later"


@then("the worker has not run the task, and the agent knows that")
def step_not_run(context):
    assert context.answer.verdict is StartVerdict.LATE, context.answer
    assert not context.pair.worker.runs and not context.pair.worker.record


@then("the poll of another incarnation renews no lease")
def step_candidate(context):
    other = Worker("i-other", "plans", "d0", ("a",), 8000, 65_536, 0, False, 0, 1)
    poll = take(context.pair.feed(Announced(other)), PollWorker)
    assert not poll.lease_until, poll


@given("an agent whose worker runs {tasks:d} tasks")
def step_live(context, tasks):
    context.live, context.tasks = LiveAgent(), tasks


@when("the worker answers no {calls}, and the entry falls silent")
def step_hang(context, calls):
    paths = {workerclient.STOP_PATH}
    if calls == "stops and polls":
        paths.add(workerclient.POLL_PATH)
    asyncio.run(context.live.run(context.tasks, paths, SILENT_SECONDS))


@then("the first stop of each task reaches the worker within {seconds:g} seconds")
def step_stops_sent(context, seconds):
    live = context.live
    assert len(live.stops_due_at) == context.tasks
    waits = [
        live.stops_seen_at.get(task, float("inf")) - due_at
        for task, due_at in live.stops_due_at.items()
    ]
    late = [wait for wait in waits if wait > seconds]
    assert not late, f"{len(late)} of {len(waits)} come later or not at all"
