"""Stand-in for the platform's key-value service, with fault injection.

It serves etcd v3's published JSON gateway (range, put, deleterange, txn, leases,
watch). Paths under ``/standin/`` set faults and report calls::

    python -m standins.keyvalue --port 0 --port-file build/keyvalue.port
    curl -X POST localhost:PORT/standin/faults -d '{"down": true}'
    curl -X DELETE localhost:PORT/standin/faults
    curl -X POST localhost:PORT/standin/lapse -d '{"ID": "1001"}'
    curl -X POST localhost:PORT/standin/compact -d '{}'
    curl -X POST localhost:PORT/standin/release
    curl localhost:PORT/standin/calls

Its state is kept in memory while it is "down", as the real service keeps its state on
disk. Calls are counted by kind and by the header ``X-Client-Name``.
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

# The largest value in base64, and room for the rest of the request.
MAX_REQUEST_BYTES = 4 * MAX_VALUE_BYTES

# etcd measures leases in whole seconds, so a tenth is precise enough.
LEASE_CHECK_SECONDS = 0.1

# etcd's default is 10 minutes. It is shorter here, so that tests and idle nodes see
# that a watch without changes is alive.
PROGRESS_INTERVAL_SECONDS = 1.0

# The gateway's HTTP status for each gRPC status code.
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
    """The service in one process; it can be started and stopped in any event loop."""

    def __init__(self, token: str = "") -> None:
        self.store = Store()
        self.faults = Faults()
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.calls = CallCounts()
        self.token = token
        self.port = 0
        self.held_writes: list[collections.abc.Callable[[], object]] = []
        self.watchers: set[asyncio.Task[None]] = set()
        # Each kind of call, and whether it writes: some faults apply to writes only.
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
        self.expiry_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback interface, and set ``self.port``."""
        self.runner = web.AppRunner(
            self.application(), shutdown_timeout=0.1, access_log=None
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", port)
        await site.start()
        self.port = self.runner.addresses[0][1]
        self.expiry_task = asyncio.create_task(self.expire_leases())

    async def stop(self) -> None:
        """Close all connections; the object keeps its state."""
        self.set_faults(msgspec.structs.asdict(Faults()))
        self.cut_watches()
        if self.expiry_task is not None:
            self.expiry_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.expiry_task
        if self.runner is not None:
            await self.runner.cleanup()

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return f"http://127.0.0.1:{self.port}"

    def application(self) -> web.Application:
        """Return the application with the gateway's routes and those for faults."""
        application = web.Application(client_max_size=MAX_REQUEST_BYTES)
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
        """Cut every open watch, as a broken connection would."""
        for task in list(self.watchers):
            task.cancel()

    def set_faults(self, changes: wire.Json) -> None:
        """Change the given faults, and leave the others unchanged."""
        merged = msgspec.structs.asdict(self.faults) | changes
        self.faults = msgspec.convert(merged, Faults)
        if self.faults.frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()
        if self.faults.down:
            self.cut_watches()

    def release(self) -> int:
        """Apply the writes that were held back, in their order; return how many."""
        held_writes, self.held_writes = self.held_writes, []
        for apply in held_writes:
            with contextlib.suppress(StoreError):
                apply()
        return len(held_writes)

    async def execute(self, kind: str, body: wire.Json, client: str) -> wire.Json:
        """Execute one call under the current faults.

        :raises StoreError: if the call is refused.
        :raises LostRequestError: if the request is dropped before it is applied.
        :raises LostReplyError: if it is applied and the reply is dropped.
        """
        self.count(kind, client)
        operation, writes = self.operations[kind]
        await self._delay()
        if self.faults.down:
            raise LostRequestError
        return self._apply_operation(operation, body, writes)

    def count(self, kind: str, client: str) -> None:
        """Count a call, also while the service is down.

        :raises LostRequestError: if the service is down.
        """
        self.calls.add(client, kind, asyncio.get_running_loop().time())
        if self.faults.down:
            raise LostRequestError

    def _handler(
        self, kind: str
    ) -> collections.abc.Callable[[web.Request], typing.Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            self._check_token(request)
            client = request.headers.get("X-Client-Name", "")
            try:
                reply = await self.execute(kind, await request.json(), client)
            except StoreError as error:
                return _error_response(error)
            except (LostReplyError, LostRequestError):
                return _abort_connection(request)
            return web.json_response(reply)

        return handle

    async def _delay(self) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        await self.unfrozen.wait()

    def _apply_operation(
        self, operation: Operation, body: wire.Json, writes: bool
    ) -> wire.Json:
        if writes and self.faults.consume("lose_request"):
            raise LostRequestError
        if writes and self.faults.consume("hold"):
            self.held_writes.append(lambda: operation(self.store, body))
            raise LostRequestError
        reply = operation(self.store, body)
        if writes and self.faults.consume("lose_reply"):
            raise LostReplyError
        return reply

    def _check_token(self, request: web.Request) -> None:
        if self.token and request.headers.get("Authorization") != self.token:
            body = {"code": 16, "message": "etcdserver: invalid auth token"}
            raise web.HTTPUnauthorized(text=msgspec.json.encode(body).decode())

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self._check_token(request)
        try:
            self.count("watch", request.headers.get("X-Client-Name", ""))
        except LostRequestError:
            return _abort_connection(request)
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
            _abort_connection(request)
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
            await self._send_changes(send, create)
        finally:
            self.watchers.discard(task)
            self.calls.waiting -= 1

    async def _send_changes(self, send: Send, create: wire.Json) -> None:
        key = wire.from_base64(create.get("key"))
        range_end = wire.from_base64(create.get("range_end"))
        next_revision = wire.to_int(create.get("start_revision"))
        next_revision = next_revision or self.store.revision + 1
        changed = asyncio.Event()
        self.store.listeners.add(changed.set)
        try:
            await self._send(send, {"created": True})
            while True:
                changed.clear()
                await self._delay()
                try:
                    changes = self.store.changes_since(next_revision)
                except StoreError:
                    await self._send(send, self._compacted())
                    return
                events = [
                    wire.change_to_json(change)
                    for change in changes
                    if in_range(change.key, key, range_end)
                ]
                next_revision = max(next_revision, self.store.revision + 1)
                await self._send(send, {"events": events} if events else {})
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), PROGRESS_INTERVAL_SECONDS)
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
        lease = store.grant(wire.to_int(ttl), wire.to_int(identifier), now)
        return {
            "header": wire.header(store),
            "ID": str(lease.identifier),
            "TTL": str(lease.ttl),
        }

    def _renew(self, store: Store, request: wire.Json) -> wire.Json:
        identifier = wire.to_int(request.get("ID"))
        ttl = store.keep_alive(identifier, asyncio.get_running_loop().time())
        result = {"header": wire.header(store), "ID": str(identifier)}
        return {"result": result | ({"TTL": str(ttl)} if ttl else {})}

    def _revoke(self, store: Store, request: wire.Json) -> wire.Json:
        store.revoke(wire.to_int(request.get("ID")))
        return {"header": wire.header(store)}

    async def expire_leases(self) -> None:
        """End expired leases until this task is cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            # No lease ends while the service is down or frozen. etcd also extends
            # leases when it recovers under a new leader.
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
            self.store.revoke(wire.to_int((await request.json()).get("ID")))
        except StoreError as error:
            return _error_response(error)
        return web.json_response({})

    async def _compact(self, request: web.Request) -> web.Response:
        self.store.compact(wire.to_int((await request.json()).get("revision")))
        return web.json_response({"compact_revision": str(self.store.compacted)})

    async def _release(self, request: web.Request) -> web.Response:
        return web.json_response({"released": self.release()})

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls.report())

    async def _clear_calls(self, request: web.Request) -> web.Response:
        self.calls.clear()
        return web.json_response({})


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _error_response(error: StoreError) -> web.Response:
    body = {"code": error.code, "message": error.message, "error": error.message}
    return web.json_response(body, status=HTTP_STATUSES.get(error.code, 500))


async def serve(port: int, port_file: str, token: str) -> None:
    """Serve until the process ends."""
    service = KeyValueService(token)
    await service.start(port)
    click.echo(f"key-value stand-in listens on {service.url}")
    if port_file:
        # Renamed into place, so that a reader never sees a partial number.
        partial = pathlib.Path(f"{port_file}.partial")
        partial.write_text(f"{service.port}\n", encoding="utf-8")  # noqa: ASYNC240
        os.replace(partial, port_file)
    try:
        await asyncio.Event().wait()
    finally:
        await service.stop()


@click.command()
@click.option("--port", default=0, show_default=True, help="0 for a free port.")
@click.option("--port-file", default="", help="Write the port to this file.")
@click.option("--token", default="", help="Token that calls must carry.")
def main(port: int, port_file: str, token: str) -> None:
    """Run the key-value stand-in on the loopback interface."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(port, port_file, token))


if __name__ == "__main__":
    main()
