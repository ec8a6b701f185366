"""Connections to the worker, with aiohttp's parser and one call at a time on each.

An agent makes a call for each start and each poll, so little else may surround one:
aiohttp's client session costs more than the rest of the call.
"""

import asyncio

import yarl
from aiohttp import ServerDisconnectedError
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpResponseParser

__all__ = ["WorkerCallError", "WorkerConnection", "WorkerConnections"]

# Idle connections are kept this long, unless the worker closes them earlier.
KEEPALIVE_SECONDS = 300.0

# Some thousand rows of runs; a larger response is not a worker's.
MAX_REPLY_BYTES = 1 << 20

# A call that has waited for its turn is sent only with this share of its timeout left.
# A start takes up to 10 ms of its 30 while ten are made at once; one that is sent too
# late is carried out, but its answer is not heard.
MIN_SHARE_LEFT = 1 / 3

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200


class WorkerCallError(Exception):
    """A call got no usable response.

    :param refused: the connection was refused, so nothing was sent.
    """

    def __init__(self, refused: bool) -> None:
        super().__init__()
        self.refused = refused


class WorkerConnection(BaseProtocol):
    """One connection.

    :ivar answer: result of the call in progress, its status and body; None without one.
    :ivar message: head of its response, once that has come; ``payload`` is its body.
    :ivar idle_since: when the last call was complete.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.parser: HttpResponseParser | None = None
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.message = None
        self.payload = None
        self.idle_since = 0.0

    async def exchange(self, request: bytes, ends_at: float) -> tuple[int, bytes]:
        """Send a request, and return the status and body of its response.

        The connection is closed unless the response has come in full by ``ends_at``:
        a late one can't be taken for that of another call.

        :raises OSError: if no complete response came; ServerDisconnectedError if the
            connection has been closed.
        :raises HttpProcessingError: if it isn't HTTP, or too large.
        """
        if not self.is_idle:
            raise ServerDisconnectedError()
        self.parser = HttpResponseParser(
            self,
            self._loop,
            # The parser pauses its protocol when a body exceeds twice its limit.
            MAX_REPLY_BYTES // 2,
            read_until_eof=True,
            auto_decompress=False,
        )
        self.answer = self._loop.create_future()
        timer = self._loop.call_at(ends_at, self._fail, TimeoutError())
        self.transport.write(request)
        try:
            return await self.answer
        finally:
            timer.cancel()
            if self.answer is not None:
                self._fail(ServerDisconnectedError())

    @property
    def is_idle(self) -> bool:
        """Whether it can carry another call."""
        return (
            self.answer is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def close(self) -> None:
        """Close the connection at once; a call in progress fails.

        Bytes that are not sent yet are dropped: no call is sent after its timeout.
        """
        self._fail(ServerDisconnectedError())

    def data_received(self, data: bytes) -> None:
        """Handle a part of a response."""
        if self.answer is None:
            self.close()
            return
        try:
            messages, _, _ = self.parser.feed_data(data)
        except HttpProcessingError as error:
            self._fail(error)
            return
        for message, payload in messages:
            if message.code < FIRST_FINAL_STATUS:
                if message.code == SWITCHING_PROTOCOLS:
                    self._fail(HttpProcessingError(message="unexpected upgrade"))
                    return
            elif self.message is None:
                self.message, self.payload = message, payload
            else:
                self._fail(HttpProcessingError(message="a second response"))
                return
        self._finish_if_complete()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection, which may be that of a response's body."""
        super().connection_lost(exc)
        if self.answer is None:
            return
        try:
            self.parser.feed_eof()
        except HttpProcessingError as error:
            self._fail(error)
            return
        if exc is None:
            self._finish_if_complete()
        self._fail(exc if isinstance(exc, OSError) else ServerDisconnectedError())

    def pause_reading(self) -> None:
        """Called by the parser if a body is larger than the limit."""
        self._fail(HttpProcessingError(message="the response is too large"))

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Called by the parser at a body's end: reading is never paused."""

    def _finish_if_complete(self) -> None:
        if self.answer is None or self.message is None or not self.payload.is_eof():
            return
        result = self.message.code, self.payload.read_nowait()
        should_close = self.message.should_close
        answer = self._end_call()
        if not answer.done():
            answer.set_result(result)
        self.idle_since = self._loop.time()
        if should_close:
            self.close()

    def _fail(self, error: Exception) -> None:
        if self.answer is not None:
            answer = self._end_call()
            if not answer.done():
                answer.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _end_call(self) -> asyncio.Future[tuple[int, bytes]]:
        answer, self.answer = self.answer, None
        self.message = self.payload = self.parser = None
        return answer


class WorkerConnections:
    """Connections to one address, opened when calls need them.

    The most recently used idle one is used first, so that few are kept.

    :param address: ``ip:port``.
    :param limit: of calls at once; further ones wait, and fail without being sent if
        their turn comes too late.
    """

    def __init__(self, address: str, limit: int) -> None:
        url = yarl.URL(f"http://{address}")
        self.host, self.port = url.host, url.port
        self.places = asyncio.Semaphore(limit)
        self.idle: list[WorkerConnection] = []
        self.used: set[WorkerConnection] = set()
        self.timer: asyncio.TimerHandle | None = None

    async def call(self, request: bytes, timeout_seconds: float) -> tuple[int, bytes]:
        """Send a request once, and return the status and body of its response.

        :raises WorkerCallError: if none came in time.
        """
        ends_at = asyncio.get_running_loop().time() + timeout_seconds
        latest_at = ends_at - MIN_SHARE_LEFT * timeout_seconds
        try:
            connection = await self._acquire(ends_at, latest_at)
        except OSError as error:
            raise WorkerCallError(isinstance(error, ConnectionRefusedError)) from error
        try:
            return await connection.exchange(request, ends_at)
        except (OSError, ServerDisconnectedError, HttpProcessingError) as error:
            raise WorkerCallError(False) from error
        finally:
            self._release(connection)

    def close(self) -> None:
        """Close all connections; calls in progress fail."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for connection in [*self.idle, *self.used]:
            connection.close()
        self.idle.clear()

    async def _acquire(self, ends_at: float, latest_at: float) -> WorkerConnection:
        if self.places.locked():
            async with asyncio.timeout_at(latest_at):
                await self.places.acquire()
        else:
            await self.places.acquire()
        try:
            connection = self._take_idle() or await self._open(ends_at)
        except BaseException:
            self.places.release()
            raise
        self.used.add(connection)
        return connection

    def _take_idle(self) -> WorkerConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_idle:
                return connection
        return None

    async def _open(self, ends_at: float) -> WorkerConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(ends_at):
            _, connection = await loop.create_connection(
                lambda: WorkerConnection(loop), self.host, self.port
            )
        return connection

    def _release(self, connection: WorkerConnection) -> None:
        self.places.release()
        self.used.discard(connection)
        if not connection.is_idle:
            connection.close()
            return
        self.idle.append(connection)
        if self.timer is None:
            self._expire_later()

    def _expire_later(self) -> None:
        loop = asyncio.get_running_loop()
        expires_at = self.idle[0].idle_since + KEEPALIVE_SECONDS
        self.timer = loop.call_at(expires_at, self._expire)

    def _expire(self) -> None:
        """Close the connections that have been idle for too long."""
        self.timer = None
        before = asyncio.get_running_loop().time() - KEEPALIVE_SECONDS
        while self.idle and self.idle[0].idle_since <= before:
            self.idle.pop(0).close()
        if self.idle:
            self._expire_later()
