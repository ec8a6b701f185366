"""The agent's reducer: the one gate through which a worker is given tasks.

It takes starts from any entry, gives the worker what fits its room, and runs each
task only while the entry that sent it is heard (``bounds``). It alone knows the
worker's room; entries know it from its reports, some of them late.
"""

from collections.abc import Callable

from cactuswalk.dispatch.agentevents import (
    AgentEvent,
    Announced,
    Departed,
    EntriesRead,
    Looked,
    LookFailed,
    Received,
    RunEnd,
    StartAnswered,
    StartVerdict,
    StopAnswered,
    StopRequested,
    Tick,
)
from cactuswalk.dispatch.agentheld import EntryPeer, Held, HeldState
from cactuswalk.dispatch.bounds import (
    CALL_TIMEOUT_SECONDS,
    ENTRY_LEASE_SECONDS,
    PULSE_SECONDS,
    UNHEARD_SECONDS,
    WORKER_LEASE_SECONDS,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.effects import (
    AskEntries,
    Effect,
    LookAtWorker,
    Observe,
    Say,
    SendMessage,
    StartTask,
    StopTask,
)
from cactuswalk.dispatch.job import Worker
from cactuswalk.dispatch.messages import Ended, Pulse, Report, Start, Stop, TaskEnd
from cactuswalk.dispatch.soundness import (
    Progress,
    Soundness,
    foretold_pace,
    should_move,
)

__all__ = ["AgentState"]

# How long a look may wait at the worker for an end: the worker's lease is renewed
# at least three times within its length.
LOOK_WAIT_SECONDS = 0.15

# Pause after a look that failed, so that a worker that refuses isn't called in a
# tight loop. Ends that come meanwhile are noticed that much later.
LOOK_PAUSE_SECONDS = 0.01

# A worker that answers no look for so long is given nothing new: three looks.
UNREACHABLE_SECONDS = 0.3

# An end that was not noted is told again; a pulse with the note comes each 0.1 s.
TELL_AGAIN_SECONDS = 0.25

# Where nothing changes an entry hears from this agent so often: enough to count as
# heard, should one report be lost (``bounds.HEARD_SECONDS``).
IDLE_REPORT_SECONDS = 0.2

# An entry that was silent for this long is forgotten, unless the settings name it.
FORGET_ENTRY_SECONDS = 20.0

# Without any entry for this long, the platform's store is asked for them.
ASK_ENTRIES_SECONDS = 1.5
# Then not more often than this: an agent in thousands must not flood the store.
ASK_AGAIN_SECONDS = 3.0

# Added to a run's number, or to the token, when the worker has seen a higher one
# from an earlier life of this agent; far above what one life uses.
RUN_STEP = 1_000
TOKEN_STEP = 60_000

# A worker that didn't say anything for this long is taken for gone: its
# heartbeats come each 1.5 s.
SILENT_WORKER_SECONDS = 5.0

# A running task whose progress stands still this long, beyond its estimate, is
# stopped and told as lost. Progress comes with each look, at most 0.15 s apart.
STALL_SECONDS = 0.6
# Or this many times the twentieth part of its estimate, where that is longer.
STALL_FACTOR = 3.0

# A task that was moved twice stays where it is: it may be slow by itself.
MOST_MOVED_RUN = 2

# How many times a start that the worker refuses as superseded, fenced or late is
# tried before it is declined.
MOST_TRIES = 4

REFUSED_RETRYABLE = {
    StartVerdict.SUPERSEDED,
    StartVerdict.FENCED,
    StartVerdict.LATE,
}


class AgentState:
    """All that one agent knows.

    :param life: names this life of the process.
    :param token: greater than that of any earlier life, as far as is known.
    :param seeds: addresses of entries from the settings.
    """

    def __init__(self, life: str, token: int, seeds: list[str]) -> None:
        self.life = life
        self.token = token
        self.seeds = list(seeds)
        self.entries = {address: EntryPeer(address) for address in seeds}
        self.worker: Worker | None = None
        self.candidate: Worker | None = None
        self.announced_at = 0.0
        self.reachable = False
        self.ready_to_start = False
        self.soundness = Soundness()
        self.held: dict[int, Held] = {}
        self.by_sequence: dict[tuple[str, int], int] = {}
        self.runs: dict[object, int] = {}
        self.next_handle = 1
        self.noted_end = 0
        self.highest_end = 0
        self.look_under_way = False
        self.look_not_before = 0.0
        self.renewed_at = 0.0
        self.answered_at = 0.0
        self.stopping = False
        self.last_pulse_at = 0.0
        self.asked_at = 0.0
        self.effects: list[Effect] = []
        self.handlers: dict[type, Callable] = {
            Announced: self._announced,
            Departed: self._departed,
            Received: self._received,
            StartAnswered: self._start_answered,
            StopAnswered: self._stop_answered,
            Looked: self._looked,
            LookFailed: self._look_failed,
            EntriesRead: self._entries_read,
            StopRequested: self._stop_requested,
            Tick: self._tick,
        }

    def reduce(self, event: AgentEvent, now: float) -> list[Effect]:
        """Take an event, and return what is to be done."""
        self.handlers[type(event)](event, now)
        self._look_if_due(now)
        self._report_if_dirty(now)
        effects, self.effects = self.effects, []
        return effects

    @property
    def is_idle(self) -> bool:
        """Whether nothing is held, and every end was told."""
        return not self.held and not any(peer.ends for peer in self.entries.values())

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

    def is_open(self) -> bool:
        """Return whether the worker may be given tasks."""
        return (
            self.worker is not None
            and self.reachable
            and self.ready_to_start
            and not self.worker.draining
            and not self.stopping
        )

    # The worker's announcements.

    def _announced(self, event: Announced, now: float) -> None:
        worker = event.worker
        known = self.worker
        if known is not None and known.identifier == worker.identifier:
            if worker.sequence < known.sequence:
                self._say("an older heartbeat is ignored", sequence=worker.sequence)
                return
            self.worker = worker
            if worker.draining and not known.draining:
                self._say("the worker drains", worker=worker.identifier)
            self.announced_at = now
            self._touch_entries()
            return
        if known is None:
            self._meet(worker, now)
            return
        # A heartbeat of an earlier life may have been held up on its way. It must
        # not end what runs on the present one: the new life has to answer first.
        self.candidate = worker
        self.effects.append(
            LookAtWorker(worker.identifier, self.token, 0, 0, WORKER_LEASE_SECONDS)
        )

    def _meet(self, worker: Worker, now: float) -> None:
        """Begin with another life of the worker: whatever ran before has ended."""
        previous = self.worker.identifier if self.worker else ""
        self._say("meets a worker", worker=worker.identifier, previous=previous)
        self._lose_all("the worker's life ended", now)
        self.worker = worker
        self.candidate = None
        self.announced_at = now
        self.reachable = True
        self.ready_to_start = False
        self.soundness = Soundness()
        self.runs.clear()
        self.noted_end = self.highest_end = 0
        self.look_under_way = False
        self.look_not_before = self.answered_at = now
        self._look(now, 0)

    def _departed(self, event: Departed, now: float) -> None:
        if self.worker is None or self.worker.identifier != event.identifier:
            return
        self._say("the worker has left", worker=event.identifier)
        self._forget_worker("the worker left", now)

    def _forget_worker(self, reason: str, now: float) -> None:
        self._lose_all(reason, now)
        self.worker = None
        self.reachable = False
        self.ready_to_start = False
        self._touch_entries()

    def _lose_all(self, reason: str, now: float) -> None:
        for held in list(self.held.values()):
            self._end(held, TaskEnd.LOST, 0, reason, now)

    # Messages of entries.

    def _received(self, event: Received, now: float) -> None:
        message = event.message
        if isinstance(message, Pulse):
            self._take_pulse(event.sender, message, now)
        elif isinstance(message, Start):
            self._take_start(event.sender, message, now)
        elif isinstance(message, Stop):
            self._take_stop(event.sender, message, now)

    def _take_pulse(self, sender: str, pulse: Pulse, now: float) -> None:
        peer = self._peer(sender, pulse.life, now)
        if peer is None:
            return
        if pulse.agent_life == self.life:
            peer.echoed = max(peer.echoed, pulse.stamp)
        peer.data_centre = pulse.data_centre
        for sequence in pulse.noted:
            peer.ends.pop(sequence, None)
            peer.told_at.pop(sequence, None)
        for address in pulse.entries:
            if address not in self.entries:
                self.entries[address] = EntryPeer(address, heard_at=now)

    def _peer(self, address: str, life: str, now: float) -> EntryPeer | None:
        """Return an entry, or None if a past life of it speaks.

        A new life of it has no tasks here.
        """
        peer = self.entries.setdefault(address, EntryPeer(address))
        if life in peer.past_lives:
            return None
        if peer.life != life:
            past_lives = peer.past_lives
            if peer.life:
                self._say("an entry has started anew", entry=address)
                past_lives.add(peer.life)
            self._orphan(address, "its entry has started anew", now)
            peer = EntryPeer(address, life, past_lives=past_lives)
            self.entries[address] = peer
            peer.dirty = True
        peer.heard_at = now
        return peer

    def _orphan(self, address: str, reason: str, now: float) -> None:
        for held in list(self.held.values()):
            if held.entry == address:
                self._stop(held, reason, now)

    def _take_start(self, sender: str, start: Start, now: float) -> None:
        peer = self._peer(sender, start.life, now)
        if peer is None or start.sequence <= peer.seen:
            return
        peer.seen = start.sequence
        peer.dirty = True
        reason = self._why_not(start, now)
        if reason:
            self._decline(peer, start, reason, now)
            return
        run = max(start.run, self.runs.get(start.key, 0) + 1)
        held = Held(
            self.next_handle, sender, start, run, HeldState.STARTING, now, asked_at=now
        )
        self.next_handle += 1
        self.held[held.handle] = held
        self.by_sequence[(sender, start.sequence)] = held.handle
        self._call_start(held, now)

    def _why_not(self, start: Start, now: float) -> str:
        """Return why a start is declined, or an empty text."""
        if start.agent_life != self.life:
            return "meant for an earlier life of this agent"
        if _milliseconds(now) - start.stamp > ENTRY_LEASE_SECONDS * 1000:
            return "too long on its way"
        if not self.is_open() or start.worker != self.worker.identifier:
            return "the worker takes nothing"
        if self.soundness.on_trial and (self.held or not self.soundness.may_try(now)):
            return "the worker is on trial"
        cpu, memory_mb, gpu = self.room()
        if start.cpu > cpu or start.memory_mb > memory_mb or start.gpu > gpu:
            return "no room"
        return ""

    def _decline(self, peer: EntryPeer, start: Start, reason: str, now: float) -> None:
        self._observe("declined", reason)
        ended = Ended(peer.life, start.sequence, TaskEnd.DECLINED, 0, 0, reason)
        self._tell(peer, ended, now)

    def _take_stop(self, sender: str, stop: Stop, now: float) -> None:
        peer = self._peer(sender, stop.life, now)
        if peer is None:
            return
        handle = self.by_sequence.get((sender, stop.sequence))
        if handle is not None:
            self._stop(self.held[handle], "its entry asked", now)
            return
        if stop.sequence in peer.ends:
            return
        # It never arrived. Later ones have a higher sequence, so it never will.
        peer.seen = max(peer.seen, stop.sequence)
        ended = Ended(peer.life, stop.sequence, TaskEnd.DECLINED, 0, 0, "stopped")
        self._tell(peer, ended, now)

    # Calls of the worker.

    def _call_start(self, held: Held, now: float) -> None:
        held.call_under_way = True
        held.tries += 1
        held.since = now
        self.runs[held.start.key] = held.run
        self.renewed_at = now
        self.effects.append(
            StartTask(
                self.worker.identifier,
                held.handle,
                held.start.key,
                held.run,
                held.start.spec,
                self.token,
                WORKER_LEASE_SECONDS,
            )
        )

    def _start_answered(self, event: StartAnswered, now: float) -> None:
        held = self.held.get(event.handle)
        if held is None or not self._is_current(event.worker):
            return
        held.call_under_way = False
        if event.verdict is StartVerdict.STARTED:
            self._observe("start_seconds", seconds=now - held.asked_at)
            if held.state is HeldState.STARTING:
                held.state = HeldState.RUNNING
                held.since = held.percent_at = now
            elif held.state is HeldState.STOPPING:
                self._call_stop(held, now)
            return
        if event.verdict is StartVerdict.UNKNOWN:
            self._doubt(held, now)
            return
        if event.verdict is StartVerdict.GONE:
            self._worker_gone("the worker's address answers for it no more", now)
            return
        self._start_refused(held, event.verdict, now)

    def _start_refused(self, held: Held, verdict: StartVerdict, now: float) -> None:
        if held.state is HeldState.STOPPING:
            self._end(held, TaskEnd.STOPPED, 0, "never began", now)
            return
        if verdict in REFUSED_RETRYABLE and held.tries < MOST_TRIES:
            if verdict is StartVerdict.SUPERSEDED:
                held.run += RUN_STEP
            if verdict is StartVerdict.FENCED:
                self._raise_token()
            self._call_start(held, now)
            return
        self._say(
            "the worker refuses a start", job=held.start.key.job, verdict=verdict.value
        )
        self._end(held, TaskEnd.DECLINED, 0, verdict.value, now)
        if verdict is StartVerdict.UNHEALTHY:
            self.soundness.failed(held.start.key.job, now)

    def _raise_token(self) -> None:
        # Only an earlier life on this host can have had a higher one: a host's
        # clock that was set back shows in this way.
        self.token += TOKEN_STEP
        self._say("raises its token: the worker has seen a higher one", new=self.token)

    def _doubt(self, held: Held, now: float) -> None:
        """Settle a start without an answer: forbid it, or see that it runs.

        The call may be carried out seconds later. The worker refuses a run that
        was stopped before it came, so a confirmed stop settles it; without one
        the lease in the call does.
        """
        self._observe("start_unanswered")
        if held.state is HeldState.STARTING:
            held.state = HeldState.DOUBTFUL
        held.gone_at = now + worker_lapse_seconds()
        self._call_stop(held, now)

    def _stop(self, held: Held, reason: str, now: float) -> None:
        if held.state is HeldState.STOPPING:
            return
        held.state = HeldState.STOPPING
        held.reason = reason
        if not held.call_under_way:
            self._call_stop(held, now)

    def _call_stop(self, held: Held, now: float) -> None:
        if self.worker is None:
            return
        held.call_under_way = True
        held.asked_at = now
        self.effects.append(
            StopTask(
                self.worker.identifier,
                held.handle,
                held.start.key,
                held.run,
                self.token,
            )
        )

    def _stop_answered(self, event: StopAnswered, now: float) -> None:
        held = self.held.get(event.handle)
        if held is None or not self._is_current(event.worker):
            return
        held.call_under_way = False
        if not event.done:
            if not held.gone_at:
                held.gone_at = now + worker_lapse_seconds()
            return
        # From here a look that is sent shows it ended, or shows nothing of it.
        held.gone_at = held.gone_at or now + worker_lapse_seconds()
        held.asked_at = now
        held.state = HeldState.STOPPING
        self.look_not_before = now

    def _is_current(self, worker: str) -> bool:
        return self.worker is not None and self.worker.identifier == worker

    def _worker_gone(self, reason: str, now: float) -> None:
        self._say("the worker is gone", worker=self.worker.identifier, reason=reason)
        self._forget_worker(reason, now)

    # Looks at the worker.

    def _look_if_due(self, now: float) -> None:
        if self.worker is None or self.look_under_way or now < self.look_not_before:
            return
        if self.held and self.ready_to_start:
            # It notes the ends of the last one too, and waits for the next.
            stopping = any(
                held.state is HeldState.STOPPING for held in self.held.values()
            )
            wait = STOP_LOOK_WAIT_SECONDS if stopping else LOOK_WAIT_SECONDS
            self._look(now, int(wait * 1000))
        elif not self.ready_to_start or self.highest_end > self.noted_end:
            self._look(now, 0)

    def _look(self, now: float, wait_ms: int) -> None:
        self.look_under_way = True
        # A worker that doesn't answer is looked at without a renewal: its runs
        # could never be told for ended if calls that it may get kept them alive.
        lease = WORKER_LEASE_SECONDS if self.reachable else 0.0
        if lease:
            self.renewed_at = now
        self.effects.append(
            LookAtWorker(
                self.worker.identifier, self.token, self.highest_end, wait_ms, lease
            )
        )

    def _looked(self, event: Looked, now: float) -> None:
        if self.candidate is not None and self.candidate.identifier == event.worker:
            self._meet(self.candidate, now)
            return
        if not self._is_current(event.worker):
            return
        self.look_under_way = False
        self.answered_at = now
        self.noted_end = self.highest_end
        if not (self.reachable and self.ready_to_start):
            self.reachable = self.ready_to_start = True
            self._touch_entries()
        self._take_ends(event, now)
        self._take_running(event, now)

    def _take_ends(self, event: Looked, now: float) -> None:
        by_run = {(held.start.key, held.run): held for held in self.held.values()}
        for row in event.ended:
            self.highest_end = max(self.highest_end, row.number)
            held = by_run.get((row.key, row.run))
            if held is not None and held.handle in self.held:
                self._run_ended(held, row.end, now)

    def _take_running(self, event: Looked, now: float) -> None:
        running = {(row.key, row.run): row for row in event.running}
        for held in list(self.held.values()):
            row = running.pop((held.start.key, held.run), None)
            if row is not None:
                self._runs_on(held, row.percent, now)
            elif self._never_began(held, event.sent_at):
                self._end(held, TaskEnd.STOPPED, 0, "never began", now)
        for row in running.values():
            self._stop_stranger(row.key, row.run)
        self._move_off_if_dragging(now)

    def _never_began(self, held: Held, looked_at: float) -> bool:
        """Return whether a look without a run shows that it won't come.

        Only one that was sent after a confirmed stop does: the worker refuses a
        run that was stopped before it arrived.
        """
        stopped = held.state is HeldState.STOPPING and not held.call_under_way
        return stopped and held.gone_at > 0 and looked_at >= held.asked_at

    def _stop_stranger(self, key, run: int) -> None:
        """Stop a run of an earlier life of this agent: no entry waits for it."""
        if key is None:
            return
        self._say("stops a run of an earlier life", job=key.job, run=run)
        self.runs[key] = max(run, self.runs.get(key, 0))
        self.effects.append(StopTask(self.worker.identifier, 0, key, run, self.token))

    def _runs_on(self, held: Held, percent: int, now: float) -> None:
        if held.state is HeldState.DOUBTFUL:
            held.state = HeldState.RUNNING
            held.since = held.percent_at = now
        if percent != held.percent:
            held.percent = percent
            held.percent_at = now
        if held.state is HeldState.RUNNING and self._stands_still(held, now):
            self._say("a task stands still", job=held.start.key.job, percent=percent)
            if self.soundness.stalled(now):
                self._say("puts the worker on trial", reason="a task stands still")
            self._stop(held, "it stood still", now)
            self._touch_entries()

    def _stands_still(self, held: Held, now: float) -> bool:
        expected = held.start.estimate_ms / 1000 / 20
        return now - held.percent_at > max(STALL_SECONDS, STALL_FACTOR * expected)

    def _move_off_if_dragging(self, now: float) -> None:
        """Give tasks back that a worker which has turned slow would keep for long."""
        running = [
            held for held in self.held.values() if held.state is HeldState.RUNNING
        ]
        progress = [_progress(held, now) for held in running]
        foretold = foretold_pace(progress)
        if not self.soundness.begins_to_drag(foretold):
            return
        self._say("its worker drags", worker=self.worker.identifier, pace=foretold)
        for held, task in zip(running, progress, strict=True):
            if held.run % RUN_STEP <= MOST_MOVED_RUN and should_move(task):
                self._stop(held, "its worker drags", now)
        self._touch_entries()

    def _run_ended(self, held: Held, end: RunEnd, now: float) -> None:
        ran_ms = max(0.0, now - held.since) * 1000
        if end is RunEnd.DONE:
            self.soundness.done(held.start.estimate_ms, ran_ms)
            self._end(held, TaskEnd.DONE, int(ran_ms), "", now)
        elif end is RunEnd.FAILED:
            if self.soundness.failed(held.start.key.job, now):
                self._say("puts the worker on trial", reason="it fails what it starts")
            self._end(held, TaskEnd.FAILED, int(ran_ms), "", now)
        elif end is RunEnd.STOPPED and held.state is HeldState.STOPPING:
            self._end(held, TaskEnd.STOPPED, int(ran_ms), held.reason, now)
        else:
            self._end(held, TaskEnd.LOST, int(ran_ms), end.value, now)

    def _look_failed(self, event: LookFailed, now: float) -> None:
        if self.candidate is not None and self.candidate.identifier == event.worker:
            self._say("another life does not answer", worker=event.worker)
            self.candidate = None
            return
        if not self._is_current(event.worker):
            return
        self.look_under_way = False
        if event.gone:
            self._worker_gone("nobody listens at the worker's address", now)
            return
        if event.fenced:
            self._raise_token()
            return
        # A single call that is lost must not hide the ends that come meanwhile.
        self.look_not_before = now + LOOK_PAUSE_SECONDS
        if now - self.answered_at < UNREACHABLE_SECONDS:
            return
        if self.reachable:
            self.reachable = False
            self._say("the worker does not answer", worker=self.worker.identifier)
            self._touch_entries()
        for held in self.held.values():
            held.gone_at = held.gone_at or now + worker_lapse_seconds()

    # What ends.

    def _end(
        self, held: Held, end: TaskEnd, ran_ms: int, reason: str, now: float
    ) -> None:
        del self.held[held.handle]
        del self.by_sequence[(held.entry, held.start.sequence)]
        self._touch_entries()
        self._observe("ended", end.name.lower())
        if end not in (TaskEnd.DONE, TaskEnd.DECLINED):
            self._say(
                "a run has ended",
                job=held.start.key.job,
                step=held.start.key.step,
                index=held.start.key.index,
                run=held.run,
                end=end.name.lower(),
                reason=reason,
                ran_ms=ran_ms,
            )
        peer = self.entries.get(held.entry)
        if peer is None or peer.life != held.start.life:
            return
        ended = Ended(peer.life, held.start.sequence, end, held.run, ran_ms, reason)
        self._tell(peer, ended, now)

    def _tell(self, peer: EntryPeer, ended: Ended, now: float) -> None:
        peer.ends[ended.sequence] = ended
        peer.told_at[ended.sequence] = now
        peer.urgent = True
        self.effects.append(SendMessage(peer.address, ended))

    # Time.

    def _tick(self, _: Tick, now: float) -> None:
        self._expire_entries(now)
        self._expire_held(now)
        self._tell_again(now)
        self._check_worker(now)
        self._ask_entries(now)
        for peer in self.entries.values():
            works = any(held.entry == peer.address for held in self.held.values())
            pause = PULSE_SECONDS if works else IDLE_REPORT_SECONDS
            if now - peer.reported_at >= pause:
                peer.dirty = True

    def _expire_entries(self, now: float) -> None:
        silent = _milliseconds(now) - ENTRY_LEASE_SECONDS * 1000
        for held in list(self.held.values()):
            peer = self.entries.get(held.entry)
            echoed = held.start.stamp
            if peer is not None and peer.life == held.start.life:
                echoed = max(echoed, peer.echoed)
            if echoed < silent:
                self._stop(held, "its entry is not heard", now)
        for address, peer in list(self.entries.items()):
            if address not in self.seeds and (
                now - peer.heard_at > FORGET_ENTRY_SECONDS
            ):
                self._say("forgets a silent entry", entry=address)
                del self.entries[address]

    def _expire_held(self, now: float) -> None:
        for held in list(self.held.values()):
            if held.gone_at and now >= held.gone_at and self._is_lapsed(held, now):
                self._end(held, TaskEnd.LOST, 0, "its lease has passed", now)
            elif (
                held.state in (HeldState.STOPPING, HeldState.DOUBTFUL)
                and not held.call_under_way
                and now - held.asked_at > CALL_TIMEOUT_SECONDS
            ):
                self._call_stop(held, now)

    def _is_lapsed(self, held: Held, now: float) -> bool:
        """Return whether no call can have kept a run alive until now.

        A worker that answers looks keeps renewing, and lists what it runs; so
        only one that doesn't answer loses its runs by the passing of time.
        """
        return not self.reachable and now - self.renewed_at >= worker_lapse_seconds()

    def _tell_again(self, now: float) -> None:
        for peer in self.entries.values():
            for sequence, told_at in peer.told_at.items():
                if now - told_at >= TELL_AGAIN_SECONDS:
                    peer.told_at[sequence] = now
                    self.effects.append(SendMessage(peer.address, peer.ends[sequence]))

    def _check_worker(self, now: float) -> None:
        if self.worker is None or self.held or self.reachable:
            return
        if now - self.announced_at > SILENT_WORKER_SECONDS:
            self._worker_gone("neither heartbeats nor answers", now)

    def _ask_entries(self, now: float) -> None:
        heard = any(
            peer.life and now - peer.heard_at < ASK_ENTRIES_SECONDS
            for peer in self.entries.values()
        )
        if heard or now - self.asked_at < ASK_AGAIN_SECONDS:
            return
        self.asked_at = now
        self.effects.append(AskEntries())

    def _entries_read(self, event: EntriesRead, now: float) -> None:
        for address in event.addresses or ():
            if address not in self.entries:
                self._say("learns of an entry from the platform", entry=address)
                self.entries[address] = EntryPeer(address, heard_at=now)

    def _stop_requested(self, _: StopRequested, now: float) -> None:
        self.stopping = True
        self._say("takes no more tasks: it is to stop", held=len(self.held))
        self._touch_entries()

    # Reports.

    def _touch_entries(self) -> None:
        for peer in self.entries.values():
            if peer.life:
                peer.dirty = True

    def _report_if_dirty(self, now: float) -> None:
        for peer in self.entries.values():
            if not (peer.urgent or peer.dirty):
                continue
            if not peer.urgent and now - peer.reported_at < self._pause(peer):
                continue
            peer.dirty = peer.urgent = False
            peer.reported_at = now
            self.effects.append(SendMessage(peer.address, self._report(peer, now)))

    def _pause(self, peer: EntryPeer) -> float:
        """Return how long an entry can wait to hear of others' work here."""
        near = self.worker and peer.data_centre == self.worker.data_centre
        pause = NEAR_REPORT_SECONDS if near else FAR_REPORT_SECONDS
        return pause * len(self.entries)

    def _report(self, peer: EntryPeer, now: float) -> Report:
        held = [
            held.start.sequence
            for held in self.held.values()
            if held.entry == peer.address
        ]
        cpu, memory_mb, gpu = self.room()
        worker = self.worker
        trial = self.soundness.on_trial
        may_try = not trial or (not self.held and self.soundness.may_try(now))
        return Report(
            self.life,
            peer.life,
            _milliseconds(now),
            peer.seen,
            held + list(peer.ends),
            bool(peer.life) and now - peer.heard_at < UNHEARD_SECONDS,
            worker.identifier if worker else "",
            worker.service if worker else "",
            worker.data_centre if worker else "",
            list(worker.labels) if worker else [],
            self.is_open() and may_try,
            trial,
            worker.cpu if worker else 0,
            cpu,
            memory_mb,
            gpu,
            round(self.soundness.pace, 3),
        )

    def _say(self, sentence: str, **fields: object) -> None:
        self.effects.append(Say(sentence, fields))

    def _observe(
        self, name: str, label: str = "", seconds: float | None = None
    ) -> None:
        self.effects.append(Observe(name, label, seconds))


# A look after a stop: the end is listed within the worker's time for a stop.
STOP_LOOK_WAIT_SECONDS = 0.06

# How soon an entry of the worker's data centre hears of a change that others made,
# for each entry there is: the cost of telling them grows with their number alone.
NEAR_REPORT_SECONDS = 0.005

# Entries elsewhere come here only when their own workers are full, and a start that
# finds no room brings a report back. On the fixture, four entries at 1.6 times the
# usual load: 0.93 of the jobs on time; with 0.15 s instead of 0.04 it is 0.87.
FAR_REPORT_SECONDS = 0.01


def _progress(held: Held, now: float) -> Progress:
    start = held.start
    return Progress(start.key.job, start.estimate_ms, now - held.since, held.percent)


def _milliseconds(now: float) -> int:
    return int(now * 1000)
