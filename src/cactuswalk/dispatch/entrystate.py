"""What one entry knows, and what all parts of its reducer do with it."""

import math

from cactuswalk.decisions.estimation import DurationEstimate
from cactuswalk.dispatch.agentview import AgentView, PlacedTask
from cactuswalk.dispatch.effects import Effect, Observe, Say, SendMessage
from cactuswalk.dispatch.entryknown import KnownEntry
from cactuswalk.dispatch.evacuation import NOTHING_EVACUATED
from cactuswalk.dispatch.jobstate import JobState
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import Stop
from cactuswalk.dispatch.overflow import CapacitySearch
from cactuswalk.dispatch.routing import Queues

__all__ = ["READY_HEARD_SECONDS", "EntryState"]

# An entry that hears no agent for this long can serve nobody: several reports.
READY_HEARD_SECONDS = 1.0

# Jobs of a priority are expected for so long after one has come: a pause between two
# of them shouldn't have others take the room that the next one needs.
URGENT_SECONDS = 1.0

# Processes that were powered on together meet within so long of the first. An entry
# that is up before its agents would refuse jobs that have the time to wait for them.
DISCOVERY_SECONDS = 0.3

# What is told to callers as the queue's length where no worker is known.
MAX_QUEUED_SECONDS = 5.0


class EntryState:
    """All that one entry knows.

    :param address: this entry's, for messages.
    :param life: names this life of the process.
    :param seeds: addresses of other entries from the settings.
    :param far_factor: by which a task takes longer away from its data's rack.
    :param grace_seconds: between the request to stop and a kill.
    :ivar listed: addresses of the entries that the store has.
    :ivar members: the entries that others are told of, in order.
    :ivar overflow_until: until when agents that are not at home here are used for
        their room, by address.
    """

    def __init__(
        self,
        address: str,
        incarnation: str,
        data_centre: str,
        seeds: list[str],
        far_factor: float,
        grace_seconds: float,
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.seeds = [seed for seed in seeds if seed != address]
        self.far_factor = far_factor
        self.grace_seconds = grace_seconds
        self.queues: Queues | None = None
        self.evacuations = NOTHING_EVACUATED
        self.jobs: dict[str, JobState] = {}
        self.views: dict[str, AgentView] = {}
        self.entries = {seed: KnownEntry(-math.inf) for seed in self.seeds}
        self.next_status_index = 0
        self.listed_entries: set[str] = set()
        self.members: list[Member] = []
        self.members_digest = 0
        self.members_version = 0
        self.overflow_until: dict[str, float] = {}
        self.search = CapacitySearch()
        self.estimates: dict[str, DurationEstimate] = {}
        self.arrived_at: dict[tuple[str, int], float] = {}
        self.next_sequence = 1
        self.stop_at = 0.0
        self.placement_needed = False
        self.evacuations_changed = False
        self.keepalive_sent_at: dict[str, float] = {}
        self.status_sent_at = 0.0
        self.first_open_worker_at = math.inf
        self.effects: list[Effect] = []

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 while there is none."""
        return self.queues.version if self.queues else 0

    def waiting_jobs(self) -> list[JobState]:
        """Return the jobs of which a task waits for a place."""
        return [job for job in self.jobs.values() if job.waiting]

    def is_ready(self, now: float) -> bool:
        """Return whether new callers should come to this entry."""
        return self.queues is not None and not self.stop_at and self.has_live_agent(now)

    def has_live_agent(self, now: float) -> bool:
        """Return whether any agent has been heard lately."""
        return any(
            now - view.heard_at < READY_HEARD_SECONDS for view in self.views.values()
        )

    def usable_views(self) -> list[AgentView]:
        """Return the agents whose data centres are not evacuated."""
        evacuated = self.evacuations.data_centres
        if not evacuated:
            return list(self.views.values())
        return [
            view
            for view in self.views.values()
            if view.report.data_centre not in evacuated
        ]

    def knows_usable_data_centre(self) -> bool:
        """Return whether a data centre with entries is known that isn't evacuated."""
        known = {entry.data_centre for entry in self.entries.values()}
        known.add(self.data_centre)
        return bool(known - {""} - set(self.evacuations.data_centres))

    def has_usable_agent(self, now: float) -> bool:
        """Return whether an agent that may get tasks has been heard lately."""
        evacuated = self.evacuations.data_centres
        return any(
            now - view.heard_at < READY_HEARD_SECONDS
            and view.report.data_centre not in evacuated
            for view in self.views.values()
        )

    def free_cpu(self, now: float) -> int:
        """Return what the home agents have free, in thousandths of a core."""
        return sum(
            max(0, view.free_cpu)
            for view in self.usable_views()
            if view.report.home and view.is_open(now)
        )

    def is_discovering_workers(self, now: float) -> bool:
        """Return whether this entry has known no open worker until a moment ago."""
        return now - self.first_open_worker_at < DISCOVERY_SECONDS

    def count_queued_jobs(self, name: str) -> int:
        """Return how many jobs of a queue wait here and have not started."""
        return sum(
            job.queue.name == name and not job.has_started for job in self.jobs.values()
        )

    def urgent_priorities(self, now: float) -> dict[str, int]:
        """Return, by service, the first priority of which jobs have come lately."""
        urgent_priorities: dict[str, int] = {}
        for (service, priority), arrived_at in self.arrived_at.items():
            if now - arrived_at < URGENT_SECONDS:
                urgent_priorities[service] = min(
                    priority, urgent_priorities.get(service, priority)
                )
        return urgent_priorities

    def queued_seconds(self) -> float:
        """Return what waits for room, in seconds of all workers' time."""
        views = self.usable_views()
        capacity = sum(view.report.free_cpu for view in views)
        capacity += sum(
            placed.start.cpu for view in views for placed in view.placed.values()
        )
        waiting = sum(
            task.step.cpu * job.expected_seconds
            for job in self.jobs.values()
            for task in job.waiting
        )
        return waiting / capacity if capacity > 0 else MAX_QUEUED_SECONDS

    def send(self, address: str, message) -> None:
        """Have a message sent."""
        self.effects.append(SendMessage(address, message))

    def say(self, sentence: str, **fields: object) -> None:
        """Have a log line written."""
        self.effects.append(Say(sentence, fields))

    def observe(self, name: str, label: str = "", seconds: float | None = None) -> None:
        """Have an event counted, or a duration recorded."""
        self.effects.append(Observe(name, label, seconds))

    def send_stop(self, view: AgentView, placed: PlacedTask, now: float) -> None:
        """Have an agent stop a start."""
        placed.stop_sent_at = now
        self.send(view.address, Stop(self.incarnation, placed.start.sequence))
