"""A race of swaps under faults, and clients that guess where they should not."""

import asyncio
import contextlib

import msgspec

from cactuswalk.platform import swapoutcome
from cactuswalk.platform.keyvalue import KeyValueStore
from cactuswalk.platform.swapoutcome import Verdict, contains_write_id
from cactuswalk.state.events import KeySwapped, SwapOutcome
from features.platform_world import World, memory_store
from standins.keyvalue_virtual import VirtualLoop

# One act of a race: who, what, on which of two keys.
ACTS = [
    *("swap", "swap", "swap", "create", "wait", "long wait"),
    *("lose_reply", "lose_request", "hold", "hold"),
    *("slow", "quick", "down", "up", "frozen", "release", "compact"),
]


def run_race(kind, acts):
    """Play one race in a world of its own, and return what was told."""
    with contextlib.closing(World(VirtualLoop())) as world:

        async def play():
            race = Race(world, kind)
            await race.play(acts)
            return race.told

        return world.run(play())


class Race:
    """Three clients that swap one key, and the record of what they were told."""

    def __init__(self, world, kind):
        self.world = world
        self.clients = [
            memory_store(world.service, f"client-{number}", number, kind)
            for number in range(3)
        ]
        self.swaps = {}
        self.told = {}
        self.written = []
        self.seen = world.service.store.revision
        self.tasks = []
        world.service.store.listeners.add(self.note)

    def note(self):
        store = self.world.service.store
        for change in store.history:
            if change.revision > self.seen:
                self.written.append((change.revision, change.entry.value))
        self.seen = store.revision

    async def play(self, acts):
        for act, number in acts:
            self.act(act, number)
            await asyncio.sleep({"wait": 0.3, "long wait": 25}.get(act, 0.001))
        compacted = any(act == "compact" for act, _ in acts)
        self.world.service.set_faults(
            {"down": False, "frozen": False, "slow_ms": 0}
            | {"lose_reply": 0, "lose_request": 0, "hold": 0}
        )
        await asyncio.gather(*self.tasks)
        self.check()
        self.world.service.release()
        self.check()
        for write_id, (client, arguments) in self.swaps.items():
            if self.told[write_id].outcome is SwapOutcome.UNKNOWN:
                self.told[write_id] = await client.swap(*arguments)
                known = self.told[write_id].outcome is not SwapOutcome.UNKNOWN
                assert known or compacted, write_id
        await asyncio.sleep(60)
        self.check()

    def act(self, act, number):
        service = self.world.service
        if act in ("swap", "create"):
            task = self.swap(number, "new" if act == "create" else "cell")
            self.tasks.append(asyncio.create_task(task))
        elif act in ("lose_reply", "lose_request", "hold"):
            service.set_faults({act: number})
        elif act in ("slow", "quick"):
            service.set_faults({"slow_ms": 2500 if act == "slow" else 0})
        elif act in ("down", "up"):
            service.set_faults({"down": act == "down"})
        elif act == "frozen":
            service.set_faults({"frozen": number > 0})
        elif act == "release":
            service.release()
        elif act == "compact":
            service.store.compact()

    async def swap(self, number, key):
        client = self.clients[number]
        held = await client.read(key)
        if not held.known:
            return
        write_id = f"write-{len(self.swaps)}"
        value = msgspec.json.encode({"write_id": write_id})
        arguments = (key, held.revision, value, write_id)
        self.swaps[write_id] = (client, arguments)
        self.told[write_id] = await client.swap(*arguments)

    def check(self):
        for write_id, told in self.told.items():
            value = self.swaps[write_id][1][2]
            revisions = [number for number, wrote in self.written if wrote == value]
            if told.outcome is SwapOutcome.APPLIED:
                assert revisions == [told.revision], (told, revisions)
            elif told.outcome is SwapOutcome.LOST:
                assert revisions == [], (told, revisions)
            else:
                assert len(revisions) <= 1, (told, revisions)


class TimeoutIsRefusal(KeyValueStore):
    """Says "lost" where it knows nothing."""

    async def swap(self, key, expected, value, write_id):
        told = await super().swap(key, expected, value, write_id)
        if told.outcome is SwapOutcome.UNKNOWN:
            return KeySwapped(key, write_id, SwapOutcome.LOST, 0)
        return told


class ReadsBackOnce(KeyValueStore):
    """Sends once, and after a failure believes what it reads."""

    async def _swap_until_certain(self, key, expected, value, write_id):
        self.max_retry_seconds, max_retry_seconds = 0.001, self.max_retry_seconds
        try:
            verdict = await super()._swap_until_certain(key, expected, value, write_id)
        finally:
            self.max_retry_seconds = max_retry_seconds
        if verdict is not None:
            return verdict
        held = await self.read(key)
        if not held.known:
            return None
        if contains_write_id(held.value or b"", write_id):
            return Verdict(SwapOutcome.APPLIED, held.revision)
        return Verdict(SwapOutcome.LOST, held.revision)


class NoHistory(KeyValueStore):
    """Takes another's value for the proof that its own was never there."""

    async def _search_history(self, reply, write_id, start, deadline):
        return swapoutcome.classify_reply(reply, write_id, False)


class Forgetful(KeyValueStore):
    """Takes a swap that is asked again for a new one."""

    def _track_in_doubt(self, write_id):
        self.in_doubt.clear()
        return super()._track_in_doubt(write_id)

    async def _swap_until_certain(self, key, expected, value, write_id):
        self.in_doubt.clear()
        return await super()._swap_until_certain(key, expected, value, write_id)


GUESSES = {
    "takes a time-out for a refusal": TimeoutIsRefusal,
    "reads back once and believes it": ReadsBackOnce,
    "doesn't look at the history": NoHistory,
    "forgets what it left unsettled": Forgetful,
}
