"""HTTP interface of an entry for operators.

Reads are served from the entry's replica and work while the key-value service is
unavailable. Changes are validated, written at most once with compare-and-swap, and
the response says whether they were written, not written or are in doubt.
"""

import asyncio
import functools
import hashlib
import json
import uuid
from collections.abc import Awaitable, Callable, Mapping

import msgspec
from aiohttp import web

from cactuswalk.errors import UsageError
from cactuswalk.http.operators_cells import CellRetirement
from cactuswalk.http.operators_changes import ChangeRequest, ChangeResult, ChangeWriter
from cactuswalk.http.operators_errors import (
    MissingPreconditionError,
    ObjectNotFoundError,
    UnauthorizedError,
)
from cactuswalk.http.operators_problems import operators_problem_middleware
from cactuswalk.http.operators_store import ConfigurationKeys
from cactuswalk.messages import ConfigurationUpdate
from cactuswalk.model import matches, parse_selector
from cactuswalk.model.configuration import (
    KINDS,
    ConfigurationError,
    Mistake,
    OperatorObject,
    check_object,
    decode_object,
    find_mistakes,
    object_key,
)
from cactuswalk.state.configuration import NodesInForce, Replica

__all__ = ["OperatorsInterface", "make_operators_application"]

# Twice the size of the largest object, to allow for white space in the JSON.
MAX_BODY_BYTES = 32_768


class OperatorsInterface(msgspec.Struct, kw_only=True):
    """Data and operations of the entry that the operators' interface uses.

    :param operators: operator names, keyed by the hexadecimal SHA-256 of their
        tokens, so that the settings don't contain tokens.
    :param publish: passes each accepted change to the entry's ``ConfigurationSync``.
    :param status: returns what ``cactuswalk status`` shows.
    :param explain: returns which workers can take a job and why others can't.
    :param in_force: returns on how many of the known nodes a revision is in force.
    :param is_heard: returns whether the entry receives messages from a cell's owner.
    :param wall_ms: returns the wall clock in milliseconds, for display only.
    :param log: writes a log line with its fields.
    """

    keys: ConfigurationKeys
    replica: Replica
    operators: Mapping[str, str]
    publish: Callable[[ConfigurationUpdate], None]
    status: Callable[[], object]
    explain: Callable[[dict[str, str]], Awaitable[object]]
    in_force: Callable[[int], NodesInForce]
    wall_ms: Callable[[], int]
    is_heard: Callable[[str], bool] = lambda cell: False
    log: Callable[[str, dict[str, object]], None] = lambda sentence, fields: None


INTERFACE = web.AppKey("interface", OperatorsInterface)
CHANGES = web.AppKey("changes", ChangeWriter)
WHO = "who"


def make_operators_application(interface: OperatorsInterface) -> web.Application:
    """Return the application that serves operators under ``/operator``."""
    application = web.Application(
        middlewares=[operators_problem_middleware, authenticate],
        client_max_size=MAX_BODY_BYTES,
    )
    application[INTERFACE] = interface
    application[CHANGES] = ChangeWriter(
        interface.keys, interface.replica, interface.publish
    )
    object_path = "/operator/objects/{kind}/{name}"
    application.add_routes(
        [
            web.get("/operator/objects", list_objects),
            web.get(object_path, get_object),
            web.put(object_path, put_object),
            web.patch(object_path, patch_object),
            web.delete(object_path, delete_object),
            web.get(f"{object_path}/history", get_history),
            web.post("/operator/cells/{cell}/retire", retire_cell),
            web.get("/operator/status", get_status),
            web.get("/operator/explain", get_explanation),
            web.get("/operator/in-force", get_in_force),
        ]
    )
    return application


@web.middleware
async def authenticate(request: web.Request, handler) -> web.StreamResponse:
    """Reject requests without the token of an operator.

    Tokens are compared by digest only.
    """
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("utf-8", "replace")).hexdigest()
    who = request.app[INTERFACE].operators.get(digest)
    if scheme.lower() != "bearer" or who is None:
        raise UnauthorizedError(
            "the request has no token that this entry knows",
            "Use a token listed in [operators] of the entry's settings.",
        )
    request[WHO] = who
    return await handler(request)


async def list_objects(request: web.Request) -> web.Response:
    """Return all objects, optionally filtered by kind and label selector."""
    replica = request.app[INTERFACE].replica
    kind = request.query.get("kind", "")
    if kind:
        check_kind(kind)
    selector = parse_selector(request.query.get("selector", ""))
    matching = []
    for key, stored in sorted(replica.objects.items()):
        if not stored.value or (kind and not key.startswith(f"{kind}/")):
            continue
        value = decode_object(stored.value)
        if matches(selector, value.labels):
            matching.append({"revision": stored.revision, "object": value})
    return json_response({"revision": replica.revision, "objects": matching})


async def get_object(request: web.Request) -> web.Response:
    """Return an object from this entry's replica or, if fresh, from the service."""
    key = read_object_key(request)
    interface = request.app[INTERFACE]
    if is_flag_set(request, "fresh"):
        current = await interface.keys.read(key)
        revision, value = current.revision, current.object
    else:
        stored = interface.replica.objects.get(key)
        revision = stored.revision if stored else 0
        value = decode_object(stored.value) if stored and stored.value else None
    if value is None:
        raise ObjectNotFoundError(
            f"there is no {key}", "Run `cactuswalk get` for a list."
        )
    return json_response({"revision": revision, "object": value}, revision)


async def put_object(request: web.Request) -> web.Response:
    """Create or replace an object."""
    data = await read_json_body(request)
    target = {"kind": request.match_info["kind"], "name": request.match_info["name"]}
    replacement = check_object(data)
    if object_key(replacement) != read_object_key(request):
        remedy = f"make it {target['kind']}/{target['name']}, as in the URL"
        raise ConfigurationError([Mistake("name", object_key(replacement), remedy)])
    return await apply_change(request, "replace", lambda before: replacement)


async def patch_object(request: web.Request) -> web.Response:
    """Change fields of an object with a JSON merge patch (RFC 7396)."""
    data = await read_json_body(request)
    if not isinstance(data, dict) or {"kind", "name"} & data.keys():
        remedy = "give a JSON object of the fields to change, without kind and name"
        raise ConfigurationError([Mistake("(all)", "(patch)", remedy)])

    def make(before: OperatorObject | None) -> OperatorObject:
        if before is None:
            raise ObjectNotFoundError(
                f"there is no {read_object_key(request)}",
                "Create it with `cactuswalk apply`.",
            )
        return check_object(merge_patch(msgspec.to_builtins(before), data))

    return await apply_change(request, "patch", make)


async def delete_object(request: web.Request) -> web.Response:
    """Delete an object."""
    return await apply_change(request, "delete", lambda before: None)


async def get_history(request: web.Request) -> web.Response:
    """Return the history of an object, read from the key-value service."""
    current = await request.app[INTERFACE].keys.read(read_object_key(request))
    if not current.history:
        raise ObjectNotFoundError(
            f"there has never been a {current.key}",
            "Run `cactuswalk get` for a list.",
        )
    return json_response({"key": current.key, "history": current.history})


async def get_status(request: web.Request) -> web.Response:
    """Return the entry's view of the system."""
    return json_response(request.app[INTERFACE].status())


async def retire_cell(request: web.Request) -> web.Response:
    """Transfer the slots of a permanently stopped cell to another cell."""
    interface, cell = request.app[INTERFACE], request.match_info["cell"]
    to = request.query.get("to", "")
    store, heard, clock = interface.keys.store, interface.is_heard, interface.wall_ms
    retirement = CellRetirement(store, heard, clock)
    # Shielded: a started write completes even if the operator disconnects.
    done = await asyncio.shield(
        retirement.retire(cell, to, is_flag_set(request, "hosts_are_off"))
    )
    interface.log("retired a cell", done | {"who": request[WHO]})
    return json_response(done)


async def get_explanation(request: web.Request) -> web.Response:
    """Return which workers can take a job."""
    query = dict(request.query)
    parse_selector(query.get("selector", ""))
    return json_response(await request.app[INTERFACE].explain(query))


async def get_in_force(request: web.Request) -> web.Response:
    """Return on how many nodes a revision is in force."""
    text = request.query.get("revision", "")
    if not text.isdecimal() or len(text) > 18:
        raise UsageError(
            f"revision {text!r} is invalid", "Give the number that `apply` shows."
        )
    interface = request.app[INTERFACE]
    counts = interface.in_force(int(text))
    fields = msgspec.to_builtins(counts)
    fields["entry_in_force"] = interface.replica.holds(int(text))
    return json_response(fields)


async def apply_change(
    request: web.Request,
    action: str,
    make: Callable[[OperatorObject | None], OperatorObject | None],
) -> web.Response:
    """Apply a change, and log the operator, the change and its outcome."""
    interface = request.app[INTERFACE]
    change = ChangeRequest(
        *(
            read_object_key(request),
            read_expected_revision(request),
            read_write_id(request),
        ),
        *(request[WHO], interface.wall_ms(), action, make),
        dry_run=is_flag_set(request, "dry_run"),
    )
    # Shielded: if a disconnect cancelled the handler during the write, the change
    # would be made without being published or logged.
    result = await asyncio.shield(apply_and_log(request.app, change))
    created = result.written and change.expected == 0
    return json_response(result, result.revision, 201 if created else 200)


async def apply_and_log(
    application: web.Application, change: ChangeRequest
) -> ChangeResult:
    """Apply a change and log its outcome."""
    interface = application[INTERFACE]
    report_outcome = functools.partial(log_outcome, interface, change)
    try:
        result = await application[CHANGES].apply(change)
    except Exception as error:
        report_outcome(getattr(error, "code", "failed"), 0)
        raise
    report_outcome("accepted" if result.written else "not needed", result.revision)
    return result


def log_outcome(
    interface: OperatorsInterface, change: ChangeRequest, outcome: str, revision: int
) -> None:
    """Log the outcome of a change."""
    fields = {
        "key": change.key,
        "who": change.who,
        "action": change.action,
        "write_id": change.write_id,
        "revision": revision,
    }
    interface.log(f"change {outcome}", fields)


def read_object_key(request: web.Request) -> str:
    """Return the object key in the URL of a request."""
    kind, name = request.match_info["kind"], request.match_info["name"]
    check_kind(kind)
    mistakes = find_mistakes({"kind": kind, "name": name})
    if mistakes:
        raise ConfigurationError(mistakes)
    return f"{kind}/{name}"


def check_kind(kind: str) -> None:
    """Raise ``ConfigurationError`` if the kind doesn't exist."""
    if kind not in KINDS:
        remedy = f"give one of {', '.join(KINDS)}"
        raise ConfigurationError([Mistake("kind", kind, remedy)])


def read_expected_revision(request: web.Request) -> int:
    """Return the revision that a change is based on, 0 for a new object."""
    if request.headers.get("If-None-Match", "").strip() == "*":
        return 0
    text = request.headers.get("If-Match", "").strip().strip('"')
    if text.isdecimal() and 0 < len(text) <= 18:
        return int(text)
    raise MissingPreconditionError(
        "the change has no precondition with the revision that it is based on",
        'Send If-Match: "REVISION" with the revision read, or If-None-Match: * for a '
        "new object.",
    )


def read_write_id(request: web.Request) -> str:
    """Return the write ID from the client, or a new one."""
    text = request.headers.get("Write-Id", "")
    if not text:
        return str(uuid.uuid4())
    try:
        return str(uuid.UUID(text))
    except ValueError:
        raise UsageError(
            f"Write-Id {text[:80]!r} is not a UUID", "Generate a UUID for each change."
        ) from None


def is_flag_set(request: web.Request, name: str) -> bool:
    """Return whether a boolean query parameter is set."""
    return request.query.get(name, "") in ("1", "true", "yes")


async def read_json_body(request: web.Request) -> object:
    """Return the decoded JSON body of a request."""
    try:
        return json.loads(await request.read())
    except (ValueError, RecursionError) as error:
        remedy = f"send one JSON object in UTF-8: {error}"
        raise ConfigurationError([Mistake("(all)", "(body)", remedy)]) from error


def merge_patch(target: dict, patch: dict) -> dict:
    """Return a JSON object with a merge patch applied to its fields and labels.

    Valid objects nest no deeper; deeper values are replaced whole, and validation
    rejects them.
    """
    merged = merge_fields(target, patch)
    labels, change = target.get("labels"), patch.get("labels")
    if isinstance(labels, dict) and isinstance(change, dict):
        merged["labels"] = merge_fields(labels, change)
    return merged


def merge_fields(target: dict, patch: dict) -> dict:
    """Return a mapping with a patch applied; null removes a field."""
    merged = target | patch
    return {name: value for name, value in merged.items() if value is not None}


def json_response(value: object, revision: int | None = None, status: int = 200):
    """Return a JSON response with the revision as its entity tag."""
    headers = {} if revision is None else {"ETag": f'"{revision}"'}
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
        headers=headers,
    )
