"""Serve one address over HTTP, with the least of the library that it takes.

Each host has one small process of this product, whose memory is mostly the code that
it loads, and after a power cut callers wait until it has loaded. Without the
library's applications, routes and files an agent has 1.4 MB less of 30.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server

from cactuswalk.runtime.listening import LISTEN_BACKLOG, listen

__all__ = ["BaseRequest", "Handler", "HttpService", "Response"]

Handler = Callable[[BaseRequest], Awaitable[Response]]

# A request that is longer than this before its body is no caller of ours.
MAX_HEADER_BYTES = 16_384

# Idle connections of callers are kept; the balancer's clients come back on them.
KEEPALIVE_SECONDS = 75.0

# What is still being answered when a process ends has this long: the library's own
# minute let a stopping process be killed.
SHUTDOWN_TIMEOUT_SECONDS = 0.2


class HttpService:
    """One address that is served.

    :param address: has ``host`` and ``port``.
    :param listener: a socket that already listens there.
    """

    def __init__(
        self, address, handler: Handler, listener: socket.socket | None = None
    ) -> None:
        self.address = address
        self.handler = handler
        self.listener = listener
        self.server: Server | None = None
        self.listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Take connections."""
        self.server = Server(
            self.handler,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            keepalive_timeout=KEEPALIVE_SECONDS,
        )
        self.listening = await asyncio.get_running_loop().create_server(
            self.server,
            sock=self.listener or listen(self.address),
            backlog=LISTEN_BACKLOG,
        )

    async def stop(self) -> None:
        """Take no more connections, and close those that there are."""
        self.listening.close()
        # What was accepted in this turn begins to be handled before it is closed.
        await asyncio.sleep(0)
        self.server.pre_shutdown()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_SECONDS)
