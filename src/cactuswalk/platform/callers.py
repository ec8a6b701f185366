"""HTTP handlers for callers and for the load balancer's readiness probe.

They translate requests and responses; all decisions are the backend's.
"""

import select
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
    is_job_identifier,
    read_job,
)

__all__ = ["CallerHandler", "JobResult", "JobBackend"]

# How long the caller waits for the response, in milliseconds.
DEADLINE_HEADER = "X-Deadline-Ms"
# Used when a caller sends no deadline; longer than callers usually wait.
DEFAULT_WAIT_SECONDS = 6.0

STATE_NAMES = {JobVerdict.COMPLETED: "completed", JobVerdict.FAILED: "failed"}

# 503: the job has not run and may be submitted to another dispatcher. 504: it is not
# known what has run; the platform's callers submit the job again.
HTTP_STATUSES = {JobVerdict.NOT_RUN: 503, JobVerdict.UNFINISHED: 504}


class JobResult(msgspec.Struct):
    """The end of a job, as reported to the waiting caller.

    :param retry_after: seconds, for the ``Retry-After`` header; 0 for none.
    """

    verdict: JobVerdict
    reason: str
    retry_after: float


class JobBackend(Protocol):
    """What the handler calls to serve requests."""

    async def wait_for_queues(self) -> Queues | None:
        """Return the current queues, or None if no configuration becomes known."""

    async def submit(
        self, queue: Queue, request: JobRequest, wait_seconds: float
    ) -> JobResult:
        """Run a job and wait for its end; cancelled if the caller disconnects."""

    def cancel(self, job: str) -> bool:
        """Cancel a job; return whether it was known."""

    def count_queued(self, queue: Queue) -> int:
        """Return the number of waiting jobs of a queue."""

    def ignore(self, job: str) -> None:
        """Record that a job is not submitted, since its caller has gone."""

    def is_stopping(self) -> bool:
        """Return whether the process stops and connections should be closed."""


class CallerHandler:
    """Handles job requests of callers."""

    def __init__(self, backend: JobBackend) -> None:
        self.backend = backend

    async def handle(self, request: BaseRequest) -> Response:
        """Handle one request."""
        response = await self._respond(request)
        if self.backend.is_stopping():
            response.force_close()
        return response

    async def _respond(self, request: BaseRequest) -> Response:
        queues = await self.backend.wait_for_queues()
        if queues is None:
            return error_response(
                503, "no_configuration", "no configuration has been read yet", 1
            )
        queue = queues.find(request.headers.get("Host", ""), request.path)
        if queue is None:
            return error_response(
                404, "no_such_queue", "no queue matches this host and path"
            )
        job_id = request.path[len(queue.prefix) :]
        if not job_id and request.method == "GET":
            return json_response(
                200, {"queued_count": self.backend.count_queued(queue)}
            )
        if not is_job_identifier(job_id):
            return error_response(
                400, "malformed_job", "the path does not end in a job identifier"
            )
        if request.method == "POST":
            return await self._submit(request, queue, job_id, queues.body_bytes)
        if request.method == "DELETE" and self.backend.cancel(job_id):
            return json_response(200, {})
        if request.method in ("GET", "DELETE"):
            return error_response(410, "no_such_job", "no such job is stored")
        return error_response(405, "method", "only GET, POST and DELETE are allowed")

    async def _submit(
        self, request: BaseRequest, queue: Queue, job_id: str, limit: int
    ) -> Response:
        if (request.content_length or 0) > limit:
            return error_response(413, "too_large", f"the body is over {limit} bytes")
        body = await request.read()
        if len(body) > limit:
            return error_response(413, "too_large", f"the body is over {limit} bytes")
        try:
            job = read_job(job_id, body)
        except UnsupportedJobError as error:
            return error_response(503, error.code, error.show(), 10)
        except CactuswalkError as error:
            return error_response(400, error.code, error.show())
        if _has_gone(request):
            self.backend.ignore(job_id)
            return error_response(503, "caller_gone", "the connection has broken", 1)
        result = await self.backend.submit(queue, job, _read_wait_seconds(request))
        if result.verdict in STATE_NAMES:
            return json_response(200, {"state": STATE_NAMES[result.verdict]})
        status = HTTP_STATUSES[result.verdict]
        return error_response(
            status, result.verdict.value, result.reason, result.retry_after
        )


def _has_gone(request: BaseRequest) -> bool:
    """Return whether a request's connection has been closed or reset by now.

    What came before can still be read from it, and the event loop reports its end only
    in a later turn. A caller whose connection is reset before it was accepted doesn't
    wait for RESEND_SECONDS: its job may run at another entry at this moment.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), select.POLLRDHUP)
    return bool(poll.poll(0))


def _read_wait_seconds(request: BaseRequest) -> float:
    try:
        return float(request.headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_WAIT_SECONDS


def json_response(status: int, body: dict) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


def error_response(
    status: int, code: str, reason: str, retry_after: float = 0
) -> Response:
    """Return an error response.

    :param retry_after: seconds until a retry may succeed; 0 sends no header.
    """
    response = json_response(status, {"code": code, "reason": reason})
    if retry_after:
        response.headers["Retry-After"] = str(int(retry_after))
    return response


def make_readiness_handler(is_ready: Callable[[], Awaitable[bool]]):
    """Return the handler for the load balancer's readiness probe.

    :param is_ready: returns whether to accept new callers; may be slow.
    """

    async def handle(request: BaseRequest) -> Response:
        return json_response(200 if await is_ready() else 503, {})

    return handle
