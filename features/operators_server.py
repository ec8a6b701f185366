"""An operators' interface served by a thread, with a fake key-value service."""

import asyncio
import hashlib
import threading

from aiohttp import web

from cactuswalk.http.operators import OperatorsInterface, make_operators_application
from cactuswalk.http.operators_store import ConfigurationKeys
from cactuswalk.state.configuration import (
    ConfigurationSync,
    Replica,
    count_by_state,
    count_in_force,
)
from features.configuration_fakes import FakeService

TOKEN = "token-of-ana"
OTHER_TOKEN = "token-of-ion"


class OperatorsServer:
    """The interface with its replica and service, and its HTTP server."""

    def __init__(self):
        self.service = FakeService()
        self.replica = Replica()
        self.sync = ConfigurationSync(self.replica)
        self.states = None
        self.logged = []
        self.explained = []
        self.lose_http_replies = 0
        self.loop = asyncio.new_event_loop()
        self.ready = threading.Event()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()
        assert self.ready.wait(10)

    def interface(self):
        return OperatorsInterface(
            keys=ConfigurationKeys(self.service),
            replica=self.replica,
            operators={
                hashlib.sha256(token.encode()).hexdigest(): who
                for token, who in ((TOKEN, "ana"), (OTHER_TOKEN, "ion"))
            },
            publish=lambda update: self.sync.on_update("", update, 0.0),
            status=lambda: {"entry": "e1", "configuration": self.replica.revision},
            explain=self.explain,
            in_force=self.in_force,
            wall_ms=lambda: 1_800_000_000_000,
            log=lambda sentence, fields: self.logged.append((sentence, fields)),
        )

    async def explain(self, query):
        self.explained.append(query)
        workers = [
            {"worker": "w1", "fits": True, "verdict": "2 free slots"},
            {"worker": "w2", "fits": False, "verdict": "tier is silver"},
        ]
        return {"workers": workers}

    def in_force(self, revision):
        states = self.states
        if states is None:
            states = [(self.replica.revision, self.replica.ahead)] * 3
        return count_in_force(revision, [count_by_state(states)])

    def serve(self):
        asyncio.set_event_loop(self.loop)
        application = make_operators_application(self.interface())
        application.middlewares.insert(0, self.lose_reply)
        runner = web.AppRunner(application)
        self.loop.run_until_complete(runner.setup())
        site = web.TCPSite(runner, "127.0.0.1", 0)
        self.loop.run_until_complete(site.start())
        self.port = runner.addresses[0][1]
        self.ready.set()
        self.loop.run_forever()
        self.loop.run_until_complete(runner.cleanup())
        self.loop.close()

    @property
    def lose_reply(self):
        @web.middleware
        async def middleware(request, handler):
            response = await handler(request)
            if self.lose_http_replies and "dry_run" not in request.query:
                if request.method != "GET":
                    self.lose_http_replies -= 1
                    request.transport.abort()
            return response

        return middleware

    @property
    def endpoint(self):
        return f"http://127.0.0.1:{self.port}"

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
