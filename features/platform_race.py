"""Concurrent swaps under faults, and faulty clients that the race must detect."""

import asyncio
import contextlib

import msgspec

from cactuswalk.platform import swapoutcome
from cactuswalk.platform.keyvalue import KeyValueStore
from cactuswalk.platform.swapoutcome import Verdict, contains_write_id
from cactuswalk.state.events import KeySwapped, SwapOutcome
from features.platform_world import World, memory_store
from standins.keyvalue_virtual import VirtualLoop

# The actions of a race; swaps and faults come with a number.
ACTIONS = [
    *("swap", "swap", "swap", "create", "wait", "long wait"),
    *("lose_reply", "lose_request", "hold", "hold"),
    *("slow", "quick", "down", "up", "frozen", "release", "compact"),
]


def run_race(kind, actions):
    """Run one race in a world of its own, and return the reported outcomes."""
    with contextlib.closing(World(VirtualLoop())) as world:

        async def play():
            race = Race(world, kind)
            await race.play(actions)
            return race.reported

        return world.run(play())


class Race:
    """Three clients that swap keys, and the record of their reported outcomes."""

    def __init__(self, world, kind):
        self.world = world
        self.clients = [
            memory_store(world.service, f"client-{number}", number, kind)
            for number in range(3)
        ]
        self.swaps = {}
        self.reported = {}
        self.written = []
        self.seen = world.service.store.revision
        self.tasks = []
        world.service.store.listeners.add(self.record_changes)

    def record_changes(self):
        store = self.world.service.store
        for change in store.history:
            if change.revision > self.seen:
                self.written.append((change.revision, change.entry.value))
        self.seen = store.revision

    async def play(self, actions):
        for action, number in actions:
            self.apply_action(action, number)
            await asyncio.sleep({"wait": 0.3, "long wait": 25}.get(action, 0.001))
        compacted = any(action == "compact" for action, _ in actions)
        self.world.service.set_faults(
            {"down": False, "frozen": False, "slow_ms": 0}
            | {"lose_reply": 0, "lose_request": 0, "hold": 0}
        )
        await asyncio.gather(*self.tasks)
        self.check()
        self.world.service.release()
        self.check()
        for write_id, (client, arguments) in self.swaps.items():
            if self.reported[write_id].outcome is SwapOutcome.UNKNOWN:
                self.reported[write_id] = await client.swap(*arguments)
                known = self.reported[write_id].outcome is not SwapOutcome.UNKNOWN
                assert known or compacted, write_id
        await asyncio.sleep(60)
        self.check()

    def apply_action(self, action, number):
        service = self.world.service
        if action in ("swap", "create"):
            task = self.swap(number, "new" if action == "create" else "cell")
            self.tasks.append(asyncio.create_task(task))
        elif action in ("lose_reply", "lose_request", "hold"):
            service.set_faults({action: number})
        elif action in ("slow", "quick"):
            service.set_faults({"slow_ms": 2500 if action == "slow" else 0})
        elif action in ("down", "up"):
            service.set_faults({"down": action == "down"})
        elif action == "frozen":
            service.set_faults({"frozen": number > 0})
        elif action == "release":
            service.release()
        elif action == "compact":
            service.store.compact()

    async def swap(self, number, key):
        client = self.clients[number]
        current = await client.read(key)
        if not current.known:
            return
        write_id = f"write-{len(self.swaps)}"
        value = msgspec.json.encode({"write_id": write_id})
        arguments = (key, current.revision, value, write_id)
        self.swaps[write_id] = (client, arguments)
        self.reported[write_id] = await client.swap(*arguments)

    def check(self):
        for write_id, reported in self.reported.items():
            value = self.swaps[write_id][1][2]
            revisions = [number for number, wrote in self.written if wrote == value]
            if reported.outcome is SwapOutcome.APPLIED:
                assert revisions == [reported.revision], (reported, revisions)
            elif reported.outcome is SwapOutcome.LOST:
                assert revisions == [], (reported, revisions)
            else:
                assert len(revisions) <= 1, (reported, revisions)


class TreatsTimeoutAsLost(KeyValueStore):
    """Reports a swap of unknown outcome as lost."""

    async def swap(self, key, expected, value, write_id):
        reported = await super().swap(key, expected, value, write_id)
        if reported.outcome is SwapOutcome.UNKNOWN:
            return KeySwapped(key, write_id, SwapOutcome.LOST, 0)
        return reported


class TrustsOneRead(KeyValueStore):
    """Sends a swap once, and after a failure trusts a single read."""

    async def _swap_until_certain(self, key, expected, value, write_id):
        self.max_retry_seconds, max_retry_seconds = 0.001, self.max_retry_seconds
        try:
            verdict = await super()._swap_until_certain(key, expected, value, write_id)
        finally:
            self.max_retry_seconds = max_retry_seconds
        if verdict is not None:
            return verdict
        current = await self.read(key)
        if not current.known:
            return None
        if contains_write_id(current.value or b"", write_id):
            return Verdict(SwapOutcome.APPLIED, current.revision)
        return Verdict(SwapOutcome.LOST, current.revision)


class IgnoresHistory(KeyValueStore):
    """Takes another writer's value as proof that its own was never applied."""

    async def _search_history(self, reply, write_id, start, deadline):
        return swapoutcome.classify_reply(reply, write_id, False)


class ForgetsInDoubt(KeyValueStore):
    """Treats a repeated swap as a new one."""

    def _track_in_doubt(self, write_id):
        self.in_doubt.clear()
        return super()._track_in_doubt(write_id)

    async def _swap_until_certain(self, key, expected, value, write_id):
        self.in_doubt.clear()
        return await super()._swap_until_certain(key, expected, value, write_id)


FAULTY_CLIENTS = {
    "reports a timeout as lost": TreatsTimeoutAsLost,
    "trusts a single read": TrustsOneRead,
    "ignores the history": IgnoresHistory,
    "forgets its swaps in doubt": ForgetsInDoubt,
}
