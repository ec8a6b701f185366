"""A callers' application with a fake entry, and helpers to send it requests."""

import asyncio
import datetime
import hashlib
import json
import random

from yarl import URL

from cactuswalk.http import EntryCallables, HttpServer, make_callers_application
from cactuswalk.model import (
    Outcome,
    TaskOutcome,
    TaskResult,
    generate_identifier,
)
from cactuswalk.settings import CallerIdentity, HttpSettings, load_entry
from cactuswalk.state.effects import Reply
from features.edges_support import EXAMPLES, add_clean_up, request, run

NOW = datetime.datetime(2026, 12, 2, 11, tzinfo=datetime.UTC).timestamp()
NOW_MS = int(NOW * 1000)
UUID7 = generate_identifier(NOW_MS - 5000, random.Random(7))
TOKEN = {"Authorization": "Bearer demo-desk-token"}
OTHER_TOKEN = {"Authorization": "Bearer demo-gate-token"}
SECRET = "body-of-a-task"


class FakeEntry:
    """Answers each task with its own body, or as a scenario sets ``reply``."""

    def __init__(self):
        self.events, self.gone, self.cancelled = [], [], []
        self.reply, self.state = self.echo, None
        self.released = asyncio.Event()
        self.templates = {}

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

    async def reply_when_released(self, event):
        await self.released.wait()
        return await self.echo(event)


def open_callers(context):
    settings = load_entry(EXAMPLES / "glenmorrow-entry.ini")
    digest = hashlib.sha256("žeton".encode()).hexdigest()
    settings.callers[digest] = CallerIdentity("other", "other")
    entry = context.entry = FakeEntry()
    callables = EntryCallables(
        submit=entry.submit,
        caller_gone=entry.gone.append,
        cancel=entry.cancelled.append,
        query=entry.query,
        not_ready=list,
        find_template=entry.templates.get,
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


OK = b'{"pupil": 7}'
TOMORROW = generate_identifier(NOW_MS + 86_400_000, random.Random(3))


def assert_problem(context, code, status, outcome):
    problem = json.loads(context.body)
    assert context.headers["Content-Type"] == "application/problem+json"
    assert (problem["code"], context.status) == (code, status), problem
    assert problem["status"] == status and problem["outcome"] == outcome, problem
    assert problem["remedy"] and problem["detail"] and problem["title"], problem
