"""State of an agent, with the operations that all parts of its reducer share."""

import math

from cactuswalk.decisions.division import Division
from cactuswalk.decisions.usualpace import UsualPace
from cactuswalk.dispatch.agentcapacity import CapacityBounds
from cactuswalk.dispatch.agentheld import EntryPeer, HeldTask
from cactuswalk.dispatch.agentindex import HeldIndex
from cactuswalk.dispatch.evacuation import NOTHING_EVACUATED, Evacuations
from cactuswalk.dispatch.incarnations import KnownIncarnations
from cactuswalk.dispatch.job import Worker
from cactuswalk.dispatch.messages import StartEnded, TaskEnd
from cactuswalk.dispatch.reducerstate import ReducerState
from cactuswalk.dispatch.soundness import WorkerHealth

__all__ = ["AgentState"]

# Starts that entries sent before they learnt that the agent is closed arrive within
# this time.
CLOSE_DELAY_SECONDS = 0.1


class AgentState(ReducerState):
    """State of one agent.

    :param incarnation: identifies this run of the process.
    :param token: fencing token; greater than that of any earlier incarnation, as far
        as is known.
    :param seeds: addresses of entries from the settings.
    :param name: of the process, by which its home entries are chosen.
    :param grace_seconds: between the request to stop and a kill.
    :param drain_seconds: how long a draining worker may be given tasks.
    :ivar entries: entries that it reports to, by address.
    :ivar stored_entries: data centre of each entry that the store listed, by address.
    :ivar leaves_at: earliest time at which a draining worker leaves; once it has
        announced that it leaves now, when its lease expires.
    :ivar drained_at: from then on a draining worker is given no tasks.
    :ivar closes_at: from then on this agent, once asked to stop, accepts no tasks; it
        ends by ``stop_by``.
    :ivar incarnations: the latest incarnation of each worker that was used here.
    :ivar is_announced: a heartbeat of the worker's current incarnation has come, so
        that its capacity and its service are known.
    :ivar may_have_departed: a departure was announced under the worker's name, perhaps
        by its earlier incarnation, and no heartbeat has come since.
    :ivar adopted_at: when the current incarnation of the worker was adopted.
    :ivar bounds: upper bounds of the worker's capacity, as refused starts have shown
        them since its latest heartbeat.
    :ivar usual_cpu: average size of the latest starts, in thousandths of a core.
    :ivar division: of the free capacity among the entries, if ``policy.divides_room``.
    :ivar candidate: a new incarnation of the worker that has not answered a poll yet;
        ``candidate_at`` is when its latest heartbeat came.
    :ivar reachable: the worker answers polls, and has not announced that it leaves.
    :ivar has_departed: the worker has announced that it leaves.
    :ivar presumed_gone: why the worker has perhaps ended; empty if it hasn't.
    :ivar blamed: handles of the runs that are to blame if it has crashed.
    :ivar ready_to_start: the worker runs nothing of an earlier incarnation of this
        agent.
    :ivar held: accepted starts that have not ended, by handle; ``index`` has what is
        looked up of them.
    :ivar runs: highest run number used for each task.
    :ivar highest_end: highest number of an ended run that the worker has listed;
        ``acknowledged_end`` of those, the highest that a poll has acknowledged.
    :ivar poll_token: fencing token of the waiting poll in progress; ``check_token`` of
        the check in progress.
    :ivar check_requested: a poll that doesn't wait is to be sent.
    :ivar renewed_at: when the worker's lease was renewed last.
    :ivar renewal_withheld: the worker's lease is not renewed, so that a run ends.
    :ivar entries_asked_at: when the store was asked for the entries last.
    :ivar informed_at: when an entry that reaches the store was last heard.
    :ivar evacuations_asked_at: when the evacuations were last read here; they are read
        at most each ``evacuations_interval`` seconds.
    """

    def __init__(
        self,
        incarnation: str,
        token: int,
        seeds: list[str],
        name: str,
        data_centre: str,
        grace_seconds: float,
        drain_seconds: float,
    ) -> None:
        super().__init__()
        self.incarnation = incarnation
        self.token = token
        self.seeds = list(seeds)
        self.name = name
        self.data_centre = data_centre
        self.grace_seconds = grace_seconds
        self.drain_seconds = drain_seconds
        self.leaves_at = math.inf
        self.drained_at = math.inf
        self.closes_at = math.inf
        self.stop_by = math.inf
        self.entries: dict[str, EntryPeer] = {}
        self.stored_entries: dict[str, str] = {}
        self.refresh_at = 0.0
        self.evacuations = NOTHING_EVACUATED
        self.worker: Worker | None = None
        self.incarnations = KnownIncarnations()
        self.is_announced = False
        self.adopted_at = -math.inf
        self.may_have_departed = False
        self.bounds = CapacityBounds()
        self.usual_cpu = 0
        self.division = Division()
        self.candidate: Worker | None = None
        self.candidate_at = 0.0
        self.announced_at = 0.0
        self.reachable = False
        self.has_departed = False
        self.presumed_gone = ""
        self.blamed: set[int] = set()
        self.ready_to_start = False
        self.health = WorkerHealth()
        self.usual_pace = UsualPace()
        self.held: dict[int, HeldTask] = {}
        self.index = HeldIndex()
        self.runs: dict[object, int] = {}
        self.next_handle = 1
        self.acknowledged_end = 0
        self.highest_end = 0
        self.poll_pending = False
        self.poll_not_before = 0.0
        self.unanswered_poll_at = -math.inf
        self.poll_token = self.check_token = token
        self.check_requested = False
        self.check_pending = False
        self.renewed_at = 0.0
        self.renewal_withheld = False
        self.answered_at = 0.0
        self.stopping = False
        self.entries_asked_at = 0.0
        self.informed_at = 0.0
        self.evacuations_asked_at = -math.inf
        self.evacuations_interval = 0.0

    def reported_pace(self) -> float:
        """Return the worker's pace as the entries are told."""
        if self.policy.places_by_end and not self.health.is_restricted:
            return self.usual_pace.pace
        return self.health.pace

    def is_idle(self, now: float) -> bool:
        """Return whether all runs have ended and every reachable entry knows the ends.

        An entry that is gone acknowledges nothing any more: waiting for it would delay
        a planned stop until the process is about to be killed. Starts that were sent
        before the entries learnt that this agent is closed may still be in transit.
        """
        if self.held or (self.stopping and now < self.closes_at + CLOSE_DELAY_SECONDS):
            return False
        return not any(
            peer.pending_ends and peer.is_heard(now) for peer in self.entries.values()
        )

    def free_resources(self) -> tuple[int, int, int]:
        """Return the free capacity: thousandths of a core, megabytes, accelerators."""
        if self.worker is None:
            return 0, 0, 0
        cpu, memory_mb, gpu = self.bounds.of(self.worker)
        index = self.index
        return cpu - index.cpu, memory_mb - index.memory_mb, gpu - index.gpu

    def is_open(self, now: float) -> bool:
        """Return whether the worker accepts tasks that can end in ``seconds_left``."""
        return (
            self.worker is not None
            and self.is_announced
            and not self.may_have_departed
            and self.reachable
            and self.ready_to_start
            and not self.is_evacuated()
            and self.seconds_left(now) > 0
        )

    def seconds_left(self, now: float) -> float:
        """Return the time within which new tasks have to end, in seconds.

        Infinite if neither the worker nor the agent leaves.
        """
        left = math.inf
        if self.worker is not None and self.worker.draining:
            left = self.leaves_at - now if now < self.drained_at else 0.0
        if self.stopping:
            left = min(left, self.closes_at - now)
        return max(0.0, left)

    def lost_at(self) -> float:
        """Return the earliest time at which running tasks are lost.

        Infinite if neither the worker nor the agent leaves.
        """
        leaves_at = math.inf
        worker = self.worker
        announced = worker is not None and worker.draining and worker.leaves_in_ms
        if announced or self.has_departed:
            leaves_at = self.leaves_at
        return min(leaves_at, self.stop_by)

    def is_evacuated(self) -> bool:
        """Return whether the agent's data centre is evacuated: no new tasks start."""
        return self.data_centre in self.evacuations.data_centres

    def apply_evacuations(self, evacuations: Evacuations, entry: str) -> None:
        """Replace the known evacuations by newer ones.

        :param entry: address of the entry that sent them, or "the store".
        """
        if not evacuations.is_newer_than(self.evacuations):
            return
        was_evacuated = self.is_evacuated()
        self.evacuations = evacuations
        if self.is_evacuated() == was_evacuated:
            return
        self.say(
            "the evacuation of the data centre has ended"
            if was_evacuated
            else "the data centre is evacuated",
            revision=evacuations.revision,
            entry=entry,
            held=len(self.held),
        )
        self.mark_entries_dirty()

    def can_try(self, now: float) -> bool:
        """Return whether a worker on trial or a slow one may be given a test task."""
        if self.health.on_trial and self.held:
            return False
        return self.health.can_try(now)

    def clear_presumption(self) -> None:
        """Forget why the worker was presumed gone."""
        self.presumed_gone = ""
        self.blamed = set()

    def mark_entries_dirty(self) -> None:
        """Have a report of a change sent to every entry soon."""
        for peer in self.entries.values():
            if peer.incarnation:
                peer.outdated = True

    def hold(self, held: HeldTask) -> None:
        """Add an accepted start."""
        self.held[held.handle] = held
        self.index.add(held)

    def send_end(self, peer: EntryPeer, ended: StartEnded, now: float) -> None:
        """Send an end to an entry, and keep it until it is acknowledged."""
        peer.pending_ends[ended.sequence] = ended
        peer.end_sent_at[ended.sequence] = now
        if self.policy.divides_room and ended.end is TaskEnd.DONE:
            # A report may bring it nothing: the capacity may be granted to another.
            peer.dirty = peer.freed = True
        else:
            peer.urgent = True
        self.send(peer.address, ended)

    def end(
        self,
        held: HeldTask,
        end: TaskEnd,
        ran_ms: int,
        reason: str,
        now: float,
        blamed: bool = False,
    ) -> None:
        """Remove a start that has ended, and send the end to its entry."""
        del self.held[held.handle]
        self.index.remove(held)
        for other in self.entries.values():
            other.dirty |= bool(other.incarnation)
        self.observe("ended", end.name.lower())
        if end not in (TaskEnd.DONE, TaskEnd.DECLINED):
            self.say(
                "a run has ended",
                **held.log_fields(),
                end=end.name.lower(),
                reason=reason,
                ran_ms=ran_ms,
            )
        peer = self.entries.get(held.entry)
        if peer is None or peer.incarnation != held.start.incarnation:
            return
        ended = StartEnded(
            peer.incarnation,
            held.start.sequence,
            end,
            held.run,
            ran_ms,
            reason,
            blamed,
        )
        self.send_end(peer, ended, now)

    def is_current(self, worker: str) -> bool:
        """Return whether this is the identifier of the worker's current incarnation."""
        return self.worker is not None and self.worker.identifier == worker
