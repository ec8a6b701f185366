"""Read bodies of submissions and compute the fingerprints of jobs."""

import asyncio
from typing import Annotated

import msgspec
from aiohttp import web

from cactuswalk.http.headers import (
    MAX_ACCELERATORS,
    MAX_DURATION_MS,
    MAX_MEMORY_MB,
    check_affinity_key,
    check_selector,
    make_problem_error,
)
from cactuswalk.http.problems import InputCode
from cactuswalk.model import Job, TaskSpec, compute_digest
from cactuswalk.model.job import MAX_TASKS

__all__ = [
    "JobBody",
    "compute_fingerprint",
    "read_body",
    "read_job",
    "read_request_task",
]

# A slower caller would hold a request slot without use: even a body of the maximum
# size takes well under a second at 1 ms latency.
BODY_TIMEOUT_SECONDS = 10.0


# The last two are the defaults of common clients (aiohttp with bytes, curl --data).
# The body has to be JSON in any case.
ACCEPTED_TYPES = frozenset(
    {
        "application/json",
        "application/octet-stream",
        "application/x-www-form-urlencoded",
    }
)


class JobTask(msgspec.Struct, forbid_unknown_fields=True):
    """A task in a submitted job; its body is passed on byte for byte."""

    body: msgspec.Raw
    duration_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)] = 0
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """A job as a caller writes it."""

    tasks: list[JobTask]
    selector: str = ""
    key: str = ""


_job_decoder = msgspec.json.Decoder(JobBody)
_any_decoder = msgspec.json.Decoder(msgspec.Raw)


async def read_body(request: web.Request) -> bytes:
    """Return the complete body of a request of an accepted content type.

    :raises ProblemError: if the content type or encoding is not accepted, or the
        body is too slow or incomplete.
    """
    if request.headers.get("Content-Encoding", "identity").lower() != "identity":
        raise make_problem_error(
            InputCode.UNSUPPORTED_MEDIA_TYPE, "the body has a Content-Encoding"
        )
    if request.content_type not in ACCEPTED_TYPES:
        raise make_problem_error(
            InputCode.UNSUPPORTED_MEDIA_TYPE,
            f"the content type is {request.content_type}",
        )
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            return await request.read()
    except TimeoutError:
        raise make_problem_error(
            InputCode.INCOMPLETE_BODY, "the body was not received in time"
        ) from None
    except web.RequestPayloadError as error:
        raise make_problem_error(
            InputCode.INCOMPLETE_BODY, "the body could not be read completely"
        ) from error


def read_request_task(
    body: bytes, duration_ms: int, memory_mb: int, accelerators: int
) -> TaskSpec:
    """Return the task of a single request; the body must be one JSON value."""
    _decode(_any_decoder, body)
    return TaskSpec(body, duration_ms, memory_mb, accelerators)


def read_job(body: bytes) -> tuple[list[TaskSpec], str, str]:
    """Return the tasks, the selector and the affinity key of a job."""
    job = _decode(_job_decoder, body)
    if not job.tasks:
        raise make_problem_error(InputCode.EMPTY_JOB, "the job has no tasks")
    if len(job.tasks) > MAX_TASKS:
        raise make_problem_error(
            InputCode.TOO_MANY_TASKS, f"the job has {len(job.tasks)} tasks"
        )
    tasks = [
        TaskSpec(bytes(task.body), task.duration_ms, task.memory_mb, task.accelerators)
        for task in job.tasks
    ]
    return tasks, check_selector(job.selector), check_affinity_key(job.key)


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        # The decoder doesn't validate parts that it only copies (msgspec.Raw);
        # invalid UTF-8 there would fail at the upstream, after the start.
        body.decode("utf-8")
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        raise make_problem_error(InputCode.MALFORMED_JOB, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        detail = f"the body is not valid JSON: {error}"
        raise make_problem_error(InputCode.MALFORMED_JSON, detail) from error
    except RecursionError as error:
        detail = "the body is nested too deeply"
        raise make_problem_error(InputCode.MALFORMED_JSON, detail) from error


def compute_fingerprint(job: Job, first_sent_ms: int, template: str = "") -> bytes:
    """Return a digest of everything that a resubmission has to repeat.

    The deadline is excluded, since the remaining time shrinks with each attempt,
    and so is the caller, since another caller of the team may ask for the same
    answer. ``first_sent_ms`` is included, since changing it would make an old
    submission look new. A template is included by name, before it is applied:
    operators may change it between a submission and its resubmission.
    """
    flags = f"{job.idempotent:d}{job.request:d}{first_sent_ms}"
    parts = [job.service, job.selector, job.key, flags]
    encoded = [part.encode("utf-8") for part in parts]
    for task in job.tasks:
        sizes = f"{task.duration_ms},{task.memory_mb},{task.accelerators}"
        encoded += [sizes.encode(), task.body]
    if template:
        encoded.append(f"template {template}".encode())
    return compute_digest(*encoded)
