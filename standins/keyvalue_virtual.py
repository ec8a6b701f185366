"""The key-value stand-in without a network, in virtual time.

``VirtualLoop`` is an event loop whose clock advances to the next timer whenever
nothing is ready, so that an hour of outage takes a moment and is deterministic.
``MemoryConnection`` replaces the client's HTTP connection and calls a
``KeyValueService`` in the same loop directly.
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

KINDS_BY_PATH = {path: kind for kind, path in PATHS.items()}


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready; if nothing is, advance the clock by ``timeout``."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("the event loop would wait forever: it has no timer")
        if not ready:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, starting at 0."""

    def __init__(self) -> None:
        self.time_selector = VirtualTimeSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.time_selector.now


class MemoryConnection:
    """A client's connection to a service in the same event loop."""

    def __init__(self, service: KeyValueService, client_name: str) -> None:
        self.service = service
        self.client_name = client_name
        # The service goes on with a call after its client has given up.
        self.tasks: set[asyncio.Task] = set()

    async def call(self, path: str, body: bytes, timeout_seconds: float) -> bytes:
        """Return the body of the response."""
        request = msgspec.json.decode(body)
        execution = self.service.execute(KINDS_BY_PATH[path], request, self.client_name)
        task = asyncio.create_task(execution)
        self.tasks.add(task)
        task.add_done_callback(self._finish_call)
        done, _ = await asyncio.wait({task}, timeout=timeout_seconds)
        if not done:
            raise CallFailedError(f"{path}: no response in time", True, True)
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
            while message := await queue.get():
                yield message
            if task.cancelled():
                raise CallFailedError(f"{path}: connection closed", True)
        finally:
            task.cancel()

    async def close(self) -> None:
        """Cancel the pending calls."""
        for task in list(self.tasks):
            task.cancel()

    def _finish_call(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()
