"""Decoder and checks for the jobs that callers submit."""

import re

import msgspec

from cactuswalk.dispatch.job import JobRequest, Step
from cactuswalk.errors import CactuswalkError

__all__ = ["MalformedJobError", "UnsupportedJobError", "is_job_identifier", "read_job"]

JOB_IDENTIFIER = re.compile(r"[0-9a-fA-F]{16}")
MAX_SPEC_BYTES = 4_000
# Not a limit of the platform: keeps one job from filling an entry's memory.
MAX_TASKS = 10_000


class MalformedJobError(CactuswalkError):
    """The body is not a valid job; none of its tasks has run."""

    code = "malformed_job"


class UnsupportedJobError(CactuswalkError):
    """The job needs an unsupported feature; none of its tasks has run."""

    code = "unsupported_job"


class StepBody(msgspec.Struct):
    """A step on the wire.

    Three names mislead: ``requirements`` is a single label, ``affinity`` is a rack,
    and ``anti_affinity`` is the maximum number of tasks on one worker.
    """

    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0
    after: list[int] = []
    requirements: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    gang: bool = False
    same_rack: bool = False
    utilization: bool = False
    miss_allowed: int = 0
    target_ms: float = 0


class JobBody(msgspec.Struct):
    """A job on the wire.

    ``best_effort`` means that the response is sent at the job's end and that the
    job is not stored.
    """

    spec: str = ""
    steps: list[StepBody] = []
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


_decoder = msgspec.json.Decoder(JobBody)


def is_job_identifier(text: str) -> bool:
    """Return whether a text is a valid job identifier."""
    return JOB_IDENTIFIER.fullmatch(text) is not None


def read_job(identifier: str, body: bytes) -> JobRequest:
    """Return the job in a request body.

    :raises MalformedJobError: if the body is not a valid job.
    :raises UnsupportedJobError: if the job needs an unsupported feature.
    """
    try:
        job = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedJobError(
            f"the body is not a job: {error}", "Send a job as the platform's pages say."
        ) from error
    _validate_job(job)
    steps = tuple(_read_step(step) for step in job.steps)
    return JobRequest(identifier, job.spec, steps)


def _validate_job(job: JobBody) -> None:
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        _raise_malformed("spec", f"is over {MAX_SPEC_BYTES} bytes", "Shorten it.")
    if not job.steps:
        _raise_malformed("steps", "is empty", "Give at least one step.")
    if sum(max(0, step.count) for step in job.steps) > MAX_TASKS:
        _raise_malformed("steps", f"have over {MAX_TASKS} tasks", "Split the job.")
    for number, step in enumerate(job.steps):
        _validate_step(number, step)
    if not job.best_effort:
        raise UnsupportedJobError(
            "stored jobs are not supported yet",
            "Send the job with best_effort, or to another dispatcher.",
        )
    if job.long_running or job.repeat_count:
        raise UnsupportedJobError(
            "long-running tasks and repeated jobs are not supported yet",
            "Send the job to another dispatcher.",
        )


def _validate_step(number: int, step: StepBody) -> None:
    step_path = f"steps[{number}]"
    if step.count < 1:
        _raise_malformed(
            f"{step_path}.count", "is below 1", "Give the number of tasks."
        )
    if min(step.cpu, step.mem_mb, step.gpu, step.anti_affinity) < 0:
        _raise_malformed(step_path, "has a negative size", "Give sizes of 0 or more.")
    if any(not 0 <= earlier < number for earlier in step.after):
        _raise_malformed(
            f"{step_path}.after",
            "refers to a step that is not an earlier one",
            "Name earlier steps.",
        )
    if step.gang or step.same_rack or step.utilization:
        raise UnsupportedJobError(
            f"{step_path}: gang, same_rack and utilization are not supported yet",
            "Send the job to another dispatcher.",
        )


def _raise_malformed(field: str, reason: str, remedy: str) -> None:
    raise MalformedJobError(f"{field} {reason}", remedy)


def _read_step(step: StepBody) -> Step:
    return Step(
        count=step.count,
        cpu=step.cpu,
        memory_mb=step.mem_mb,
        gpu=step.gpu,
        estimate_ms=int(step.estimated_ms),
        after=tuple(step.after),
        label=step.requirements,
        rack=step.affinity,
        per_worker=step.anti_affinity,
    )
