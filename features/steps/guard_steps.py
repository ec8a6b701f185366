"""Steps for the memory guard in the agent's reducer."""

import json

from behave import given, then, when

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.messages import Result
from cactuswalk.model import (
    Announcement,
    Capacity,
    Job,
    TaskOutcome,
    TaskResult,
    TaskSpec,
)
from cactuswalk.state import agent as agents
from cactuswalk.state.configuration import ConfigurationSync, Replica
from cactuswalk.state.effects import ControlUpstream, Count, Send, StopUpstream
from cactuswalk.state.events import (
    Announced,
    TaskUsage,
    UpstreamAnswered,
    UpstreamOutcome,
    UsageReported,
)
from cactuswalk.state.gate import Gate, accept_epoch
from cactuswalk.state.retention import RECORD_BYTES, RecordStore
from features.edges_support import request
from features.steps.once_gate_steps import OWNER, SELF, make_start


@given("a guarded worker that runs {tasks}")
def step_worker(context, tasks):
    records = RecordStore(600.0, 100 * RECORD_BYTES)
    copies = RecordStore(600.0, 100 * RECORD_BYTES)
    gate = Gate(SELF, records, 1.0)
    context.now = 50.0
    assert accept_epoch(gate, 3, OWNER)
    sync = ConfigurationSync(Replica())
    context.agent = agents.new_agent("cell", gate, copies, sync, 20.0, context.now)
    worker = Announcement(
        SELF.worker, "routes", "dc", "rack", {}, Capacity(8, memory_mb=1000)
    )
    agents.on_announced(context.agent, Announced(worker), context.now)
    for task in tasks.split(" and "):
        name, attempt = task.split("/")
        start = make_start(
            submission=name,
            attempt=int(attempt),
            task=TaskSpec(b"", memory_mb=100),
            remaining_ms=60_000,
        )
        agents.on_start(context.agent, OWNER.address, start, context.now)


def report(context, text):
    usages = []
    for one in text.split(", "):
        task, used, *saves = one.split()
        name, attempt = task.split("/")
        usages.append(TaskUsage(name, 0, int(attempt), int(used), bool(saves)))
    context.agent.effects = []
    agents.on_usage(context.agent, UsageReported(usages), context.now)


@when('its upstream reports "{text}"')
def step_report(context, text):
    report(context, text)


@when('its upstream reports "{text}" a second later')
def step_report_later(context, text):
    context.now += 1
    report(context, text)


@when('its upstream reports "{text}" {seconds:d} seconds later')
def step_report_much_later(context, text, seconds):
    context.now += seconds
    report(context, text)


def format_action(effect):
    if isinstance(effect, StopUpstream):
        return f"stop {effect.submission}/{effect.attempt}"
    action = "lift" if effect.factor == 1.0 else effect.action.value
    action = "checkpoint" if effect.action == "checkpoint" else action
    return f"{action} {effect.submission}/{effect.attempt}"


def requested_actions(context):
    kinds = (StopUpstream, ControlUpstream)
    return [
        format_action(one) for one in context.agent.effects if isinstance(one, kinds)
    ]


@then('the guard asks for "{text}"')
def step_asks(context, text):
    assert requested_actions(context) == text.split(", "), context.agent.effects


@then("the guard asks for nothing")
def step_asks_nothing(context):
    assert not requested_actions(context), context.agent.effects


@then("{count:d} tasks of the report were stale")
def step_stale(context, count):
    assert Count("agent.usage.stale", count) in context.agent.effects


@when("{name}/{attempt:d} ends with status {status:d}")
def step_ends(context, name, attempt, status):
    context.agent.effects = []
    event = UpstreamAnswered(
        name, 0, attempt, UpstreamOutcome.ANSWERED, status, b"", 100
    )
    agents.on_upstream_answered(context.agent, event, context.now)


@then('its owner is told "{outcome}" because it was "{words}"')
def step_told(context, outcome, words):
    sent = [one.message for one in context.agent.effects if isinstance(one, Send)]
    assert [type(message) for message in sent] == [Result], sent
    result = sent[0].result
    assert result.outcome == outcome and words in result.reason, result


@when("the upstream reports its usage as {body}")
def step_report_body(context, body):
    context.status, _, context.body = request(
        context, "POST", f"{context.agent_url}/usage", data=body.encode()
    )


@then('the usage report is refused as "{code}"')
def step_refused(context, code):
    assert context.status == 400, context.status
    assert not context.reported, context.reported
    assert json.loads(context.body)["code"] == code, context.body


@given("a scheduler of three workers")
def step_scheduler(context):
    context.now = 50.0
    context.scheduler = Scheduler()
    for name in ("w1", "w2", "w3"):
        worker = Announcement(name, "routes", "dc", name, {}, Capacity(1))
        context.scheduler.set_worker(worker, True, context.now)


@when(
    'twenty requests one after the other end at w1 as "failed" with status {status:d}'
)
def step_fail(context, status):
    result = TaskResult(0, TaskOutcome.FAILED, status)
    for number in range(20):
        for place in range(3):
            job = Job(f"team/{number}.{place}", b"", "routes", "team", [TaskSpec(b"")])
            assert context.scheduler.admit(job, context.now + 60, context.now) is None
        for started in context.scheduler.assign(context.now):
            place = (started.task.job.submission, 0, started.worker)
            failed = started.worker == "w1"
            ending = (
                not failed,
                100,
                context.now + 0.1,
                failed and result.is_stopped_by_guard,
            )
            context.scheduler.record_result(*place, *ending)
        context.now += 0.2


@then("w1 is {state}")
def step_takes(context, state):
    asked = Job("team/asked", b"", "routes", "team", [TaskSpec(b"")])
    found = context.scheduler.explain(asked, context.now)
    verdict = next(one for one in found if one.worker == "w1")
    assert ("ejected" in verdict.verdict) == (state == "ejected"), verdict
