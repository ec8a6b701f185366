"""Parse and validate the headers of a submission."""

import datetime
import re

import msgspec
from aiohttp import web

from cactuswalk.http.problems import InputCode, Problem, ProblemError
from cactuswalk.model import (
    Outcome,
    RefusalCode,
    SelectorError,
    parse_selector,
    read_creation_ms,
)

__all__ = [
    "CLOCK_MARGIN_MS",
    "JOB_HEADERS",
    "REQUEST_HEADERS",
    "DeclaredWork",
    "SubmissionKey",
    "check_selector",
    "check_affinity_key",
    "is_valid_key",
    "read_deadline_ms",
    "read_declared_work",
    "read_submission_key",
    "make_problem_error",
    "reject_unknown_headers",
    "read_async_wait",
]

# Maximum difference between the clock that generated a key and this entry's clock.
# Hosts with NTP differ by milliseconds; ten seconds covers a missed correction.
# The margin is subtracted from the retention time, so that "too_old_to_know" is
# returned while the records certainly still exist. A key that lies further in the
# future is rejected, since it would outlive its records.
CLOCK_MARGIN_MS = 10_000

# Upper bounds of what a caller may declare; they also catch values in wrong units.
MAX_DURATION_MS = 3_600_000
MAX_MEMORY_MB = 1 << 30
MAX_ACCELERATORS = 1_000
MAX_SELECTOR_LENGTH = 1_024
MAX_AFFINITY_KEY_LENGTH = 128

JOB_HEADERS = frozenset(
    {"cactuswalk-deadline-ms", "cactuswalk-first-sent", "cactuswalk-template"}
)
REQUEST_HEADERS = JOB_HEADERS | {
    "cactuswalk-idempotent",
    "cactuswalk-selector",
    "cactuswalk-key",
    "cactuswalk-duration-ms",
    "cactuswalk-memory-mb",
    "cactuswalk-accelerators",
}

_KEY_PATTERN = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
_RFC3339_PATTERN = re.compile(
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?(Z|[+-]\d\d:\d\d)", re.ASCII
)
_INTEGER_PATTERN = re.compile(r"-?[0-9]{1,15}")
_WAIT_PATTERN = re.compile(r"wait=([0-9]{1,5})")


class SubmissionKey(msgspec.Struct, frozen=True):
    """Identifier of a submission within its team.

    :param minted: the entry has to generate the key; ``key`` is empty.
    :param created_ms: when the key was created, in ms since the Unix epoch.
    :param first_sent_ms: creation time from the ``Cactuswalk-First-Sent`` header; 0
        if the key contains its creation time.
    """

    key: str = ""
    minted: bool = True
    created_ms: int = 0
    first_sent_ms: int = 0


class DeclaredWork(msgspec.Struct, frozen=True):
    """Headers in which a caller describes a single request."""

    idempotent: bool
    selector: str
    affinity_key: str
    duration_ms: int
    memory_mb: int
    accelerators: int


def make_problem_error(code: str, detail: str, remedy: str = "") -> ProblemError:
    """Return the error that rejects a request before anything is started."""
    return ProblemError(Problem(code, detail, remedy=remedy))


def is_valid_key(text: str) -> bool:
    """Return whether a text is a valid idempotency key."""
    return _KEY_PATTERN.fullmatch(text) is not None


def read_single_header(request: web.Request, name: str) -> str | None:
    """Return the value of a header, None if missing; duplicates are rejected."""
    values = request.headers.getall(name, [])
    if not values:
        return None
    if len(values) > 1:
        raise make_problem_error(
            InputCode.INVALID_HEADER, f"{name} occurs {len(values)} times"
        )
    return values[0].strip()


def reject_unknown_headers(request: web.Request, known: frozenset[str]) -> None:
    """Reject ``Cactuswalk-`` headers that this path doesn't support.

    If a misspelt or misplaced header was ignored, the work would be done without
    the deadline or selector that the caller meant to set.
    """
    for name in request.headers:
        lower = name.lower()
        if lower.startswith("cactuswalk-") and lower not in known:
            raise make_problem_error(
                InputCode.INVALID_HEADER,
                f"{lower} is not a header of this path",
                "Correct its name; for a job, set it in the body instead.",
            )


def read_submission_key(
    request: web.Request, now_ms: int, retention_seconds: int
) -> SubmissionKey:
    """Read ``Idempotency-Key`` and determine when it was created.

    :param now_ms: wall clock in milliseconds since the Unix epoch.
    :raises ProblemError: if the key is invalid, has no creation time, or was
        created in the future or before the oldest kept records.
    """
    value = read_single_header(request, "Idempotency-Key")
    first_sent = read_single_header(request, "Cactuswalk-First-Sent")
    if value is None:
        if first_sent is not None:
            raise make_problem_error(
                InputCode.INVALID_HEADER,
                "Cactuswalk-First-Sent is set without Idempotency-Key",
            )
        return SubmissionKey()
    # The IETF draft defines the key as a structured field string, in quotes.
    key = value
    if len(value) >= 2 and value[0] == value[-1] == '"':
        key = value[1:-1]
    if not is_valid_key(key):
        raise make_problem_error(
            InputCode.INVALID_KEY,
            "the idempotency key has invalid characters or length",
        )
    created_ms, first_sent_ms = read_creation_ms(key), 0
    if created_ms is None and first_sent is None:
        raise make_problem_error(
            InputCode.KEY_WITHOUT_CREATION_TIME,
            f"{key} does not contain its creation time",
        )
    if created_ms is None:
        created_ms = first_sent_ms = _read_time_ms(first_sent)
    _check_creation_time(key, created_ms, now_ms, retention_seconds)
    return SubmissionKey(key, False, created_ms, first_sent_ms)


def _check_creation_time(
    key: str, created_ms: int, now_ms: int, retention_seconds: int
) -> None:
    if created_ms > now_ms + CLOCK_MARGIN_MS:
        raise make_problem_error(
            InputCode.KEY_FROM_FUTURE,
            f"{key} was created {created_ms - now_ms} ms ahead of this entry's clock",
        )
    age_ms = now_ms - created_ms
    if age_ms > retention_seconds * 1000 - CLOCK_MARGIN_MS:
        detail = f"{key} was created {age_ms} ms ago; records are kept for "
        problem = Problem(
            code=RefusalCode.TOO_OLD.value,
            detail=f"{detail}{retention_seconds} s",
            outcome=Outcome.UNKNOWN,
        )
        raise ProblemError(problem)


def _read_time_ms(value: str) -> int:
    name = "Cactuswalk-First-Sent"
    remedy = "Give an RFC 3339 time, such as 2026-12-02T22:00:00Z."
    if not _RFC3339_PATTERN.fullmatch(value):
        raise make_problem_error(InputCode.INVALID_HEADER, f"{name} is no time", remedy)
    try:
        moment = datetime.datetime.fromisoformat(value)
        return int(moment.timestamp() * 1000)
    except (ValueError, OverflowError):
        raise make_problem_error(
            InputCode.INVALID_HEADER, f"{name} is no time", remedy
        ) from None


def read_deadline_ms(request: web.Request, default_ms: int, maximum_ms: int) -> int:
    """Return the deadline in ms, relative to the arrival of the request."""
    value = read_single_header(request, "Cactuswalk-Deadline-Ms")
    if value is None:
        return default_ms
    remedy = f"Give 1 to {maximum_ms} milliseconds, or leave the header out."
    if not _INTEGER_PATTERN.fullmatch(value):
        raise make_problem_error(
            InputCode.INVALID_DEADLINE, "the deadline is not a whole number", remedy
        )
    deadline_ms = int(value)
    if deadline_ms <= 0:
        raise make_problem_error(
            RefusalCode.DEADLINE_PASSED, "the deadline has already passed"
        )
    if deadline_ms > maximum_ms:
        raise make_problem_error(
            InputCode.INVALID_DEADLINE,
            f"{deadline_ms} ms exceed this entry's maximum deadline",
            remedy,
        )
    return deadline_ms


def read_declared_work(request: web.Request) -> DeclaredWork:
    """Read the headers that describe a single request."""
    return DeclaredWork(
        idempotent=_read_boolean(request, "Cactuswalk-Idempotent"),
        selector=check_selector(
            read_single_header(request, "Cactuswalk-Selector") or ""
        ),
        affinity_key=check_affinity_key(
            read_single_header(request, "Cactuswalk-Key") or ""
        ),
        duration_ms=_read_count(request, "Cactuswalk-Duration-Ms", MAX_DURATION_MS),
        memory_mb=_read_count(request, "Cactuswalk-Memory-Mb", MAX_MEMORY_MB),
        accelerators=_read_count(request, "Cactuswalk-Accelerators", MAX_ACCELERATORS),
    )


def _read_boolean(request: web.Request, name: str) -> bool:
    value = read_single_header(request, name)
    if value not in (None, "?0", "?1"):
        raise make_problem_error(
            InputCode.INVALID_HEADER,
            f"{name} is neither ?1 nor ?0",
            "Write ?1 for true, ?0 for false (RFC 8941).",
        )
    return value == "?1"


def _read_count(request: web.Request, name: str, maximum: int) -> int:
    value = read_single_header(request, name)
    if value is None:
        return 0
    if not _INTEGER_PATTERN.fullmatch(value) or not 0 <= int(value) <= maximum:
        raise make_problem_error(
            InputCode.INVALID_HEADER,
            f"{name} is out of range",
            f"Give a whole number from 0 to {maximum}.",
        )
    return int(value)


def check_selector(value: str) -> str:
    """Return the selector if it is valid; otherwise raise ``ProblemError``."""
    if len(value) > MAX_SELECTOR_LENGTH:
        raise make_problem_error(
            InputCode.INVALID_SELECTOR,
            f"the selector has {len(value)} characters",
            f"Use at most {MAX_SELECTOR_LENGTH}.",
        )
    try:
        parse_selector(value)
    except SelectorError as error:
        raise make_problem_error(
            InputCode.INVALID_SELECTOR, error.message, error.remedy
        ) from error
    return value


def check_affinity_key(value: str) -> str:
    """Return the affinity key if it is printable and short enough.

    :raises ProblemError: if it is not.
    """
    if len(value) > MAX_AFFINITY_KEY_LENGTH or not value.isprintable():
        raise make_problem_error(
            InputCode.INVALID_HEADER,
            "the affinity key is too long or has unprintable characters",
            f"Use up to {MAX_AFFINITY_KEY_LENGTH} printable characters.",
        )
    return value


def read_async_wait(request: web.Request) -> float | None:
    """Return the seconds to wait before a 202 response (RFC 7240).

    None if the request doesn't prefer an asynchronous response.
    """
    preferences = ",".join(request.headers.getall("Prefer", []))
    words = [word.strip().lower() for word in re.split("[,;]", preferences)]
    if "respond-async" not in words:
        return None
    waits = [
        int(wait_match[1])
        for word in words
        if (wait_match := _WAIT_PATTERN.fullmatch(word))
    ]
    return float(waits[0]) if waits else 0.0
