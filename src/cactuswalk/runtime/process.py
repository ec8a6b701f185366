"""Shared parts of entries and agents: log, metrics, messages, key-value service."""

import random
import secrets
from collections.abc import Callable

from cactuswalk import messages
from cactuswalk.platform.keyvalue import KeyValueStore, open_store
from cactuswalk.runtime.application import Application
from cactuswalk.runtime.keys import CurveKeys, address_with_key
from cactuswalk.runtime.keyvalue import KeyValueAdapter
from cactuswalk.runtime.logs import open_logs
from cactuswalk.runtime.metrics import make_metrics
from cactuswalk.runtime.transport import Transport
from cactuswalk.settings import AgentSettings, EntrySettings
from cactuswalk.state.effects import Effect, Send
from cactuswalk.state.events import Event, Received, StopRequested, Tick

__all__ = ["ProcessRuntime"]


class ProcessRuntime:
    """The parts of a process that don't depend on its role.

    :param name: name of the process, in its log lines and for the key-value service.
    :param settings: settings of an entry or an agent.
    """

    def __init__(self, name: str, settings: AgentSettings | EntrySettings) -> None:
        self.name = name
        self.settings = settings
        self.log = open_logs(settings.logs, name)
        self.metrics = make_metrics(settings.statsd)
        self.generator = random.Random(secrets.randbits(64))
        self.address = settings.address
        if settings.curve:
            self.address = address_with_key(self.address, settings.curve.public_key)
        self.application: Application | None = None
        self.transport: Transport | None = None
        self.store: KeyValueStore | None = None
        self.key_value: KeyValueAdapter | None = None

    def make_application(
        self,
        reduce: Callable[[Event, float], list[Effect]],
        is_stopped: Callable[[], bool],
        can_stop: Callable[[float], bool] = lambda now: True,
    ) -> Application:
        """Return the application object that runs a reducer."""
        return Application(
            self.name,
            reduce,
            is_stopped,
            self.log.write,
            self.metrics,
            Tick,
            Received,
            StopRequested,
            can_stop,
        )

    def attach(self, application: Application, rate: float, burst: float) -> None:
        """Register these parts with the application that owns them.

        :param rate: tokens per second for calls to the key-value service, see
            ``decisions.callbudget``.
        :param burst: the most tokens that are saved up.
        """
        self.application = application
        keys = CurveKeys(self.settings.curve) if self.settings.curve else None
        self.transport = Transport(
            self.address,
            application.receive,
            self.metrics.count,
            keys,
            self.settings.listen,
            codec=messages,
        )
        application.transport = self.transport
        application.effect_handlers[Send] = self._send

        async def open_transport() -> None:
            self.transport.open()

        async def close_transport() -> None:
            self.transport.close()

        async def open_store_and_port() -> None:
            self._open_store(rate, burst)

        application.add_hook(open_transport, close_transport)
        application.add_hook(open_store_and_port, self._close_store)

    def _send(self, effect: Send) -> None:
        now = self.application.clock()
        self.transport.send(effect.address, effect.message, now)

    def fork_generator(self) -> random.Random:
        """Return a new random generator, seeded from this process's generator."""
        return random.Random(self.generator.getrandbits(64))

    def make_counter(self) -> Callable[[str], None]:
        """Return a function that adds one to a named counter."""
        return lambda name: self.metrics.count(name, 1)

    def _open_store(self, rate: float, burst: float) -> None:
        settings = self.settings.key_value
        self.store = open_store(
            settings.endpoints,
            self.name,
            rate,
            burst,
            prefix=settings.prefix,
            timeout=settings.timeout_ms / 1000,
            generator=self.fork_generator(),
            count=self.make_counter(),
        )
        self.key_value = KeyValueAdapter(self.application, self.store)

    async def _close_store(self) -> None:
        await self.store.close()
        self.metrics.close()
        self.log.close()
