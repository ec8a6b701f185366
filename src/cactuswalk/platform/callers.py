"""HTTP for the platform's callers and its balancer: translated, not decided."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from cactuswalk.dispatch.job import JobRequest, JobVerdict
from cactuswalk.dispatch.routing import Queue, Queues
from cactuswalk.errors import CactuswalkError
from cactuswalk.platform.jobs import (
    UnsupportedJobError,
    is_identifier,
    read_job,
)

__all__ = ["CallerEdge", "JobAnswer", "JobDoor"]

# How long the caller waits, in milliseconds.
DEADLINE_HEADER = "X-Deadline-Ms"
# Where a caller doesn't say: longer than callers usually wait.
DEFAULT_WAIT_SECONDS = 6.0

STATES = {JobVerdict.COMPLETED: "completed", JobVerdict.FAILED: "failed"}

# A job that has not run may be handed in elsewhere; after the other the platform's
# callers send it again, since nobody knows what has run.
STATUSES = {JobVerdict.NOT_RUN: 503, JobVerdict.UNFINISHED: 504}


class JobAnswer(msgspec.Struct):
    """How a job ended, for the caller who waits."""

    verdict: JobVerdict
    reason: str
    retry_after: float


class JobDoor(Protocol):
    """What the edge hands requests to."""

    def queues(self) -> Queues | None:
        """Return the queues in force, None before any are known."""

    async def submit(
        self, queue: Queue, request: JobRequest, wait_seconds: float
    ) -> JobAnswer:
        """Wait for the end of a job; cancelled if its caller leaves."""

    def cancel(self, job: str) -> bool:
        """Cancel a job; return whether it was known."""

    def queued(self, queue: Queue) -> int:
        """Return how many jobs of a queue wait."""

    def is_stopping(self) -> bool:
        """Return whether connections are to be given up."""


class CallerEdge:
    """Handles requests of callers."""

    def __init__(self, door: JobDoor) -> None:
        self.door = door

    async def handle(self, request: BaseRequest) -> Response:
        """Answer one request."""
        response = await self._respond(request)
        if self.door.is_stopping():
            response.force_close()
        return response

    async def _respond(self, request: BaseRequest) -> Response:
        queues = self.door.queues()
        if queues is None:
            return refusal(503, "no_configuration", "there is no configuration yet", 1)
        queue = queues.find(request.headers.get("Host", ""), request.path)
        if queue is None:
            return refusal(404, "no_such_queue", "no queue has this host and path")
        name = request.path[len(queue.prefix) :]
        if not name and request.method == "GET":
            return reply(200, {"queued_count": self.door.queued(queue)})
        if not is_identifier(name):
            return refusal(400, "malformed_job", "the path ends in no job's identifier")
        if request.method == "POST":
            return await self._submit(request, queue, name, queues.body_bytes)
        if request.method == "DELETE" and self.door.cancel(name):
            return reply(200, {})
        if request.method in ("GET", "DELETE"):
            return refusal(410, "no_such_job", "no such job is kept")
        return refusal(405, "method", "use GET, POST or DELETE")

    async def _submit(
        self, request: BaseRequest, queue: Queue, name: str, limit: int
    ) -> Response:
        if (request.content_length or 0) > limit:
            return refusal(413, "too_large", f"a body has at most {limit} bytes")
        body = await request.read()
        if len(body) > limit:
            return refusal(413, "too_large", f"a body has at most {limit} bytes")
        try:
            job = read_job(name, body)
        except UnsupportedJobError as error:
            return refusal(503, error.code, error.show(), 10)
        except CactuswalkError as error:
            return refusal(400, error.code, error.show())
        answer = await self.door.submit(queue, job, _wait_seconds(request))
        if answer.verdict in STATES:
            return reply(200, {"state": STATES[answer.verdict]})
        status = STATUSES[answer.verdict]
        return refusal(status, answer.verdict.value, answer.reason, answer.retry_after)


def _wait_seconds(request: BaseRequest) -> float:
    try:
        return float(request.headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_WAIT_SECONDS


def reply(status: int, body: dict) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


def refusal(status: int, code: str, reason: str, retry_after: float = 0) -> Response:
    """Return a refusal with its code and, for one that may pass, when to return."""
    response = reply(status, {"code": code, "reason": reason})
    if retry_after:
        response.headers["Retry-After"] = str(int(retry_after))
    return response


def readiness_handler(is_ready: Callable[[], Awaitable[bool]]):
    """Return the handler that the balancer asks.

    :param is_ready: tells whether new callers should come; may take its time.
    """

    async def handle(request: BaseRequest) -> Response:
        return reply(200 if await is_ready() else 503, {})

    return handle
