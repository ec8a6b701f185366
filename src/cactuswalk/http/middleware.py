"""Convert exceptions of request handlers to problem responses."""

import logging

from aiohttp import web

from cactuswalk.http.problems import (
    RETRY_SENSITIVE_CODES,
    InputCode,
    Problem,
    ProblemError,
    problem_response,
)
from cactuswalk.model import Outcome

__all__ = ["problem_middleware"]

logger = logging.getLogger(__name__)

_CODE_BY_STATUS = {
    404: InputCode.NO_SUCH_PATH,
    405: InputCode.METHOD_NOT_ALLOWED,
    413: InputCode.BODY_TOO_LARGE,
}


@web.middleware
async def problem_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Return a problem response if the handler raises."""
    try:
        return await handler(request)
    except ProblemError as error:
        return _reject(request, error.problem, error.headers)
    except web.HTTPException as error:
        return _convert_http_exception(request, error)
    except Exception:
        # A bug. Whether work was started is unknown here, so the outcome must not
        # be "not_run".
        logger.exception("unhandled exception in a %s handler", request.method)
        problem = Problem(
            InputCode.INTERNAL, "internal error of the entry", outcome=Outcome.UNKNOWN
        )
        return problem_response(problem)


def _convert_http_exception(
    request: web.Request, error: web.HTTPException
) -> web.Response:
    code = _CODE_BY_STATUS.get(error.status, InputCode.INVALID_HEADER)
    headers = {}
    if "Allow" in error.headers:
        headers["Allow"] = error.headers["Allow"]
    detail = f"{request.method} {request.path}: {error.reason}"
    return _reject(request, Problem(code, detail), headers)


def _reject(
    request: web.Request, problem: Problem, headers: dict[str, str]
) -> web.Response:
    """Return a problem response; its outcome covers this copy of the request only.

    An earlier copy with the same idempotency key may have run.
    """
    if problem.code in RETRY_SENSITIVE_CODES and "Idempotency-Key" in request.headers:
        problem.outcome = Outcome.UNKNOWN
        problem.remedy = "Retry with the same key; an earlier copy may have run."
    return problem_response(problem, headers)
