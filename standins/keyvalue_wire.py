"""The JSON of etcd's published gateway: base64 for bytes, strings for int64.

As in the gateway, fields at their default are left out of replies.
"""

import base64
import typing

from standins.keyvalue_store import Change, Entry, Store, StoreError

__all__ = [
    "change_to_json",
    "delete_range",
    "header",
    "integer",
    "put",
    "range_",
    "transact",
    "to_bytes",
]

Json = dict[str, typing.Any]


def to_bytes(value: str | None) -> bytes:
    """Decode a base64 field; a missing one is empty."""
    return base64.b64decode(value or "")


def to_text(value: bytes) -> str:
    """Encode bytes for JSON."""
    return base64.b64encode(value).decode()


def integer(value: str | int | None) -> int:
    """Read an int64, which comes as a string or a number."""
    return int(value or 0)


def header(store: Store) -> Json:
    """Return the header of every reply, with the store's revision."""
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(store.revision),
        "raft_term": "1",
    }


def entry_to_json(entry: Entry, keys_only: bool = False) -> Json:
    """Return one key as a ``KeyValue``."""
    value: Json = {
        "key": to_text(entry.key),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }
    if entry.value and not keys_only:
        value["value"] = to_text(entry.value)
    if entry.lease:
        value["lease"] = str(entry.lease)
    return value


def change_to_json(change: Change) -> Json:
    """Return one change as an ``Event`` of a watch."""
    if change.entry is not None:
        return {"kv": entry_to_json(change.entry)}
    gone = {"key": to_text(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": gone}


def range_(store: Store, request: Json) -> Json:
    """Answer a ``RangeRequest`` at the present revision."""
    if integer(request.get("revision")) not in (0, store.revision):
        raise StoreError(12, "the stand-in reads at the present revision only")
    found = store.select(
        to_bytes(request.get("key")), to_bytes(request.get("range_end"))
    )
    reply: Json = {"header": header(store)}
    limit = integer(request.get("limit")) or len(found)
    if found[:limit] and not request.get("count_only"):
        keys_only = bool(request.get("keys_only"))
        reply["kvs"] = [entry_to_json(entry, keys_only) for entry in found[:limit]]
    if len(found) > limit:
        reply["more"] = True
    if found:
        reply["count"] = str(len(found))
    return reply


def put(store: Store, request: Json) -> Json:
    """Answer a ``PutRequest``."""
    store.put(
        to_bytes(request.get("key")),
        to_bytes(request.get("value")),
        integer(request.get("lease")),
    )
    return {"header": header(store)}


def delete_range(store: Store, request: Json) -> Json:
    """Answer a ``DeleteRangeRequest``."""
    deleted = store.delete(
        to_bytes(request.get("key")), to_bytes(request.get("range_end"))
    )
    reply: Json = {"header": header(store)}
    if deleted:
        reply["deleted"] = str(deleted)
    return reply


def transact(store: Store, request: Json) -> Json:
    """Answer a ``TxnRequest``: all of its writes share one revision."""
    succeeded = all(_holds(store, item) for item in request.get("compare", []))
    operations = request.get("success" if succeeded else "failure", [])
    writes = [write for write in map(_write, operations) if write is not None]
    touched = iter(store.apply(writes) if writes else [])
    responses = [_response(store, operation, touched) for operation in operations]
    reply: Json = {"header": header(store)}
    if succeeded:
        reply["succeeded"] = True
    if responses:
        reply["responses"] = responses
    return reply


def _field(operation: Json, snake: str, camel: str) -> Json | None:
    return operation.get(snake, operation.get(camel))


def _write(operation: Json) -> tuple[str, bytes, bytes, int] | None:
    request = _field(operation, "request_put", "requestPut")
    if request is not None:
        return (
            "put",
            to_bytes(request.get("key")),
            to_bytes(request.get("value")),
            integer(request.get("lease")),
        )
    request = _field(operation, "request_delete_range", "requestDeleteRange")
    if request is not None:
        key, end = to_bytes(request.get("key")), to_bytes(request.get("range_end"))
        return ("delete", key, end, 0)
    return None


def _response(store: Store, operation: Json, touched: typing.Iterator[int]) -> Json:
    request = _field(operation, "request_range", "requestRange")
    if request is not None:
        return {"response_range": range_(store, request)}
    if _field(operation, "request_put", "requestPut") is not None:
        next(touched)
        return {"response_put": {"header": header(store)}}
    deleted = str(next(touched))
    return {"response_delete_range": {"header": header(store), "deleted": deleted}}


def _holds(store: Store, compare: Json) -> bool:
    found = store.select(to_bytes(compare.get("key")))
    actual, wanted = _operands(found[0] if found else None, compare)
    result = compare.get("result", "EQUAL")
    if result == "EQUAL":
        return actual == wanted
    if result == "NOT_EQUAL":
        return actual != wanted
    if result == "GREATER":
        return actual > wanted
    if result == "LESS":
        return actual < wanted
    raise StoreError(3, f"unknown comparison {result}")


def _operands(entry: Entry | None, compare: Json) -> tuple[typing.Any, typing.Any]:
    target = compare.get("target", "VERSION")
    if target == "VALUE":
        return (entry.value if entry else b""), to_bytes(compare.get("value"))
    names = {"MOD": "mod_revision", "CREATE": "create_revision", "VERSION": "version"}
    if target not in names:
        raise StoreError(3, f"unknown target {target}")
    name = names[target]
    return (getattr(entry, name) if entry else 0), integer(compare.get(name))
