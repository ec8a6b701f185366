"""The agent beside an upstream: events in, effects out.

It starts what the gate lets pass, records it, and tells the owner of the cell.
It answers pings, probes and fences from its records alone.
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
from cactuswalk.state.retention import RecordBook

__all__ = ["AgentState", "new_agent"]


# The first status that means that the upstream did not do what was asked, by
# the fault of its own (RFC 9110, section 15.6).
MIN_SERVER_ERROR_STATUS = 500


class AgentState(msgspec.Struct):
    """What an agent knows.

    :param roster: of the cell, as its owner last sent it.
    :param heard_at: when the owner in force was last heard; at first when this
        agent started, or its word would depose an owner that it just has not
        been pinged by yet.
    :param copies: records kept for others; the gate does not look at them,
        since a task may come here after it was declined elsewhere.
    :param confirmed_at: when an owner of an epoch before the last fence was last
        confirmed.
    :param sync: this process's copy of the configuration.
    :param fenced_epoch: the epoch whose fence took ``fenced_records``, the records
        as they stood then; parts that are asked for again must not shift.
    :param configuration: revision in force here.
    :param guard: of the worker's memory.
    :param effects: gathered while an event is handled.
    """

    cell: str
    gate: Gate
    copies: RecordBook
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
    copies: RecordBook,
    sync: ConfigurationSync,
    lookback: float,
    now: float,
) -> AgentState:
    """Return the state of an agent that has just been started."""
    return AgentState(
        cell, gate, copies, sync, heard_at=now, confirmed_at=now, lookback=lookback
    )


def on_announced(state: AgentState, event: Announced, now: float) -> None:
    """The upstream has announced itself, changed, or withdrawn."""
    announcement = event.announcement or state.announcement
    if announcement is None:
        return
    ready = event.announcement is not None and announcement.ready
    state.announcement_serial += 1
    # A copy: the owner may be in this process, and hold the one before.
    state.announcement = msgspec.structs.replace(
        announcement, ready=ready, serial=state.announcement_serial
    )
    state.gate.slots = announcement.capacity.slots if ready else 0
    _send_announcement(state)


def _send_announcement(state: AgentState) -> None:
    """Tell the owner at once; the next ping asks for it if this is lost.

    Until then it would go on placing tasks at an upstream that is gone, and each
    would come back declined.
    """
    gate = state.gate
    if gate.owner is not None and gate.member in state.roster:
        join = Join(state.cell, gate.member, state.announcement)
        state.effects.append(Send(gate.owner.address, join))


def on_ping(state: AgentState, sender: str, ping: Ping, now: float) -> None:
    """The owner asks for a confirmation of its epoch."""
    gate = state.gate
    if _confirm(state, ping):
        state.heard_at = now
        state.effects += state.sync.request_if_behind(sender, ping.configuration, now)
        if ping.announcement != state.announcement_serial and state.announcement:
            join = Join(state.cell, gate.member, state.announcement)
            state.effects.append(Send(sender, join))
    # A deposed owner gets a pong too: the higher epoch in it stops it at once.
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
    """Take what a ping says of the cell; tell whether its epoch is in force."""
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
    """The owner wants a task started here."""
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
    """The upstream's part of a task has ended."""
    gate = state.gate
    place = (event.submission, event.index)
    record = gate.records.get(*place)
    if record is None or record.attempt != event.attempt or place not in gate.running:
        # The record's time has passed, or the call belongs to an attempt that
        # is settled: an answer must not be taken for another attempt's.
        state.effects.append(Count("agent.answer.stale"))
        return
    del gate.running[place]
    stopped = remove_task(state.guard, *place)
    ended = msgspec.structs.replace(record)
    if event.outcome is UpstreamOutcome.NOT_SENT:
        ended.state = TaskState.DECLINED
    else:
        ended.result = _result_of(event, stopped)
        done = ended.result.outcome is TaskOutcome.DONE
        ended.state = TaskState.DONE if done else TaskState.FAILED
    result = ended.result
    # The book may drop the body at once for want of room; the owner gets it.
    gate.records.put(ended, now)
    _report_end(state, ended, result, event.elapsed_ms)


def on_usage(state: AgentState, event: UsageReported, now: float) -> None:
    """The upstream has reported what its tasks use."""
    if state.announcement is not None:
        capacity, worker = state.announcement.capacity, state.gate.member.worker
        effects = on_usage_report(state.guard, event.usages, capacity, worker, now)
        state.effects += effects


def on_probe(state: AgentState, sender: str, probe: Probe, now: float) -> None:
    """The owner asks what became of an attempt; tell it from the record."""
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
        place = (probe.submission, probe.index)
        running = Running(state.cell, gate.member.incarnation, *place, record.attempt)
        state.effects.append(Send(sender, running))
        if probe.stop:
            state.effects.append(StopUpstream(*place, record.attempt))
        return
    _report_end(state, record, record.result, 0)


def on_heard(
    state: AgentState, sender: str, heard: LastContactRequest, now: float
) -> None:
    """A member misses the owner: say how long it has been silent here."""
    known = heard.epoch >= state.gate.epoch
    silent = now - state.heard_at if known else 0.0
    silent_ms = int(min(silent * 1000, 2**31))
    reply = LastContactReply(state.cell, state.gate.epoch, state.gate.member, silent_ms)
    state.effects.append(Send(sender, reply))


def delta_encode(attempts: Iterable[int]) -> list[int]:
    """Return numbers as the lowest and the distance of each from the one below."""
    ordered = sorted(attempts)
    steps = [later - one for one, later in itertools.pairwise(ordered)]
    return ordered[:1] + steps


def make_stamp(now: float) -> int:
    """Return the stamp for a moment: whole milliseconds, rounded down."""
    return int(now * 1000)


def _is_ready(state: AgentState) -> bool:
    return state.gate.slots > 0 and not state.gate.stopping


def _decline_unknown(state: AgentState, probe: Probe, now: float) -> Record:
    """Decline an attempt that never came, so that it can't come later."""
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
        reason = "the upstream was called and gave no whole answer"
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
    """Tell the owner in force how an attempt ended; it may be a new one."""
    gate = state.gate
    if gate.owner is None:
        return
    lives = (state.cell, gate.member.incarnation)
    if record.state is TaskState.DECLINED:
        message: Message = Declined(
            *lives,
            gate.epoch,
            record.submission,
            record.index,
            record.attempt,
            "it did not start",
        )
    else:
        message = Result(
            *lives,
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
