"""One call to the key-value service over HTTP, and what its failure means."""

import asyncio
import collections.abc
import typing

import aiohttp

from cactuswalk.platform import protocol
from cactuswalk.platform.errors import CallFailedError, CallRefusedError

__all__ = ["Connection", "HttpConnection"]

# Statuses of the gateway for calls that it has certainly not carried out:
# malformed, no or wrong token, no right, no such lease, not implemented.
NOT_EXECUTED_STATUSES = frozenset({400, 401, 403, 404, 501})

# One call at a time to probe with, a few side by side, and the watch.
MAX_CONNECTIONS = 8


class Connection(typing.Protocol):
    """The network, as this package uses it; tests put a fake in its place."""

    async def call(self, path: str, body: bytes, timeout_seconds: float) -> bytes:
        """Return the body of an answer that came ``within`` seconds.

        :raises CallFailedError: if there was none.
        :raises CallRefusedError: if the service refused the call for certain.
        """
        ...

    def stream(
        self, path: str, body: bytes, timeout_seconds: float
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yield the answer as it comes; ``within`` holds until it begins."""
        ...

    async def close(self) -> None:
        """Close what is open."""
        ...


class HttpConnection:
    """Calls through aiohttp, to one endpoint until it fails, then the next.

    :param endpoints: base addresses, ``http://ip:port``.
    :param client_name: sent along, so that the service can tell who calls.
    :param token: of the service's access control, empty for none.
    """

    def __init__(self, endpoints: list[str], client_name: str, token: str = "") -> None:
        self.endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self.endpoint_index = 0
        self.headers = {"X-Client-Name": client_name}
        if token:
            self.headers["Authorization"] = token
        self.session: aiohttp.ClientSession | None = None

    async def call(self, path: str, body: bytes, timeout_seconds: float) -> bytes:
        """Return the body of an answer."""
        limit = aiohttp.ClientTimeout(total=timeout_seconds)
        endpoint = self.endpoint_index
        try:
            async with self._post(path, body, limit) as response:
                data = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise self._fail_over(path, error, endpoint) from error
        _raise_for_status(path, response.status, data)
        return data

    async def stream(
        self, path: str, body: bytes, timeout_seconds: float
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yield the answer as it comes, in pieces of any size."""
        limit = aiohttp.ClientTimeout(total=None)
        endpoint = self.endpoint_index
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await self._post(path, body, limit)
        except (aiohttp.ClientError, OSError) as error:
            raise self._fail_over(path, error, endpoint) from error
        try:
            if response.status != 200:
                _raise_for_status(path, response.status, await response.read())
            async for piece in response.content.iter_any():
                yield piece
        except (aiohttp.ClientError, OSError) as error:
            raise self._fail_over(path, error, endpoint) from error
        finally:
            # A watch never ends by itself: the connection can't be used again.
            response.close()

    async def close(self) -> None:
        """Close all connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    def _post(self, path: str, body: bytes, limit: aiohttp.ClientTimeout) -> typing.Any:
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
            self.session = aiohttp.ClientSession(
                connector=connector, headers=self.headers
            )
        url = self.endpoints[self.endpoint_index] + path
        return self.session.post(url, data=body, timeout=limit)

    def _fail_over(self, path: str, error: Exception, endpoint: int) -> CallFailedError:
        # Only the call that met the failure moves on: of several that fail
        # together the second would come back to the broken endpoint.
        if endpoint == self.endpoint_index:
            self.endpoint_index = (endpoint + 1) % len(self.endpoints)
        # Only a connection that never was carries no request. A connection that
        # broke, or an answer that didn't come, leaves it open what was done.
        sent = not isinstance(error, aiohttp.ClientConnectorError)
        timed_out = isinstance(error, TimeoutError)
        reason = "no answer in time" if timed_out else f"{error!r}"
        text = f"{path} at {self.endpoints[endpoint]} failed: {reason}"
        return CallFailedError(text, sent, timed_out)


def _raise_for_status(path: str, status: int, data: bytes) -> None:
    if status == 200:
        return
    text = data[:200].decode(errors="replace")
    if status not in NOT_EXECUTED_STATUSES:
        # 5xx: the request may have been carried out behind a gateway that gave
        # up on it, as etcd's own "request timed out" may.
        raise CallFailedError(f"{path} ended in {status}: {text}", sent=True)
    try:
        reply = protocol.decode(data, protocol.ErrorReply)
    except CallFailedError:
        reply = protocol.ErrorReply(message=text)
    raise CallRefusedError(reply.message, status, reply.code)
