"""Steps for the answers that callers get."""

import asyncio
import json
import uuid

import aiohttp
from behave import given, then, when

from cactuswalk.messages import Answer, JobState
from cactuswalk.model import (
    Outcome,
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
)
from cactuswalk.state.effects import Reply
from features.callers_support import (
    NOW_MS,
    OK,
    OTHER_TOKEN,
    SECRET,
    TOKEN,
    UUID7,
    assert_problem,
    job_of,
    open_callers,
    post,
    send,
)
from features.edges_support import run, until


@given("a callers' application with a fake entry")
def step_application(context):
    open_callers(context)


@when('a caller posts the request {body} to "{service}"')
def step_post(context, body, service):
    post(context, service, body.encode())


@when('a caller posts the request {body} to "{service}" with the headers')
def step_post_headers(context, body, service):
    headers = {row["header"]: row["value"] for row in context.table}
    post(context, service, body.encode(), headers)


@when("a caller posts a body of exactly the limit")
def step_limit_body(context):
    filling = context.settings.limits.body_bytes - 2
    post(context, "booking", b'"' + b"x" * filling + b'"')


@when('a caller posts a job of {count:d} tasks to "{service}"')
def step_post_job(context, count, service):
    post(context, service, job_of(count), kind="jobs")


@when('a caller posts a job of {count:d} tasks to "{service}" and prefers no waiting')
def step_post_async(context, count, service):
    post(context, service, job_of(count), {"Prefer": "respond-async"}, "jobs")


@then("the caller gets status {status:d} and the body {body}")
def step_got(context, status, body):
    assert context.status == status, (context.status, context.body)
    assert context.body == body.encode(), context.body


@then('the caller\'s answer names its submission and the outcome "{outcome}"')
def step_names(context, outcome):
    assert uuid.UUID(context.headers["Cactuswalk-Submission"]).version == 7
    assert context.headers["Cactuswalk-Outcome"] == outcome


@then('the entry received one request of team "{team}" with {ms:d} ms left')
def step_handed(context, team, ms):
    (event,) = context.entry.events
    job = event.job
    assert event.minted and job.request and not job.idempotent, event
    assert (job.team, job.caller, job.created_ms) == (team, "depot-desk", NOW_MS), job
    assert job.submission == f"{team}/{context.headers['Cactuswalk-Submission']}"
    assert ms - 5000 < event.remaining_ms <= ms, event


@then("the entry received the declared work")
def step_declared(context):
    (event,) = context.entry.events
    job, task = event.job, event.job.tasks[0]
    assert event.remaining_ms <= 900 and job.idempotent, event
    assert (job.selector, job.key) == ("size=large,rack!=r1", "Aviemore"), job
    assert (task.duration_ms, task.memory_mb, task.accelerators) == (250, 64, 1), task


@then("the caller gets status 200 and {count:d} results in order")
def step_results(context, count):
    assert context.status == 200, context.body
    results = json.loads(context.body)["results"]
    assert [result["body"]["task"] for result in results] == list(range(count))


@then(
    'the caller gets the problem "{code}" with status {status:d} and the outcome '
    '"{outcome}"'
)
def step_problem(context, code, status, outcome):
    assert_problem(context, code, status, outcome)


@then("the entry received nothing")
def step_nothing(context):
    assert context.entry.events == []


@given("{count:d} caller may wait at a time")
def step_limit(context, count):
    context.settings.limits.waiting_requests = count
    context.entry.reply = context.entry.reply_when_released


@when("a caller waits and another posts with a key of its own")
def step_full_with_key(context):
    wait_and_post(context, {"Idempotency-Key": UUID7})


@when("a caller waits and another posts without a key")
def step_full(context):
    wait_and_post(context, {})


def wait_and_post(context, headers):
    async def begin():
        session = aiohttp.ClientSession()
        url = f"{context.base}/v1/services/booking/requests"
        waiting = asyncio.create_task(session.post(url, headers=TOKEN, data=OK))
        await until(lambda: context.entry.events)
        return session, waiting

    session, waiting = run(context, begin())
    post(context, "booking", OK, headers)

    async def end():
        context.entry.released.set()
        assert (await waiting).status == 200
        await session.close()

    run(context, end())


@then("the caller gets Retry-After {seconds:d} s")
def step_retry_after(context, seconds):
    assert context.headers["Retry-After"] == str(seconds), context.headers


@then("each refusal code is returned with each outcome, status, remedy and Retry-After")
def step_refusals(context):
    for code in RefusalCode:
        for outcome in (Outcome.NOT_RUN, Outcome.FAILED, Outcome.UNKNOWN):
            refusal = Refusal(code, "the values", 1001)
            context.entry.reply = reply_with(outcome, [], refusal)
            post(context, "booking", OK)
            step_problem(context, code.value, context.status, outcome.value)
            assert 400 <= context.status < 600 and context.status != 500
            assert context.headers["Retry-After"] == "2", context.headers
            assert context.headers["Cactuswalk-Outcome"] == outcome.value


def reply_with(outcome, results, refusal=None, submission=None):
    async def reply(event):
        name = submission or event.job.submission
        return Reply(event.waiter, name, outcome, results, refusal)

    return reply


def result_of(index, outcome=TaskOutcome.DONE):
    return TaskResult(index, outcome, 200, f'"{SECRET}"'.encode())


REPLIES = {
    "to another submission": reply_with(
        Outcome.ANSWERED, [result_of(0), result_of(1)], None, "planning/other"
    ),
    "without the last task": reply_with(Outcome.ANSWERED, [result_of(0)]),
    "in another order": reply_with(Outcome.ANSWERED, [result_of(1), result_of(0)]),
    "with a task that failed": reply_with(
        Outcome.ANSWERED, [result_of(0), result_of(1, TaskOutcome.FAILED)]
    ),
    "that one task failed": reply_with(
        Outcome.FAILED, [result_of(0), result_of(1, TaskOutcome.FAILED)]
    ),
    "that the service is unknown": reply_with(
        Outcome.NOT_RUN, [], Refusal(RefusalCode.UNKNOWN_SERVICE, "no service")
    ),
}


@given("the entry replies {kind}")
def step_replies(context, kind):
    context.entry.reply = REPLIES[kind]


@given("the entry does not reply")
def step_no_reply(context):
    context.entry.reply = context.entry.reply_when_released


@then("the problem holds nothing of any task's body")
def step_no_body(context):
    assert SECRET.encode() not in context.body, context.body


async def send_headers(context):
    streams = await asyncio.open_connection("127.0.0.1", context.server.port)
    head = "POST /v1/services/booking/requests HTTP/1.1\r\nHost: x\r\n"
    head += f"Authorization: {TOKEN['Authorization']}\r\nContent-Length: 12\r\n\r\n"
    streams[1].write(head.encode())
    return streams


@when("{count:d} callers send their headers, and their bodies later")
def step_late_bodies(context, count):
    async def send_all():
        streams = [await send_headers(context) for _ in range(count)]
        await asyncio.sleep(0.05)
        for _, writer in streams:
            writer.write(OK)
        reading = [asyncio.create_task(r.readuntil(b"}")) for r, _ in streams]
        await until(lambda: sum(task.done() for task in reading) == count - 1)
        context.submitted = len(context.entry.events)
        context.entry.released.set()
        context.raw_answers = await asyncio.gather(*reading)
        for _, writer in streams:
            writer.close()

    run(context, send_all())


@then('{submitted:d} of them is submitted and {refused:d} are refused as "{code}"')
def step_late_bodies_refused(context, submitted, refused, code):
    assert context.submitted == submitted, context.submitted
    refusals = [f'"code":"{code}"'.encode() in raw for raw in context.raw_answers]
    assert refusals.count(True) == refused, context.raw_answers


@when("a caller posts a request and closes its connection")
def step_close(context):
    async def post_and_close():
        _, writer = await send_headers(context)
        writer.write(OK)
        await until(lambda: context.entry.events)
        writer.close()
        await until(lambda: context.entry.gone)

    run(context, post_and_close())


@then("the entry is notified that the caller is gone")
def step_gone(context):
    (event,) = context.entry.events
    assert [gone.waiter for gone in context.entry.gone] == [event.waiter]


@when("the server stops while a caller waits, and the reply arrives afterwards")
def step_stop(context):
    async def stop_and_reply():
        async with aiohttp.ClientSession() as session:
            url = f"{context.base}/v1/services/booking/requests"
            waiting = asyncio.create_task(session.post(url, headers=TOKEN, data=OK))
            await until(lambda: context.entry.events)
            stopping = asyncio.create_task(context.server.stop())
            context.refused = await is_refused(context)
            context.entry.released.set()
            async with await waiting as response:
                context.status, context.body = response.status, await response.read()
            await stopping

    run(context, stop_and_reply())


async def is_refused(context):
    for _ in range(200):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", context.server.port)
        except ConnectionError:
            return True
        writer.close()
        await asyncio.sleep(0.005)
    return False


@then("the server accepts no more connections")
def step_no_connections(context):
    assert context.refused


@then("the caller gets status 202 and the location of the state")
def step_accepted(context):
    assert context.status == 202, context.body
    assert context.headers["Preference-Applied"] == "respond-async"
    context.location = context.headers["Location"]
    key = context.headers["Cactuswalk-Submission"]
    assert context.location == f"/v1/jobs/{key}?service=booking"


def state_of(context, answered):
    (event,) = context.entry.events

    def state(submission):
        known = submission == event.job.submission
        answer = None
        if answered:
            results = [result_of(0), result_of(1)]
            answer = Answer(submission, 1, b"", Outcome.ANSWERED, results, None, b"")
        return JobState(submission, "", known, 2, 1, 1, 0, answer)

    return state


@then('the state there is "{first}", and "{last}" with the complete answer later')
def step_states(context, first, last):
    for answered, name in ((False, first), (True, last)):
        context.entry.state = state_of(context, answered)
        send(context, "GET", context.location)
        state = json.loads(context.body)
        assert context.status == 200 and state["state"] == name, state
    assert [result["body"] for result in state["answer"]["results"]] == [SECRET] * 2


@then("the job can be cancelled by its team, with status 202")
def step_cancel(context):
    context.entry.state = state_of(context, False)
    context.location = context.headers["Location"]
    send(context, "DELETE", context.location)
    assert context.status == 202, context.body
    (event,) = context.entry.events
    cancelled = [cancel.submission for cancel in context.entry.cancelled]
    assert cancelled == [event.job.submission], cancelled


@then('another team gets "{code}" for it, and can\'t cancel it')
def step_other_team(context, code):
    for method in ("GET", "DELETE"):
        send(context, method, context.location, token=OTHER_TOKEN)
        step_problem(context, code, 404, "unknown")
    assert len(context.entry.cancelled) == 1


@then('its state is "{code}" while no owner answers')
def step_no_owner(context, code):
    context.entry.state = None
    send(context, "GET", context.location)
    step_problem(context, code, 503, "unknown")
