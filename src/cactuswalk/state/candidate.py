"""How an agent gets into a cell, and when it takes the cell over.

An agent that misses the owner asks the other members. Only if more than half of
the roster miss it too does it swap the cell's record to the next epoch, so that
one agent behind a cut doesn't depose an owner that all others hear.
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
    ask_entries,
    first_record,
    rebuilt_record,
)
from cactuswalk.state.roster import cell_key
from cactuswalk.state.timing import Timing

__all__ = ["CandidateState", "TakenOver", "new_candidate"]


class TakenOver(msgspec.Struct):
    """The service has confirmed this agent as the owner."""

    record: CellRecord
    revision: int
    earlier: CellRecord | None


# When a region is cut off or the service is away, thousands of agents look for
# their owners; each then calls the service once or twice in this time.
MAXIMUM_WAIT = 8.0

# Agents that start together and find no record look again within so many P, and
# not in one moment: the first begins the cell, the others find it begun.
ABSENT_SPREAD = 1.5

# An owner that an entry hears counts as alive for so many P: for longer than the
# pause between two looks, or it would be forgotten by the second.
LIVE_SPANS = 2


class CandidateState(msgspec.Struct):
    """What an agent knows on its way to membership or ownership.

    :param record: the cell's record as last read; its epoch was first read at
        ``record_at``.
    :param asked_at: when the others were last asked whether they hear the owner.
    :param silent: workers that confirm its silence, in this round.
    :param written: the record of a swap that is under way.
    :param wanted_epoch: the epoch that this agent wants to end: most of the
        roster miss its owner, or the owner asked for it; 0 for none.
    :param entries: addresses of processes that may know the cell's owner.
    :param absence: of the cell's record in the service.
    :param attempted: by write id, every swap whose end is not known; one that
        was given up may apply late, and then this agent is the owner.
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
    asked_at: float = float("-inf")
    silent: set[str] = set()
    wanted_epoch: int = 0
    written: CellRecord | None = None
    attempted: dict[str, TakenOver] = {}
    written_at: float = float("-inf")
    effects: list[Effect] = []

    @property
    def member(self) -> Member:
        """Return this agent as a member."""
        return self.agent.gate.member


def new_candidate(
    cell: str,
    agent: AgentState,
    timing: Timing,
    generator: random.Random,
    entries: list[str],
) -> CandidateState:
    """Return the state of an agent that is in no cell yet."""
    return CandidateState(
        cell, agent, timing, generator, entries, join_wait=timing.join
    )


def on_tick(state: CandidateState, now: float) -> None:
    """Join if outside, look after the owner if inside."""
    if state.written is not None:
        if now - state.written_at > state.timing.confirm:
            _read(state, now)
        return
    if state.agent.gate.stopping:
        return
    silence = _silence(state, now) - state.timing.suspect
    silent = silence > 0 and silence > _stagger(state)
    if silent or not _is_member(state):
        _seek_membership(state, now)
    if silent:
        _ask_others(state, now)


def _is_member(state: CandidateState) -> bool:
    return state.member in state.agent.roster


def _silence(state: CandidateState, now: float) -> float:
    """Return how long the owner has been silent.

    One that took the cell a moment ago counts from when its record was first
    read; it has yet to make itself heard.
    """
    heard_at = state.agent.heard_at
    if state.record is not None and state.record.epoch > state.agent.gate.epoch:
        heard_at = max(heard_at, state.record_at)
    return now - heard_at


def _in_question(state: CandidateState) -> tuple[int, list[Member]]:
    """Return the epoch whose owner is missed, and its roster."""
    record = state.record
    if record is not None and record.epoch > state.agent.gate.epoch:
        return record.epoch, record.roster
    return state.agent.gate.epoch, state.agent.roster


def _stagger(state: CandidateState) -> float:
    """Return an extra wait by rank, so that candidates don't race."""
    _, roster = _in_question(state)
    workers = [member.worker for member in roster]
    worker = state.member.worker
    rank = workers.index(worker) if worker in workers else len(workers)
    return rank * state.timing.suspect_stagger


def _seek_membership(state: CandidateState, now: float) -> None:
    """Read who owns the cell, ever less often, to ask it for a place.

    A member that misses the owner does so too: it may have been taken off the
    roster while it could not hear, and nobody would tell it.
    """
    if now - state.read_at < state.join_wait:
        return
    state.join_wait = min(2 * state.join_wait, MAXIMUM_WAIT)
    _read(state, now)


def on_member(state: CandidateState) -> None:
    """The owner has been heard: the next search begins quickly again."""
    state.join_wait = state.timing.join


def _read(state: CandidateState, now: float) -> None:
    state.read_at = now
    state.effects.append(ReadKey(cell_key(state.cell)))


def _ask_others(state: CandidateState, now: float) -> None:
    """Ask the roster whether the owner is silent for them too."""
    epoch, roster = _in_question(state)
    if now - state.asked_at < max(state.timing.ping, state.ask_wait) or not roster:
        return
    state.asked_at = now
    state.silent = {state.member.worker}
    state.wanted_epoch = 0
    for member in roster:
        if member.worker != state.member.worker:
            state.effects.append(
                Send(member.address, LastContactRequest(state.cell, epoch))
            )
    _take_if_confirmed(state, now)


def on_heard_reply(state: CandidateState, reply: LastContactReply, now: float) -> None:
    """Another member says how long it has missed the owner."""
    if now - state.asked_at > state.timing.confirm:
        return
    if reply.silent_ms < state.timing.suspect * 1000:
        return
    state.silent.add(reply.member.worker)
    _take_if_confirmed(state, now)


def _take_if_confirmed(state: CandidateState, now: float) -> None:
    epoch, roster = _in_question(state)
    if state.wanted_epoch == epoch or state.written is not None:
        return
    agreeing = sum(member.worker in state.silent for member in roster)
    if 2 * agreeing <= len(roster):
        return
    state.wanted_epoch = epoch
    _log(state, "misses the owner with most of the roster", silent=sorted(state.silent))
    _read(state, now)


def on_hand_over(state: CandidateState, message: HandOver, now: float) -> None:
    """The owner stops as planned and wants this agent to go on."""
    if state.agent.gate.stopping or message.epoch != state.agent.gate.epoch:
        return
    state.wanted_epoch = message.epoch
    _read(state, now)


def on_read(state: CandidateState, event: KeyRead, now: float) -> TakenOver | None:
    """The cell's record has been read."""
    if not event.known:
        state.absence.end()
        # Without the service nobody can take the cell; asking goes on, rarely.
        state.ask_wait = min(max(2 * state.ask_wait, state.timing.ping), MAXIMUM_WAIT)
        return None
    state.ask_wait = 0.0
    if event.value is None:
        state.record = None
        _on_absent(state, now)
        return None
    if state.absence.since is not None:
        state.absence.end()
        state.join_wait = state.timing.join
    record = msgspec.json.decode(event.value, type=CellRecord)
    if state.record is None or record.epoch > state.record.epoch:
        state.record_at = now
    state.record = record
    # A swap that was given up may apply while the next one is under way.
    if record.write_id in state.attempted:
        return _taken(state, record.write_id, event.revision)
    if state.written is not None:
        _settle_written(state, record, now)
        return None
    if record.epoch == state.wanted_epoch:
        _write(state, record, event.revision, now)
    elif state.member != record.owner and record.owner.address:
        join = Join(state.cell, state.member, state.agent.announcement)
        state.effects.append(Send(record.owner.address, join))
    state.wanted_epoch = 0
    return None


def _on_absent(state: CandidateState, now: float) -> None:
    """The service has no record of the cell: it is new, or its data are lost."""
    timing, absence = state.timing, state.absence
    absence.begin(now)
    wanted, state.wanted_epoch = state.wanted_epoch, 0
    # Members that miss their owner would read, and ask, four times a second.
    pause = timing.confirm * state.generator.uniform(1.0, ABSENT_SPREAD)
    state.ask_wait = state.join_wait = pause
    owner = absence.live_owner(LIVE_SPANS * timing.confirm, now)
    if owner:
        join = Join(state.cell, state.member, state.agent.announcement)
        state.effects.append(Send(owner, join))
    if owner or not absence.has_lasted(timing.confirm, now):
        state.effects += ask_entries(state.cell, state.entries)
        return
    gate = state.agent.gate
    if not gate.epoch:
        _write(state, None, 0, now)
    elif wanted == gate.epoch and gate.owner is not None:
        known = (state.cell, gate.epoch, gate.owner, state.agent.roster)
        _write(state, rebuilt_record(*known), 0, now)


def on_not_owner(state: CandidateState, message: NotOwner, now: float) -> None:
    """An entry says what it knows of the cell."""
    state.absence.told(message, now)


def _settle_written(state: CandidateState, record: CellRecord, now: float) -> None:
    """Give up a swap of unknown outcome that the record does not show."""
    if record.epoch >= state.written.epoch:
        state.written = None
        state.attempted.clear()
    elif now - state.written_at > 2 * state.timing.confirm:
        state.written = None


def _write(
    state: CandidateState, earlier: CellRecord | None, revision: int, now: float
) -> None:
    """Swap the cell's record to an epoch of this agent's.

    :raises InvariantError: if the epoch is no news here. Written all the same,
        it would name an owner that every agent refuses.
    """
    write_id = f"{state.generator.getrandbits(64):016x}"
    if earlier is None:
        epoch = state.absence.epoch
        record = first_record(state.cell, epoch, state.member, write_id)
    else:
        roster = [
            state.member if one.worker == state.member.worker else one
            for one in earlier.roster
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
            f"{state.cell}: epoch {record.epoch} is to be taken, but "
            f"{state.agent.gate.epoch} has been seen",
            "The service has gone back. Stop the cell and restore its record.",
        )
    state.written, state.written_at = record, now
    state.attempted[write_id] = TakenOver(record, 0, earlier)
    state.wanted_epoch = 0
    value = msgspec.json.encode(record)
    state.effects.append(SwapKey(cell_key(state.cell), revision, value, write_id))


def on_swapped(
    state: CandidateState, event: KeySwapped, now: float
) -> TakenOver | None:
    """The swap of the cell's record has ended."""
    if state.written is None or event.write_id != state.written.write_id:
        return None
    if event.outcome is SwapOutcome.APPLIED:
        return _taken(state, event.write_id, event.revision)
    if event.outcome is SwapOutcome.LOST:
        state.attempted.pop(event.write_id, None)
        state.written = None
    # Unknown: it may apply yet. The next tick reads the record back.
    return None


def _taken(state: CandidateState, write_id: str, revision: int) -> TakenOver:
    taken = state.attempted[write_id]
    taken.revision = revision
    state.written = None
    state.wanted_epoch = 0
    state.attempted.clear()
    return taken


def _log(state: CandidateState, sentence: str, **fields: object) -> None:
    fields["cell"] = state.cell
    fields["worker"] = state.member.worker
    state.effects.append(Log(Part.CELL, sentence, fields))
