"""A fleet whose hosts' clocks start anew at a reboot, and whose network is late."""

import random

import msgspec

from cactuswalk.dispatch import agent, entry
from cactuswalk.dispatch.agentevents import PollAnswered, Received as AgentReceived
from cactuswalk.dispatch.entryevents import Received
from features.support.fleet import Fleet

__all__ = ["RebootDay", "RebootingFleet"]

# How long the hosts have been up when the fleet starts.
UP_SECONDS = 1000.0
JOB_GAP_SECONDS = 0.1


class RebootingFleet(Fleet):
    """Each process reads a clock of its own host.

    :ivar offsets: difference between a host's clock and the fleet's, by process.
    :ivar held_links: links whose messages the network holds up, as pairs of sender and
        receiver; ``late_messages`` has these messages, by link.
    """

    def __init__(self, entries, workers, seed=1):
        names = [f"e{number}" for number in range(entries)]
        names += [f"a{number}" for number in range(workers)]
        self.offsets = dict.fromkeys(names, UP_SECONDS)
        self.held_links = set()
        self.late_messages = {}
        super().__init__(entries, workers, seed)

    def clock(self, name):
        return self.now + self.offsets[name]

    def deliver(self, name, event):
        state = self.states[name]
        if name in self.dead:
            return
        wakes = self.frozen.get(name, 0.0)
        if self.now < wakes:
            self.at(wakes - self.now, lambda: self.deliver_if_same(name, state, event))
            return
        now, offset = self.clock(name), self.offsets[name]
        if isinstance(event, PollAnswered):
            event = msgspec.structs.replace(event, sent_at=event.sent_at + offset)
        role = agent if name in self.workers else entry
        for effect in role.reduce(state, event, now):
            self.perform(name, state, effect)

    def send(self, sender, address, message):
        link = (sender, address)
        # Later changes of the sender's copy don't reach what has been sent.
        message = msgspec.structs.replace(message)
        if link in self.held_links:
            self.late_messages.setdefault(link, []).append(message)
            return
        super().send(sender, address, message)

    def reboot(self, name, seconds):
        """Power a host off with its worker, and have it back after some seconds."""
        self.kill(name)
        self.workers[name].crash()
        self.at(seconds, lambda: self.come_back(name))

    def come_back(self, name):
        self.offsets[name] = -self.now
        self.start_agent(name)
        self.announce(name)

    def replace(self, name):
        """Replace a process by a new one on the same host."""
        self.kill(name)
        if name in self.workers:
            self.start_agent(name)
            self.announce(name)
        else:
            self.start_entry(name, self.states[name].data_centre)

    def arrive_late(self, link):
        """Deliver what the network has held up on a link; keep it for a repeat."""
        sender, address = link
        received = AgentReceived if address in self.workers else Received
        for message in self.late_messages.get(link, []):
            self.deliver(address, received(sender, message))


class RebootDay:
    """Hosts reboot all the time, and late messages arrive.

    :param restarts: processes are also replaced while their hosts stay up.
    """

    def __init__(self, seed, restarts=False):
        self.restarts = restarts
        self.generator = random.Random(seed)
        self.fleet = RebootingFleet(2, 3, seed)
        self.jobs = 0

    def play(self, seconds):
        fleet, generator = self.fleet, self.generator
        ends_at = fleet.now + seconds
        while fleet.now < ends_at:
            self.jobs += 1
            entry_name = generator.choice(fleet.entry_names)
            fleet.submit(
                entry_name,
                f"{self.jobs:016x}",
                generator.randint(1, 12),
                seconds=generator.uniform(0.1, 1.0),
            )
            generator.choice(
                (self.reboot, self.hold_up, self.arrive_late, self.arrive_late)
            )()
            if self.restarts and generator.random() < 0.1:
                self.replace_process()
            fleet.run(generator.expovariate(1 / JOB_GAP_SECONDS))
        fleet.run(6.0)

    def links(self):
        fleet = self.fleet
        pairs = [(one, two) for one in fleet.entry_names for two in fleet.workers]
        return pairs + [(two, one) for one, two in pairs]

    def reboot(self):
        name = self.generator.choice(list(self.fleet.workers))
        if name not in self.fleet.dead and self.generator.random() < 0.3:
            self.fleet.reboot(name, self.generator.uniform(0.05, 1.5))

    def replace_process(self):
        fleet = self.fleet
        name = self.generator.choice(fleet.entry_names + list(fleet.workers))
        if name not in fleet.dead:
            fleet.replace(name)

    def hold_up(self):
        link = self.generator.choice(self.links())
        self.fleet.late_messages.pop(link, None)
        self.fleet.held_links.add(link)
        span = self.generator.uniform(0.01, 0.4)
        self.fleet.at(span, lambda: self.fleet.held_links.discard(link))

    def arrive_late(self):
        late_messages = sorted(self.fleet.late_messages)
        if late_messages:
            self.fleet.arrive_late(self.generator.choice(late_messages))
