"""The reducer of the agent that runs beside an upstream.

It executes the starts that the gate allows, records them and reports to the owner
of the cell. It answers pings, probes and fences from its records alone.
"""

import itertools
from collections.abc import Iterable

import msgspec

from cactuswalk.messages import (
    Declined,
    Join,
    LastContactReply,
    LastContactRequest,
    Message,
    Ping,
    Pong,
    Probe,
    Record,
    Result,
    Running,
    Start,
)
from cactuswalk.model import (
    Announcement,
    Member,
    TaskOutcome,
    TaskResult,
    TaskState,
    compute_digest,
)
from cactuswalk.state.configuration import ConfigurationSync
from cactuswalk.state.effects import (
    CallUpstream,
    Count,
    Effect,
    Log,
    Part,
    Send,
    StopUpstream,
)
from cactuswalk.state.events import (
    Announced,
    UpstreamAnswered,
    UpstreamOutcome,
    UsageReported,
)
from cactuswalk.state.gate import (
    Gate,
    accept_epoch,
    check_start,
    record_decline,
    record_start,
)
from cactuswalk.state.guarding import Guard, add_task, on_usage_report, remove_task
from cactuswalk.state.retention import RecordStore

__all__ = ["AgentState", "new_agent"]


# Statuses from here on mean that the upstream failed to fulfil a valid request
# (RFC 9110, section 15.6).
MIN_SERVER_ERROR_STATUS = 500


class AgentState(msgspec.Struct):
    """State of an agent.

    :param roster: members of the cell, as its owner last sent them.
    :param heard_at: when the current owner was last heard from. Starts at the
        agent's own start; otherwise a new agent would report a long silence and
        help to depose an owner that has not pinged it yet.
    :param copies: records kept for other agents. The gate ignores them, since a
        task may be sent here after it was declined elsewhere.
    :param confirmed_at: when an owner of an epoch before the last fence was last
        confirmed.
    :param sync: this process's copy of the configuration.
    :param fenced_epoch: epoch of the fence at which ``fenced_records`` was taken.
        The list is a snapshot, so that its parts stay the same when they are
        requested again.
    :param fenced_since: start of the period that ``fenced_records`` covers.
    :param lookback: how far back the records sent to a new owner go, in seconds.
    :param configuration: configuration revision in force here.
    :param guard: guard of the worker's memory.
    :param effects: effects collected while an event is handled.
    """

    cell: str
    gate: Gate
    copies: RecordStore
    sync: ConfigurationSync
    roster: list[Member] = []
    heard_at: float = 0.0
    announcement: Announcement | None = None
    announcement_serial: int = 0
    confirmed_at: float = 0.0
    fenced_epoch: int = 0
    fenced_records: list[Record] = []
    fenced_since: float = 0.0
    lookback: float = 20.0
    configuration: int = 0
    effects: list[Effect] = []
    guard: Guard = msgspec.field(default_factory=Guard)


def new_agent(
    cell: str,
    gate: Gate,
    copies: RecordStore,
    sync: ConfigurationSync,
    lookback: float,
    now: float,
) -> AgentState:
    """Return the initial state of an agent."""
    return AgentState(
        cell, gate, copies, sync, heard_at=now, confirmed_at=now, lookback=lookback
    )


def on_announced(state: AgentState, event: Announced, now: float) -> None:
    """Handle a new, changed or withdrawn announcement of the upstream."""
    announcement = event.announcement or state.announcement
    if announcement is None:
        return
    ready = event.announcement is not None and announcement.ready
    state.announcement_serial += 1
    # Copied, since an owner in this process may still hold the previous object.
    state.announcement = msgspec.structs.replace(
        announcement, ready=ready, serial=state.announcement_serial
    )
    state.gate.slots = announcement.capacity.slots if ready else 0
    _send_announcement(state)


def _send_announcement(state: AgentState) -> None:
    """Send the announcement to the owner; the next ping recovers a lost message.

    Without it the owner would go on placing tasks at an upstream that has left,
    and each would be declined.
    """
    gate = state.gate
    if gate.owner is not None and gate.member in state.roster:
        join = Join(state.cell, gate.member, state.announcement)
        state.effects.append(Send(gate.owner.address, join))


def on_ping(state: AgentState, sender: str, ping: Ping, now: float) -> None:
    """Confirm the epoch of the owner, or reject it."""
    gate = state.gate
    if _confirm(state, ping):
        state.heard_at = now
        state.effects += state.sync.request_if_behind(sender, ping.configuration, now)
        if ping.announcement != state.announcement_serial and state.announcement:
            join = Join(state.cell, gate.member, state.announcement)
            state.effects.append(Send(sender, join))
    # A deposed owner gets a pong too: the higher epoch makes it step down at once.
    pong = Pong(
        state.cell,
        gate.epoch,
        gate.member.incarnation,
        ping.serial,
        make_stamp(now),
        delta_encode(gate.running.values()),
        state.configuration,
        _is_ready(state),
        state.announcement_serial,
        sorted(state.sync.replica.ahead),
    )
    state.effects.append(Send(sender, pong))


def _confirm(state: AgentState, ping: Ping) -> bool:
    """Apply a ping to the state; return whether its epoch is in force."""
    gate = state.gate
    if ping.owner is None:
        return ping.epoch == gate.epoch
    earlier = gate.epoch
    if not accept_epoch(gate, ping.epoch, ping.owner):
        return False
    if ping.epoch > earlier:
        state.confirmed_at = state.heard_at
    state.roster = ping.roster
    return True


def on_start(state: AgentState, sender: str, start: Start, now: float) -> None:
    """Start a task for the owner, or decline it."""
    gate = state.gate
    decision = check_start(gate, start, now)
    if decision.is_duplicate:
        state.effects.append(Count("agent.start.repeated"))
        return
    if not decision.is_allowed:
        record_decline(gate, start, now)
        state.effects.append(Count("agent.start.declined"))
        _log(state, "declined a start", start, reason=decision.reason)
        declined = Declined(
            state.cell,
            gate.member.incarnation,
            gate.epoch,
            start.submission,
            start.index,
            start.attempt,
            decision.reason,
        )
        state.effects.append(Send(sender, declined))
        return
    record_start(gate, start, now)
    add_task(state.guard, start)
    _log(state, "started a task", start, epoch=start.epoch)
    left_ms = start.remaining_ms - int(now * 1000 - start.stamp)
    call = CallUpstream(
        start.submission,
        start.index,
        start.attempt,
        start.service,
        start.task,
        max(left_ms, 1),
    )
    state.effects += (Count("agent.start.passed"), call)


def on_upstream_answered(
    state: AgentState, event: UpstreamAnswered, now: float
) -> None:
    """Record the end of a call to the upstream and report it to the owner."""
    gate = state.gate
    task_key = (event.submission, event.index)
    record = gate.records.get(*task_key)
    if (
        record is None
        or record.attempt != event.attempt
        or task_key not in gate.running
    ):
        # The record has expired, or the call belongs to an earlier attempt, whose
        # answer must not be recorded for the current one.
        state.effects.append(Count("agent.answer.stale"))
        return
    del gate.running[task_key]
    stopped = remove_task(state.guard, *task_key)
    ended = msgspec.structs.replace(record)
    if event.outcome is UpstreamOutcome.NOT_SENT:
        ended.state = TaskState.DECLINED
    else:
        ended.result = _result_of(event, stopped)
        done = ended.result.outcome is TaskOutcome.DONE
        ended.state = TaskState.DONE if done else TaskState.FAILED
    result = ended.result
    # The record book may drop the body at once when it is full, so the result for
    # the owner is kept separately.
    gate.records.put(ended, now)
    _report_end(state, ended, result, event.elapsed_ms)


def on_usage(state: AgentState, event: UsageReported, now: float) -> None:
    """Pass a report of memory use to the guard."""
    if state.announcement is not None:
        capacity, worker = state.announcement.capacity, state.gate.member.worker
        effects = on_usage_report(state.guard, event.usages, capacity, worker, now)
        state.effects += effects


def on_probe(state: AgentState, sender: str, probe: Probe, now: float) -> None:
    """Report the state of an attempt from its record."""
    gate = state.gate
    if probe.epoch != gate.epoch or probe.incarnation != gate.member.incarnation:
        state.effects.append(Count("agent.probe.refused"))
        return
    record = gate.records.get(probe.submission, probe.index)
    if record is None or (
        record.state is TaskState.DECLINED and record.attempt < probe.attempt
    ):
        record = _decline_unknown(state, probe, now)
    if record.state is TaskState.RUNNING:
        task_key = (probe.submission, probe.index)
        running = Running(
            state.cell, gate.member.incarnation, *task_key, record.attempt
        )
        state.effects.append(Send(sender, running))
        if probe.stop:
            state.effects.append(StopUpstream(*task_key, record.attempt))
        return
    _report_end(state, record, record.result, 0)


def on_heard(
    state: AgentState, sender: str, heard: LastContactRequest, now: float
) -> None:
    """Report to a member how long the owner has been silent here."""
    known = heard.epoch >= state.gate.epoch
    silent = now - state.heard_at if known else 0.0
    silent_ms = int(min(silent * 1000, 2**31))
    reply = LastContactReply(state.cell, state.gate.epoch, state.gate.member, silent_ms)
    state.effects.append(Send(sender, reply))


def delta_encode(attempts: Iterable[int]) -> list[int]:
    """Return the sorted numbers as the lowest and the successive differences."""
    ordered = sorted(attempts)
    steps = [later - one for one, later in itertools.pairwise(ordered)]
    return ordered[:1] + steps


def make_stamp(now: float) -> int:
    """Convert a time in seconds to a stamp in whole milliseconds, rounded down."""
    return int(now * 1000)


def _is_ready(state: AgentState) -> bool:
    return state.gate.slots > 0 and not state.gate.stopping


def _decline_unknown(state: AgentState, probe: Probe, now: float) -> Record:
    """Record a decline of an attempt never received, so that it cannot start later."""
    record = Record(
        probe.submission,
        probe.index,
        0,
        b"",
        probe.attempt,
        TaskState.DECLINED,
        state.gate.member.worker,
        state.gate.member.incarnation,
    )
    state.gate.records.put(record, now)
    return record


def _result_of(event: UpstreamAnswered, stopped: str) -> TaskResult:
    if event.outcome is UpstreamOutcome.UNCERTAIN:
        reason = "the upstream was called but gave no complete answer"
        return TaskResult(event.index, TaskOutcome.UNKNOWN, reason=reason)
    if event.status >= MIN_SERVER_ERROR_STATUS:
        if stopped:
            return TaskResult(event.index, TaskOutcome.FAILED, reason=stopped)
        reason = f"the upstream answered with status {event.status}"
        return TaskResult(event.index, TaskOutcome.FAILED, event.status, reason=reason)
    return TaskResult(
        event.index,
        TaskOutcome.DONE,
        event.status,
        event.body,
        compute_digest(event.body),
    )


def _report_end(
    state: AgentState, record: Record, result: TaskResult | None, elapsed_ms: int
) -> None:
    """Report the end of an attempt to the current owner, which may be a new one."""
    gate = state.gate
    if gate.owner is None:
        return
    sender_fields = (state.cell, gate.member.incarnation)
    if record.state is TaskState.DECLINED:
        message: Message = Declined(
            *sender_fields,
            gate.epoch,
            record.submission,
            record.index,
            record.attempt,
            "it did not start",
        )
    else:
        message = Result(
            *sender_fields,
            record.submission,
            record.index,
            record.attempt,
            result,
            elapsed_ms,
        )
    state.effects.append(Send(gate.owner.address, message))


def _log(state: AgentState, sentence: str, start: Start, **fields: object) -> None:
    values = {
        "submission": start.submission,
        "task": start.index,
        "attempt": start.attempt,
        "worker": state.gate.member.worker,
    }
    state.effects.append(Log(Part.AGENT, sentence, values | fields))
