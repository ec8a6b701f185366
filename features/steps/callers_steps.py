"""Steps for the callers' interface."""

import asyncio
import datetime
import hashlib
import json
import random
import uuid
from pathlib import Path

import aiohttp
from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies
from yarl import URL

from cactuswalk.http import EntryCallables, HttpServer, make_callers_application
from cactuswalk.messages import Answer, JobState
from cactuswalk.model import (
    Outcome,
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
    mint,
)
from cactuswalk.settings import CallerIdentity, HttpSettings, load_entry
from cactuswalk.state.effects import Reply
from features.edges_support import add_clean_up, request, run, until

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"
NOW = datetime.datetime(2026, 12, 2, 11, tzinfo=datetime.UTC).timestamp()
NOW_MS = int(NOW * 1000)
UUID7 = mint(NOW_MS - 5000, random.Random(7))
TOKEN = {"Authorization": "Bearer demo-desk-token"}
OTHER_TOKEN = {"Authorization": "Bearer demo-gate-token"}
SECRET = "body-of-a-task"


class FakeEntry:
    """Answers each task by its own body, or as a scenario says."""

    def __init__(self):
        self.events, self.gone, self.cancelled = [], [], []
        self.reply, self.state = self.echo, None
        self.released = asyncio.Event()

    async def submit(self, event):
        self.events.append(event)
        return await self.reply(event)

    async def query(self, submission, service):
        return self.state(submission) if self.state else None

    async def echo(self, event):
        results = [
            TaskResult(index, TaskOutcome.DONE, 200, task.body)
            for index, task in enumerate(event.job.tasks)
        ]
        return Reply(
            event.waiter, event.job.submission, Outcome.ANSWERED, results, None
        )

    async def late(self, event):
        await self.released.wait()
        return await self.echo(event)


@given("a callers' application before a fake entry")
def step_application(context):
    settings = load_entry(EXAMPLES / "glenmorrow-entry.ini")
    digest = hashlib.sha256("žeton".encode()).hexdigest()
    settings.callers[digest] = CallerIdentity("other", "other")
    entry = context.entry = FakeEntry()
    callables = EntryCallables(
        submit=entry.submit,
        gone=entry.gone.append,
        cancel=entry.cancelled.append,
        query=entry.query,
        not_ready=list,
    )
    application = make_callers_application(
        settings, callables, lambda: NOW, random.Random(1)
    )
    context.settings = settings
    context.server = HttpServer(application, HttpSettings("127.0.0.1", 0), 5)
    run(context, context.server.start())
    add_clean_up(context, lambda: run(context, stop_server(context)))
    context.base = f"http://127.0.0.1:{context.server.port}"


async def stop_server(context):
    context.entry.released.set()
    await context.server.stop()


def send(context, method, path, headers=None, body=b"", token=TOKEN):
    merged = list((token or {}).items()) + list((headers or {}).items())
    url = path if isinstance(path, URL) else f"{context.base}{path}"
    answer = request(context, method, url, headers=merged, data=body)
    context.status, context.headers, context.body = answer


def post(context, service, body, headers=None, kind="requests", **arguments):
    path = f"/v1/services/{service}/{kind}"
    send(context, "POST", path, headers, body, **arguments)


def job_of(count):
    tasks = [{"body": {"task": index, "what": SECRET}} for index in range(count)]
    return json.dumps({"tasks": tasks}).encode()


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


@then('the entry was handed one request of team "{team}" with {ms:d} ms left')
def step_handed(context, team, ms):
    (event,) = context.entry.events
    job = event.job
    assert event.minted and job.request and not job.idempotent, event
    assert (job.team, job.caller, job.born_ms) == (team, "depot-desk", NOW_MS), job
    assert job.submission == f"{team}/{context.headers['Cactuswalk-Submission']}"
    assert ms - 5000 < event.remaining_ms <= ms, event


@then("the entry was handed the declared work")
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


OK = b'{"pupil": 7}'
TOMORROW = mint(NOW_MS + 86_400_000, random.Random(3))
BAD_INPUT = {
    "no token": {"token": None},
    "an unknown token": {"token": {"Authorization": "Bearer x"}},
    "a body over the limit": {"body": b'"' + b"x" * (1 << 20) + b'"'},
    "an encoded body": {"headers": {"Content-Encoding": "gzip"}},
    "a body of XML": {"headers": {"Content-Type": "text/xml"}},
    "malformed JSON": {"body": b'{"pupil": '},
    "an empty body": {"body": b""},
    "deeply nested JSON": {"body": b"[" * 100_000},
    "a job of 0 tasks": {"body": job_of(0), "kind": "jobs"},
    "a job of 141 tasks": {"body": job_of(141), "kind": "jobs"},
    "a job with a stray field": {"body": b'{"tasks":[],"x":1}', "kind": "jobs"},
    "a job that is a list": {"body": b"[]", "kind": "jobs"},
    "a past deadline": {"headers": {"Cactuswalk-Deadline-Ms": "-5"}},
    "a deadline of one year": {"headers": {"Cactuswalk-Deadline-Ms": "31536000000"}},
    "a deadline in words": {"headers": {"Cactuswalk-Deadline-Ms": "soon"}},
    "a selector cut short": {"headers": {"Cactuswalk-Selector": "rack in (r1"}},
    "a selector of odd bytes": {"headers": {"Cactuswalk-Selector": "\udcff=1"}},
    "a misspelt header": {"headers": {"Cactuswalk-Deadline": "5"}},
    "a job's header selector": {
        "headers": {"Cactuswalk-Selector": "size=large"},
        "body": job_of(1),
        "kind": "jobs",
    },
    "idempotent by a word": {"headers": {"Cactuswalk-Idempotent": "yes"}},
    "a service that is none": {"service": "a%20b"},
    "a key with a slash": {"headers": {"Idempotency-Key": "a/b"}},
    "a key without a birth": {"headers": {"Idempotency-Key": "order-17"}},
    "a key from tomorrow": {"headers": {"Idempotency-Key": TOMORROW}},
    "a first-sent in words": {
        "headers": {"Idempotency-Key": "a", "Cactuswalk-First-Sent": "today"}
    },
    "a first-sent without key": {
        "headers": {"Cactuswalk-First-Sent": "2026-12-02T10:59:00Z"}
    },
}


@when("a caller sends bad input: {kind}")
def step_bad_input(context, kind):
    if kind == "an unknown path":
        send(context, "POST", "/v2/x", body=OK)
    elif kind == "a path of odd bytes":
        send(context, "GET", URL(f"{context.base}/%FF%2F", encoded=True))
    elif kind == "a wrong method":
        send(context, "PUT", "/v1/services/booking/requests", body=OK)
        assert context.headers["Allow"] == "POST", context.headers
    elif kind == "two deadlines":
        headers = [*TOKEN.items(), *[("Cactuswalk-Deadline-Ms", "9")] * 2]
        url = f"{context.base}/v1/services/booking/requests"
        answer = request(context, "POST", url, headers=headers, data=OK)
        context.status, context.headers, context.body = answer
    else:
        post(context, **{"service": "booking", "body": OK} | BAD_INPUT[kind])


@then(
    'the caller gets the problem "{code}" with status {status:d} and the outcome '
    '"{outcome}"'
)
def step_problem(context, code, status, outcome):
    problem = json.loads(context.body)
    assert context.headers["Content-Type"] == "application/problem+json"
    assert (problem["code"], context.status) == (code, status), problem
    assert problem["status"] == status and problem["outcome"] == outcome, problem
    assert problem["remedy"] and problem["detail"] and problem["title"], problem


@then("the entry was handed nothing")
def step_nothing(context):
    assert context.entry.events == []


@when("a caller posts a request with the key {key} and first sent {first_sent}")
def step_key(context, key, first_sent):
    headers = {"Idempotency-Key": key.replace("a UUIDv7", UUID7)}
    if first_sent != "never":
        headers["Cactuswalk-First-Sent"] = first_sent
    post(context, "booking", OK, headers)


@then("the entry was handed a request born at {born}")
def step_born(context, born):
    (event,) = context.entry.events
    assert not event.minted and context.status == 200, context.body
    wanted = NOW_MS - (5000 if born == "the key's birth" else 60_000)
    assert event.job.born_ms == wanted, event


@given("{count:d} caller may wait at a time")
def step_limit(context, count):
    context.settings.limits.waiting_requests = count
    context.entry.reply = context.entry.late


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


@then("the caller is told to come back after {seconds:d} s")
def step_retry_after(context, seconds):
    assert context.headers["Retry-After"] == str(seconds), context.headers


def fingerprint_of(context, changed):
    fields = {"service": "route-planning", "body": '{"pupil": 7}'}
    headers = {
        "Idempotency-Key": "order-17",
        "Cactuswalk-First-Sent": "2026-12-02T10:59:00Z",
    }
    for name, value in changed.items():
        (fields if name in fields else headers)[name] = value
    post(context, fields["service"], fields["body"].encode(), headers)
    assert context.status == 200, context.body
    return context.entry.events[-1].job.fingerprint


@then("changing any of these changes the fingerprint, and a repetition doesn't")
def step_fingerprints(context):
    first = context.first = fingerprint_of(context, {})
    assert fingerprint_of(context, {}) == first
    changed = [json.loads(row["changed"].replace("\\\\", "")) for row in context.table]
    others = [fingerprint_of(context, fields) for fields in changed]
    assert len({first, *others}) == len(others) + 1


@then("the fingerprint does not hang on the deadline")
def step_deadline_free(context):
    deadline = {"Cactuswalk-Deadline-Ms": "77"}
    assert fingerprint_of(context, deadline) == context.first


@then("each refusal code is told with each outcome, status, remedy and Retry-After")
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
    context.entry.reply = context.entry.late


@then("the problem holds nothing of any task's body")
def step_no_body(context):
    assert SECRET.encode() not in context.body, context.body


@when("a caller posts a request and closes its connection")
def step_close(context):
    async def post_and_close():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.server.port)
        head = "POST /v1/services/booking/requests HTTP/1.1\r\nHost: x\r\n"
        head += f"Authorization: {TOKEN['Authorization']}\r\nContent-Length: 12\r\n\r\n"
        writer.write(head.encode() + OK)
        await until(lambda: context.entry.events)
        writer.close()
        await until(lambda: context.entry.gone)

    run(context, post_and_close())


@then("the entry is told that the caller is gone")
def step_gone(context):
    (event,) = context.entry.events
    assert [gone.waiter for gone in context.entry.gone] == [event.waiter]


@when("the server stops while a caller waits, and the reply comes then")
def step_stop(context):
    async def stop_and_reply():
        async with aiohttp.ClientSession() as session:
            url = f"{context.base}/v1/services/booking/requests"
            waiting = asyncio.create_task(session.post(url, headers=TOKEN, data=OK))
            await until(lambda: context.entry.events)
            stopping = asyncio.create_task(context.server.stop())
            await asyncio.sleep(0.05)
            context.refused = None
            try:
                await asyncio.open_connection("127.0.0.1", context.server.port)
            except ConnectionRefusedError as error:
                context.refused = error
            context.entry.released.set()
            async with await waiting as response:
                context.status, context.body = response.status, await response.read()
            await stopping

    run(context, stop_and_reply())


@then("the server takes no more connections")
def step_no_connections(context):
    assert context.refused is not None


@then("the caller gets status 202 and a place to ask")
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


@then('the state there is "{first}", and "{last}" with the whole answer later')
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


@then('another team gets "{code}" for it, and its cancel stops nothing')
def step_other_team(context, code):
    for method in ("GET", "DELETE"):
        send(context, method, context.location, token=OTHER_TOKEN)
        step_problem(context, code, 404, "unknown")
    assert len(context.entry.cancelled) == 1


@then('"{code}" comes for it while no owner answers')
def step_no_owner(context, code):
    context.entry.state = None
    send(context, "GET", context.location)
    step_problem(context, code, 503, "unknown")


HEADER_NAMES = [
    *("Idempotency-Key", "Cactuswalk-First-Sent", "Cactuswalk-Deadline-Ms"),
    *("Cactuswalk-Idempotent", "Cactuswalk-Selector", "Cactuswalk-Key"),
    *("Cactuswalk-Duration-Ms", "Cactuswalk-Memory-Mb", "Prefer", "Content-Type"),
    *("Cactuswalk-Accelerators", "Cactuswalk-Bogus", "Content-Encoding", "Accept"),
]


@when("Hypothesis sends headers, paths and bodies")
def step_fuzz(context):
    context.statuses = []
    printable = strategies.text(
        strategies.characters(min_codepoint=32, blacklist_categories=["Cs", "Cc"]),
        max_size=30,
    )
    value = strategies.one_of(
        printable,
        strategies.sampled_from(["0", "1", "9" * 30, "-1", "?1", UUID7, '"', "a in ("]),
        strategies.sampled_from(["9999-12-31T23:59:59Z", "0001-01-01T00:00:00+23:59"]),
    )
    headers = strategies.dictionaries(
        strategies.sampled_from(HEADER_NAMES), value, max_size=4
    )
    inner = strategies.recursive(
        strategies.one_of(strategies.integers(), printable, strategies.none()),
        lambda leaf: strategies.lists(leaf, max_size=3),
        max_leaves=4,
    )
    task = strategies.dictionaries(
        strategies.sampled_from(["body", "duration_ms", "memory_mb", "x"]), inner
    )
    job = strategies.fixed_dictionaries(
        {}, optional={"tasks": strategies.lists(task, max_size=3), "selector": inner}
    )
    body = strategies.one_of(
        strategies.binary(max_size=40), job.map(lambda j: json.dumps(j).encode())
    )

    @hypothesis_settings(
        max_examples=200, derandomize=True, database=None, deadline=None
    )
    @for_all(
        strategies.sampled_from(["requests", "jobs"]),
        strategies.one_of(strategies.just("booking"), printable),
        headers,
        body,
    )
    def send_one(kind, service, chosen, sent):
        url = URL(context.base) / "v1" / "services"
        url = url.joinpath(service.replace("/", "") or "x", kind)
        send(context, "POST", url, chosen, sent)
        context.statuses.append((context.status, chosen, sent))

    send_one()


@then("no caller got a 500, and all that was handed on is well-formed")
def step_fuzzed(context):
    assert all(status != 500 for status, _, _ in context.statuses)
    started = sum(status in (200, 202) for status, _, _ in context.statuses)
    assert len(context.entry.events) == started > 0, started
    for event in context.entry.events:
        assert 0 < event.remaining_ms <= 60_000 and event.job.service.isprintable()
        assert 1 <= len(event.job.tasks) <= 140
        for task in event.job.tasks:
            json.loads(task.body)
