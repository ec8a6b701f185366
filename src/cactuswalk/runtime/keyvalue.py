"""Turn the reducers' key-value effects into calls, and the results into events."""

from cactuswalk.platform.keyvalue import KeyValueStore
from cactuswalk.runtime.application import Application
from cactuswalk.state.effects import ReadKey, SwapKey
from cactuswalk.state.events import KeyRead

__all__ = ["KeyValueAdapter"]


class KeyValueAdapter:
    """Performs ``ReadKey`` and ``SwapKey``; each results in one event.

    Only one read per key and one swap per write is in flight at a time: reducers ask
    again at each tick, and calls must not pile up during an outage of the service.
    """

    def __init__(self, application: Application, store: KeyValueStore) -> None:
        self.application = application
        self.store = store
        self.in_flight: set[str] = set()
        application.effect_handlers[ReadKey] = self.read
        application.effect_handlers[SwapKey] = self.swap

    def read(self, effect: ReadKey) -> None:
        """Begin a read, unless one of the same key is in flight."""
        call_key = f"read {effect.key}"
        if call_key not in self.in_flight:
            self.in_flight.add(call_key)
            self.application.spawn(self._read(effect, call_key))

    def swap(self, effect: SwapKey) -> None:
        """Begin a swap, unless the same write is in flight."""
        call_key = f"swap {effect.write_id}"
        if call_key not in self.in_flight:
            self.in_flight.add(call_key)
            self.application.spawn(self._swap(effect, call_key))

    async def watch(self, prefix: str) -> None:
        """Feed each change under a prefix as a ``KeyRead`` event, without end."""
        async for changes in self.store.watch(prefix, 0):
            for change in changes.changes:
                self.application.feed(
                    KeyRead(change.key, True, change.value, change.mod_revision)
                )

    async def _read(self, effect: ReadKey, call_key: str) -> None:
        try:
            event = await self.store.read(effect.key)
        finally:
            self.in_flight.discard(call_key)
        self.application.feed(event)

    async def _swap(self, effect: SwapKey, call_key: str) -> None:
        try:
            event = await self.store.swap(
                effect.key, effect.expected, effect.value, effect.write_id
            )
        finally:
            self.in_flight.discard(call_key)
        self.application.feed(event)
