"""Objects that operators create: services, workers, job templates and teams.

An object has a kind, a name and labels, and is written, stored and sent as JSON. It
is validated completely before it is stored, and each mistake names the field, the
value and the remedy.
"""

import json
import re
from collections.abc import Callable

import msgspec

from cactuswalk.errors import UsageError
from cactuswalk.model.selector import SelectorError, parse_selector

__all__ = [
    "KINDS",
    "ConfigurationError",
    "JobTemplate",
    "Mistake",
    "OperatorObject",
    "Service",
    "Team",
    "WorkerEntry",
    "check_object",
    "decode_object",
    "encode_object",
    "merge_labels",
    "object_key",
    "read_objects",
]

# The words of the selector grammar, since a label that no selector can name is
# useless. Names need no escaping in URLs and keys.
WORD = re.compile(r"[^\W_][\w./-]*\Z")
NAME = re.compile(r"[^\W_][\w.-]*\Z")
MAX_NAME_CHARACTERS = 63
# Labels that ``worker_labels`` sets itself.
RESERVED_LABELS = frozenset(("worker", "service", "data-centre", "rack"))
MAX_LABELS = 64
# The key-value service stores values of up to one megabyte, which also contain up to
# 20 changes of the object's history, and each node keeps every object in memory.
MAX_OBJECT_BYTES = 16_384
MAX_DEADLINE_MS = 3_600_000
# With larger ratios between the weights of teams, the jobs of the lighter team would
# wait beyond any deadline, which amounts to refusing them.
MAX_WEIGHT = 1000
MAX_COUNT = 1_000_000_000

Labels = dict[str, str]


class Service(msgspec.Struct, kw_only=True, tag="service", tag_field="kind"):
    """A service that upstreams offer.

    :param selector: selects the workers that may serve it, among those that
        announce it.
    :param hedge: send an idempotent request that takes unusually long to a second
        worker as well: lower latency at the cost of more upstream calls.
    """

    name: str
    labels: Labels = {}
    selector: str = ""
    hedge: bool = False


class WorkerEntry(msgspec.Struct, kw_only=True, tag="worker", tag_field="kind"):
    """What operators set on a worker; the worker announces everything else.

    :param labels: override the announced ones, see ``merge_labels``.
    :param drained: the worker gets no new tasks; running ones finish.
    """

    name: str
    labels: Labels = {}
    drained: bool = False


class JobTemplate(msgspec.Struct, kw_only=True, tag="job", tag_field="kind"):
    """Defaults for jobs that name this template.

    :param deadline_ms: for callers that give none; 0 for the entry's default.
    :param duration_ms: declared run time of a task; 0 for undeclared.
    """

    name: str
    labels: Labels = {}
    service: str = ""
    selector: str = ""
    deadline_ms: int = 0
    duration_ms: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Team(msgspec.Struct, kw_only=True, tag="team", tag_field="kind"):
    """A team of callers and its share.

    :param weight: its share relative to other teams when slots are scarce.
    :param maximum_running: limit of its tasks that run at one time; None for no
        limit.
    """

    name: str
    labels: Labels = {}
    weight: int = 1
    maximum_running: int | None = None


OperatorObject = Service | WorkerEntry | JobTemplate | Team

KINDS: dict[str, type[OperatorObject]] = {
    "service": Service,
    "worker": WorkerEntry,
    "job": JobTemplate,
    "team": Team,
}


class Mistake(msgspec.Struct, frozen=True):
    """One invalid field of an object."""

    field: str
    value: str
    remedy: str


class ConfigurationError(UsageError):
    """An object is invalid; ``mistakes`` and the message contain every mistake."""

    code = "invalid_object"

    def __init__(self, mistakes: list[Mistake]) -> None:
        lines = [
            f"{mistake.field} = {mistake.value}: {mistake.remedy}"
            for mistake in mistakes
        ]
        super().__init__("; ".join(lines), "Correct each field; nothing was written.")
        self.mistakes = mistakes


# A checker returns the remedy for an invalid value, None for a valid one.
Checker = Callable[[object], str | None]


def check_name(value: object) -> str | None:
    """Check the name of an object."""
    if not isinstance(value, str) or not NAME.match(value):
        return "give letters, digits, '.', '_' or '-', a letter or digit first"
    if len(value) > MAX_NAME_CHARACTERS:
        return f"give at most {MAX_NAME_CHARACTERS} characters"
    return None


def check_labels(value: object) -> str | None:
    """Check labels: words of the selector grammar; a value may be empty."""
    if not isinstance(value, dict):
        return 'give an object of texts, as {"tier": "gold"}'
    if len(value) > MAX_LABELS:
        return f"give at most {MAX_LABELS} labels"
    for label, text in value.items():
        if not WORD.match(label) or len(label) > MAX_NAME_CHARACTERS:
            return (
                f"rename the label {label!r}: letters, digits, '.', '_', '/' or "
                f"'-', a letter or digit first, at most {MAX_NAME_CHARACTERS}"
            )
        if not isinstance(text, str) or not WORD.match(text or "x"):
            return f"change the value of {label!r} to a text of such characters"
        if len(text) > MAX_NAME_CHARACTERS:
            return f"shorten the value of {label!r} to {MAX_NAME_CHARACTERS} characters"
    return None


def check_selector(value: object) -> str | None:
    """Check a selector with the parser that will read it."""
    if not isinstance(value, str):
        return "give a selector as a text, as 'tier=gold,!old'"
    try:
        parse_selector(value)
    except SelectorError as error:
        return f"{error.message}\n  {error.remedy}"
    return None


def check_reference(value: object) -> str | None:
    """Check a reference to another object by name; empty for none."""
    return None if value == "" else check_name(value)


def check_boolean(value: object) -> str | None:
    """Check a boolean."""
    return None if isinstance(value, bool) else "give true or false"


def integer_in_range(minimum: int, maximum: int, optional: bool = False) -> Checker:
    """Return a checker of integers within bounds, both inclusive."""

    def check(value: object) -> str | None:
        if optional and value is None:
            return None
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and minimum <= value <= maximum:
            return None
        null_hint = " or null" if optional else ""
        return f"give a whole number from {minimum} to {maximum}{null_hint}"

    return check


def check_worker_labels(value: object) -> str | None:
    """Check a worker's labels, among which the announced ones are reserved.

    The announced location always overrides a label of the same name, so such a
    label would be accepted without having any effect.
    """
    mistake = check_labels(value)
    if mistake is not None:
        return mistake
    for label in value:
        if label in RESERVED_LABELS:
            return f"rename the label {label!r}: the worker announces it itself"
    return None


COMMON_FIELDS: dict[str, Checker] = {"name": check_name, "labels": check_labels}
FIELDS: dict[str, dict[str, Checker]] = {
    "service": COMMON_FIELDS | {"selector": check_selector, "hedge": check_boolean},
    "worker": COMMON_FIELDS | {"labels": check_worker_labels, "drained": check_boolean},
    "job": COMMON_FIELDS
    | {
        "service": check_reference,
        "selector": check_selector,
        "deadline_ms": integer_in_range(0, MAX_DEADLINE_MS),
        "duration_ms": integer_in_range(0, MAX_DEADLINE_MS),
        "memory_mb": integer_in_range(0, MAX_COUNT),
        "accelerators": integer_in_range(0, MAX_COUNT),
    },
    "team": COMMON_FIELDS
    | {
        "weight": integer_in_range(1, MAX_WEIGHT),
        "maximum_running": integer_in_range(0, MAX_COUNT, optional=True),
    },
}


def check_object(data: object) -> OperatorObject:
    """Return the object that decoded JSON describes.

    :raises ConfigurationError: with every mistake of the object.
    """
    mistakes = find_mistakes(data)
    if mistakes:
        raise ConfigurationError(mistakes)
    checked = msgspec.convert(data, OperatorObject)
    size = len(encode_object(checked))
    if size > MAX_OBJECT_BYTES:
        remedy = f"shorten it to {MAX_OBJECT_BYTES} bytes"
        raise ConfigurationError([Mistake("(all)", f"{size} bytes", remedy)])
    return checked


def find_mistakes(data: object) -> list[Mistake]:
    """Return the mistakes of decoded JSON that should describe an object."""
    if not isinstance(data, dict):
        return [
            Mistake(
                "(all)", format_value(data), 'give an object, as {"kind": "worker"}'
            )
        ]
    kind = data.get("kind")
    if not isinstance(kind, str) or kind not in FIELDS:
        return [Mistake("kind", format_value(kind), f"give one of {', '.join(KINDS)}")]
    fields = FIELDS[kind]
    mistakes = []
    if "name" not in data:
        mistakes.append(Mistake("name", "(missing)", "give the object a name"))
    for field, value in data.items():
        if field == "kind":
            continue
        if field not in fields:
            remedy = f"remove it; a {kind} has {', '.join(fields)}"
            mistakes.append(
                Mistake(escape_surrogates(field), format_value(value), remedy)
            )
        elif (remedy := fields[field](value)) is not None:
            mistakes.append(Mistake(field, format_value(value), remedy))
    return mistakes


def format_value(value: object) -> str:
    """Return a value as JSON, truncated to 80 characters."""
    text = escape_surrogates(json.dumps(value, ensure_ascii=False, default=str))
    return text if len(text) <= 80 else f"{text[:77]}..."


def escape_surrogates(text: str) -> str:
    """Escape lone surrogates, which JSON may contain and UTF-8 can't encode."""
    return text.encode("utf-8", "backslashreplace").decode("utf-8")


def read_objects(text: str | bytes) -> list[OperatorObject]:
    """Return the objects in a JSON text: one object, or a list of them.

    :raises ConfigurationError: with every mistake of every object; the fields of a
        list's objects are prefixed with the object's index.
    """
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        remedy = f"give JSON, one object or a list of them: {error}"
        raise ConfigurationError([Mistake("(all)", "(text)", remedy)]) from error
    if not isinstance(data, list):
        return [check_object(data)]
    mistakes: list[Mistake] = []
    objects: dict[str, OperatorObject] = {}
    for index, item in enumerate(data):
        try:
            checked = check_object(item)
        except ConfigurationError as error:
            for mistake in error.mistakes:
                field = f"[{index}].{mistake.field}"
                mistakes.append(Mistake(field, mistake.value, mistake.remedy))
            continue
        key = object_key(checked)
        if key in objects:
            remedy = "give each object once"
            mistakes.append(
                Mistake(f"[{index}].name", format_value(checked.name), remedy)
            )
        objects[key] = checked
    if mistakes:
        raise ConfigurationError(mistakes)
    return list(objects.values())


def encode_object(value: OperatorObject) -> bytes:
    """Return an object's JSON; equal objects give equal bytes."""
    return msgspec.json.encode(value, order="deterministic")


_decoder = msgspec.json.Decoder(OperatorObject)


def decode_object(value: bytes) -> OperatorObject:
    """Return the object in JSON that was validated before it was stored.

    Unknown fields are ignored, so that releases can run side by side during an
    upgrade although the later one has added a field.
    """
    return _decoder.decode(value)


def object_key(value: OperatorObject) -> str:
    """Return ``kind/name``."""
    return f"{value.__struct_config__.tag}/{value.name}"


def merge_labels(announced: Labels, worker: WorkerEntry | None) -> Labels:
    """Return a worker's labels; those set by operators override the announced ones."""
    if worker is None:
        return announced
    return announced | worker.labels
