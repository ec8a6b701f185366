"""Jobs, as the platform's callers write them."""

import re

import msgspec

from cactuswalk.dispatch.job import JobRequest, Step
from cactuswalk.errors import CactuswalkError

__all__ = ["MalformedJobError", "UnsupportedJobError", "is_job_identifier", "read_job"]

JOB_IDENTIFIER = re.compile(r"[0-9a-fA-F]{16}")
MAX_SPEC_BYTES = 4_000
# A bound of this product's own: one job must not fill an entry's memory.
MAX_TASKS = 10_000


class MalformedJobError(CactuswalkError):
    """The body is no job; nothing of it has run."""

    code = "malformed_job"


class UnsupportedJobError(CactuswalkError):
    """The job asks for what this product can't do yet; nothing of it has run."""

    code = "unsupported_job"


class StepBody(msgspec.Struct):
    """A step on the wire.

    ``requirements`` is one label, ``affinity`` one rack, and ``anti_affinity`` a
    number of tasks a worker.
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

    ``best_effort`` means that its answer is its end, and that it isn't stored.
    """

    spec: str = ""
    steps: list[StepBody] = []
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


_decoder = msgspec.json.Decoder(JobBody)


def is_job_identifier(text: str) -> bool:
    """Return whether a text can name a job."""
    return JOB_IDENTIFIER.fullmatch(text) is not None


def read_job(identifier: str, body: bytes) -> JobRequest:
    """Return the job in a body.

    :raises MalformedJobError: if there is none.
    :raises UnsupportedJobError: if it can't be done.
    """
    try:
        job = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedJobError(
            f"the body is no job: {error}", "Send a job as the platform's pages say."
        ) from error
    _validate_job(job)
    steps = tuple(_read_step(step) for step in job.steps)
    return JobRequest(identifier, job.spec, steps)


def _validate_job(job: JobBody) -> None:
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        _raise_malformed("spec", f"has over {MAX_SPEC_BYTES} bytes", "Shorten it.")
    if not job.steps:
        _raise_malformed("steps", "is empty", "Give at least one step.")
    if sum(max(0, step.count) for step in job.steps) > MAX_TASKS:
        _raise_malformed("steps", f"have over {MAX_TASKS} tasks", "Split the job.")
    for number, step in enumerate(job.steps):
        _validate_step(number, step)
    if not job.best_effort:
        raise UnsupportedJobError(
            "jobs that have to be kept are not supported yet",
            "Send the job with best_effort, or to another dispatcher.",
        )
    if job.long_running or job.repeat_count:
        raise UnsupportedJobError(
            "tasks that last and repeated jobs are not supported yet",
            "Send the job to another dispatcher.",
        )


def _validate_step(number: int, step: StepBody) -> None:
    step_path = f"steps[{number}]"
    if step.count < 1:
        _raise_malformed(
            f"{step_path}.count", "is below 1", "Give the number of tasks."
        )
    if min(step.cpu, step.mem_mb, step.gpu, step.anti_affinity) < 0:
        _raise_malformed(
            step_path, "asks for a negative size", "Give sizes of 0 or more."
        )
    if any(not 0 <= earlier < number for earlier in step.after):
        _raise_malformed(
            f"{step_path}.after", "names no earlier step", "Name earlier steps."
        )
    if step.gang or step.same_rack or step.utilization:
        raise UnsupportedJobError(
            f"{step_path}: tasks that have to run together are not supported yet",
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
