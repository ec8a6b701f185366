"""HTTP interface of an entry for callers, as described in docs/callers.md."""

import asyncio
import hashlib
import itertools
import random
import time
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from cactuswalk.errors import InvariantError
from cactuswalk.http.answers import answer_submission, describe_state
from cactuswalk.http.bodies import (
    compute_fingerprint,
    read_body,
    read_job,
    read_request_task,
)
from cactuswalk.http.headers import (
    JOB_HEADERS,
    REQUEST_HEADERS,
    SubmissionKey,
    is_valid_key,
    make_problem_error,
    read_async_wait,
    read_deadline_ms,
    read_declared_work,
    read_submission_key,
    reject_unknown_headers,
)
from cactuswalk.http.health import add_health_routes
from cactuswalk.http.middleware import problem_middleware
from cactuswalk.http.problems import InputCode, Problem, ProblemError
from cactuswalk.http.templates import FindTemplate, apply_template, read_template
from cactuswalk.messages import JobState
from cactuswalk.model import (
    Job,
    Outcome,
    RefusalCode,
    format_submission_name,
    generate_identifier,
)
from cactuswalk.model.configuration import JobTemplate
from cactuswalk.settings import CallerIdentity, EntrySettings
from cactuswalk.settings.converters import is_name
from cactuswalk.state.effects import Reply
from cactuswalk.state.events import CallerCancelled, CallerDisconnected, CallerSubmitted

__all__ = ["EntryCallables", "make_callers_application"]

# Used for "Prefer: respond-async" without a wait: long enough for a refusal by the
# owner, one round trip away, to be returned directly.
DEFAULT_ASYNC_WAIT_SECONDS = 0.05

OVERLOADED_RETRY_MS = 1_000


class EntryCallables(msgspec.Struct):
    """Operations of an entry that the callers' interface uses.

    :param submit: submits a job and waits for its single reply; cancelled when the
        caller no longer waits.
    :param caller_gone: reports that a waiter's caller has disconnected.
    :param cancel: cancels a submission.
    :param query: returns the state of a submission from the owner of a service or,
        if the service is empty, from any owner; None if no owner has answered.
    :param not_ready: returns the reasons why this entry is not ready; empty if it is.
    :param count: increments a counter.
    :param find_template: returns a job template that is in force on this entry.
    """

    submit: Callable[[CallerSubmitted], Awaitable[Reply]]
    caller_gone: Callable[[CallerDisconnected], None]
    cancel: Callable[[CallerCancelled], None]
    query: Callable[[str, str], Awaitable[JobState | None]]
    not_ready: Callable[[], list[str]]
    count: Callable[[str], None] = lambda name: None
    find_template: FindTemplate = lambda name: None


class CallerHandler:
    """Handles the requests of callers and tracks those that are waiting."""

    def __init__(
        self,
        settings: EntrySettings,
        entry: EntryCallables,
        wall_clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        self.settings = settings
        self.entry = entry
        self.wall_clock = wall_clock
        self.generator = generator
        self.waiter_ids = itertools.count(1)
        self.waiting_count = 0
        self.background: set[asyncio.Task] = set()

    def authenticate(self, request: web.Request) -> CallerIdentity:
        """Return the caller identified by the request's bearer token.

        Tokens are looked up by digest, so the lookup time reveals nothing about
        how close a guessed token is.
        """
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        identity = None
        if scheme.lower() == "bearer":
            encoded = token.strip().encode("utf-8", "surrogateescape")
            identity = self.settings.callers.get(hashlib.sha256(encoded).hexdigest())
        if identity is None:
            problem = Problem(
                InputCode.UNAUTHENTICATED, "the bearer token is missing or unknown"
            )
            raise ProblemError(problem, {"WWW-Authenticate": "Bearer"})
        return identity

    async def submit_request(self, request: web.Request) -> web.Response:
        """Handle a request that consists of a single task."""
        arrived_at = time.monotonic()
        identity = self.authenticate(request)
        reject_unknown_headers(request, REQUEST_HEADERS)
        service = read_service(request)
        declared = read_declared_work(request)
        template, key, deadline_ms = self._read_common_headers(request, service)
        task = read_request_task(
            await read_body(request),
            declared.duration_ms,
            declared.memory_mb,
            declared.accelerators,
        )
        job = Job(
            submission="",
            fingerprint=b"",
            service=service,
            team=identity.team,
            tasks=[task],
            caller=identity.caller,
            selector=declared.selector,
            key=declared.affinity_key,
            idempotent=declared.idempotent,
            request=True,
        )
        event = self._make_event(job, template, key, deadline_ms, arrived_at)
        return await self._submit_and_wait(event)

    async def submit_job(self, request: web.Request) -> web.Response:
        """Handle a job of several tasks."""
        arrived_at = time.monotonic()
        identity = self.authenticate(request)
        reject_unknown_headers(request, JOB_HEADERS)
        service = read_service(request)
        template, key, deadline_ms = self._read_common_headers(request, service)
        wait_seconds = read_async_wait(request)
        tasks, selector, affinity_key = read_job(await read_body(request))
        job = Job(
            submission="",
            fingerprint=b"",
            service=service,
            team=identity.team,
            tasks=tasks,
            caller=identity.caller,
            selector=selector,
            key=affinity_key,
        )
        event = self._make_event(job, template, key, deadline_ms, arrived_at)
        if wait_seconds is None:
            return await self._submit_and_wait(event)
        return await self._wait_in_background(event, wait_seconds)

    async def show_state(self, request: web.Request) -> web.Response:
        """Return the state of a submission."""
        identity = self.authenticate(request)
        key, state = await self._query(identity, request)
        return _state_response(200, key, state)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a submission; tasks that have not started never will."""
        identity = self.authenticate(request)
        key, state = await self._query(identity, request)
        if state.answer is not None:
            return _state_response(200, key, state)
        name = format_submission_name(identity.team, key)
        self.entry.cancel(CallerCancelled(name))
        return _state_response(202, key, state)

    def _read_common_headers(
        self, request: web.Request, service: str
    ) -> tuple[JobTemplate | None, SubmissionKey, int]:
        self._reject_overload()
        limits = self.settings.limits
        now_ms = int(self.wall_clock() * 1000)
        key = read_submission_key(request, now_ms, self.settings.retention_seconds)
        template = read_template(request, service, self.entry.find_template)
        default_ms = limits.default_deadline_ms
        if template is not None and template.deadline_ms:
            default_ms = min(template.deadline_ms, limits.maximum_deadline_ms)
        deadline_ms = read_deadline_ms(request, default_ms, limits.maximum_deadline_ms)
        return template, key, deadline_ms

    def _make_event(
        self,
        job: Job,
        template: JobTemplate | None,
        key: SubmissionKey,
        deadline_ms: int,
        arrived_at: float,
    ) -> CallerSubmitted:
        """Return the event for a job; time spent reading the body counts.

        The time since ``arrived_at`` is subtracted from the deadline.
        """
        remaining_ms = deadline_ms - int((time.monotonic() - arrived_at) * 1000)
        if remaining_ms <= 0:
            raise make_problem_error(
                RefusalCode.DEADLINE_PASSED,
                "the deadline passed while the body was received",
            )
        identifier, created_ms = key.key, key.created_ms
        if key.minted:
            created_ms = int(self.wall_clock() * 1000)
            identifier = generate_identifier(created_ms, self.generator)
        job.submission = format_submission_name(job.team, identifier)
        job.created_ms = created_ms
        template_name = template.name if template is not None else ""
        job.fingerprint = compute_fingerprint(job, key.first_sent_ms, template_name)
        if template is not None:
            apply_template(job, template)
        waiter = f"{self.settings.name}/{next(self.waiter_ids)}"
        return CallerSubmitted(waiter, job, key.minted, remaining_ms)

    def _reject_overload(self) -> None:
        if self.waiting_count < self.settings.limits.waiting_requests:
            return
        problem = Problem(
            RefusalCode.OVERLOADED.value,
            f"{self.waiting_count} requests are waiting at this entry",
            retry_after_ms=OVERLOADED_RETRY_MS,
        )
        raise ProblemError(problem)

    async def _submit_and_wait(self, event: CallerSubmitted) -> web.Response:
        # Checked again, since other requests may have arrived while the body was read.
        self._reject_overload()
        self.waiting_count += 1
        try:
            reply = await self.entry.submit(event)
        except asyncio.CancelledError:
            # The caller closed its connection; without this event its work would
            # continue and hold a slot unnecessarily.
            self.entry.caller_gone(CallerDisconnected(event.waiter))
            raise
        finally:
            self.waiting_count -= 1
        try:
            response = answer_submission(event.job, reply)
        except InvariantError:
            self.entry.count("callers.invariant_violated")
            raise
        self.entry.count(f"callers.{reply.outcome.value}")
        return response

    async def _wait_in_background(
        self, event: CallerSubmitted, wait_seconds: float
    ) -> web.Response:
        waiting = asyncio.create_task(self._submit_and_wait(event))
        self.background.add(waiting)
        waiting.add_done_callback(self._discard_background)
        seconds = wait_seconds or DEFAULT_ASYNC_WAIT_SECONDS
        done, _ = await asyncio.wait({waiting}, timeout=seconds)
        if done:
            return waiting.result()
        key = event.job.submission.partition("/")[2]
        location = f"/v1/jobs/{key}?service={event.job.service}"
        return web.json_response(
            {"submission": key, "state": "queued", "location": location},
            status=202,
            headers={
                "Location": location,
                "Preference-Applied": "respond-async",
                "Cactuswalk-Submission": key,
            },
        )

    def _discard_background(self, waiting: asyncio.Task) -> None:
        self.background.discard(waiting)
        if not waiting.cancelled() and waiting.exception() is not None:
            self.entry.count("callers.background_failed")

    async def _query(
        self, identity: CallerIdentity, request: web.Request
    ) -> tuple[str, JobState]:
        key = request.match_info["key"]
        service = request.query.get("service", "")
        if not is_valid_key(key) or (service and not is_name(service)):
            raise _not_found_error(key)
        name = format_submission_name(identity.team, key)
        state = await self.entry.query(name, service)
        if state is None:
            problem = Problem(
                RefusalCode.NO_OWNER.value,
                "no owner answered the query",
                Outcome.UNKNOWN,
                retry_after_ms=OVERLOADED_RETRY_MS,
            )
            raise ProblemError(problem)
        if not state.known:
            raise _not_found_error(key)
        return key, state


def read_service(request: web.Request) -> str:
    """Return the service name in the path; the entry checks whether it exists."""
    service = request.match_info["service"]
    if not is_name(service):
        raise make_problem_error(
            RefusalCode.UNKNOWN_SERVICE, "the path has no valid service name"
        )
    return service


def make_callers_application(
    settings: EntrySettings,
    entry: EntryCallables,
    wall_clock: Callable[[], float] = time.time,
    generator: random.Random | None = None,
) -> web.Application:
    """Return the HTTP application for callers.

    :param wall_clock: returns seconds since the Unix epoch; used only for the
        creation times of idempotency keys.
    :param generator: random generator for identifiers that the entry generates.
    """
    handler = CallerHandler(
        settings, entry, wall_clock, generator or random.SystemRandom()
    )
    application = web.Application(
        client_max_size=settings.limits.body_bytes, middlewares=[problem_middleware]
    )
    router = application.router
    router.add_post("/v1/services/{service}/requests", handler.submit_request)
    router.add_post("/v1/services/{service}/jobs", handler.submit_job)
    router.add_get("/v1/jobs/{key}", handler.show_state)
    router.add_delete("/v1/jobs/{key}", handler.cancel)
    add_health_routes(application, entry.not_ready)
    return application


def _not_found_error(key: str) -> ProblemError:
    # A missing record doesn't mean that it never ran: the record may have expired.
    return ProblemError(
        Problem(
            RefusalCode.NOT_FOUND.value,
            f"there is no record of {key[:128]}",
            Outcome.UNKNOWN,
        )
    )


def _state_response(status: int, key: str, state: JobState) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(describe_state(key, state)),
        content_type="application/json",
        headers={"Cache-Control": "no-store"},
    )
