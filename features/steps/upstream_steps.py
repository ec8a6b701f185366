"""Steps for the agent's calls to its upstream."""

import asyncio
import hashlib
import json
import socket

import msgspec
from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies

from cactuswalk.http import UpstreamClient
from cactuswalk.model import TaskSpec
from cactuswalk.state.effects import CallUpstream, StopUpstream
from features.edges_support import add_clean_up, run, serve_stand_in, until, wait_until
from standins.upstream import Faults


def make_client(context, port, connections=64, echoes=False):
    client = context.upstream_client = UpstreamClient()
    run(context, client.open())
    add_clean_up(context, lambda: run(context, client.close()))
    if port:
        client.set_upstream(port, connections, echoes)


def call_effect(submission, index, duration_ms=10, timeout_ms=5000):
    work = {"work": "seat check", "duration_ms": duration_ms, "index": index}
    task = TaskSpec(json.dumps(work).encode())
    return CallUpstream(submission, index, 1, "booking", task, timeout_ms)


def call(context, *arguments, **named):
    context.effect = call_effect(*arguments, **named)
    context.answer = run(context, context.upstream_client.call(context.effect))


def digest_matches(effect, answer):
    wanted = hashlib.sha256(effect.task.body).hexdigest()
    return json.loads(answer.body)["digest"] == wanted


@given("an upstream stand-in that the client calls")
def step_stand_in(context, connections=64):
    context.upstream, port = serve_stand_in(context)
    make_client(context, port, connections)


@given("an upstream stand-in that the client calls over {connections:d} connections")
def step_stand_in_connections(context, connections):
    step_stand_in(context, connections)


@given("an upstream stand-in that {names} the request in its answers")
def step_stand_in_echoes(context, names):
    echoes = names == "names"
    context.upstream, port = serve_stand_in(context, echoes=echoes)
    make_client(context, port, echoes=echoes)


@given("the upstream client expects the names from one that has none")
def step_echo_missing(context):
    context.upstream.options.echoes = False


@given("an upstream client whose port refuses connections")
def step_refusing(context):
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    add_clean_up(context, bound.close)
    make_client(context, bound.getsockname()[1])


@given("an upstream client without an upstream")
def step_no_upstream(context):
    make_client(context, 0)


@given("the upstream has the fault {faults}")
def step_fault(context, faults):
    context.upstream.faults = msgspec.json.decode(faults, type=Faults)
    if context.upstream.faults.frozen:
        context.upstream.unfrozen.clear()


@when('task {index:d} of "{submission}" is called at the upstream')
def step_call(context, index, submission):
    call(context, submission, index)


@when('task {index:d} of "{submission}" is called at the upstream within {within:d} ms')
def step_call_within(context, index, submission, within):
    call(context, submission, index, duration_ms=50, timeout_ms=within)


@when(
    'tasks {first:d} to {last:d} of "{submission}" are called at the upstream in turn'
)
def step_call_many(context, first, last, submission):
    context.pairs = []
    for index in range(first, last + 1):
        call(context, submission, index, duration_ms=0)
        context.pairs.append((context.effect, context.answer))


@when(
    '{count:d} tasks of "{submission}" of {duration:d} ms are called at the upstream '
    "at once"
)
def step_call_at_once(context, count, submission, duration):
    async def call_all():
        client = context.upstream_client
        effects = [call_effect(submission, i, duration) for i in range(count)]
        return await asyncio.gather(*(client.call(effect) for effect in effects))

    context.answers = run(context, call_all())


@when('a running task of "{submission}" is stopped at the upstream')
def step_stop(context, submission):
    async def call_and_stop():
        client = context.upstream_client
        calling = asyncio.create_task(
            client.call(call_effect(submission, 0, 60_000, 60_000))
        )
        await until(lambda: context.upstream.running)
        assert await client.stop(StopUpstream(submission, 0, 1))
        context.answer = await calling

    run(context, call_and_stop())


@then('the upstream call is "{outcome}"')
def step_outcome(context, outcome):
    assert context.answer.outcome == outcome, context.answer
    assert outcome == "answered" or context.answer.status == 0


@then('the upstream call is "{outcome}" with status {status:d}')
def step_outcome_status(context, outcome, status):
    assert context.answer.outcome == outcome, context.answer
    assert context.answer.status == status, context.answer


@then(
    'the upstream call is "answered" with status 200 and the digest of its input',
)
def step_digest(context):
    assert context.answer.status == 200, context.answer
    assert digest_matches(context.effect, context.answer)


@then("each upstream call got the digest of its own input")
def step_digests(context):
    assert len(context.pairs) == 20
    assert all(digest_matches(effect, answer) for effect, answer in context.pairs)


@then("each upstream call got the digest of its own input or is uncertain")
def step_digests_or_uncertain(context):
    assert len(context.pairs) == 20
    answered = 0
    for effect, answer in context.pairs:
        if answer.outcome != "uncertain":
            assert digest_matches(effect, answer), (effect, answer)
            answered += 1
    assert answered


@then("the upstream has started each task 1 time")
def step_each_once(context):
    assert context.upstream.find_double_starts() == []
    starts = [r for r in context.upstream.records if r["event"] == "start"]
    assert len(starts) == 20, starts


@then("the upstream client opened {count:d} connection")
def step_connections(context, count):
    assert len(context.upstream.peers) == count, context.upstream.peers


@then("the upstream has started it {count:d} time")
def step_starts(context, count):
    records = context.upstream.records
    if count:
        wait_until(context, lambda: records)
    assert sum(record["event"] == "start" for record in records) == count, records


@then('the record of the upstream reads "{events}"')
def step_record(context, events):
    found = [record["event"] for record in context.upstream.records]
    assert found == events.split(", "), found


@then('{answered:d} upstream calls are "answered" and {refused:d} is "not_sent"')
def step_counts(context, answered, refused):
    outcomes = [answer.outcome for answer in context.answers]
    assert outcomes.count("answered") == answered, outcomes
    assert outcomes.count("not_sent") == refused, outcomes


def serve_bytes(context, payload):
    """Answer each connection with the raw bytes that ``payload()`` returns."""
    context.call_count = 0

    async def handle(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        context.call_count += 1
        writer.write(payload())
        writer.close()

    server = run(context, asyncio.start_server(handle, "127.0.0.1", 0))
    add_clean_up(context, server.close)
    make_client(context, server.sockets[0].getsockname()[1])


@given("an upstream that sends {text} and closes")
def step_raw_upstream(context, text):
    payload = text.strip().encode().decode("unicode_escape").encode()
    serve_bytes(context, lambda: payload)


@given("an upstream that answers {megabytes:d} MB")
def step_large(context, megabytes):
    length = megabytes << 20
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode()
    serve_bytes(context, lambda: head + b"x" * length)


@given("an upstream that sends what Hypothesis chooses")
def step_chosen_upstream(context):
    context.payload = b""
    serve_bytes(context, lambda: context.payload)


@then("the malformed upstream was called {count:d} time")
def step_called(context, count):
    assert context.call_count == count, context.call_count


@then("an answer counts only if its full declared length was received")
def step_whole_only(context):
    @hypothesis_settings(
        max_examples=100, derandomize=True, database=None, deadline=None
    )
    @for_all(
        strategies.integers(0, 40),
        strategies.binary(max_size=40),
        strategies.sampled_from([200, 201, 404, 500, 503]),
        strategies.integers(0, 80),
    )
    def check(declared, body, status, kept):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {declared}\r\n\r\n".encode()
        context.payload = (head + body)[: kept if kept % 2 else None]
        call(context, "schools/f", 0)
        answer, sent = context.answer, len(context.payload) - len(head)
        if sent < declared:
            assert answer.outcome == "uncertain", answer
        elif sent == declared:
            assert answer.outcome == "answered", answer
        if answer.outcome == "answered":
            assert answer.body == body[:declared], answer

    check()
