"""A stand-in for the platform's key-value service, with switches for faults.

It speaks the JSON gateway of etcd v3 as published (range, put, deleterange, txn,
leases, watch) and, under ``/standin/``, takes faults and reports calls::

    python -m standins.keyvalue --port 0 --port-file build/keyvalue.port
    curl -X POST localhost:PORT/standin/faults -d '{"down": true}'
    curl -X DELETE localhost:PORT/standin/faults
    curl -X POST localhost:PORT/standin/lapse -d '{"ID": "1001"}'
    curl -X POST localhost:PORT/standin/compact -d '{}'
    curl -X POST localhost:PORT/standin/release
    curl localhost:PORT/standin/calls

Its state stays in memory while it is "down", as the real service's stays on
its disks. Calls are counted by kind and by the header ``X-Client-Name``.
"""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import typing

import click
import msgspec
from aiohttp import web

from standins import keyvalue_wire as wire
from standins.keyvalue_faults import (
    CallCounts,
    Faults,
    LostReplyError,
    LostRequestError,
)
from standins.keyvalue_store import MAX_VALUE_BYTES, Store, StoreError, in_range

__all__ = ["KeyValueService", "main"]

# A whole value in base64, and room for the request around it.
MAXIMUM_REQUEST_BYTES = 4 * MAX_VALUE_BYTES

# etcd counts leases in whole seconds; a tenth of one is fine enough to end them.
LEASE_POLL_SECONDS = 0.1

# etcd's own default is 10 minutes; shorter, so that tests and idle nodes see
# that a silent watch is alive.
PROGRESS_SECONDS = 1.0

# gRPC codes and the HTTP statuses that the gateway gives them.
HTTP_STATUSES = {3: 400, 5: 404, 9: 400, 11: 400, 12: 501, 16: 401}

PATHS = {
    "range": "/v3/kv/range",
    "put": "/v3/kv/put",
    "delete": "/v3/kv/deleterange",
    "txn": "/v3/kv/txn",
    "grant": "/v3/lease/grant",
    "keepalive": "/v3/lease/keepalive",
    "revoke": "/v3/lease/revoke",
}

Operation = collections.abc.Callable[[Store, wire.Json], wire.Json]
Send = collections.abc.Callable[[bytes], typing.Awaitable[None]]


class KeyValueService:
    """The service in one process; ``start`` and ``stop`` it in any loop."""

    def __init__(self, token: str = "") -> None:
        self.store = Store()
        self.faults = Faults()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.calls = CallCounts()
        self.token = token
        self.port = 0
        self.held: list[collections.abc.Callable[[], object]] = []
        self.watchers: set[asyncio.Task[None]] = set()
        # Each kind of call with whether it writes, which some faults ask.
        self.operations: dict[str, tuple[Operation, bool]] = {
            "range": (wire.range_, False),
            "put": (wire.put, True),
            "delete": (wire.delete_range, True),
            "txn": (wire.transact, True),
            "grant": (self._grant, True),
            "keepalive": (self._renew, False),
            "revoke": (self._revoke, True),
        }
        self.runner: web.AppRunner | None = None
        self.expiry: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback; ``self.port`` is the port afterwards."""
        self.runner = web.AppRunner(
            self.application(), shutdown_timeout=0.1, access_log=None
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", port)
        await site.start()
        self.port = self.runner.addresses[0][1]
        self.expiry = asyncio.create_task(self.expire_leases())

    async def stop(self) -> None:
        """Close all connections; the state stays in this object."""
        self.set_faults(msgspec.structs.asdict(Faults()))
        self.cut_watches()
        if self.expiry is not None:
            self.expiry.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.expiry
        if self.runner is not None:
            await self.runner.cleanup()

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return f"http://127.0.0.1:{self.port}"

    def application(self) -> web.Application:
        """Return the routes of the gateway and of the stand-in's own switches."""
        application = web.Application(client_max_size=MAXIMUM_REQUEST_BYTES)
        post = application.router.add_post
        for kind, path in PATHS.items():
            post(path, self._handler(kind))
        post("/v3/watch", self._watch)
        post("/standin/faults", self._set_faults)
        application.router.add_get("/standin/faults", self._get_faults)
        application.router.add_delete("/standin/faults", self._clear_faults)
        post("/standin/lapse", self._lapse)
        post("/standin/compact", self._compact)
        post("/standin/release", self._release)
        application.router.add_get("/standin/calls", self._get_calls)
        application.router.add_delete("/standin/calls", self._clear_calls)
        return application

    def cut_watches(self) -> None:
        """Close every waiting watch, as a broken connection would."""
        for task in list(self.watchers):
            task.cancel()

    def set_faults(self, changes: wire.Json) -> None:
        """Change some switches; the others stay."""
        merged = msgspec.structs.asdict(self.faults) | changes
        self.faults = msgspec.convert(merged, Faults)
        if self.faults.frozen:
            self.thawed.clear()
        else:
            self.thawed.set()
        if self.faults.down:
            self.cut_watches()

    def release(self) -> int:
        """Apply the writes that were held back, in the order they came."""
        held, self.held = self.held, []
        for apply in held:
            with contextlib.suppress(StoreError):
                apply()
        return len(held)

    async def answer(self, kind: str, body: wire.Json, client: str) -> wire.Json:
        """Carry out one call, with the faults that are switched on.

        :raises StoreError: if the call is refused.
        :raises LostRequestError: if it goes missing before it is applied.
        :raises LostReplyError: if it is applied and the reply goes missing.
        """
        self.count(kind, client)
        operation, writes = self.operations[kind]
        await self._delay()
        if self.faults.down:
            raise LostRequestError
        return self._operate(operation, body, writes)

    def count(self, kind: str, client: str) -> None:
        """Count a call; while the service is down it goes no further.

        :raises LostRequestError: if the service is down.
        """
        self.calls.add(client, kind, asyncio.get_running_loop().time())
        if self.faults.down:
            raise LostRequestError

    def _handler(
        self, kind: str
    ) -> collections.abc.Callable[[web.Request], typing.Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            self._authorise(request)
            client = request.headers.get("X-Client-Name", "")
            try:
                reply = await self.answer(kind, await request.json(), client)
            except StoreError as error:
                return _error(error)
            except (LostReplyError, LostRequestError):
                return _close(request)
            return web.json_response(reply)

        return handle

    async def _delay(self) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        await self.thawed.wait()

    def _operate(
        self, operation: Operation, body: wire.Json, writes: bool
    ) -> wire.Json:
        if writes and self.faults.take("lose_request"):
            raise LostRequestError
        if writes and self.faults.take("hold"):
            self.held.append(lambda: operation(self.store, body))
            raise LostRequestError
        reply = operation(self.store, body)
        if writes and self.faults.take("lose_reply"):
            raise LostReplyError
        return reply

    def _authorise(self, request: web.Request) -> None:
        if self.token and request.headers.get("Authorization") != self.token:
            body = {"code": 16, "message": "etcdserver: invalid auth token"}
            raise web.HTTPUnauthorized(text=msgspec.json.encode(body).decode())

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self._authorise(request)
        try:
            self.count("watch", request.headers.get("X-Client-Name", ""))
        except LostRequestError:
            return _close(request)
        create = (await request.json())["create_request"]
        await self._delay()
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)

        async def send(message: bytes) -> None:
            await response.write(message)

        task = asyncio.create_task(self.stream(send, create))
        try:
            await task
        except asyncio.CancelledError:
            _close(request)
        except ConnectionError:
            pass
        finally:
            task.cancel()
        return response

    async def stream(self, send: Send, create: wire.Json) -> None:
        """Send the messages of one watch until its task is cancelled."""
        task = asyncio.current_task()
        self.watchers.add(task)
        self.calls.waiting += 1
        try:
            await self._follow(send, create)
        finally:
            self.watchers.discard(task)
            self.calls.waiting -= 1

    async def _follow(self, send: Send, create: wire.Json) -> None:
        key = wire.to_bytes(create.get("key"))
        range_end = wire.to_bytes(create.get("range_end"))
        following = wire.integer(create.get("start_revision"))
        following = following or self.store.revision + 1
        changed = asyncio.Event()
        self.store.listeners.add(changed.set)
        try:
            await self._send(send, {"created": True})
            while True:
                changed.clear()
                await self._delay()
                try:
                    changes = self.store.changes_since(following)
                except StoreError:
                    await self._send(send, self._compacted())
                    return
                events = [
                    wire.change_to_json(change)
                    for change in changes
                    if in_range(change.key, key, range_end)
                ]
                following = max(following, self.store.revision + 1)
                await self._send(send, {"events": events} if events else {})
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), PROGRESS_SECONDS)
        finally:
            self.store.listeners.discard(changed.set)

    def _compacted(self) -> wire.Json:
        return {"canceled": True, "compact_revision": str(self.store.compacted)}

    async def _send(self, send: Send, result: wire.Json) -> None:
        message = {"result": {"header": wire.header(self.store)} | result}
        await send(msgspec.json.encode(message) + b"\n")

    def _grant(self, store: Store, request: wire.Json) -> wire.Json:
        now = asyncio.get_running_loop().time()
        ttl, identifier = request.get("TTL"), request.get("ID")
        lease = store.grant(wire.integer(ttl), wire.integer(identifier), now)
        return {
            "header": wire.header(store),
            "ID": str(lease.identifier),
            "TTL": str(lease.ttl),
        }

    def _renew(self, store: Store, request: wire.Json) -> wire.Json:
        identifier = wire.integer(request.get("ID"))
        ttl = store.keep_alive(identifier, asyncio.get_running_loop().time())
        result = {"header": wire.header(store), "ID": str(identifier)}
        return {"result": result | ({"TTL": str(ttl)} if ttl else {})}

    def _revoke(self, store: Store, request: wire.Json) -> wire.Json:
        store.revoke(wire.integer(request.get("ID")))
        return {"header": wire.header(store)}

    async def expire_leases(self) -> None:
        """End leases as they run out, until this task is cancelled."""
        while True:
            await asyncio.sleep(LEASE_POLL_SECONDS)
            # A frozen or absent service ends no lease; etcd too extends leases
            # when it comes back under a new leader.
            if not self.faults.down and not self.faults.frozen:
                self.store.expire(asyncio.get_running_loop().time())

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.set_faults(await request.json())
        return await self._get_faults(request)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return web.json_response(msgspec.structs.asdict(self.faults))

    async def _clear_faults(self, request: web.Request) -> web.Response:
        self.set_faults(msgspec.structs.asdict(Faults()))
        return await self._get_faults(request)

    async def _lapse(self, request: web.Request) -> web.Response:
        try:
            self.store.revoke(wire.integer((await request.json()).get("ID")))
        except StoreError as error:
            return _error(error)
        return web.json_response({})

    async def _compact(self, request: web.Request) -> web.Response:
        self.store.compact(wire.integer((await request.json()).get("revision")))
        return web.json_response({"compact_revision": str(self.store.compacted)})

    async def _release(self, request: web.Request) -> web.Response:
        return web.json_response({"released": self.release()})

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls.report())

    async def _clear_calls(self, request: web.Request) -> web.Response:
        self.calls.clear()
        return web.json_response({})


def _close(request: web.Request) -> web.Response:
    """Cut the connection; the response is never seen."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _error(error: StoreError) -> web.Response:
    body = {"code": error.code, "message": error.message, "error": error.message}
    return web.json_response(body, status=HTTP_STATUSES.get(error.code, 500))


async def serve(port: int, port_file: str, token: str) -> None:
    """Serve until the process is ended."""
    service = KeyValueService(token)
    await service.start(port)
    click.echo(f"key-value stand-in listens on {service.url}")
    if port_file:
        # Renamed into place, so that a reader never sees half a number.
        partial = pathlib.Path(f"{port_file}.partial")
        partial.write_text(f"{service.port}\n", encoding="utf-8")  # noqa: ASYNC240
        os.replace(partial, port_file)
    try:
        await asyncio.Event().wait()
    finally:
        await service.stop()


@click.command()
@click.option("--port", default=0, show_default=True, help="0 takes a free one.")
@click.option("--port-file", default="", help="Write the port to this file.")
@click.option("--token", default="", help="Refuse calls without this token.")
def main(port: int, port_file: str, token: str) -> None:
    """Run the key-value stand-in on the loopback."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(port, port_file, token))


if __name__ == "__main__":
    main()
