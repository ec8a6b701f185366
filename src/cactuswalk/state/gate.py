"""The gate beside a worker: the only way to start anything there.

What goes wrong without it: a second owner, a copy of a message that the network
held back, or an owner that slept past its standing starts a task again, and a
seat is given to two pupils. A start passes only with the epoch that this agent
last confirmed, a young stamp of its own, and no record of the task.
"""

import msgspec

from cactuswalk.errors import InvariantError
from cactuswalk.messages import Record, Start
from cactuswalk.model import Member, TaskState
from cactuswalk.state.retention import RecordBook

__all__ = ["Gate", "StartDecision", "check_start", "record_decline"]


class Gate(msgspec.Struct):
    """What the gate of one agent knows.

    :param epoch: highest epoch seen; it never goes down.
    :param owner: of that epoch, None until it has spoken.
    :param running: starts in progress, by (submission, index).
    :param slots: of the announced upstream; 0 while there is none.
    """

    member: Member
    records: RecordBook
    confirm: float
    epoch: int = 0
    owner: Member | None = None
    running: dict[tuple[str, int], int] = {}
    slots: int = 0
    stopping: bool = False


class StartDecision(msgspec.Struct):
    """Whether a start may pass.

    :param repeat: the start is a copy of one that has passed; say nothing new.
    :param reason: why it is declined, empty if it passes.
    """

    is_allowed: bool
    is_duplicate: bool = False
    reason: str = ""


def accept_epoch(gate: Gate, epoch: int, owner: Member) -> bool:
    """Take note of an owner's epoch; tell whether it is the one in force.

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
    """Decide on a start, without changing anything."""
    if start.incarnation != gate.member.incarnation:
        return StartDecision(False, reason="meant for another life of this agent")
    if start.epoch != gate.epoch:
        return StartDecision(
            False, reason=f"epoch {start.epoch}, in force {gate.epoch}"
        )
    record = gate.records.get(start.submission, start.index)
    if record is not None and not _may_follow(record, start):
        is_duplicate = record.state is not TaskState.DECLINED
        return StartDecision(False, is_duplicate=is_duplicate, reason="declined before")
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
    if not gate.records.has_room():
        return StartDecision(False, reason="no room for another record")
    return StartDecision(True)


def _may_follow(record: Record, start: Start) -> bool:
    """Tell whether a start may pass though its task has a record here."""
    if start.attempt <= record.attempt:
        return False
    if record.state is TaskState.DECLINED:
        return True
    return start.idempotent and record.state is not TaskState.RUNNING


def record_start(gate: Gate, start: Start, now: float) -> None:
    """Record a start that has passed, before anything is sent to the upstream.

    :raises InvariantError: if the task is running or has run and may not again.
    """
    place = (start.submission, start.index)
    earlier = gate.records.get(*place)
    started = earlier is not None and earlier.state is not TaskState.DECLINED
    if place in gate.running or (started and not start.idempotent):
        raise InvariantError(
            f"task {start.index} of {start.submission} would start twice",
            "Report this with the log of the agent; the task was not started.",
        )
    gate.running[place] = start.attempt
    gate.records.put(_record_of(gate, start, TaskState.RUNNING), now)


def record_decline(gate: Gate, start: Start, now: float) -> None:
    """Make sure that a declined attempt never starts here.

    Without it, a repeated copy of the declined start could pass a moment later,
    when a slot is free again, while the owner has placed the task elsewhere.
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
