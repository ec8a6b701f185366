"""Requests and replies in the JSON of etcd's published gateway.

Bytes are base64, int64 are strings, and replies leave out fields that have their
default value.
"""

import base64
import typing

from standins.keyvalue_store import Change, Entry, Store, StoreError

__all__ = [
    "change_to_json",
    "delete_range",
    "header",
    "to_int",
    "put",
    "range_",
    "transact",
    "from_base64",
]

Json = dict[str, typing.Any]


def from_base64(value: str | None) -> bytes:
    """Decode a base64 field; a missing field is empty."""
    return base64.b64decode(value or "")


def to_base64(value: bytes) -> str:
    """Encode bytes as base64 for JSON."""
    return base64.b64encode(value).decode()


def to_int(value: str | int | None) -> int:
    """Convert an int64 field, which is a string or a number; a missing one is 0."""
    return int(value or 0)


def header(store: Store) -> Json:
    """Return a reply's header, with the store's revision."""
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(store.revision),
        "raft_term": "1",
    }


def entry_to_json(entry: Entry, keys_only: bool = False) -> Json:
    """Return an entry as a ``KeyValue``."""
    value: Json = {
        "key": to_base64(entry.key),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }
    if entry.value and not keys_only:
        value["value"] = to_base64(entry.value)
    if entry.lease:
        value["lease"] = str(entry.lease)
    return value


def change_to_json(change: Change) -> Json:
    """Return a change as an ``Event`` of a watch."""
    if change.entry is not None:
        return {"kv": entry_to_json(change.entry)}
    deletion = {"key": to_base64(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": deletion}


def range_(store: Store, request: Json) -> Json:
    """Handle a ``RangeRequest`` at the current revision."""
    if to_int(request.get("revision")) not in (0, store.revision):
        raise StoreError(12, "the stand-in reads at the current revision only")
    found = store.select(
        from_base64(request.get("key")), from_base64(request.get("range_end"))
    )
    reply: Json = {"header": header(store)}
    limit = to_int(request.get("limit")) or len(found)
    if found[:limit] and not request.get("count_only"):
        keys_only = bool(request.get("keys_only"))
        reply["kvs"] = [entry_to_json(entry, keys_only) for entry in found[:limit]]
    if len(found) > limit:
        reply["more"] = True
    if found:
        reply["count"] = str(len(found))
    return reply


def put(store: Store, request: Json) -> Json:
    """Handle a ``PutRequest``."""
    store.put(
        from_base64(request.get("key")),
        from_base64(request.get("value")),
        to_int(request.get("lease")),
    )
    return {"header": header(store)}


def delete_range(store: Store, request: Json) -> Json:
    """Handle a ``DeleteRangeRequest``."""
    deleted = store.delete(
        from_base64(request.get("key")), from_base64(request.get("range_end"))
    )
    reply: Json = {"header": header(store)}
    if deleted:
        reply["deleted"] = str(deleted)
    return reply


def transact(store: Store, request: Json) -> Json:
    """Handle a ``TxnRequest``; all of its writes share one revision."""
    succeeded = all(
        _comparison_holds(store, item) for item in request.get("compare", [])
    )
    operations = request.get("success" if succeeded else "failure", [])
    writes = [write for write in map(_to_write, operations) if write is not None]
    affected = iter(store.apply(writes) if writes else [])
    responses = [
        _operation_response(store, operation, affected) for operation in operations
    ]
    reply: Json = {"header": header(store)}
    if succeeded:
        reply["succeeded"] = True
    if responses:
        reply["responses"] = responses
    return reply


def _get_field(operation: Json, snake: str, camel: str) -> Json | None:
    return operation.get(snake, operation.get(camel))


def _to_write(operation: Json) -> tuple[str, bytes, bytes, int] | None:
    request = _get_field(operation, "request_put", "requestPut")
    if request is not None:
        return (
            "put",
            from_base64(request.get("key")),
            from_base64(request.get("value")),
            to_int(request.get("lease")),
        )
    request = _get_field(operation, "request_delete_range", "requestDeleteRange")
    if request is not None:
        key, end = (
            from_base64(request.get("key")),
            from_base64(request.get("range_end")),
        )
        return ("delete", key, end, 0)
    return None


def _operation_response(
    store: Store, operation: Json, affected: typing.Iterator[int]
) -> Json:
    request = _get_field(operation, "request_range", "requestRange")
    if request is not None:
        return {"response_range": range_(store, request)}
    if _get_field(operation, "request_put", "requestPut") is not None:
        next(affected)
        return {"response_put": {"header": header(store)}}
    deleted = str(next(affected))
    return {"response_delete_range": {"header": header(store), "deleted": deleted}}


def _comparison_holds(store: Store, compare: Json) -> bool:
    found = store.select(from_base64(compare.get("key")))
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
        return (entry.value if entry else b""), from_base64(compare.get("value"))
    names = {"MOD": "mod_revision", "CREATE": "create_revision", "VERSION": "version"}
    if target not in names:
        raise StoreError(3, f"unknown target {target}")
    name = names[target]
    return (getattr(entry, name) if entry else 0), to_int(compare.get(name))
