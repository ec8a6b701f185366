"""The operators' interface of an entry.

Reads come from the entry's own copy and work while the key-value service is
away. Changes are checked, written once with compare-and-swap, and say truly
what became of them.
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

# Two times the largest object, for callers that send it with white space.
MAX_BODY_BYTES = 32_768


class OperatorsInterface(msgspec.Struct, kw_only=True):
    """What the interface needs of the entry that it is part of.

    :param operators: names of operators, by the SHA-256 of their tokens in
        hexadecimal, so that the settings hold no token.
    :param publish: takes each accepted change for the entry's ``ConfigurationSync``.
    :param status: returns what ``cactuswalk status`` shows.
    :param explain: answers "where may this job land, and why not there".
    :param in_force: says on how many of the known nodes a revision is in force.
    :param is_heard: whether the entry hears the owner of a cell.
    :param wall_ms: wall clock in milliseconds, for people only.
    :param log: takes a sentence and its values.
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
    """Let only known operators in; digests are compared, never tokens."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("utf-8", "replace")).hexdigest()
    who = request.app[INTERFACE].operators.get(digest)
    if scheme.lower() != "bearer" or who is None:
        raise UnauthorizedError(
            "the request carries no token that this entry knows",
            "Give a token of [operators] in the entry's settings.",
        )
    request[WHO] = who
    return await handler(request)


async def list_objects(request: web.Request) -> web.Response:
    """Return all objects, or those of a kind or with matching labels."""
    replica = request.app[INTERFACE].replica
    kind = request.query.get("kind", "")
    if kind:
        check_kind(kind)
    selector = parse_selector(request.query.get("selector", ""))
    found = []
    for key, stored in sorted(replica.objects.items()):
        if not stored.value or (kind and not key.startswith(f"{kind}/")):
            continue
        value = decode_object(stored.value)
        if matches(selector, value.labels):
            found.append({"revision": stored.revision, "object": value})
    return json_response({"revision": replica.revision, "objects": found})


async def get_object(request: web.Request) -> web.Response:
    """Return an object from this entry's copy, or from the service itself."""
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
            f"there is no {key}", "See `cactuswalk get` for what there is."
        )
    return json_response({"revision": revision, "object": value}, revision)


async def put_object(request: web.Request) -> web.Response:
    """Create or replace an object."""
    data = await read_json_body(request)
    named = {"kind": request.match_info["kind"], "name": request.match_info["name"]}
    wanted = check_object(data)
    if object_key(wanted) != read_object_key(request):
        remedy = f"make it {named['kind']}/{named['name']}, as in the address"
        raise ConfigurationError([Mistake("name", object_key(wanted), remedy)])
    return await apply_change(request, "replace", lambda before: wanted)


async def patch_object(request: web.Request) -> web.Response:
    """Change some fields of an object by a JSON merge patch (RFC 7396)."""
    data = await read_json_body(request)
    if not isinstance(data, dict) or {"kind", "name"} & data.keys():
        remedy = "give an object of the fields to change, without kind and name"
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
    """Return who changed an object, when and what; it lies in the service."""
    current = await request.app[INTERFACE].keys.read(read_object_key(request))
    if not current.history:
        raise ObjectNotFoundError(
            f"there never was a {current.key}",
            "See `cactuswalk get` for what there is.",
        )
    return json_response({"key": current.key, "history": current.history})


async def get_status(request: web.Request) -> web.Response:
    """Return the entry's view of the system."""
    return json_response(request.app[INTERFACE].status())


async def retire_cell(request: web.Request) -> web.Response:
    """Give the slots of a cell that is gone for good to another."""
    interface, cell = request.app[INTERFACE], request.match_info["cell"]
    to = request.query.get("to", "")
    store, heard, clock = interface.keys.store, interface.is_heard, interface.wall_ms
    retirement = CellRetirement(store, heard, clock)
    # A write that has begun ends also if the operator closes the connection.
    done = await asyncio.shield(
        retirement.retire(cell, to, is_flag_set(request, "hosts_are_off"))
    )
    interface.log("retired a cell", done | {"who": request[WHO]})
    return json_response(done)


async def get_explanation(request: web.Request) -> web.Response:
    """Answer where a job may land."""
    query = dict(request.query)
    parse_selector(query.get("selector", ""))
    return json_response(await request.app[INTERFACE].explain(query))


async def get_in_force(request: web.Request) -> web.Response:
    """Say on how many nodes a revision is in force."""
    text = request.query.get("revision", "")
    if not text.isdecimal() or len(text) > 18:
        raise UsageError(
            f"revision {text!r} is no revision", "Give the number that `apply` shows."
        )
    interface = request.app[INTERFACE]
    one = interface.in_force(int(text))
    fields = msgspec.to_builtins(one)
    fields["entry_in_force"] = interface.replica.holds(int(text))
    return json_response(fields)


async def apply_change(
    request: web.Request,
    action: str,
    make: Callable[[OperatorObject | None], OperatorObject | None],
) -> web.Response:
    """Make a change, and log who asked for what and what became of it."""
    interface = request.app[INTERFACE]
    wanted = ChangeRequest(
        *(
            read_object_key(request),
            read_expected_revision(request),
            read_write_id(request),
        ),
        *(request[WHO], interface.wall_ms(), action, make),
        dry_run=is_flag_set(request, "dry_run"),
    )
    # An operator who closes the connection must not stop a write half-way: it
    # would have been made without having been spread or logged.
    accepted = await asyncio.shield(apply_and_log(request.app, wanted))
    created = accepted.written and wanted.expected == 0
    return json_response(accepted, accepted.revision, 201 if created else 200)


async def apply_and_log(
    application: web.Application, wanted: ChangeRequest
) -> ChangeResult:
    """Make a change and log its outcome."""
    interface = application[INTERFACE]
    report_outcome = functools.partial(log_outcome, interface, wanted)
    try:
        accepted = await application[CHANGES].apply(wanted)
    except Exception as error:
        report_outcome(getattr(error, "code", "failed"), 0)
        raise
    report_outcome("accepted" if accepted.written else "not needed", accepted.revision)
    return accepted


def log_outcome(
    interface: OperatorsInterface, wanted: ChangeRequest, outcome: str, revision: int
) -> None:
    """Log what became of a change."""
    fields = {
        "key": wanted.key,
        "who": wanted.who,
        "action": wanted.action,
        "write_id": wanted.write_id,
        "revision": revision,
    }
    interface.log(f"change {outcome}", fields)


def read_object_key(request: web.Request) -> str:
    """Return the key in the address of a request."""
    kind, name = request.match_info["kind"], request.match_info["name"]
    check_kind(kind)
    mistakes = find_mistakes({"kind": kind, "name": name})
    if mistakes:
        raise ConfigurationError(mistakes)
    return f"{kind}/{name}"


def check_kind(kind: str) -> None:
    """Raise for a kind that there isn't."""
    if kind not in KINDS:
        remedy = f"give one of {', '.join(KINDS)}"
        raise ConfigurationError([Mistake("kind", kind, remedy)])


def read_expected_revision(request: web.Request) -> int:
    """Return the revision that a change builds on, 0 for a new object."""
    if request.headers.get("If-None-Match", "").strip() == "*":
        return 0
    text = request.headers.get("If-Match", "").strip().strip('"')
    if text.isdecimal() and 0 < len(text) <= 18:
        return int(text)
    raise MissingPreconditionError(
        "the change does not say which revision it builds on",
        'Send If-Match: "REVISION" as read, or If-None-Match: * for a new object.',
    )


def read_write_id(request: web.Request) -> str:
    """Return the write id that the client gave, or a new one."""
    text = request.headers.get("Write-Id", "")
    if not text:
        return str(uuid.uuid4())
    try:
        return str(uuid.UUID(text))
    except ValueError:
        raise UsageError(
            f"Write-Id {text[:80]!r} is no UUID", "Draw a new UUID for each change."
        ) from None


def is_flag_set(request: web.Request, name: str) -> bool:
    """Return whether a switch in the query is on."""
    return request.query.get(name, "") in ("1", "true", "yes")


async def read_json_body(request: web.Request) -> object:
    """Return the JSON in a request's body."""
    try:
        return json.loads(await request.read())
    except (ValueError, RecursionError) as error:
        remedy = f"send one JSON object in UTF-8: {error}"
        raise ConfigurationError([Mistake("(all)", "(body)", remedy)]) from error


def merge_patch(target: dict, patch: dict) -> dict:
    """Return a JSON object after a merge patch of its fields and labels.

    Objects nest no deeper; what does is left whole for the check to refuse.
    """
    merged = merge_fields(target, patch)
    labels, change = target.get("labels"), patch.get("labels")
    if isinstance(labels, dict) and isinstance(change, dict):
        merged["labels"] = merge_fields(labels, change)
    return merged


def merge_fields(target: dict, patch: dict) -> dict:
    """Return a map after a patch in which null removes a field."""
    merged = target | patch
    return {name: value for name, value in merged.items() if value is not None}


def json_response(value: object, revision: int | None = None, status: int = 200):
    """Return a response of JSON, with the revision as its entity tag."""
    headers = {} if revision is None else {"ETag": f'"{revision}"'}
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
        headers=headers,
    )
