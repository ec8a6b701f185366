"""The entry process: serves callers over HTTP and talks to owners by messages."""

import asyncio
import itertools
import random
import secrets
import time

from cactuswalk.decisions.callbudget import ENTRY_BURST, ENTRY_RATE
from cactuswalk.decisions.leaving import EntryShutdown
from cactuswalk.http.callers import EntryCallables, make_callers_application
from cactuswalk.http.operators import make_operators_application
from cactuswalk.http.operators_store import ConfigurationKeys, follow_configuration
from cactuswalk.http.server import HttpServer
from cactuswalk.messages import ConfigurationUpdate, JobState
from cactuswalk.model.configuration import JobTemplate
from cactuswalk.runtime.operators import OperatorsAdapter
from cactuswalk.runtime.process import ProcessRuntime
from cactuswalk.settings import EntrySettings
from cactuswalk.state.effects import Reply, ReplyState
from cactuswalk.state.entry import EntryState, handle_entry, new_entry
from cactuswalk.state.events import CallerQueried, CallerSubmitted, ConfigurationChanged
from cactuswalk.state.readiness import unready_reasons
from cactuswalk.state.timing import Timing

__all__ = ["EntryProcess"]

# As long as the store client retries a write: an operator's change in flight gets its
# outcome before the server closes.
OPERATORS_DRAIN_SECONDS = 10.0


class EntryProcess:
    """Owns the servers, the pending requests and the state of one entry."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.runtime = ProcessRuntime(settings.name, settings)
        self.waiters: dict[str, asyncio.Future] = {}
        self.state_queries: dict[str, asyncio.Future] = {}
        self.serial = itertools.count(1)
        self.shutdown = EntryShutdown()
        self.state = self._make_state()
        self.application = self.runtime.make_application(
            lambda event, now: handle_entry(self.state, event, now),
            self._is_stopped,
            self._can_stop,
        )
        self.runtime.attach(self.application, ENTRY_RATE, ENTRY_BURST)
        self.application.effect_handlers[Reply] = self._resolve_submission
        self.application.effect_handlers[ReplyState] = self._resolve_query
        self._add_hooks()

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        await self.application.run()

    def _make_state(self) -> EntryState:
        timing = Timing(retention=float(self.settings.retention_seconds))
        wall_ms = time.time() * 1000 - time.monotonic() * 1000
        peers = self.settings.peers
        runtime = self.runtime
        return new_entry(runtime.address, [], timing, runtime.generator, wall_ms, peers)

    def _add_hooks(self) -> None:
        application, settings = self.application, self.settings
        callables = EntryCallables(
            self.submit,
            application.feed,
            application.feed,
            self.query,
            self._check_readiness,
            self.runtime.make_counter(),
            self._find_template,
        )
        finish_seconds = settings.limits.maximum_deadline_ms / 1000
        self.server = HttpServer(
            make_callers_application(
                settings, callables, time.time, random.Random(secrets.randbits(64))
            ),
            settings.http,
            finish_seconds,
        )
        application.add_hook(self._start_watches, self._do_nothing)
        application.add_hook(self.server.start, self.server.stop)
        if settings.operators_http is not None:
            application.add_hook(self._open_operators, self._close_operators)

    def _find_template(self, name: str) -> JobTemplate | None:
        found = self.state.sync.replica.get("job", name)
        return found if isinstance(found, JobTemplate) else None

    async def _start_watches(self) -> None:
        """Start watches of the cells and the configuration."""
        self.configuration_keys = ConfigurationKeys(self.runtime.store)
        self.application.spawn(self.runtime.key_value.watch("cells/"))
        self.application.spawn(
            follow_configuration(self.configuration_keys, self._publish)
        )

    async def _do_nothing(self) -> None:
        """Do nothing: the application cancels the watches itself."""

    def _publish(self, update: ConfigurationUpdate) -> None:
        self.application.feed(ConfigurationChanged(update))

    async def _open_operators(self) -> None:
        adapter = OperatorsAdapter(
            self.settings.name, self.settings.operators, self.application
        )
        interface = adapter.interface(self.state, self.configuration_keys)
        self.operators_server = HttpServer(
            make_operators_application(interface),
            self.settings.operators_http,
            OPERATORS_DRAIN_SECONDS,
        )
        await self.operators_server.start()

    async def _close_operators(self) -> None:
        await self.operators_server.stop()

    async def submit(self, event: CallerSubmitted) -> Reply:
        """Pass a submission to the reducer and wait for its only reply."""
        self.shutdown.record_submission(time.monotonic())
        future = asyncio.get_running_loop().create_future()
        self.waiters[event.waiter] = future
        self.application.feed(event)
        try:
            return await future
        finally:
            self.waiters.pop(event.waiter, None)

    async def query(self, submission: str, service: str) -> JobState | None:
        """Ask the owners for the state of a submission."""
        request = str(next(self.serial))
        future = asyncio.get_running_loop().create_future()
        self.state_queries[request] = future
        self.application.feed(CallerQueried(request, submission, service))
        try:
            return await future
        finally:
            self.state_queries.pop(request, None)

    def _resolve_submission(self, effect: Reply) -> None:
        future = self.waiters.pop(effect.waiter, None)
        if future is not None and not future.done():
            future.set_result(effect)

    def _resolve_query(self, effect: ReplyState) -> None:
        future = self.state_queries.get(effect.request)
        if future is not None and not future.done():
            future.set_result(effect.state)

    def _is_stopped(self) -> bool:
        return not self.state.pending and not self.waiters

    def _can_stop(self, now: float) -> bool:
        if self.shutdown.began_at is None:
            self.shutdown.begin(now)
        return self.shutdown.can_stop(now)

    def _check_readiness(self) -> list[str]:
        now = time.monotonic()
        reasons = self._list_unready_reasons(now)
        self.shutdown.record_readiness_check(not reasons, now)
        return reasons

    def _list_unready_reasons(self, now: float) -> list[str]:
        if self.application.stopping:
            return ["this entry is stopping"]
        return unready_reasons(self.state, now)
