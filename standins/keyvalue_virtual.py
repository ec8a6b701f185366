"""The key-value stand-in without a network, under a clock that tests can spin.

``VirtualLoop`` is an event loop whose time jumps to the next timer whenever
nothing is ready, so an hour of outage passes in a moment and always in the same
way. ``MemoryConnection`` takes the place of the client's HTTP connection and
leads straight into a ``KeyValueService`` of the same loop.
"""

import asyncio
import collections.abc
import selectors

import msgspec

from cactuswalk.platform.keyvalue import CallFailedError, CallRefusedError
from standins.keyvalue import HTTP_STATUSES, PATHS, KeyValueService
from standins.keyvalue_faults import LostReplyError, LostRequestError
from standins.keyvalue_store import StoreError

__all__ = ["MemoryConnection", "VirtualLoop"]

KINDS = {path: kind for kind, path in PATHS.items()}


class JumpingSelector(selectors.DefaultSelector):
    """A selector that never waits; it moves the clock on instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready now; if nothing is, let ``timeout`` pass."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("nothing will ever happen in this loop")
        if not ready:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, starting at 0."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping.now


class MemoryConnection:
    """A client's connection into a service of the same loop."""

    def __init__(self, service: KeyValueService, client_name: str) -> None:
        self.service = service
        self.client_name = client_name
        # Calls go on in the service after the client has given up on them.
        self.tasks: set[asyncio.Task] = set()

    async def call(self, path: str, body: bytes, timeout_seconds: float) -> bytes:
        """Return the body of an answer."""
        request = msgspec.json.decode(body)
        answer = self.service.answer(KINDS[path], request, self.client_name)
        task = asyncio.create_task(answer)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        done, _ = await asyncio.wait({task}, timeout=timeout_seconds)
        if not done:
            raise CallFailedError(f"{path}: no answer in time", True, True)
        try:
            return msgspec.json.encode(task.result())
        except StoreError as error:
            status = HTTP_STATUSES.get(error.code, 500)
            raise CallRefusedError(error.message, status, error.code) from error
        except (LostReplyError, LostRequestError) as error:
            raise CallFailedError(f"{path}: connection closed", True) from error

    async def stream(
        self, path: str, body: bytes, timeout_seconds: float
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yield the messages of a watch."""
        try:
            self.service.count("watch", self.client_name)
        except LostRequestError as error:
            raise CallFailedError(f"{path}: connection closed", True) from error
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        create = msgspec.json.decode(body)["create_request"]
        task = asyncio.create_task(self.service.stream(queue.put, create))
        task.add_done_callback(lambda ended: queue.put_nowait(b""))
        try:
            while piece := await queue.get():
                yield piece
            if task.cancelled():
                raise CallFailedError(f"{path}: connection closed", True)
        finally:
            task.cancel()

    async def close(self) -> None:
        """End the calls that are still under way."""
        for task in list(self.tasks):
            task.cancel()

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()
