"""A stand-in of the platform's metadata store, as one process.

It speaks what the platform's pages say of the store, from memory. Faults are
switched with ``POST /fault``: ``mode`` is "" (well), "silent", "busy", "reset",
"slow" or "lost" (writes are done and not answered), ``except`` a list of calling
addresses that are served all the same. ``POST /compact`` drops the history,
``POST /revoke`` removes a key without its lease, ``POST /put`` writes as the
operator does, and ``GET /counts`` tells how often each call was made.
"""

import asyncio
import base64
import time

import click
from aiohttp import web

PAGE_ITEMS = 500
SLOW_SECONDS = 0.24
CONFLICT = 412


class Store:
    """Keys, leases, history, and the faults in force."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.compacted = 0
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.mode = ""
        self.served: set[str] = set()
        self.counts: dict[str, int] = {}

    async def write(self, puts: list[dict], removed: list[str]) -> None:
        """Apply a change at one new revision, and wake the watches."""
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
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append(gone)

    async def expire(self) -> None:
        """End the leases whose time has passed, for ever."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if until <= now:
                    await self.end_lease(lease)

    async def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.write([], keys)
        return True

    def events(self, prefix: str, after: int) -> list[dict]:
        """Return the changes under a prefix since a revision."""
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


def reply(body: dict, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.json_response(body, status=status)


class Calls:
    """The handlers of the calls that the platform's pages name."""

    def __init__(self, store: Store) -> None:
        self.store = store

    async def key(self, request: web.Request) -> web.Response:
        """Read one key."""
        item = self.store.items.get(request.query["key"])
        if item is None:
            return reply({"as_of": self.store.revision}, 404)
        return reply(item | {"as_of": self.store.revision})

    async def range(self, request: web.Request) -> web.Response:
        """Read the keys under a prefix, by pages."""
        prefix, after = request.query["path_prefix"], request.query.get("after", "")
        found = sorted(
            key for key in self.store.items if key.startswith(prefix) and key > after
        )
        items = [self.store.items[key] for key in found[:PAGE_ITEMS]]
        more = len(found) > PAGE_ITEMS
        body = {"items": items, "has_more": more, "as_of": self.store.revision}
        return reply(body)

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for changes under a prefix."""
        store = self.store
        prefix, after = request.query["path_prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if after < store.compacted:
                return reply({}, 410)
            events = store.events(prefix, after)
            left = until - time.monotonic()
            if events or left <= 0:
                return reply({"events": events, "as_of": store.revision})
            try:
                async with asyncio.timeout(left), store.changed:
                    await store.changed.wait()
            except TimeoutError:
                continue

    async def txn(self, request: web.Request) -> web.Response:
        """Change keys if they are at the expected revisions."""
        body = await request.json()
        store = self.store
        for put in body["puts"]:
            if put["key"].startswith(("op/", "servers/")):
                return reply({}, 403)
            if put.get("lease") and put["lease"] not in store.leases:
                return reply({}, 404)
        current = []
        matches = True
        for row in body["expected_revision"]:
            item = store.items.get(row["key"])
            matches = matches and (item["revision"] if item else 0) == row["revision"]
            current.extend([item] if item else [])
        if not matches:
            return reply({"items": current, "as_of": store.revision}, CONFLICT)
        await store.write(body["puts"], body["remove"])
        return reply({"revision": store.revision})

    async def lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        ttl = (await request.json())["ttl_ms"]
        lease = self.store.next_lease
        self.store.next_lease += 1
        self.store.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
        return reply({"lease": lease, "ttl_ms": ttl})

    async def keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        lease = int(request.match_info["lease"])
        known = self.store.leases.get(lease)
        if known is None:
            return reply({}, 404)
        self.store.leases[lease] = (known[0], time.monotonic() + known[0])
        return reply({"ttl_ms": int(known[0] * 1000)})

    async def end(self, request: web.Request) -> web.Response:
        """End a lease."""
        ended = await self.store.end_lease(int(request.match_info["lease"]))
        return reply({}, 200 if ended else 404)


def make_application(store: Store) -> web.Application:
    """Return the server's application."""
    calls = Calls(store)
    application = web.Application(middlewares=[_faults(store)])
    application.add_routes(
        [
            web.get("/v1/kv-key", calls.key),
            web.get("/v1/kv-range", calls.range),
            web.get("/v1/kv-watch", calls.watch),
            web.post("/v1/kv-txn", calls.txn),
            web.post("/v1/kv-lease", calls.lease),
            web.post("/v1/kv-keep/{lease}", calls.keep),
            web.delete("/v1/kv-lease-end/{lease}", calls.end),
            *_switches(store),
        ]
    )

    async def expiry(_: web.Application):
        task = asyncio.create_task(store.expire())
        yield
        task.cancel()

    application.cleanup_ctx.append(expiry)
    return application


def _faults(store: Store):
    @web.middleware
    async def middleware(request: web.Request, handler) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        name = request.path.split("/")[2]
        store.counts[name] = store.counts.get(name, 0) + 1
        if not store.mode or request.remote in store.served:
            return await handler(request)
        if store.mode == "busy":
            return reply({}, 503)
        if store.mode == "slow":
            await asyncio.sleep(SLOW_SECONDS)
            return await handler(request)
        if store.mode == "lost":
            await handler(request)
        if store.mode == "silent":
            await asyncio.sleep(3600)
        request.transport.abort()
        return reply({}, 503)

    return middleware


def _switches(store: Store) -> list[web.RouteDef]:
    async def fault(request: web.Request) -> web.Response:
        body = await request.json()
        store.mode = body["mode"]
        store.served = set(body.get("except", []))
        return reply({})

    async def compact(_: web.Request) -> web.Response:
        store.compacted = store.revision
        store.history.clear()
        return reply({})

    async def revoke(request: web.Request) -> web.Response:
        await store.write([], [(await request.json())["key"]])
        return reply({})

    async def put(request: web.Request) -> web.Response:
        body = await request.json()
        value = base64.b64encode(body["value"].encode()).decode()
        await store.write([{"key": body["key"], "value": value}], [])
        return reply({"revision": store.revision})

    async def counts(_: web.Request) -> web.Response:
        return reply(store.counts)

    async def keys(_: web.Request) -> web.Response:
        created = {key: item["created"] for key, item in store.items.items()}
        return reply({"keys": created})

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
    """Serve the metadata store's stand-in until it is killed."""
    web.run_app(make_application(Store()), host=host, port=port, print=None)


if __name__ == "__main__":
    main()
