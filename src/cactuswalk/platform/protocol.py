"""Typed requests and replies of etcd v3's JSON gateway.

By the gateway's published mapping of protobuf, bytes are base64, 64-bit integers
are strings, and a reply leaves out fields that have their default value.
"""

import typing

import msgspec

from cactuswalk.platform.errors import CallFailedError

__all__ = [
    "GRANT_PATH",
    "KEEP_ALIVE_PATH",
    "MAX_VALUE_BYTES",
    "RANGE_PATH",
    "TRANSACTION_PATH",
    "WATCH_PATH",
    "ErrorReply",
    "KeepAliveReply",
    "KeyValue",
    "LeaseReply",
    "RangeReply",
    "Reply",
    "TransactionReply",
    "WatchEvent",
    "WatchReply",
    "WatchResult",
    "decode",
    "encode_grant_request",
    "encode_keep_alive_request",
    "prefix_end",
    "encode_range_request",
    "encode_swap_request",
    "encode_watch_request",
]

Kind = typing.TypeVar("Kind")

# By the specification the platform's service stores values up to a megabyte.
MAX_VALUE_BYTES = 1 << 20

RANGE_PATH = "/v3/kv/range"
TRANSACTION_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEP_ALIVE_PATH = "/v3/lease/keepalive"
WATCH_PATH = "/v3/watch"


class Header(msgspec.Struct):
    """The part of every reply that holds the store's revision."""

    revision: int = 0


class KeyValue(msgspec.Struct):
    """A key and its value, at present or after a past change."""

    key: bytes
    value: bytes = b""
    mod_revision: int = 0


class Reply(msgspec.Struct):
    """Base of the replies with a header."""

    header: Header = msgspec.field(default_factory=Header)


class RangeReply(Reply):
    """The keys of a range."""

    kvs: list[KeyValue] = []


class TransactionPart(msgspec.Struct):
    """The reply to one operation of a transaction."""

    response_range: RangeReply | None = None


class TransactionReply(Reply):
    """Whether a transaction's comparison held, and the replies to its operations."""

    succeeded: bool = False
    responses: list[TransactionPart] = []

    @property
    def current(self) -> KeyValue | None:
        """Return the key that the failed comparison found, None for no key."""
        for part in self.responses:
            if part.response_range is not None and part.response_range.kvs:
                return part.response_range.kvs[0]
        return None


class LeaseReply(Reply):
    """A granted or renewed lease; a time to live of 0 means that it has ended."""

    identifier: int = msgspec.field(name="ID", default=0)
    ttl: int = msgspec.field(name="TTL", default=0)


class KeepAliveReply(msgspec.Struct):
    """The first message of the stream that replies to a renewal."""

    result: LeaseReply

    @property
    def header(self) -> Header:
        """Return the header, which this reply nests in its result."""
        return self.result.header


class WatchEvent(msgspec.Struct):
    """One change of one key."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(Reply):
    """One message of a watch; without events it reports progress only."""

    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[WatchEvent] = []


class WatchReply(msgspec.Struct):
    """The envelope of a watch message; without ``result`` it is an error."""

    result: WatchResult | None = None


class ErrorReply(msgspec.Struct):
    """An error: gRPC status code and message."""

    code: int = 0
    message: str = ""


def decode(data: bytes, kind: type[Kind]) -> Kind:
    """Decode a reply.

    :raises CallFailedError: if it is truncated or malformed. The call may have
        taken effect, so this does not count as a refusal.
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except msgspec.MsgspecError as error:
        text = f"the key-value service sent a malformed {kind.__name__}: {error}"
        raise CallFailedError(text, sent=True) from error


def prefix_end(prefix: bytes) -> bytes:
    """Return the exclusive end of the range of keys that begin with a prefix."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"


def encode_range_request(key: bytes, range_end: bytes = b"") -> bytes:
    """Encode a read of a key or of a range of keys."""
    return _encode({"key": key, "range_end": range_end})


def encode_swap_request(key: bytes, expected: int, value: bytes) -> bytes:
    """Encode a write of a key at an expected revision, which else reads the key.

    :param expected: of the key's last change, 0 for a key that doesn't exist.
    """
    compare = {
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expected),
    }
    return _encode(
        {
            "compare": [compare],
            "success": [{"request_put": {"key": key, "value": value}}],
            "failure": [{"request_range": {"key": key}}],
        }
    )


def encode_grant_request(identifier: int, ttl_seconds: int) -> bytes:
    """Encode a request for a lease with a given identifier."""
    return _encode({"ID": str(identifier), "TTL": str(ttl_seconds)})


def encode_keep_alive_request(identifier: int) -> bytes:
    """Encode the renewal of a lease."""
    return _encode({"ID": str(identifier)})


def encode_watch_request(key: bytes, range_end: bytes, start_revision: int) -> bytes:
    """Encode a watch for the changes at a revision and later."""
    create = {
        "key": key,
        "range_end": range_end,
        "start_revision": str(start_revision),
        "progress_notify": True,
    }
    return _encode({"create_request": create})


def _encode(request: dict[str, object]) -> bytes:
    return msgspec.json.encode(request)
