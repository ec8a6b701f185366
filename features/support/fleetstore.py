"""The platform's store of the simulated fleet: evacuations, and who can reach it."""

import collections

from cactuswalk.dispatch.agentevents import EvacuationsListed
from cactuswalk.dispatch.entryevents import EvacuationsRead, StoreAnswered
from cactuswalk.dispatch.evacuation import Evacuations

__all__ = ["STORE_SECONDS", "FleetStore"]

STORE_SECONDS = 0.005
# A watch of the store that brings no change is answered after this time.
WATCH_SECONDS = 1.2


class FleetStore:
    """What the store tells entries and agents, for ``Fleet``.

    :ivar evacuated: the data centres that are evacuated.
    :ivar cut_from_store: the processes that can't reach the store.
    :ivar store_reads: agents' reads of the evacuations, by agent.
    """

    def __init__(self):
        self.evacuated = set()
        self.store_revision = 1
        self.cut_from_store = set()
        self.store_reads = collections.Counter()

    def answer_watch(self, name, state):
        """Answer an entry's watch of the store, if the entry can reach it."""
        if self.states.get(name) is not state or name in self.dead:
            return
        if name not in self.cut_from_store:
            self.deliver(name, StoreAnswered())
        self.at(WATCH_SECONDS, lambda: self.answer_watch(name, state))

    def evacuate(self, centre):
        """Evacuate a data centre; entries that can reach the store learn of it."""
        self.evacuated.add(centre)
        self.write_store()

    def take_back(self, centre):
        self.evacuated.discard(centre)
        self.write_store()

    def write_store(self):
        self.store_revision += 1
        for name in self.living():
            self.read_store(name)

    def read_store(self, name):
        """Have an entry read the current state of the store, if it can reach it."""
        if name in self.cut_from_store:
            return
        known = self.known_evacuations()
        state = self.states[name]
        self.at(
            STORE_SECONDS,
            lambda: self.deliver_if_same(name, state, EvacuationsRead(known)),
        )

    def list_evacuations(self, name, state):
        """Answer an agent's read of the evacuations, if it can reach the store."""
        known = None if name in self.cut_from_store else self.known_evacuations()
        self.at(
            STORE_SECONDS,
            lambda: self.deliver_if_same(name, state, EvacuationsListed(known)),
        )

    def known_evacuations(self):
        return Evacuations(self.store_revision, tuple(sorted(self.evacuated)))
