"""Steps for announcements of upstreams."""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies

from cactuswalk.http import UpstreamClient, make_announce_application
from cactuswalk.http.announcements import ANNOUNCEMENT_TTL_SECONDS
from cactuswalk.model import TaskSpec
from cactuswalk.settings import load_agent
from cactuswalk.state.effects import CallUpstream
from cactuswalk.state.events import Announced
from features.edges_support import (
    EXAMPLES,
    add_clean_up,
    request,
    run,
    serve,
    until,
    wait_until,
)


@given("an agent's announcement application")
def step_application(context, ttl_seconds=ANNOUNCEMENT_TTL_SECONDS):
    context.announced, context.reported, context.reasons = [], [], []

    def on_event(event):
        kind = context.announced if isinstance(event, Announced) else context.reported
        kind.append(event)

    context.upstream_client = UpstreamClient()
    run(context, context.upstream_client.open())
    application = make_announce_application(
        load_agent(EXAMPLES / "labuta-unita-agent.ini"),
        context.upstream_client,
        on_event,
        lambda: context.reasons,
        ttl_seconds,
    )
    context.agent_url = f"http://127.0.0.1:{serve(context, application)}"
    add_clean_up(context, lambda: run(context, context.upstream_client.close()))


@given("an agent's announcement application that expires after {expire:d} ms")
def step_application_expiring(context, expire):
    step_application(context, expire / 1000)


def announce(context, body):
    context.status, _, context.body = request(
        context, "POST", f"{context.agent_url}/announce", data=body
    )


@when("the upstream announces {body}")
def step_announce(context, body):
    announce(context, body.encode())


@when("the upstream withdraws twice")
def step_withdraw(context):
    for _ in range(2):
        status, _, _ = request(context, "DELETE", f"{context.agent_url}/announce")
        assert status == 204, status


@then("there is {count:d} announcement event")
@then("there are {count:d} announcement events")
def step_events(context, count):
    assert len(context.announced) == count, context.announced


@then(
    "the last announcement has {slots:d} slots, {connections:d} connections, "
    "serial {serial:d} and the labels"
)
def step_announcement(context, slots, connections, serial):
    announcement = context.announced[-1].announcement
    assert announcement.capacity.slots == slots
    assert announcement.capacity.connections == connections
    assert announcement.serial == serial
    assert (announcement.worker, announcement.rack) == ("mures-11", "mures-rack-1")
    labels = {row["label"]: row["value"] for row in context.table}
    assert announcement.labels == labels, announcement.labels


@then("the last announcement event is a withdrawal")
def step_withdrawal(context):
    assert context.announced[-1].announcement is None


@then("a withdrawal comes without a request")
def step_expired(context):
    wait_until(context, lambda: len(context.announced) == 2)
    assert context.announced[-1].announcement is None


@then('the announcement is refused as "{code}"')
def step_refused(context, code):
    assert context.status == 400, context.status
    problem = json.loads(context.body)
    assert problem["code"] == code and problem["remedy"], problem


@when("Hypothesis announces bodies")
def step_fuzz(context):
    context.outcomes = []
    field = strategies.sampled_from(
        ["service", "port", "slots", "connections", "labels", "ready", "memory_mb"]
    )
    value = strategies.recursive(
        strategies.one_of(
            strategies.integers(),
            strategies.text(max_size=8),
            strategies.booleans(),
            strategies.none(),
            strategies.floats(),
        ),
        lambda inner: strategies.dictionaries(strategies.text(max_size=4), inner),
        max_leaves=4,
    )
    base = {"service": "booking", "port": 9, "slots": 8}
    whole = strategies.dictionaries(field, value).map(
        lambda fields: json.dumps(base | fields).encode()
    )
    deep = strategies.just(b'{"labels":' * 20_000)

    @hypothesis_settings(
        max_examples=80, derandomize=True, database=None, deadline=None
    )
    @for_all(strategies.one_of(whole, strategies.binary(max_size=60), deep))
    def post(body):
        announce(context, body)
        context.outcomes.append((context.status, json.loads(context.body)))

    post()


@then("each is answered with 200 or a problem, never with 500")
def step_no_500(context):
    for status, body in context.outcomes:
        assert status == 200 or (400 <= status < 500 and body["code"]), (status, body)


@when('the agent gives the reason "{reason}"')
def step_reason(context, reason):
    context.reasons.append(reason)


def health(context):
    alive = request(context, "GET", f"{context.agent_url}/health")
    ready = request(context, "GET", f"{context.agent_url}/ready")
    return alive[0], ready[0], json.loads(ready[2])["reasons"]


@then("the agent is alive and ready")
def step_ready(context):
    assert health(context) == (200, 200, [])


@then('the agent is alive and not ready because of "{reason}"')
def step_not_ready(context, reason):
    assert health(context) == (200, 503, [reason])


@given("an upstream stand-in process that announces itself there")
def step_process(context):
    directory = tempfile.TemporaryDirectory()
    add_clean_up(context, directory.cleanup)
    context.record_path = Path(directory.name) / "record"
    context.process = subprocess.Popen(
        [
            *(sys.executable, "-m", "standins.upstream", "--name", "mures-11"),
            *("--service", "booking", "--agent", context.agent_url),
            *("--record", str(context.record_path)),
        ]
    )
    add_clean_up(context, context.process.kill)
    wait_until(context, lambda: context.announced)


@when("an upstream stand-in process announces itself there again")
def step_process_again(context):
    context.announced.clear()
    step_process(context)


@when("the upstream process is killed and called once")
def step_kill_process(context):
    context.process.kill()
    context.process.wait()
    effect = CallUpstream("members/a", 0, 1, "booking", TaskSpec(b"{}"), 9000)
    context.answer = run(context, context.upstream_client.call(effect))


@when("it moves to another port while a call to the first is in flight")
def step_move(context):
    effect = CallUpstream("members/a", 0, 1, "booking", TaskSpec(b"{}"), 9000)

    async def call_and_move():
        calling = asyncio.create_task(context.upstream_client.call(effect))
        # The call has read the port but has not yet found it closed.
        await asyncio.sleep(0)
        context.upstream_client.set_upstream(19, 64)
        context.answer = await calling

    run(context, call_and_move())


@then("the call was certainly not sent")
def step_not_sent(context):
    assert context.answer.outcome == "not_sent", context.answer


@then("the last announcement event is no withdrawal")
def step_no_withdrawal(context):
    assert context.announced[-1].announcement is not None


@when("the upstream process is stopped during a task")
def step_stop_process(context):
    effect = CallUpstream(
        "members/a", 0, 1, "booking", TaskSpec(b'{"duration_ms": 300}'), 9000
    )

    def started():
        return context.record_path.read_text(encoding="utf-8")

    async def call_and_stop():
        calling = asyncio.create_task(context.upstream_client.call(effect))
        await until(started)
        context.process.send_signal(signal.SIGTERM)
        context.answer = await calling
        await until(lambda: context.process.poll() is not None)

    run(context, call_and_stop())


@then("the task of the stopped upstream was answered and the process exited with 0")
def step_exited(context):
    assert context.answer.outcome == "answered", context.answer
    assert context.answer.status == 200, context.answer
    assert context.process.returncode == 0, context.process.returncode


@then("the file of the upstream process records one start and one end")
def step_file(context):
    lines = context.record_path.read_text(encoding="utf-8").splitlines()
    assert [json.loads(line)["event"] for line in lines] == ["start", "end"], lines
