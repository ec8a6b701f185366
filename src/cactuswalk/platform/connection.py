"""HTTP calls to the key-value service, and the classification of failures."""

import asyncio
import collections.abc
import typing

import aiohttp

from cactuswalk.platform import protocol
from cactuswalk.platform.errors import CallFailedError, CallRefusedError

__all__ = ["Connection", "HttpConnection"]

# HTTP statuses with which the gateway has certainly not executed the call:
# malformed, missing or wrong token, no permission, unknown lease, not implemented.
NOT_EXECUTED_STATUSES = frozenset({400, 401, 403, 404, 501})

# For a probe, a few concurrent calls and a watch.
MAX_CONNECTIONS = 8


class Connection(typing.Protocol):
    """Transport for calls and watches; tests replace it with a fake."""

    async def call(self, path: str, body: bytes, timeout_seconds: float) -> bytes:
        """Return the body of the response.

        :raises CallFailedError: if there was no usable response in time.
        :raises CallRefusedError: if the service certainly did not execute the call.
        """
        ...

    def stream(
        self, path: str, body: bytes, timeout_seconds: float
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yield the response body as it arrives; the timeout is for its beginning."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class HttpConnection:
    """Connection over aiohttp that uses one endpoint until it fails, then the next.

    :param endpoints: base addresses, ``http://ip:port``.
    :param client_name: sent with each request to identify the caller.
    :param token: authorization token, empty for none.
    """

    def __init__(self, endpoints: list[str], client_name: str, token: str = "") -> None:
        self.endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self.endpoint_index = 0
        self.headers = {"X-Client-Name": client_name}
        if token:
            self.headers["Authorization"] = token
        self.session: aiohttp.ClientSession | None = None

    async def call(self, path: str, body: bytes, timeout_seconds: float) -> bytes:
        """Return the body of the response."""
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
        """Yield the response body as it arrives, in chunks of any size."""
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
            # A watch response never ends, so its connection can't be reused.
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
        # Only switches away from the endpoint that failed. If several calls fail
        # together, the second switch would lead back to the broken endpoint.
        if endpoint == self.endpoint_index:
            self.endpoint_index = (endpoint + 1) % len(self.endpoints)
        # Nothing was sent only if the connection could not be established. After
        # a broken connection or a timeout the call may have been executed.
        sent = not isinstance(error, aiohttp.ClientConnectorError)
        timed_out = isinstance(error, TimeoutError)
        reason = "no response in time" if timed_out else f"{error!r}"
        text = f"{path} at {self.endpoints[endpoint]} failed: {reason}"
        return CallFailedError(text, sent, timed_out)


def _raise_for_status(path: str, status: int, data: bytes) -> None:
    if status == 200:
        return
    text = data[:200].decode(errors="replace")
    if status not in NOT_EXECUTED_STATUSES:
        # 5xx: the request may have been executed although the gateway gave up on
        # it, as with etcd's own "request timed out".
        raise CallFailedError(
            f"{path} returned HTTP status {status}: {text}", sent=True
        )
    try:
        reply = protocol.decode(data, protocol.ErrorReply)
    except CallFailedError:
        reply = protocol.ErrorReply(message=text)
    raise CallRefusedError(reply.message, status, reply.code)
