"""Steps on the bytes that a worker or the store sends, and what becomes of them."""

import asyncio
import json
import re
from unittest import mock

import msgspec
from aiohttp import ClientSession
from aiohttp.test_utils import RawTestServer
from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies
from yarl import URL

from cactuswalk.dispatch.agent import reduce
from cactuswalk.dispatch.agentevents import Announced, PollAnswered, StartVerdict
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.dispatch.incarnations import (
    KnownIncarnations,
    is_later,
    join_incarnation,
    split_incarnation,
)
from cactuswalk.dispatch.job import TaskKey
from cactuswalk.platform import worker as workerclient
from cactuswalk.platform.announcements import AnnouncementHandler
from cactuswalk.platform.heartbeats import INSTANCES_PATH
from cactuswalk.platform.worker import START_PATH, WorkerClient
from features.support.agentbesideworker import AgentBesideWorker
from features.support.fleet import JOB
from features.support.plainworker import PlainWorker

NOW = 100.0
# The machine that runs the tests may be busy.
TIMEOUT_SECONDS = 10.0
SERVICE = "plans"
HEARTBEAT = {
    "service": SERVICE,
    "zone": "d0",
    "state": "ready",
    "sequence": 5,
    "capacity": {"cpu": 8000, "mem_mb": 1000},
    "labels": ["a"],
    "clock_ms": 1234.5,
}
DEPTH = 100_000
WHOLE = msgspec.json.encode(HEARTBEAT)
UNREADABLE = {
    "none": b"",
    "half of it": WHOLE[: len(WHOLE) // 2],
    "not UTF-8": WHOLE.replace(b"d0", b"\xff\xfe"),
    "not JSON": b"\x00\x01garbage",
    "a list": b"[" + WHOLE + b"]",
    "nested too deep": b"[" * DEPTH,
    "nested unknown": WHOLE[:-1] + b',"x":' + b"[" * DEPTH,
}


class Agent:
    """An agent's reducer behind the handler of its worker's heartbeats."""

    def __init__(self):
        self.state = AgentState("l1", 7, ["e0"], "a0", "d0", 6.0, 5.0)
        self.heard = []
        self.refused = []
        self.handler = AnnouncementHandler(SERVICE, self.feed, self.refused.append)

    def feed(self, event):
        self.heard.append(event)
        reduce(self.state, event, NOW)

    def view(self):
        """Return what a heartbeat may change."""
        state = self.state
        return (
            state.worker,
            state.candidate,
            state.announced_at,
            dict(state.incarnations.latest),
            len(self.heard),
        )

    def put(self, *requests):
        """Send heartbeats, given by path and body; return their statuses and codes."""

        async def main():
            answers = []
            async with (
                RawTestServer(self.handler.handle) as server,
                ClientSession() as (session),
            ):
                for name, body in requests:
                    url = str(server.make_url("/")) + INSTANCES_PATH[1:] + name
                    put = session.put(URL(url, encoded=True), data=body)
                    async with put as response:
                        answers.append((response.status, await response.json()))
            return answers

        return asyncio.run(main())


def encode(**fields):
    return msgspec.json.encode(HEARTBEAT | fields)


@given('an agent whose worker "{name}" was born at {born:d}')
def step_agent(context, name, born):
    agent = context.agent = Agent()
    ((status, _),) = agent.put((name, encode(born=born)))
    assert status == 200 and agent.state.worker.identifier == f"{name}#{born}"
    context.before = agent.view()


def put(context, name, body):
    context.before = context.agent.view()
    ((context.status, context.body),) = context.agent.put((name, body))


@when('a heartbeat of "{name}" has {birth}')
def step_heartbeat(context, name, birth):
    fields = {} if birth == "no birth" else msgspec.json.decode(f"{{{birth}}}")
    put(context, name, encode(**fields))


@when("a heartbeat comes with {field:w} as {value}")
def step_heartbeat_with(context, field, value):
    raw = {field: msgspec.Raw(value.encode())}
    put(context, "w", msgspec.json.encode(HEARTBEAT | {"born": 7} | raw))


@when("a heartbeat comes without {field:w}")
def step_heartbeat_without(context, field):
    left = {name: value for name, value in HEARTBEAT.items() if name != field}
    put(context, "w", msgspec.json.encode(left | {"born": 7}))


@when("the bytes of a heartbeat are {kind}")
def step_bytes(context, kind):
    put(context, "w", UNREADABLE[kind])


@then("it is answered with 200")
def step_taken(context):
    assert context.status == 200, (context.status, context.body)


@then('the agent hears "{identifier}"')
def step_hears(context, identifier):
    event = context.agent.heard[-1]
    assert isinstance(event, Announced)
    assert event.worker.identifier == identifier, event


@then("it is answered with 400 and changes nothing")
def step_refused(context):
    assert context.status == 400, (context.status, context.body)
    assert context.body["code"] == "malformed_heartbeat", context.body
    assert context.agent.view() == context.before
    assert len(context.agent.refused) == 1


@then('the next heartbeat of "{name}" is heard')
def step_next(context, name):
    put(context, name, encode(born=7, sequence=6))
    assert context.status == 200
    assert context.agent.state.worker.sequence == 6


@when("heartbeats with random fields and bytes come")
def step_random(context):
    value = strategies.recursive(
        strategies.one_of(
            strategies.integers(-(1 << 70), 1 << 70),
            strategies.text(max_size=6),
            strategies.booleans(),
            strategies.none(),
            strategies.floats(allow_nan=False, allow_infinity=False),
        ),
        lambda inner: strategies.dictionaries(
            strategies.sampled_from(["cpu", "mem_mb", "gpu", "x"]), inner
        ),
        max_leaves=4,
    )
    name = strategies.sampled_from([*HEARTBEAT, "born", "remaining_ms"])
    changed = strategies.dictionaries(name, value, max_size=3)
    # Not msgspec, which writes no integers beyond 64 bits.
    whole = changed.map(
        lambda fields: json.dumps(HEARTBEAT | {"born": 7} | fields).encode()
    )
    bodies = []

    @hypothesis_settings(
        max_examples=150, derandomize=True, database=None, deadline=None
    )
    @for_all(strategies.one_of(whole, strategies.binary(max_size=60)))
    def collect(body):
        bodies.append(body)

    collect()
    context.outcomes = []
    for body in bodies:
        put(context, "w", body)
        same = context.agent.view() == context.before
        context.outcomes.append((context.status, same, body))


@then("each is answered with 200 or 400")
def step_answered(context):
    statuses = {status for status, _, _ in context.outcomes}
    assert statuses == {200, 400}, statuses


@then("a heartbeat that was refused changes nothing")
def step_unchanged(context):
    for status, same, body in context.outcomes:
        assert status == 200 or same, body


# Calls to a worker.


@given("a worker that answers {body} with {status:d}")
def step_answering(context, body, status):
    worker = context.worker = PlainWorker()
    worker.answer = lambda *call: worker.answer_json(*call, status, body.encode())


@given("a worker that answers {body}")
def step_answering_well(context, body):
    step_answering(context, body, 200)


def call(context, play):
    """Play calls of a client to the scenario's worker."""

    async def main():
        async with context.worker as worker:
            client = context.client = WorkerClient(worker.address, lambda: NOW)
            try:
                return await play(client)
            finally:
                await client.close()

    with mock.patch.object(workerclient, "CALL_TIMEOUT_SECONDS", TIMEOUT_SECONDS):
        return asyncio.run(main())


def make_start(name):
    return StartTask(name, 1, TaskKey(JOB, 0, 0), 1, "spec", 1, NOW + 1.0)


@when('"{name}" gets a start, a stop and a poll')
def step_calls(context, name):
    async def play(client):
        client.record_heartbeat(name, 1.0)
        start = await client.start(make_start(name))
        stop = await client.stop(StopTask(name, 1, TaskKey(JOB, 0, 0), 1, 1))
        return start, stop, await client.poll(PollWorker(name, 1, 0, 0, 0.0))

    context.start, context.stop, context.event = call(context, play)


@when('"{name}" gets a poll')
def step_poll(context, name):
    async def play(client):
        return await client.poll(PollWorker(name, 1, 0, 0, 0.0, True))

    context.event = call(context, play)
    assert context.event.worker == name and context.event.is_check


@when('"{name}" gets a start without a reading of its clock')
def step_start_unread(context, name):
    context.start = call(context, lambda client: client.start(make_start(name)))


@then('each call names the instance "{name}"')
def step_instance(context, name):
    heads = context.worker.heads
    named = [re.search(r"X-Expected-Instance: (.*)\r", head)[1] for head in heads]
    assert named == [name] * 3, named


@then("the start is started, the stop is done, and the poll is answered")
def step_all_done(context):
    assert context.start.verdict is StartVerdict.STARTED
    assert context.stop.done and isinstance(context.event, PollAnswered)


@then("the start is {verdict}, the stop is {done}")
def step_verdicts(context, verdict, done):
    assert context.start.verdict.value == verdict, context.start
    assert context.stop.done == (done == "done"), context.stop


@then("the poll is answered")
def step_poll_answered(context):
    assert isinstance(context.event, PollAnswered), context.event


def check_failed(context, fenced=False, gone=False, answered_by=""):
    event = context.event
    assert not isinstance(event, PollAnswered), event
    seen = event.fenced, event.gone, event.refused, event.answered_by
    assert seen == (fenced, gone, False, answered_by), event


@then('the poll was answered by "{name}"')
def step_poll_other(context, name):
    check_failed(context, answered_by=name)


@then("the poll has no answer")
def step_poll_unanswered(context):
    check_failed(context)


@then("the poll is gone")
def step_poll_gone(context):
    check_failed(context, gone=True)


@then("the poll is fenced")
def step_poll_fenced(context):
    check_failed(context, fenced=True)


@then('the clock of "{name}" is unknown, and that of "{other}" is known')
def step_clock(context, name, other):
    assert set(context.client.readings) == {other}, context.client.readings


@then("the start is late, and no start was sent")
def step_late(context):
    assert context.start.verdict is StartVerdict.LATE, context.start
    paths = [path for _, path in context.worker.calls]
    assert paths and START_PATH not in paths, paths


# The agent beside a worker.


@given("an agent beside a worker that reports when it was born")
def step_beside(context):
    context.pair = AgentBesideWorker(1.0, reports_born=True)
    context.add_cleanup(context.pair.close)
    context.pair.announce()


@when("the worker restarts between the decision on a start and the call")
def step_restart(context):
    pair = context.pair
    effects = pair.decide_start()
    pair.worker.crash(0)
    pair.perform_all(effects, 20)


@then("the worker has begun the run and stopped it")
def step_stopped(context):
    whats = [line["what"] for line in context.pair.worker.record]
    assert whats == ["began", "stopped"], whats


@then("the agent uses the new incarnation, holds nothing, and takes no tasks yet")
def step_not_open(context):
    pair = context.pair
    worker, state = pair.worker, pair.state
    assert state.worker.identifier == f"{worker.identifier}#{worker.born}"
    assert not state.held and state.ready_to_start
    assert not state.is_open(pair.now)


@when("the new incarnation sends its heartbeat")
def step_announce(context):
    context.pair.feed(Announced(context.pair._make_announcement()))


@then("the agent takes tasks, and a start runs there")
def step_runs(context):
    pair = context.pair
    assert pair.state.is_open(pair.now)
    pair.perform_all(pair.decide_start(), 2)
    assert pair.worker.record[-1]["what"] == "began" and pair.worker.runs
    assert len(pair.state.held) == 1


# Identifiers.


@then('"{one}" is {order} "{other}"')
def step_order(context, one, order, other):
    assert is_later(one, other) == (order == "later than")


@then(
    "of {names:d} names with a birth the last {kept:d} are known, and none without one"
)
def step_names(context, names, kept):
    known = KnownIncarnations()
    for number in range(names):
        known.record(f"w{number}#7")
        known.record(f"v{number}")
        known.record(f"w{number}#9")
    outdated = [number for number in range(names) if known.is_outdated(f"w{number}#7")]
    assert outdated == list(range(names - kept, names)), outdated
    assert len(known.latest) == kept


@then("random names and births come back from their identifiers")
def step_round_trip(context):
    names = strategies.text("w#1-é", max_size=6)
    births = strategies.none() | strategies.integers(0, 1 << 53)

    @hypothesis_settings(
        max_examples=300, derandomize=True, database=None, deadline=None
    )
    @for_all(names, births)
    def check(name, born):
        identifier = join_incarnation(name, born)
        assert split_incarnation(identifier) == (name, born), identifier

    check()
