"""Errors of the operators' interface as application/problem+json (RFC 9457)."""

import http
import logging

import msgspec
from aiohttp import web

from cactuswalk.errors import CactuswalkError, UsageError
from cactuswalk.http.operators_errors import ConflictError, OutcomeUnknownError
from cactuswalk.model.configuration import ConfigurationError

__all__ = ["operators_problem_middleware", "problem_fields"]

logger = logging.getLogger(__name__)

# Errors of other packages, which do not define an HTTP status.
STATUS_BY_CODE = {"platform_value_too_large": 413, "invalid_object": 422}


def get_http_status(error: CactuswalkError) -> int:
    """Return the HTTP status of an error."""
    if error.code in STATUS_BY_CODE:
        return STATUS_BY_CODE[error.code]
    fallback = 400 if isinstance(error, UsageError) else 500
    return getattr(error, "status", fallback)


def problem_fields(error: CactuswalkError) -> dict[str, object]:
    """Return the fields of the problem document for an error."""
    status = get_http_status(error)
    fields = {
        "type": f"urn:cactuswalk:problem:{error.code}",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "code": error.code,
        "detail": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, ConfigurationError):
        fields["mistakes"] = msgspec.to_builtins(error.mistakes)
    if isinstance(error, ConflictError):
        fields["revision"] = error.revision
        fields["who"] = error.who
        fields["at_ms"] = error.at_ms
    if isinstance(error, OutcomeUnknownError):
        fields["write_id"] = error.write_id
    return fields


def problem_response(error: CactuswalkError) -> web.Response:
    """Return the problem response for an error."""
    fields = problem_fields(error)
    headers = {"WWW-Authenticate": "Bearer"} if fields["status"] == 401 else {}
    return web.Response(
        status=fields["status"],
        body=msgspec.json.encode(fields),
        content_type="application/problem+json",
        headers=headers,
    )


@web.middleware
async def operators_problem_middleware(
    request: web.Request, handler
) -> web.StreamResponse:
    """Return a problem response if the handler raises."""
    try:
        return await handler(request)
    except CactuswalkError as error:
        return problem_response(error)
    except web.HTTPException as error:
        converted = CactuswalkError(
            f"{request.method} {request.path}: {error.reason}",
            "See docs/operations/commands/ for the available requests.",
        )
        converted.code = error.reason.lower().replace(" ", "_")
        converted.status = error.status
        return problem_response(converted)
    except Exception:
        # A bug. Whether it occurred before or after a write is unknown here, so the
        # problem must not be "not_written".
        logger.exception("unhandled exception in %s %s", request.method, request.path)
        converted = CactuswalkError(
            "internal error of the entry; a change may or may not have been made",
            "Read the object again; report the error with the entry's log.",
        )
        return problem_response(converted)
