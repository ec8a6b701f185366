"""Stand-in for the platform's metadata store, as one process.

It implements the calls that the platform's pages describe, and keeps all data in
memory. These paths control it:

- ``POST /fault`` sets a fault. ``mode`` is "" (none), "silent", "busy", "reset",
  "slow" or "lost" (calls are executed and not answered); ``except`` lists client
  addresses that are served nevertheless.
- ``POST /compact`` discards the history.
- ``POST /revoke`` removes a key while its lease goes on.
- ``POST /put`` writes a key as the operator does.
- ``GET /counts`` returns the number of calls by name, ``GET /keys`` the revision at
  which each key was created.
"""

import asyncio
import base64
import time

import click
from aiohttp import web

MAX_PAGE_ITEMS = 500
SLOW_SECONDS = 0.24
CONFLICT = 412


class Store:
    """Keys, leases and history, and the current fault."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.compacted = 0
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.fault_mode = ""
        self.exempt_addresses: set[str] = set()
        self.counts: dict[str, int] = {}

    async def write(self, puts: list[dict], removed: list[str]) -> None:
        """Apply a change at one new revision, and notify the watches."""
        self.revision += 1
        for put in puts:
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in removed:
            self.remove(key)
        async with self.changed:
            self.changed.notify_all()

    def put(self, key: str, value: str, lease: int) -> None:
        """Write one key at the current revision."""
        before = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def remove(self, key: str) -> None:
        """Remove one key at the current revision."""
        if self.items.pop(key, None) is not None:
            removal = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append(removal)

    async def expire(self) -> None:
        """End expired leases, without end."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, expires_at) in list(self.leases.items()):
                if expires_at <= now:
                    await self.end_lease(lease)

    async def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether the lease existed."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.write([], keys)
        return True

    def events(self, prefix: str, after: int) -> list[dict]:
        """Return the changes of keys with a prefix after a revision."""
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


def json_response(body: dict, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.json_response(body, status=status)


class Handlers:
    """Handlers of the calls that the platform's pages describe."""

    def __init__(self, store: Store) -> None:
        self.store = store

    async def read_key(self, request: web.Request) -> web.Response:
        """Read one key."""
        item = self.store.items.get(request.query["key"])
        if item is None:
            return json_response({"as_of": self.store.revision}, 404)
        return json_response(item | {"as_of": self.store.revision})

    async def read_range(self, request: web.Request) -> web.Response:
        """Read a page of the keys with a prefix."""
        prefix, after = request.query["path_prefix"], request.query.get("after", "")
        found = sorted(
            key for key in self.store.items if key.startswith(prefix) and key > after
        )
        items = [self.store.items[key] for key in found[:MAX_PAGE_ITEMS]]
        more = len(found) > MAX_PAGE_ITEMS
        body = {"items": items, "has_more": more, "as_of": self.store.revision}
        return json_response(body)

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for changes of keys with a prefix."""
        store = self.store
        prefix, after = request.query["path_prefix"], int(request.query["after"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if after < store.compacted:
                return json_response({}, 410)
            events = store.events(prefix, after)
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return json_response({"events": events, "as_of": store.revision})
            try:
                async with asyncio.timeout(remaining), store.changed:
                    await store.changed.wait()
            except TimeoutError:
                continue

    async def apply_transaction(self, request: web.Request) -> web.Response:
        """Change keys if all keys have their expected revisions."""
        body = await request.json()
        store = self.store
        for put in body["puts"]:
            if put["key"].startswith(("op/", "servers/")):
                return json_response({}, 403)
            if put.get("lease") and put["lease"] not in store.leases:
                return json_response({}, 404)
        current = []
        matches = True
        for row in body["expected_revision"]:
            item = store.items.get(row["key"])
            matches = matches and (item["revision"] if item else 0) == row["revision"]
            current.extend([item] if item else [])
        if not matches:
            return json_response({"items": current, "as_of": store.revision}, CONFLICT)
        await store.write(body["puts"], body["remove"])
        return json_response({"revision": store.revision})

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        ttl = (await request.json())["ttl_ms"]
        lease = self.store.next_lease
        self.store.next_lease += 1
        self.store.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
        return json_response({"lease": lease, "ttl_ms": ttl})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        lease = int(request.match_info["lease"])
        granted = self.store.leases.get(lease)
        if granted is None:
            return json_response({}, 404)
        self.store.leases[lease] = (granted[0], time.monotonic() + granted[0])
        return json_response({"ttl_ms": int(granted[0] * 1000)})

    async def revoke_lease(self, request: web.Request) -> web.Response:
        """End a lease."""
        ended = await self.store.end_lease(int(request.match_info["lease"]))
        return json_response({}, 200 if ended else 404)


def make_application(store: Store) -> web.Application:
    """Return the application with all routes."""
    handlers = Handlers(store)
    application = web.Application(middlewares=[_fault_middleware(store)])
    application.add_routes(
        [
            web.get("/v1/kv-key", handlers.read_key),
            web.get("/v1/kv-range", handlers.read_range),
            web.get("/v1/kv-watch", handlers.watch),
            web.post("/v1/kv-txn", handlers.apply_transaction),
            web.post("/v1/kv-lease", handlers.grant_lease),
            web.post("/v1/kv-keep/{lease}", handlers.renew_lease),
            web.delete("/v1/kv-lease-end/{lease}", handlers.revoke_lease),
            *_control_routes(store),
        ]
    )

    async def expiry(_: web.Application):
        task = asyncio.create_task(store.expire())
        yield
        task.cancel()

    application.cleanup_ctx.append(expiry)
    return application


def _fault_middleware(store: Store):
    @web.middleware
    async def middleware(request: web.Request, handler) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        name = request.path.split("/")[2]
        store.counts[name] = store.counts.get(name, 0) + 1
        if not store.fault_mode or request.remote in store.exempt_addresses:
            return await handler(request)
        if store.fault_mode == "busy":
            return json_response({}, 503)
        if store.fault_mode == "slow":
            await asyncio.sleep(SLOW_SECONDS)
            return await handler(request)
        if store.fault_mode == "lost":
            await handler(request)
        if store.fault_mode == "silent":
            await asyncio.sleep(3600)
        request.transport.abort()
        return json_response({}, 503)

    return middleware


def _control_routes(store: Store) -> list[web.RouteDef]:
    async def fault(request: web.Request) -> web.Response:
        body = await request.json()
        store.fault_mode = body["mode"]
        store.exempt_addresses = set(body.get("except", []))
        return json_response({})

    async def compact(_: web.Request) -> web.Response:
        store.compacted = store.revision
        store.history.clear()
        return json_response({})

    async def revoke(request: web.Request) -> web.Response:
        await store.write([], [(await request.json())["key"]])
        return json_response({})

    async def put(request: web.Request) -> web.Response:
        body = await request.json()
        value = base64.b64encode(body["value"].encode()).decode()
        await store.write([{"key": body["key"], "value": value}], [])
        return json_response({"revision": store.revision})

    async def counts(_: web.Request) -> web.Response:
        return json_response(store.counts)

    async def keys(_: web.Request) -> web.Response:
        created = {key: item["created"] for key, item in store.items.items()}
        return json_response({"keys": created})

    return [
        web.post("/fault", fault),
        web.post("/compact", compact),
        web.post("/revoke", revoke),
        web.post("/put", put),
        web.get("/counts", counts),
        web.get("/keys", keys),
    ]


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
def main(host: str, port: int) -> None:
    """Run the stand-in for the metadata store until it is killed."""
    web.run_app(make_application(Store()), host=host, port=port, print=None)


if __name__ == "__main__":
    main()
