"""Errors for HTTP clients as application/problem+json (RFC 9457).

``PROBLEM_KINDS`` maps each stable code to its status and remedy. ``outcome`` says
what happened to the work: ``not_run``, ``failed`` or ``unknown``.
"""

import enum
import http
import math
from collections.abc import Mapping

import msgspec
from aiohttp import web

from cactuswalk.errors import CactuswalkError
from cactuswalk.model import Outcome, Refusal, RefusalCode

__all__ = [
    "RETRY_SENSITIVE_CODES",
    "PROBLEM_KINDS",
    "InputCode",
    "Problem",
    "ProblemError",
    "ProblemKind",
    "make_refusal_problem",
    "problem_response",
]


class InputCode(enum.StrEnum):
    """Codes for invalid requests; nothing was started or stored."""

    UNAUTHENTICATED = "unauthenticated"
    NO_SUCH_PATH = "no_such_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    UNSUPPORTED_MEDIA_TYPE = "unsupported_media_type"
    MALFORMED_JSON = "malformed_json"
    MALFORMED_JOB = "malformed_job"
    NO_SUCH_TEMPLATE = "no_such_template"
    EMPTY_JOB = "empty_job"
    TOO_MANY_TASKS = "too_many_tasks"
    INVALID_HEADER = "invalid_header"
    INVALID_DEADLINE = "invalid_deadline"
    INVALID_SELECTOR = "invalid_selector"
    INVALID_KEY = "invalid_idempotency_key"
    KEY_WITHOUT_CREATION_TIME = "idempotency_key_without_birth"
    KEY_FROM_FUTURE = "idempotency_key_from_future"
    INCOMPLETE_BODY = "incomplete_body"
    MALFORMED_ANNOUNCEMENT = "malformed_announcement"
    MALFORMED_USAGE = "malformed_usage"
    INTERNAL = "internal"


class ProblemKind(msgspec.Struct, frozen=True):
    """Status and remedy common to all problems of a code."""

    status: int
    remedy: str


PROBLEM_KINDS: Mapping[str, ProblemKind] = {
    InputCode.UNAUTHENTICATED: ProblemKind(
        401, "Send 'Authorization: Bearer TOKEN' with a token in this entry's settings."
    ),
    InputCode.NO_SUCH_PATH: ProblemKind(404, "See docs/callers.md for the paths."),
    InputCode.METHOD_NOT_ALLOWED: ProblemKind(
        405, "Use a method listed in the Allow header."
    ),
    InputCode.BODY_TOO_LARGE: ProblemKind(
        413, "Send a smaller body, or have the operators raise [limits] body_bytes."
    ),
    InputCode.UNSUPPORTED_MEDIA_TYPE: ProblemKind(
        415, "Send JSON as application/json, without Content-Encoding."
    ),
    InputCode.MALFORMED_JSON: ProblemKind(400, "Send one JSON value in UTF-8."),
    InputCode.MALFORMED_JOB: ProblemKind(
        400, 'Send {"tasks": [{"body": ...}, ...]}; docs/callers.md lists the fields.'
    ),
    InputCode.NO_SUCH_TEMPLATE: ProblemKind(
        400, "Use a template that the operators have created for this service."
    ),
    InputCode.EMPTY_JOB: ProblemKind(400, "Send 1 to 140 tasks per job."),
    InputCode.TOO_MANY_TASKS: ProblemKind(
        400, "Send 1 to 140 tasks per job, and the rest in another job."
    ),
    InputCode.INVALID_HEADER: ProblemKind(
        400, "Correct the header; docs/callers.md describes its format."
    ),
    InputCode.INVALID_DEADLINE: ProblemKind(
        400, "Give milliseconds within the entry's maximum."
    ),
    InputCode.INVALID_SELECTOR: ProblemKind(
        400, "Correct the selector; docs/callers.md describes the syntax."
    ),
    InputCode.INVALID_KEY: ProblemKind(
        400,
        "Use 1 to 128 letters, digits, '.', '_', ':', '~' or '-', ideally a UUIDv7.",
    ),
    InputCode.KEY_WITHOUT_CREATION_TIME: ProblemKind(
        400,
        "Make the key a UUID version 7, or send Cactuswalk-First-Sent with the time "
        "(RFC 3339) at which you first sent it, the same with each resubmission.",
    ),
    InputCode.KEY_FROM_FUTURE: ProblemKind(
        400, "Set the clock of the host that makes the keys, then use a new key."
    ),
    InputCode.INCOMPLETE_BODY: ProblemKind(400, "Send the whole body."),
    InputCode.MALFORMED_ANNOUNCEMENT: ProblemKind(
        400, "Send the fields that docs/upstreams.md names."
    ),
    InputCode.MALFORMED_USAGE: ProblemKind(
        400, "Send the fields that docs/upstreams.md names."
    ),
    InputCode.INTERNAL: ProblemKind(
        500, "Retry with the same idempotency key, and notify the operators."
    ),
    RefusalCode.OVERLOADED: ProblemKind(503, "Retry after the time in Retry-After."),
    RefusalCode.QUOTA_EXCEEDED: ProblemKind(
        429, "Retry after the time in Retry-After, or have the team's quota raised."
    ),
    RefusalCode.DEADLINE_PASSED: ProblemKind(
        504, "Retry with a deadline that leaves time for the work."
    ),
    RefusalCode.DEADLINE_UNREACHABLE: ProblemKind(
        503, "Retry after the time in Retry-After, or set a longer deadline."
    ),
    RefusalCode.NEVER_FITS: ProblemKind(
        422, "Change the selector or the declared sizes; no worker matches them."
    ),
    RefusalCode.NO_WORKER_NOW: ProblemKind(503, "Retry after the time in Retry-After."),
    RefusalCode.UNKNOWN_SERVICE: ProblemKind(
        404, "Correct the service's name, or have the operators create it."
    ),
    RefusalCode.KEY_REUSED: ProblemKind(
        422, "Use a new key for a different request; a resubmission must be identical."
    ),
    RefusalCode.TOO_OLD: ProblemKind(
        410, "Check in your own records what happened to it, then use a new key."
    ),
    RefusalCode.CANCELLED: ProblemKind(409, "Use a new key to submit it again."),
    RefusalCode.NO_OWNER: ProblemKind(503, "Retry with the same key."),
    RefusalCode.STOPPING: ProblemKind(503, "Retry; another entry accepts it."),
    RefusalCode.WORKER_LOST: ProblemKind(
        502, "Check 'outcome': resubmitting with a new key is safe only if 'not_run'."
    ),
    RefusalCode.UPSTREAM_FAILED: ProblemKind(
        502, "Check the upstream; use a new key to retry."
    ),
    RefusalCode.TIMED_OUT: ProblemKind(
        504, "Retry with the same key to get the answer, if there is one."
    ),
    RefusalCode.RECORDS_LOST: ProblemKind(
        502, "Check in your own records what happened to it, then use a new key."
    ),
    RefusalCode.NOT_FOUND: ProblemKind(
        404, "Check the identifier; records are kept for the retention time only."
    ),
}


# Codes that a resubmission can get although the first copy was accepted and may be
# running. The outcome of a request with an idempotency key is then unknown: with
# "not_run" the caller might submit the work under a new key, and it would run twice.
# All other input codes apply to every copy of a request alike.
RETRY_SENSITIVE_CODES = frozenset(
    {
        InputCode.UNAUTHENTICATED,
        InputCode.BODY_TOO_LARGE,
        InputCode.INVALID_DEADLINE,
        InputCode.NO_SUCH_TEMPLATE,
        InputCode.INCOMPLETE_BODY,
        RefusalCode.OVERLOADED,
        RefusalCode.DEADLINE_PASSED,
    }
)


class Problem(msgspec.Struct, omit_defaults=True):
    """Problem document of one error.

    :param remedy: what the client can do; defaults to the remedy of the code.
    :param tasks: for a failed job, the outcome of each task.
    """

    code: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    remedy: str = ""
    retry_after_ms: int | None = None
    submission: str = ""
    upstream_status: int = 0
    tasks: list[dict[str, object]] = []


class ProblemError(CactuswalkError):
    """Aborts the handling of a request with a problem response."""

    def __init__(self, problem: Problem, headers: dict[str, str] | None = None) -> None:
        remedy = problem.remedy or PROBLEM_KINDS[problem.code].remedy
        super().__init__(problem.detail, remedy)
        self.code = problem.code
        self.problem = problem
        self.headers = headers or {}


def make_refusal_problem(outcome: Outcome, refusal: Refusal) -> Problem:
    """Return the problem for a refusal."""
    return Problem(
        code=refusal.code.value,
        detail=refusal.message,
        outcome=outcome,
        retry_after_ms=refusal.retry_after_ms,
    )


def problem_response(
    problem: Problem, headers: dict[str, str] | None = None
) -> web.Response:
    """Return the HTTP response for a problem."""
    kind = PROBLEM_KINDS[problem.code]
    # Invalid UTF-8 in a header or path must not cause a 500.
    problem.detail = problem.detail.encode("utf-8", "replace").decode()
    fields = msgspec.to_builtins(problem)
    body = {
        "type": f"urn:cactuswalk:problem:{problem.code}",
        "title": http.HTTPStatus(kind.status).phrase,
        "status": kind.status,
        **fields,
        "outcome": problem.outcome.value,
        "remedy": problem.remedy or kind.remedy,
    }
    headers = dict(headers or {})
    if problem.retry_after_ms is not None:
        # Whole seconds (RFC 9110), rounded up so that the client doesn't retry early.
        headers["Retry-After"] = str(math.ceil(problem.retry_after_ms / 1000))
    return web.Response(
        status=kind.status,
        body=msgspec.json.encode(body),
        content_type="application/problem+json",
        headers=headers,
    )
