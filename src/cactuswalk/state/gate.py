"""The gate of an agent, which decides whether a task may start at its worker.

It prevents duplicate starts by a second owner, by a delayed copy of a message, or by
an owner that was suspended until its confirmation had expired; a seat would be given
to two pupils. A start is allowed only with the epoch that this agent last confirmed,
a recent stamp of its own and no record of the task.
"""

import msgspec

from cactuswalk.errors import InvariantError
from cactuswalk.messages import Record, Start
from cactuswalk.model import Member, TaskState
from cactuswalk.state.retention import RecordStore

__all__ = ["Gate", "StartDecision", "check_start", "record_decline"]


class Gate(msgspec.Struct):
    """State of one agent's gate.

    :param epoch: highest epoch seen; never decreases.
    :param owner: owner in that epoch, None until it was heard from.
    :param running: attempts in progress, by (submission, index).
    :param slots: slots of the announced upstream; 0 while there is none.
    """

    member: Member
    records: RecordStore
    confirm: float
    epoch: int = 0
    owner: Member | None = None
    running: dict[tuple[str, int], int] = {}
    slots: int = 0
    stopping: bool = False


class StartDecision(msgspec.Struct):
    """Whether a start is allowed.

    :param is_duplicate: the start is a copy of one that was allowed; it is ignored.
    :param reason: why it is declined, empty if it is allowed.
    """

    is_allowed: bool
    is_duplicate: bool = False
    reason: str = ""


def accept_epoch(gate: Gate, epoch: int, owner: Member) -> bool:
    """Record an owner's epoch unless it is lower; return whether it is in force.

    :raises InvariantError: if one epoch has two owners.
    """
    if epoch < gate.epoch:
        return False
    if epoch > gate.epoch:
        gate.epoch, gate.owner = epoch, owner
        return True
    if gate.owner is not None and gate.owner.incarnation != owner.incarnation:
        raise InvariantError(
            f"epoch {epoch} has two owners, {gate.owner.worker} and {owner.worker}",
            "Stop this cell's agents and report the swap of its record.",
        )
    gate.owner = owner
    return True


def check_start(gate: Gate, start: Start, now: float) -> StartDecision:
    """Decide on a start without changing any state."""
    if start.incarnation != gate.member.incarnation:
        return StartDecision(False, reason="sent to another incarnation of this agent")
    if start.epoch != gate.epoch:
        return StartDecision(
            False, reason=f"epoch {start.epoch}, expected {gate.epoch}"
        )
    record = gate.records.get(start.submission, start.index)
    if record is not None and not _may_follow(record, start):
        is_duplicate = record.state is not TaskState.DECLINED
        return StartDecision(
            False, is_duplicate=is_duplicate, reason="already declined"
        )
    return _check_circumstances(gate, start, now)


def _check_circumstances(gate: Gate, start: Start, now: float) -> StartDecision:
    age_ms = now * 1000 - start.stamp
    if age_ms > gate.confirm * 1000:
        return StartDecision(False, reason=f"stamp is {age_ms:.0f} ms old")
    if age_ms >= start.remaining_ms:
        return StartDecision(False, reason="the deadline has passed")
    if gate.stopping:
        return StartDecision(False, reason="this agent is stopping")
    if len(gate.running) >= gate.slots:
        return StartDecision(False, reason=f"all {gate.slots} slots are taken")
    if not gate.records.has_capacity():
        return StartDecision(False, reason="the record book is full")
    return StartDecision(True)


def _may_follow(record: Record, start: Start) -> bool:
    """Return whether a start is allowed although its task has a record here."""
    if start.attempt <= record.attempt:
        return False
    if record.state is TaskState.DECLINED:
        return True
    return start.idempotent and record.state is not TaskState.RUNNING


def record_start(gate: Gate, start: Start, now: float) -> None:
    """Record an allowed start, before anything is sent to the upstream.

    :raises InvariantError: if the task is running, or has run and must not again.
    """
    task_key = (start.submission, start.index)
    earlier = gate.records.get(*task_key)
    started = earlier is not None and earlier.state is not TaskState.DECLINED
    if task_key in gate.running or (started and not start.idempotent):
        raise InvariantError(
            f"task {start.index} of {start.submission} would start twice",
            "Report this with the log of the agent; the task was not started.",
        )
    gate.running[task_key] = start.attempt
    gate.records.put(_record_of(gate, start, TaskState.RUNNING), now)


def record_decline(gate: Gate, start: Start, now: float) -> None:
    """Record that an attempt was declined, so that it never starts here.

    Otherwise a duplicate of the declined start could be allowed a moment later,
    when a slot is free again, although the owner has placed the task elsewhere.
    """
    if start.incarnation != gate.member.incarnation:
        return
    record = gate.records.get(start.submission, start.index)
    if record is not None and record.attempt >= start.attempt:
        return
    if record is not None and record.state is not TaskState.DECLINED:
        return
    gate.records.put(_record_of(gate, start, TaskState.DECLINED), now)


def _record_of(gate: Gate, start: Start, state: TaskState) -> Record:
    return Record(
        start.submission,
        start.index,
        start.total,
        start.fingerprint,
        start.attempt,
        state,
        gate.member.worker,
        gate.member.incarnation,
    )
