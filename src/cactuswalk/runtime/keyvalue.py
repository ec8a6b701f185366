"""Turn the reducers' wishes on the key-value service into calls and events."""

from cactuswalk.platform.keyvalue import KeyValueStore
from cactuswalk.runtime.application import Application
from cactuswalk.state.effects import ReadKey, SwapKey
from cactuswalk.state.events import KeyRead

__all__ = ["KeyValueAdapter"]


class KeyValueAdapter:
    """Performs ``ReadKey`` and ``SwapKey``; each ends in one event.

    One call a key is under way at a time: a reducer that asks again each tick
    while the service is away must not queue up calls for its return.
    """

    def __init__(self, application: Application, store: KeyValueStore) -> None:
        self.application = application
        self.store = store
        self.in_flight: set[str] = set()
        application.effect_handlers[ReadKey] = self.read
        application.effect_handlers[SwapKey] = self.swap

    def read(self, effect: ReadKey) -> None:
        """Begin a read, unless one of the same key is under way."""
        call_key = f"read {effect.key}"
        if call_key not in self.in_flight:
            self.in_flight.add(call_key)
            self.application.spawn(self._read(effect, call_key))

    def swap(self, effect: SwapKey) -> None:
        """Begin a swap, unless the same write is under way."""
        call_key = f"swap {effect.write_id}"
        if call_key not in self.in_flight:
            self.in_flight.add(call_key)
            self.application.spawn(self._swap(effect, call_key))

    async def watch(self, prefix: str) -> None:
        """Feed every change under a prefix as a ``KeyRead``, without end."""
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
