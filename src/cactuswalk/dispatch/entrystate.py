"""The state of an entry's reducer."""

import math

from cactuswalk.decisions.estimation import DurationEstimate
from cactuswalk.decisions.expectedend import ShortestKind
from cactuswalk.decisions.prospects import Prospects
from cactuswalk.decisions.recovery import Recovery, keeps_late_jobs
from cactuswalk.dispatch.agentview import AgentView, PlacedTask
from cactuswalk.dispatch.bounds import RESUME_SECONDS
from cactuswalk.dispatch.crashes import KnownCrashes
from cactuswalk.dispatch.entryknown import KnownEntry
from cactuswalk.dispatch.evacuation import NOTHING_EVACUATED
from cactuswalk.dispatch.headroom import Headroom
from cactuswalk.dispatch.job import TaskKey
from cactuswalk.dispatch.jobstate import JobState
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import Stop
from cactuswalk.dispatch.overflow import CapacitySearch
from cactuswalk.dispatch.placement import median_pace
from cactuswalk.dispatch.reducerstate import ReducerState
from cactuswalk.dispatch.routing import Queues

__all__ = ["EntryState"]

# A priority counts as urgent for this long after a job of it arrived, so that in a
# short pause other jobs don't take the capacity that the next one needs.
URGENT_SECONDS = 1.0

# The store answers a watch each 1.2 s at the latest, or 0.2 s later where it is slow.
STORE_SILENT_SECONDS = 1.8

# Assumed length of the queue if no worker is known.
MAX_QUEUED_SECONDS = 5.0


class EntryState(ReducerState):
    """The state of one entry.

    :param address: this entry's, for messages.
    :param incarnation: identifies this run of the process.
    :param seeds: addresses of other entries from the settings.
    :param far_factor: by which a task takes longer outside its data's rack.
    :param grace_seconds: between the request to stop and a kill.
    :ivar queued: jobs that may have a task waiting for a worker, by identifier.
    :ivar views: agents by address.
    :ivar stopping_tasks: tasks of removed jobs whose starts have not ended.
    :ivar listed_entries: addresses of the entries that the store lists.
    :ivar members: the entries that others are told of, sorted.
    :ivar known_crashes: of workers under tasks of other entries' jobs.
    :ivar overflow_until: until when each overflow agent is used, by address.
    :ivar arrived_at: when the latest job arrived, by service and priority.
    :ivar shortest_kind: kinds of recent jobs, to choose probes (``place_by_end``).
    :ivar headroom: measured demand and what it leaves free (``measure_headroom``).
    :ivar stop_at: when the process will be killed; 0 while it is not stopping.
    :ivar recovery: from the start of this entry until its first queue is served.
    :ivar median_pace: of the live workers, as of the last tick.
    :ivar recheck_requested: waiting jobs may fit no known worker any more.
    :ivar waiting_cpu: size of the tasks that wait for a worker, in thousandths of a
        core, as of the last placement round or tick; 0 unless ``policy.divides_room``.
    :ivar store_answered_at: when the platform's store answered this entry last.
    :ivar handled_at: when an event was handled last; before the first, when the process
        started.
    :ivar paused_until: when the last gap between two events ended that was longer than
        the bounds allow for; ``paused_seconds`` is its length.
    :ivar resumed_at: when the last pause of this process ended.
    :ivar isolated_at: since when few of its agents are heard; 0 while it hears them.
    :ivar isolated_until: when the last isolation ended, or when none of its agents was
        heard in the current one.
    :ivar heard_again_at: when enough agents were heard in an isolation that may have
        been their restart; 0 before.
    :ivar silent_incarnations: by address, those of the agents that were silent in the
        isolation.
    :ivar placed_from: tasks of jobs that arrived before this time are not placed.
    :ivar prospects: from which the admission of jobs is predicted.
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
        super().__init__()
        self.address = address
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.seeds = [seed for seed in seeds if seed != address]
        self.far_factor = far_factor
        self.grace_seconds = grace_seconds
        self.queues: Queues | None = None
        self.evacuations = NOTHING_EVACUATED
        self.jobs: dict[str, JobState] = {}
        self.queued: dict[str, JobState] = {}
        self.views: dict[str, AgentView] = {}
        self.stopping_tasks: set[TaskKey] = set()
        self.entries = {seed: KnownEntry(-math.inf) for seed in self.seeds}
        self.next_status_index = 0
        self.known_crashes: dict[TaskKey, KnownCrashes] = {}
        self.listed_entries: set[str] = set()
        self.members: list[Member] = []
        self.members_digest = 0
        self.members_version = 0
        self.overflow_until: dict[str, float] = {}
        self.search = CapacitySearch()
        self.estimates: dict[str, DurationEstimate] = {}
        self.arrived_at: dict[tuple[str, int], float] = {}
        self.shortest_kind = ShortestKind()
        self.headroom = Headroom()
        self.next_sequence = 1
        self.next_agent_number = 1
        self.stop_at = 0.0
        self.median_pace = 1.0
        self.placement_needed = False
        self.recheck_requested = False
        self.waiting_cpu = 0
        self.keepalive_sent_at: dict[str, float] = {}
        self.status_sent_at = 0.0
        self.recovery = Recovery()
        self.store_answered_at = -math.inf
        self.handled_at = math.inf
        self.paused_until = -math.inf
        self.paused_seconds = 0.0
        self.resumed_at = -math.inf
        self.isolated_at = 0.0
        self.isolated_until = -math.inf
        self.heard_again_at = 0.0
        self.silent_incarnations: dict[str, str] = {}
        self.placed_from = -math.inf
        self.prospects = Prospects()

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 while there is none."""
        return self.queues.version if self.queues else 0

    def waiting_jobs(self) -> list[JobState]:
        """Return the jobs that have a task waiting for a worker."""
        if not self.queued:
            return []
        waiting = [job for job in self.queued.values() if job.waiting]
        if len(waiting) < len(self.queued):
            self.queued = {job.request.identifier: job for job in waiting}
        return waiting

    def note_waiting(self, job: JobState) -> None:
        """Note that a job may have a task waiting for a worker."""
        self.queued[job.request.identifier] = job

    def is_ready(self, now: float) -> bool:
        """Return whether this entry should get new callers."""
        if self.queues is None or self.stop_at or self.waits_after_pause(now):
            return False
        return self.has_live_agent(now)

    def reaches_store(self, now: float) -> bool:
        """Return whether the platform's store has answered this entry recently."""
        return now - self.store_answered_at < STORE_SILENT_SECONDS

    def waits_after_pause(self, now: float) -> bool:
        """Return whether no task may be placed yet, since this process was paused."""
        return now - self.resumed_at < RESUME_SECONDS

    def has_live_agent(self, now: float) -> bool:
        """Return whether any agent has reported recently."""
        return any(view.is_live(now) for view in self.views.values())

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

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the operators have a data centre evacuated."""
        return data_centre in self.evacuations.data_centres

    def update_median_pace(self, now: float) -> None:
        """Recompute the median pace of the workers that may get tasks."""
        self.median_pace = median_pace(
            [
                view
                for view in self.usable_views()
                if view.report.worker and view.is_live(now)
            ]
        )

    def knows_usable_data_centre(self) -> bool:
        """Return whether any known data centre with entries is not evacuated."""
        known = {entry.data_centre for entry in self.entries.values()}
        known.add(self.data_centre)
        return bool(known - {""} - set(self.evacuations.data_centres))

    def has_usable_agent(self, now: float) -> bool:
        """Return whether an agent that may get tasks has reported recently."""
        evacuated = self.evacuations.data_centres
        for view in self.views.values():
            if view.is_live(now) and view.report.data_centre not in evacuated:
                return True
        return False

    def free_cpu(self, now: float) -> int:
        """Return the home agents' free capacity in thousandths of a core."""
        return sum(
            max(0, view.free_cpu)
            for view in self.usable_views()
            if view.report.home and view.is_open(now)
        )

    def is_discovering_workers(self, now: float) -> bool:
        """Return whether no open worker was known until just now.

        An entry that is up before its agents would otherwise refuse jobs that could
        wait for them.
        """
        return self.recovery.is_discovering(now)

    def keeps_late_jobs(self, now: float) -> bool:
        """Return whether jobs that can't be on time any more are kept."""
        if not self.policy.serves_late or self.recovery.has_ended:
            return False
        return keeps_late_jobs(self.recovery, self.queued_seconds(False), now)

    def count_queued_jobs(self, name: str) -> int:
        """Return the number of a queue's jobs here that have not started."""
        return sum(
            job.queue.name == name and not job.has_started for job in self.jobs.values()
        )

    def urgent_priorities(self, now: float) -> dict[str, int]:
        """Return the most urgent priority of recent jobs, by service."""
        urgent_priorities: dict[str, int] = {}
        for (service, priority), arrived_at in self.arrived_at.items():
            if now - arrived_at < URGENT_SECONDS:
                urgent_priorities[service] = min(
                    priority, urgent_priorities.get(service, priority)
                )
        return urgent_priorities

    def queued_seconds(self, with_late_jobs: bool = True) -> float:
        """Return the queued work, in seconds of all workers' time.

        :param with_late_jobs: or of those only that can be on time.
        """
        views = self.usable_views()
        # A worker that has shrunk below what it runs has no capacity for this entry,
        # but takes nothing from what other workers have.
        capacity = sum(max(0, view.own_cpu()) for view in views)
        waiting = sum(
            task.step.cpu * job.expected_seconds
            for job in self.jobs.values()
            if with_late_jobs or not job.is_late
            for task in job.waiting
        )
        return waiting / capacity if capacity > 0 else MAX_QUEUED_SECONDS

    def send_stop(self, view: AgentView, placed: PlacedTask, now: float) -> None:
        """Ask an agent to stop the task of a start."""
        placed.stop_sent_at = now
        start = placed.start
        stop = Stop(self.incarnation, start.sequence, start.agent_incarnation)
        self.send(view.address, stop)
