"""What one agent knows, and what all parts of its reducer do with it."""

import math

from cactuswalk.dispatch.agentheld import EntryPeer, HeldTask
from cactuswalk.dispatch.effects import (
    Effect,
    Observe,
    Say,
    SendMessage,
)
from cactuswalk.dispatch.evacuation import NOTHING_EVACUATED, Evacuations
from cactuswalk.dispatch.job import Worker
from cactuswalk.dispatch.messages import Ended, TaskEnd
from cactuswalk.dispatch.workerhealth import (
    WorkerHealth,
)

__all__ = ["AgentState"]

# What entries send before they hear that an agent is closed arrives within so long.
CLOSE_DELAY_SECONDS = 0.1


class AgentState:
    """All that one agent knows.

    :param life: names this life of the process.
    :param token: greater than that of any earlier life, as far as is known.
    :param seeds: addresses of entries from the settings.
    :param name: of the process, by which its home entries are chosen.
    :param grace_seconds: between the request to stop and a kill.
    :param drain_seconds: how long a draining worker may be given tasks.
    :ivar entries: those that it reports to.
    :ivar leaves_at: no sooner than then a draining worker leaves.
    :ivar drained_at: from then on a draining worker is given nothing.
    :ivar closes_at: from then on this agent, which is to stop, takes nothing; it ends
        by ``stop_by``.
    :ivar stored: data centre of each entry that the store listed, by address.
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
        self.candidate: Worker | None = None
        self.announced_at = 0.0
        self.reachable = False
        self.ready_to_start = False
        self.health = WorkerHealth()
        self.held: dict[int, HeldTask] = {}
        # By the life of the entry and its sequence: a new life counts from 1 again,
        # while starts of the one before may still be on their way to a stop.
        self.by_sequence: dict[tuple[str, int], int] = {}
        self.runs: dict[object, int] = {}
        self.next_handle = 1
        self.acknowledged_end = 0
        self.highest_end = 0
        self.poll_pending = False
        self.poll_not_before = 0.0
        self.unanswered_poll_at = -math.inf
        self.check_requested = False
        self.check_pending = False
        self.renewed_at = 0.0
        self.answered_at = 0.0
        self.stopping = False
        self.entries_asked_at = 0.0
        self.effects: list[Effect] = []

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is held, and every end is noted by who can note it.

        An entry that is gone for good notes nothing any more: waiting for it would
        hold a planned stop up until the process is about to be killed. What was sent
        before the entries heard that this agent is closed may still be on its way.
        """
        if self.held or (self.stopping and now < self.closes_at + CLOSE_DELAY_SECONDS):
            return False
        return not any(
            peer.pending_ends and peer.is_heard(now) for peer in self.entries.values()
        )

    def room(self) -> tuple[int, int, int]:
        """Return what is free: thousandths of a core, megabytes, accelerators."""
        if self.worker is None:
            return 0, 0, 0
        starts = [held.start for held in self.held.values()]
        return (
            self.worker.cpu - sum(start.cpu for start in starts),
            self.worker.memory_mb - sum(start.memory_mb for start in starts),
            self.worker.gpu - sum(start.gpu for start in starts),
        )

    def is_open(self, now: float) -> bool:
        """Return whether the worker may be given tasks, those that end in time."""
        return (
            self.worker is not None
            and self.reachable
            and self.ready_to_start
            and not self.is_evacuated()
            and self.seconds_left(now) > 0
        )

    def seconds_left(self, now: float) -> float:
        """Return within how long new tasks have to end; infinite if nobody leaves."""
        left = math.inf
        if self.worker is not None and self.worker.draining:
            left = self.leaves_at - now if now < self.drained_at else 0.0
        if self.stopping:
            left = min(left, self.closes_at - now)
        return max(0.0, left)

    def lost_at(self) -> float:
        """Return when what runs is lost, at the earliest; infinite if nobody leaves."""
        leaves_at = math.inf
        if (
            self.worker is not None
            and self.worker.draining
            and self.worker.leaves_in_ms
        ):
            leaves_at = self.leaves_at
        return min(leaves_at, self.stop_by)

    def is_evacuated(self) -> bool:
        """Return whether the data centre's workers are to get no new tasks."""
        return self.data_centre in self.evacuations.data_centres

    def apply_evacuations(self, evacuations: Evacuations, entry: str) -> None:
        """Take or refuse tasks by newer evacuations from now on.

        :param entry: who told of them.
        """
        if not evacuations.is_newer_than(self.evacuations):
            return
        was_evacuated = self.is_evacuated()
        self.evacuations = evacuations
        if self.is_evacuated() == was_evacuated:
            return
        self.say(
            "its data centre is taken back" if was_evacuated else "is evacuated",
            revision=evacuations.revision,
            entry=entry,
            held=len(self.held),
        )
        self.mark_entries_dirty()

    def can_try(self, now: float) -> bool:
        """Return whether an unsound worker may be given a task to see how it does."""
        if self.health.on_trial and self.held:
            return False
        return self.health.can_try(now)

    def say(self, sentence: str, **fields: object) -> None:
        """Have a log line written."""
        self.effects.append(Say(sentence, fields))

    def observe(self, name: str, label: str = "", seconds: float | None = None) -> None:
        """Have an event counted, or a duration recorded."""
        self.effects.append(Observe(name, label, seconds))

    def mark_entries_dirty(self) -> None:
        """Have every entry told of a change, soon."""
        for peer in self.entries.values():
            if peer.incarnation:
                peer.dirty = True

    def send_end(self, peer: EntryPeer, ended: Ended, now: float) -> None:
        """Tell an entry of an end, and keep it until it is noted."""
        peer.pending_ends[ended.sequence] = ended
        peer.end_sent_at[ended.sequence] = now
        peer.urgent = True
        self.effects.append(SendMessage(peer.address, ended))

    def end(
        self, held: HeldTask, end: TaskEnd, ran_ms: int, reason: str, now: float
    ) -> None:
        """Forget a start that has ended, and tell its entry."""
        del self.held[held.handle]
        del self.by_sequence[(held.start.life, held.start.sequence)]
        self.mark_entries_dirty()
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
        if peer is None or peer.incarnation != held.start.life:
            return
        ended = Ended(
            peer.incarnation, held.start.sequence, end, held.run, ran_ms, reason
        )
        self.send_end(peer, ended, now)

    def is_current(self, worker: str) -> bool:
        """Return whether a name is the present worker's."""
        return self.worker is not None and self.worker.identifier == worker
