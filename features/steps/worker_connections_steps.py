"""Steps on the connections to a worker, which is a plain server with set answers."""

import asyncio
import time
from unittest import mock

import msgspec
from behave import given, then, when

from cactuswalk.dispatch.agentevents import PollAnswered, StartVerdict
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.dispatch.job import TaskKey
from cactuswalk.platform import worker as workerclient, workerconnections
from cactuswalk.platform.worker import START_PATH, STOP_PATH, WorkerClient
from cactuswalk.platform.workerconnections import WorkerCallError, WorkerConnections
from features.support.fleet import JOB
from features.support.plainworker import BODY, RESPONSES, PlainWorker

# The machine that runs the tests may be busy.
TIMEOUT_SECONDS = 10.0
SHORT_TIMEOUT_SECONDS = 0.2
ANSWER_SECONDS = 1.0


def format_request(path=STOP_PATH):
    return f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{{}}".encode()


async def call(connections, seconds=TIMEOUT_SECONDS):
    """Make a call; return its body, or its error."""
    try:
        status, body = await connections.call(format_request(), seconds)
    except WorkerCallError as error:
        return error
    assert status == 200
    return body


def run(context, play):
    """Play something with connections to the scenario's worker."""

    async def main():
        async with context.worker as worker:
            connections = WorkerConnections(worker.address, 100)
            try:
                return await play(connections)
            finally:
                await worker.settle()
                context.open = set(worker.open)
                connections.close()
                await worker.settle()

    return asyncio.run(main())


def number_of(body):
    return msgspec.json.decode(body)["clock_ms"]


@given("a worker")
def step_worker(context):
    context.worker = PlainWorker()


@given("a worker whose first answer comes {seconds:g} seconds late")
def step_late_worker(context, seconds):
    worker = context.worker = PlainWorker()
    worker.answer = lambda *call: worker.answer_late(*call, seconds)


@given("a worker that sends an answer twice, the second time after {seconds:g} seconds")
def step_twice_worker(context, seconds):
    worker = context.worker = PlainWorker()
    worker.answer = lambda *call: worker.answer_twice(*call, seconds)


@given("a worker that closes its connections after {seconds:g} seconds")
def step_closing_worker(context, seconds):
    worker = context.worker = PlainWorker()
    worker.answer = lambda *call: worker.answer_and_close(*call, seconds)


@given("a worker that answers each call after {seconds:g} seconds")
def step_slow_worker(context, seconds):
    worker = context.worker = PlainWorker()
    worker.answer = lambda *call: worker.answer_each_late(*call, seconds)


@given("a worker that answers no starts")
def step_silent_worker(context):
    context.worker = PlainWorker()
    context.worker.answer = context.worker.answer_no_starts


@when("the worker answers a call with {response}")
def step_answer_with(context, response):
    worker = context.worker = PlainWorker()
    worker.answer = lambda *call: worker.answer_with(*call, *RESPONSES[response])
    began = time.monotonic()
    context.result = run(context, call)
    context.took = time.monotonic() - began


@when("a call is made to an address where nobody listens")
def step_call_nobody(context):
    async def main():
        async with PlainWorker() as worker:
            address = worker.address
        return await call(WorkerConnections(address, 1))

    began = time.monotonic()
    context.result = asyncio.run(main())
    context.took = time.monotonic() - began


@when("a call times out and another one is made at once")
def step_time_out(context):
    async def play(connections):
        first = await call(connections, SHORT_TIMEOUT_SECONDS)
        second = await call(connections)
        await asyncio.sleep(0.2)
        return first, second

    context.first, context.second = run(context, play)


@when("a call is cancelled and another one is made at once")
def step_cancel(context):
    async def play(connections):
        first = asyncio.create_task(call(connections))
        await asyncio.sleep(0.1)
        first.cancel()
        second = await call(connections)
        (first,) = await asyncio.gather(first, return_exceptions=True)
        return first, second

    context.first, context.second = run(context, play)


@when("{calls:d} calls are made {seconds:g} seconds apart")
def step_calls_apart(context, calls, seconds):
    async def play(connections):
        bodies = []
        for _ in range(calls):
            bodies.append(await call(connections))
            await asyncio.sleep(seconds)
        return bodies

    context.bodies = run(context, play)


@when(
    "{calls:d} calls are made {seconds:g} seconds apart and idle connections are kept"
    " for {kept:g} seconds"
)
def step_calls_apart_short(context, calls, seconds, kept):
    with mock.patch.object(workerconnections, "KEEPALIVE_SECONDS", kept):
        step_calls_apart(context, calls, seconds)


@when("{at_once:d} calls are made at once, and then {after:d} one after the other")
def step_calls_after(context, at_once, after):
    async def play(connections):
        bodies = await asyncio.gather(*(call(connections) for _ in range(at_once)))
        return bodies + [await call(connections) for _ in range(after)]

    context.bodies = run(context, play)


def make_start(worker="w"):
    until = time.monotonic() + TIMEOUT_SECONDS
    return StartTask(worker, 1, TaskKey(JOB, 0, 0), 1, "spec", 1, until)


@when("{starts:d} starts, {stops:d} stops and a poll are made at once")
def step_starts(context, starts, stops):
    async def main():
        async with context.worker as worker:
            client = WorkerClient(worker.address, time.monotonic)
            client.record_heartbeat("w", 1)
            stop = StopTask("w", 1, TaskKey(JOB, 0, 0), 1, 1)
            calls = [client.start(make_start()) for _ in range(starts)]
            calls += [client.stop(stop) for _ in range(stops)]
            calls.append(client.poll(PollWorker("w", 1, 0, 0, 0.0)))
            results = await asyncio.gather(*calls)
            await client.close()
            return results

    with mock.patch.object(workerclient, "CALL_TIMEOUT_SECONDS", ANSWER_SECONDS):
        context.results = asyncio.run(main())
    context.starts = context.results[:starts]
    context.stops = context.results[starts:-1]


@when("{starts:d} starts are made {seconds:g} seconds apart")
def step_starts_apart(context, starts, seconds):
    async def main():
        async with context.worker as worker:
            client = WorkerClient(worker.address, time.monotonic)
            client.record_heartbeat("w", 1)
            calls = []
            for _ in range(starts):
                calls.append(asyncio.create_task(client.start(make_start())))
                await asyncio.sleep(seconds)
            results = await asyncio.gather(*calls)
            await client.close()
            return results

    with mock.patch.object(workerclient, "CALL_TIMEOUT_SECONDS", ANSWER_SECONDS):
        context.starts = asyncio.run(main())


@when("a start is in progress while the client is closed")
def step_close(context):
    async def main():
        async with context.worker as worker:
            client = WorkerClient(worker.address, time.monotonic)
            client.record_heartbeat("w", 1)
            start = asyncio.create_task(client.start(make_start()))
            await worker.called.wait()
            await client.close()
            context.starts = [await start]
            await worker.settle()
            context.open = worker.open

    with mock.patch.object(workerclient, "CALL_TIMEOUT_SECONDS", TIMEOUT_SECONDS):
        asyncio.run(main())


@when('a worker is called by the name "{name}"')
def step_call_by_name(context, name):
    name = name.replace("\\r\\n", "\r\n")

    async def main():
        async with context.worker as worker:
            client = WorkerClient(worker.address, time.monotonic)
            try:
                await client._call(STOP_PATH, name, {}, ANSWER_SECONDS)
            except WorkerCallError as error:
                return error

    began = time.monotonic()
    context.result = asyncio.run(main())
    context.took = time.monotonic() - began


@then("the call fails, and is {refused}")
def step_fails(context, refused):
    assert isinstance(context.result, WorkerCallError), context.result
    assert context.result.refused == (refused == "refused")
    assert context.took < TIMEOUT_SECONDS / 2, "it has timed out"


@then("the call returns its body")
def step_returns(context):
    assert context.result == BODY, context.result


@then("the worker has seen 1 call and its connection is {state}")
def step_connection(context, state):
    assert len(context.worker.calls) == 1
    assert bool(context.open) == (state == "open"), context.open


@then("the worker has seen 0 calls")
def step_no_calls(context):
    assert not context.worker.calls


@then("the first call has failed, and the second has its own answer")
def step_second(context):
    assert isinstance(context.first, (WorkerCallError, asyncio.CancelledError))
    assert number_of(context.second) == 2


@then("each call has its own answer")
def step_own_answers(context):
    numbers = [number_of(body) for body in context.bodies]
    assert sorted(numbers) == list(range(1, len(numbers) + 1)), numbers


@then("the worker has seen {calls:d} calls on {connections:d} connections")
def step_calls_seen(context, calls, connections):
    seen = context.worker.calls
    assert len(seen) == calls, seen
    assert len({number for number, _ in seen}) == connections, seen
    assert context.worker.connections == connections


@then("the last {calls:d} calls came on 1 connection")
def step_last_calls(context, calls):
    assert len({number for number, _ in context.worker.calls[-calls:]}) == 1


@then("the starts have no answer")
def step_no_start_answered(context):
    verdicts = {start.verdict for start in context.starts}
    assert verdicts == {StartVerdict.UNKNOWN}


@then("the starts have their answers")
def step_starts_answered(context):
    verdicts = {start.verdict for start in context.starts}
    assert verdicts == {StartVerdict.STARTED}, verdicts


@then("the starts have no answer, the stops and the poll have one")
def step_starts_unanswered(context):
    step_no_start_answered(context)
    assert all(stop.done for stop in context.stops)
    assert isinstance(context.results[-1], PollAnswered)


@then(
    "the worker has seen {starts:d} starts on {own:d} connections and {others:d} other"
    " calls on {shared:d} connections"
)
def step_starts_seen(context, starts, own, others, shared):
    calls = context.worker.calls
    started = [number for number, path in calls if path == START_PATH]
    rest = [number for number, path in calls if path != START_PATH]
    assert (len(started), len(set(started))) == (starts, own)
    assert (len(rest), len(set(rest))) == (others, shared)


@then("the start has no answer, and no connection is open")
def step_closed(context):
    assert context.starts[0].verdict is StartVerdict.UNKNOWN
    assert not context.open
