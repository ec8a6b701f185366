"""Client for the platform's metadata store; it doesn't retry."""

import asyncio
import base64

import aiohttp
import msgspec

from cactuswalk.platform.errors import (
    CallFailedError,
    CallRefusedError,
    HistoryCompactedError,
    LeaseLapsedError,
)

__all__ = ["Item", "ItemChange", "MetadataStore", "Watched"]

MAX_CONNECTIONS = 4

# A response takes 4 ms; the timeout tolerates a store that is 60 times slower.
CALL_TIMEOUT_SECONDS = 1.0
# Added to the wait of a watch, since its response has to travel too.
WATCH_SLACK_SECONDS = 1.0


class Item(msgspec.Struct):
    """A key and its value; ``revision`` is that of its last change."""

    key: str
    value: bytes
    revision: int


class ItemChange(msgspec.Struct):
    """A change of a key; ``value`` is None for a removed key."""

    key: str
    value: bytes | None
    revision: int


class Watched(msgspec.Struct):
    """The result of a watch: all changes up to ``revision``."""

    revision: int
    changes: list[ItemChange]


class EventBody(msgspec.Struct):
    """An item or a change on the wire; ``value`` is base64."""

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class ReplyBody(msgspec.Struct):
    """The fields of all the store's responses.

    ``as_of`` is the revision of the store, ``revision`` that of a key's last change.
    """

    as_of: int = 0
    revision: int = 0
    lease: int = 0
    ttl_ms: int = 0
    key: str = ""
    value: str = ""
    has_more: bool = False
    items: list[EventBody] = []
    events: list[EventBody] = []


_decoder = msgspec.json.Decoder(ReplyBody)


class MetadataStore:
    """Client with the connections of one process to the store.

    Each method raises ``CallFailedError`` if it got no usable response (the call may
    have taken effect) and ``CallRefusedError`` if the store refused the call.

    :param address: ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.session: aiohttp.ClientSession | None = None

    async def read(self, key: str) -> tuple[int, Item | None]:
        """Return the store's revision, and the key's item or None."""
        status, reply = await self._call("GET", "/v1/kv-key", {"key": key})
        if status == 404:
            return reply.as_of, None
        return reply.as_of, Item(key, _decode_value(reply.value), reply.revision)

    async def list(
        self, prefix: str, allow_stale: bool = False
    ) -> tuple[int, list[Item]]:
        """Return the store's revision, and all items whose key has a prefix.

        :param allow_stale: accept data that may be seconds old, at a tenth of the
            call's cost.
        """
        items: list[Item] = []
        query = {"path_prefix": prefix}
        if allow_stale:
            query["serializable"] = "1"
        revision = 0
        while True:
            _, reply = await self._call("GET", "/v1/kv-range", query)
            # The pages are no consistent snapshot. A watch from the revision of the
            # first page delivers the changes made between them.
            revision = revision or reply.as_of
            items.extend(
                Item(item.key, _decode_value(item.value), item.revision)
                for item in reply.items
            )
            if not reply.has_more or not reply.items:
                return revision, items
            query["after"] = reply.items[-1].key

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> Watched:
        """Wait for changes after a revision; return none when the wait is over.

        :raises HistoryCompactedError: if the store has compacted some of them.
        """
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_seconds * 1000)),
        }
        timeout_seconds = wait_seconds + WATCH_SLACK_SECONDS
        status, reply = await self._call(
            "GET", "/v1/kv-watch", query, timeout_seconds=timeout_seconds
        )
        if status == 410:
            raise HistoryCompactedError(
                f"the changes of {prefix!r} after revision {after} were compacted",
                "Read the keys again.",
            )
        changes = [
            ItemChange(
                event.key,
                None if event.deleted else _decode_value(event.value),
                event.revision,
            )
            for event in reply.events
        ]
        return Watched(max(reply.as_of, after), changes)

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key unconditionally, under a lease.

        :raises LeaseLapsedError: if the lease has ended.
        """
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expected_revision": [], "puts": [put], "remove": []}
        status, _ = await self._call("POST", "/v1/kv-txn", body=body)
        if status == 404:
            raise _lapsed_error(lease)

    async def grant(self, seconds: float) -> int:
        """Grant a lease and return its identifier."""
        body = {"ttl_ms": int(seconds * 1000)}
        _, reply = await self._call("POST", "/v1/kv-lease", body=body)
        return reply.lease

    async def renew(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseLapsedError: if it has ended.
        """
        status, _ = await self._call("POST", f"/v1/kv-keep/{lease}")
        if status == 404:
            raise _lapsed_error(lease)

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}")

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: dict | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> tuple[int, ReplyBody]:
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
            self.session = aiohttp.ClientSession(connector=connector)
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data else None
        url = f"http://{self.address}{path}"
        try:
            async with asyncio.timeout(timeout_seconds):
                async with self.session.request(
                    method, url, params=query, data=data, headers=headers
                ) as response:
                    text = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            sent = not isinstance(error, aiohttp.ClientConnectorError)
            timed_out = isinstance(error, TimeoutError)
            raise CallFailedError(f"{path} failed: {error!r}", sent, timed_out) from (
                error
            )
        return response.status, _decode_reply(path, response.status, text)


# Statuses with a meaning for the caller: 404 and 410 are about the key, the lease or
# the history that was asked for, 412 is a failed comparison.
EXPECTED_STATUSES = frozenset({200, 404, 410, 412})


def _decode_reply(path: str, status: int, text: bytes) -> ReplyBody:
    if status not in EXPECTED_STATUSES:
        # With 429 and 503 the call was certainly not executed; others are unexpected.
        raise CallRefusedError(f"{path} returned HTTP status {status}", status, 0)
    try:
        return _decoder.decode(text) if text else ReplyBody()
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CallFailedError(
            f"{path}: the response can't be decoded", sent=True
        ) from error


def _decode_value(value: str) -> bytes:
    """Return a key's value; nothing if its writer hasn't encoded it."""
    try:
        return base64.b64decode(value)
    except ValueError:
        return b""


def _lapsed_error(lease: int) -> LeaseLapsedError:
    return LeaseLapsedError(f"lease {lease} has ended", "Grant a new lease.")
