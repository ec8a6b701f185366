"""Steps for invalid input, keys, fingerprints and fuzzing."""

import json

from behave import then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies
from yarl import URL

from features.callers_support import (
    NOW_MS,
    OK,
    TOKEN,
    TOMORROW,
    UUID7,
    job_of,
    post,
    send,
)
from features.edges_support import request

INVALID_INPUT = {
    "no token": {"token": None},
    "an unknown token": {"token": {"Authorization": "Bearer x"}},
    "a body over the limit": {"body": b'"' + b"x" * (1 << 20) + b'"'},
    "an encoded body": {"headers": {"Content-Encoding": "gzip"}},
    "a body of XML": {"headers": {"Content-Type": "text/xml"}},
    "malformed JSON": {"body": b'{"pupil": '},
    "an empty body": {"body": b""},
    "invalid UTF-8 string": {"body": b'"\xff"'},
    "invalid UTF-8 in a task": {"body": b'{"tasks":[{"body":"\xff"}]}', "kind": "jobs"},
    "deeply nested JSON": {"body": b"[" * 100_000},
    "a job of 0 tasks": {"body": job_of(0), "kind": "jobs"},
    "a job of 141 tasks": {"body": job_of(141), "kind": "jobs"},
    "a job with extra field": {"body": b'{"tasks":[],"x":1}', "kind": "jobs"},
    "a job that is a list": {"body": b"[]", "kind": "jobs"},
    "a past deadline": {"headers": {"Cactuswalk-Deadline-Ms": "-5"}},
    "a deadline of one year": {"headers": {"Cactuswalk-Deadline-Ms": "31536000000"}},
    "a non-numeric deadline": {"headers": {"Cactuswalk-Deadline-Ms": "soon"}},
    "a truncated selector": {"headers": {"Cactuswalk-Selector": "rack in (r1"}},
    "a non-UTF-8 selector": {"headers": {"Cactuswalk-Selector": "\udcff=1"}},
    "a misspelt header": {"headers": {"Cactuswalk-Deadline": "5"}},
    "a job's header selector": {
        "headers": {"Cactuswalk-Selector": "size=large"},
        "body": job_of(1),
        "kind": "jobs",
    },
    "a non-boolean flag": {"headers": {"Cactuswalk-Idempotent": "yes"}},
    "an invalid service name": {"service": "a%20b"},
    "a key with a slash": {"headers": {"Idempotency-Key": "a/b"}},
    "a key without a time": {"headers": {"Idempotency-Key": "order-17"}},
    "a key from tomorrow": {"headers": {"Idempotency-Key": TOMORROW}},
    "an invalid first-sent": {
        "headers": {"Idempotency-Key": "a", "Cactuswalk-First-Sent": "today"}
    },
    "a first-sent without key": {
        "headers": {"Cactuswalk-First-Sent": "2026-12-02T10:59:00Z"}
    },
}


@when("a caller sends invalid input: {kind}")
def step_invalid_input(context, kind):
    if kind == "an unknown path":
        send(context, "POST", "/v2/x", body=OK)
    elif kind == "a non-UTF-8 path":
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
        post(context, **{"service": "booking", "body": OK} | INVALID_INPUT[kind])


@when("a caller posts a request with the key {key} and first sent {first_sent}")
def step_key(context, key, first_sent):
    headers = {"Idempotency-Key": key.replace("a UUIDv7", UUID7)}
    if first_sent != "never":
        headers["Cactuswalk-First-Sent"] = first_sent
    post(context, "booking", OK, headers)


@then("the entry received a request created at {created}")
def step_created(context, created):
    (event,) = context.entry.events
    assert not event.minted and context.status == 200, context.body
    wanted = NOW_MS - (5000 if created == "the key's time" else 60_000)
    assert event.job.created_ms == wanted, event


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


@then("the fingerprint does not depend on the deadline")
def step_deadline_free(context):
    deadline = {"Cactuswalk-Deadline-Ms": "77"}
    assert fingerprint_of(context, deadline) == context.first


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


@then("no caller got a 500, and all submissions are well-formed")
def step_fuzzed(context):
    assert all(status != 500 for status, _, _ in context.statuses)
    started = sum(status in (200, 202) for status, _, _ in context.statuses)
    assert len(context.entry.events) == started > 0, started
    for event in context.entry.events:
        assert 0 < event.remaining_ms <= 60_000 and event.job.service.isprintable()
        assert 1 <= len(event.job.tasks) <= 140
        for task in event.job.tasks:
            json.loads(task.body)
