"""The application object: one event loop on one thread, and its subsystems.

Hooks start the subsystems in order and stop them in reverse order. The
application owns all of them, so none outlives it.
"""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from cactuswalk.errors import InvariantError
from cactuswalk.observations import Count, Gauge, Log, Part
from cactuswalk.runtime.signals import STOP_SIGNALS

__all__ = ["Application", "Hook"]

# Well below the time spans in the reducers, which are tenths of seconds.
TICK_SECONDS = 0.05
# Ticks between two checks for idle sockets.
IDLE_CHECK_TICKS = 200

Hook = tuple[Callable[[], Awaitable[None]], Callable[[], Awaitable[None]]]


class Application:
    """Runs a reducer: turns I/O into events, and effects into I/O.

    :param name: name of the process, for its log lines.
    :param reduce: the reducer, ``(event, now) -> effects``.
    :param is_stopped: returns whether a planned stop is complete.
    :param write_log: called with each ``Log`` effect.
    :param metrics: has ``count(name, by)`` and ``gauge(name, value)``.
    :param make_tick: returns the reducer's event for the passage of time.
    :param make_received: returns the event for a message, from its sender and the
        message.
    :param make_stop_requested: returns the event for a requested stop.
    :param can_stop: returns whether a stopping process may refuse new work from now
        on; until then it reports itself as not ready but still accepts work.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        reduce: Callable[[object, float], list[object]],
        is_stopped: Callable[[], bool],
        write_log: Callable[..., None],
        metrics,
        make_tick: Callable[[], object],
        make_received: Callable[[str, object], object],
        make_stop_requested: Callable[[], object],
        can_stop: Callable[[float], bool] = lambda now: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.make_tick = make_tick
        self.make_received = make_received
        self.make_stop_requested = make_stop_requested
        self.name = name
        self.reduce = reduce
        self.is_stopped = is_stopped
        self.write_log = write_log
        self.metrics = metrics
        self.can_stop = can_stop
        self.transport = None
        self.effect_handlers: dict[type, Callable] = {
            Log: write_log,
            Count: lambda effect: metrics.count(effect.name, effect.by),
            Gauge: lambda effect: metrics.gauge(effect.name, effect.value),
        }
        self.hooks: list[Hook] = []
        self.tasks: set[asyncio.Task] = set()
        self.flush_scheduled = False
        self.stopping = False
        self.stop_event_sent = False
        self.failure: BaseException | None = None
        self.ended: asyncio.Event | None = None
        self.loop: asyncio.AbstractEventLoop | None = None

    def add_hook(
        self,
        start: Callable[[], Awaitable[None]],
        stop: Callable[[], Awaitable[None]],
    ) -> None:
        """Register a subsystem to start and stop with the application."""
        self.hooks.append((start, stop))

    def feed(self, event: object) -> None:
        """Pass an event to the reducer and perform the effects it returns."""
        if self.failure is not None:
            return
        now = self.clock()
        try:
            effects = self.reduce(event, now)
        except InvariantError as error:
            self._fail(error)
            return
        for effect in effects:
            self.effect_handlers[type(effect)](effect)
        if self.transport.dirty and not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def receive(self, sender: str, message) -> None:
        """Pass a message from another process to the reducer."""
        self.feed(self.make_received(sender, message))

    def spawn(self, work: Awaitable[None]) -> None:
        """Run a coroutine in the background; it is cancelled with the application."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def run(self) -> None:
        """Run until a planned stop is complete.

        :raises BaseException: the error that ended a background task or a reducer.
        """
        self.ended = asyncio.Event()
        # A second signal has no effect: requests in flight are never cut off.
        # Not loop.add_signal_handler: the loop removes those handlers when it is
        # closed, and a signal shortly before exit would then kill the process.
        self.loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)
        started: list[Hook] = []
        try:
            for hook in self.hooks:
                await hook[0]()
                started.append(hook)
            self.spawn(self._tick())
            await self.ended.wait()
        finally:
            for task in list(self.tasks):
                task.cancel()
            self._flush()
            for hook in reversed(started):
                await hook[1]()
        if self.failure is not None:
            raise self.failure

    def request_stop(self) -> None:
        """Begin a planned stop: accept no new work, finish work in flight."""
        if self.stopping:
            return
        self.stopping = True

    def _on_signal(self, *_: object) -> None:
        """Wake the loop; ignore signals after the loop has been closed."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.request_stop)

    def _continue_stop(self) -> bool:
        """Continue a planned stop; return whether it is complete."""
        if not self.stop_event_sent and self.can_stop(self.clock()):
            self.stop_event_sent = True
            self.feed(self.make_stop_requested())
        return self.stop_event_sent and self.is_stopped()

    async def _tick(self) -> None:
        ticks = 0
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.transport.poll()
            self.feed(self.make_tick())
            ticks += 1
            if ticks % IDLE_CHECK_TICKS == 0:
                self.transport.close_idle(self.clock())
            if self.stopping and self._continue_stop():
                self.ended.set()
                return

    def _flush(self) -> None:
        self.flush_scheduled = False
        self.transport.flush()

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(task.exception())

    def _fail(self, error: BaseException) -> None:
        """Stop the process: continuing could violate a guarantee."""
        if self.failure is not None:
            return
        self.failure = error
        code = getattr(error, "code", "internal")
        self.metrics.count(f"failure.{code}", 1)
        fields = {"process": self.name, "code": code, "reason": str(error)}
        self.write_log(
            Log(Part.PROCESS, "stops after an internal error", fields), "error"
        )
        if self.ended is not None:
            self.ended.set()
