"""How an agent joins a cell, and when it takes the cell over.

An agent that no longer hears the owner asks the other members. It swaps the cell's
record to the next epoch only if more than half of the roster don't hear the owner
either, so that one partitioned agent doesn't depose an owner that all others hear.
"""

import random

import msgspec

from cactuswalk.errors import InvariantError
from cactuswalk.messages import (
    HandOver,
    Join,
    LastContactReply,
    LastContactRequest,
    NotOwner,
)
from cactuswalk.model import CellRecord, Member
from cactuswalk.state.agent import AgentState
from cactuswalk.state.effects import Effect, Log, Part, ReadKey, Send, SwapKey
from cactuswalk.state.events import KeyRead, KeySwapped, SwapOutcome
from cactuswalk.state.founding import (
    Absence,
    make_first_record,
    make_owner_queries,
    rebuild_record,
)
from cactuswalk.state.roster import cell_key
from cactuswalk.state.timing import Timing

__all__ = ["CandidateState", "Takeover", "new_candidate"]


class Takeover(msgspec.Struct):
    """A takeover that the key-value service has confirmed or may yet confirm."""

    record: CellRecord
    revision: int
    earlier: CellRecord | None


# When a region is partitioned or the key-value service is down, thousands of agents
# search for their owners. Each of them then calls it once or twice in this time.
MAX_WAIT_SECONDS = 8.0

# Upper bound, in periods P, of the random pause before agents that found no record
# read it again. The spread lets one agent create the cell before the others read.
MAX_ABSENT_JITTER = 1.5

# Periods P for which an owner reported by an entry counts as alive. Longer than the
# pause between two reads; otherwise it would have expired by the second read.
OWNER_LIVE_PERIODS = 2


class CandidateState(msgspec.Struct):
    """State of an agent while it seeks membership or ownership.

    :param record: the cell's record as last read; its epoch was first read at
        ``record_at``.
    :param members_asked_at: when the other members were last asked whether they
        hear the owner.
    :param silent: workers that reported the owner as silent in this round.
    :param pending_record: the record of a swap that is in progress.
    :param wanted_epoch: the epoch that this agent wants to supersede, because most
        of the roster don't hear its owner or the owner asked for it; 0 for none.
    :param entries: addresses of processes that may know the cell's owner.
    :param absence: what is known while the service has no record of the cell.
    :param swaps_in_doubt: every swap whose outcome is unknown, by write id. One that
        was given up may be applied late, and this agent is then the owner.
    :param wall_ms: wall clock minus monotonic clock.
    """

    cell: str
    agent: AgentState
    timing: Timing
    generator: random.Random
    entries: list[str] = []
    record: CellRecord | None = None
    absence: Absence = msgspec.field(default_factory=Absence)
    record_at: float = 0.0
    read_at: float = float("-inf")
    join_wait: float = 0.0
    ask_wait: float = 0.0
    members_asked_at: float = float("-inf")
    silent: set[str] = set()
    wanted_epoch: int = 0
    pending_record: CellRecord | None = None
    swaps_in_doubt: dict[str, Takeover] = {}
    pending_since: float = float("-inf")
    wall_ms: float = 0.0
    effects: list[Effect] = []

    @property
    def member(self) -> Member:
        """Return the member that stands for this agent."""
        return self.agent.gate.member


def new_candidate(
    cell: str,
    agent: AgentState,
    timing: Timing,
    generator: random.Random,
    entries: list[str],
    wall_ms: float,
) -> CandidateState:
    """Return the state of an agent that has not joined its cell yet.

    :param wall_ms: wall clock minus monotonic clock.
    """
    return CandidateState(
        cell,
        agent,
        timing,
        generator,
        entries,
        join_wait=timing.join,
        wall_ms=wall_ms,
    )


def on_tick(state: CandidateState, now: float) -> None:
    """Try to join the cell, or check that its owner is still heard."""
    if state.pending_record is not None:
        if now - state.pending_since > state.timing.confirm:
            _read(state, now)
        return
    if state.agent.gate.stopping:
        return
    silence = _owner_silence_seconds(state, now) - state.timing.suspect
    silent = silence > 0 and silence > _rank_delay(state)
    if silent or not _is_member(state):
        _search_owner(state, now)
    if silent:
        _ask_members(state, now)


def _is_member(state: CandidateState) -> bool:
    return state.member in state.agent.roster


def _owner_silence_seconds(state: CandidateState, now: float) -> float:
    """Return how many seconds the owner has been silent.

    An owner that has just taken the cell over has sent nothing yet; its silence
    counts from when its record was first read.
    """
    heard_at = state.agent.heard_at
    if state.record is not None and state.record.epoch > state.agent.gate.epoch:
        heard_at = max(heard_at, state.record_at)
    return now - heard_at


def _missed_epoch(state: CandidateState) -> tuple[int, list[Member]]:
    """Return the epoch whose owner should be heard, and its roster."""
    record = state.record
    if record is not None and record.epoch > state.agent.gate.epoch:
        return record.epoch, record.roster
    return state.agent.gate.epoch, state.agent.roster


def _rank_delay(state: CandidateState) -> float:
    """Return a delay by rank in the roster that keeps candidates from racing."""
    _, roster = _missed_epoch(state)
    workers = [member.worker for member in roster]
    worker = state.member.worker
    rank = workers.index(worker) if worker in workers else len(workers)
    return rank * state.timing.suspect_stagger


def _search_owner(state: CandidateState, now: float) -> None:
    """Read the cell's record with growing pauses, to ask its owner for membership.

    Members that don't hear the owner do so too: an agent may have been removed from
    the roster while it was unreachable, and is not notified of that.
    """
    if now - state.read_at < state.join_wait:
        return
    state.join_wait = min(2 * state.join_wait, MAX_WAIT_SECONDS)
    _read(state, now)


def reset_join_wait(state: CandidateState) -> None:
    """Reset the pause between searches, because the owner has been heard."""
    state.join_wait = state.timing.join


def _read(state: CandidateState, now: float) -> None:
    state.read_at = now
    state.effects.append(ReadKey(cell_key(state.cell)))


def _ask_members(state: CandidateState, now: float) -> None:
    """Ask the other members whether the owner is silent for them too."""
    epoch, roster = _missed_epoch(state)
    if (
        now - state.members_asked_at < max(state.timing.ping, state.ask_wait)
        or not roster
    ):
        return
    state.members_asked_at = now
    state.silent = {state.member.worker}
    state.wanted_epoch = 0
    for member in roster:
        if member.worker != state.member.worker:
            state.effects.append(
                Send(member.address, LastContactRequest(state.cell, epoch))
            )
    _take_over_if_majority(state, now)


def on_heard_reply(state: CandidateState, reply: LastContactReply, now: float) -> None:
    """Handle a member's report of how long the owner has been silent for it."""
    if now - state.members_asked_at > state.timing.confirm:
        return
    if reply.silent_ms < state.timing.suspect * 1000:
        return
    state.silent.add(reply.member.worker)
    _take_over_if_majority(state, now)


def _take_over_if_majority(state: CandidateState, now: float) -> None:
    epoch, roster = _missed_epoch(state)
    if state.wanted_epoch == epoch or state.pending_record is not None:
        return
    agreeing = sum(member.worker in state.silent for member in roster)
    if 2 * agreeing <= len(roster):
        return
    state.wanted_epoch = epoch
    _log(
        state, "most of the roster does not hear the owner", silent=sorted(state.silent)
    )
    _read(state, now)


def on_hand_over(state: CandidateState, message: HandOver, now: float) -> None:
    """Handle the request of a stopping owner to take the cell over."""
    if state.agent.gate.stopping or message.epoch != state.agent.gate.epoch:
        return
    state.wanted_epoch = message.epoch
    _read(state, now)


def on_read(state: CandidateState, event: KeyRead, now: float) -> Takeover | None:
    """Handle a read of the cell's record; return the takeover if it confirms one."""
    if not event.known:
        state.absence.end()
        # Nobody can take the cell over without the service; keep asking, but rarely.
        state.ask_wait = min(
            max(2 * state.ask_wait, state.timing.ping), MAX_WAIT_SECONDS
        )
        return None
    state.ask_wait = 0.0
    if event.value is None:
        state.record = None
        _handle_absent_record(state, now)
        return None
    if state.absence.since is not None:
        state.absence.end()
        state.join_wait = state.timing.join
    record = msgspec.json.decode(event.value, type=CellRecord)
    if state.record is None or record.epoch > state.record.epoch:
        state.record_at = now
    state.record = record
    # A swap that was given up may be applied while the next one is in progress.
    if record.write_id in state.swaps_in_doubt:
        return _confirm_takeover(state, record.write_id, event.revision)
    if state.pending_record is not None:
        _resolve_pending(state, record, now)
        return None
    if record.epoch == state.wanted_epoch:
        _swap_record(state, record, event.revision, now)
    elif state.member != record.owner and record.owner.address:
        join = Join(state.cell, state.member, state.agent.announcement)
        state.effects.append(Send(record.owner.address, join))
    state.wanted_epoch = 0
    return None


def _handle_absent_record(state: CandidateState, now: float) -> None:
    """Handle a missing record: the cell is new, or the service lost its data."""
    timing, absence = state.timing, state.absence
    absence.begin(now)
    wanted, state.wanted_epoch = state.wanted_epoch, 0
    # Without this pause, members that don't hear their owner would read the record
    # and ask the entries four times a second.
    pause = timing.confirm * state.generator.uniform(1.0, MAX_ABSENT_JITTER)
    state.ask_wait = state.join_wait = pause
    owner = absence.live_owner(OWNER_LIVE_PERIODS * timing.confirm, now)
    if owner:
        join = Join(state.cell, state.member, state.agent.announcement)
        state.effects.append(Send(owner, join))
    if owner or not absence.has_lasted(timing.confirm, now):
        state.effects += make_owner_queries(state.cell, state.entries)
        return
    gate = state.agent.gate
    if not gate.epoch:
        _swap_record(state, None, 0, now)
    elif wanted == gate.epoch and gate.owner is not None:
        known = (state.cell, gate.epoch, gate.owner, state.agent.roster)
        _swap_record(state, rebuild_record(*known), 0, now)


def on_not_owner(state: CandidateState, message: NotOwner, now: float) -> None:
    """Handle an entry's reply about the owner of the cell."""
    state.absence.record_reply(message, now)


def _resolve_pending(state: CandidateState, record: CellRecord, now: float) -> None:
    """Give up a swap in doubt that the record read back does not show."""
    if record.epoch >= state.pending_record.epoch:
        state.pending_record = None
        state.swaps_in_doubt.clear()
    elif now - state.pending_since > 2 * state.timing.confirm:
        state.pending_record = None


def _swap_record(
    state: CandidateState, earlier: CellRecord | None, revision: int, now: float
) -> None:
    """Swap the cell's record to a new epoch that this agent owns.

    :raises InvariantError: if this agent has already seen the epoch or a later one.
        Every agent would refuse the owner that such a record names.
    """
    write_id = f"{state.generator.getrandbits(64):016x}"
    if earlier is None:
        epoch = state.absence.epoch
        wall_ms = state.wall_ms + now * 1000
        record = make_first_record(state.cell, epoch, state.member, write_id, wall_ms)
    else:
        roster = [
            state.member if member.worker == state.member.worker else member
            for member in earlier.roster
        ]
        if state.member not in roster:
            roster.append(state.member)
        record = msgspec.structs.replace(
            earlier,
            epoch=earlier.epoch + 1,
            owner=state.member,
            roster=roster,
            write_id=write_id,
            backed_up=False,
            identity=earlier.identity or write_id,
        )
    if record.epoch <= state.agent.gate.epoch:
        raise InvariantError(
            f"{state.cell}: cannot take epoch {record.epoch}, because epoch "
            f"{state.agent.gate.epoch} has been seen",
            "The key-value service has lost writes. Stop the cell and restore its "
            "record.",
        )
    state.pending_record, state.pending_since = record, now
    state.swaps_in_doubt[write_id] = Takeover(record, 0, earlier)
    state.wanted_epoch = 0
    value = msgspec.json.encode(record)
    state.effects.append(SwapKey(cell_key(state.cell), revision, value, write_id))


def on_swapped(state: CandidateState, event: KeySwapped, now: float) -> Takeover | None:
    """Handle the outcome of a swap; return the takeover if it was applied."""
    if state.pending_record is None or event.write_id != state.pending_record.write_id:
        return None
    if event.outcome is SwapOutcome.APPLIED:
        return _confirm_takeover(state, event.write_id, event.revision)
    if event.outcome is SwapOutcome.LOST:
        state.swaps_in_doubt.pop(event.write_id, None)
        state.pending_record = None
    # Unknown: the swap may still be applied. The next tick reads the record back.
    return None


def _confirm_takeover(state: CandidateState, write_id: str, revision: int) -> Takeover:
    taken = state.swaps_in_doubt[write_id]
    taken.revision = revision
    state.pending_record = None
    state.wanted_epoch = 0
    state.swaps_in_doubt.clear()
    return taken


def _log(state: CandidateState, sentence: str, **fields: object) -> None:
    fields["cell"] = state.cell
    fields["worker"] = state.member.worker
    state.effects.append(Log(Part.CELL, sentence, fields))
