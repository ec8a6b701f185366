"""Serve one address over HTTP with a small part of aiohttp.

Each host runs one small process of this product. Most of its memory is loaded code,
and after a power failure callers wait until that is loaded. Without aiohttp's
applications, routes and static files, an agent takes 1.4 MB less of 30 MB.
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

# Longer request headers don't come from legitimate callers.
MAX_HEADER_BYTES = 16_384

# Idle connections are kept open because the balancer's clients reuse them.
KEEPALIVE_SECONDS = 75.0

# Time for open requests when the process stops. With aiohttp's default of 60 s, a
# stopping process was killed first.
SHUTDOWN_TIMEOUT_SECONDS = 0.2


class HttpService:
    """An HTTP server for one address.

    :param address: has ``host`` and ``port``.
    :param listener: a socket that already listens at the address.
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
        """Start accepting connections."""
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
        """Stop accepting connections and close the open ones."""
        self.listening.close()
        # Let handlers start for connections accepted in this iteration of the loop.
        await asyncio.sleep(0)
        self.server.pre_shutdown()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_SECONDS)
