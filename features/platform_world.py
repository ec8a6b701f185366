"""Event loop, stand-in and client for the features of the key-value service."""

import asyncio
import random

from cactuswalk.decisions.callbudget import AGENT_BURST, AGENT_RATE, CallBudget
from cactuswalk.platform.keyvalue import (
    KeyValueStore,
)
from standins.keyvalue import KeyValueService
from standins.keyvalue_virtual import MemoryConnection

PROPERTY = {"derandomize": True, "database": None, "deadline": None}


def memory_store(service, name, seed=0, kind=KeyValueStore, count=lambda name: None):
    """Return a client with an agent's call budget and a fixed seed."""
    return kind(
        MemoryConnection(service, name),
        CallBudget(AGENT_RATE, AGENT_BURST),
        asyncio.get_running_loop().time,
        random.Random(seed),
        count,
    )


class World:
    """An event loop with a service and a client, and a scenario's observations."""

    def __init__(self, loop):
        self.loop = loop
        self.tasks = []
        self.failure_hooks = []
        self.counted = []
        self.seen = []
        self.run(self.start())

    async def start(self):
        self.service = KeyValueService()
        self.store = memory_store(self.service, "client", count=self.count)
        self.service.store.put(b"cell", b"first")

    def count(self, name):
        self.counted.append(name)
        if name.startswith("platform.failure."):
            for hook in self.failure_hooks:
                hook()
            self.failure_hooks.clear()

    def run(self, work):
        return self.loop.run_until_complete(work)

    def close(self):
        self.run(self.stop())
        self.loop.close()

    async def stop(self):
        await self.service.stop()
        await self.store.close()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
